#ifndef CUMINROAD_FLEET_LEASETIMES_H
#define CUMINROAD_FLEET_LEASETIMES_H

#include "cuminroad/base/Clock.h"

// The times around a change of a pool's owner.
//
// That no task runs twice does not rest on them: an earlier owner can't record
// a start after it was replaced, what it recorded is known to the next one, and
// VMs refuse its orders once the next one has claimed them. Times matter only
// for VMs that the next owner can't reach. With an owner that was last renewed
// at time 0:
//
//   - it extends no VM's lease beyond HoldLimit;
//   - a standby takes over at OwnerLapseMin at the earliest, and counts runs on
//     a VM that it can't reach as ended InheritedWait later.
//
// So OwnerLapseMin + InheritedWait must be above HoldLimit, by more than the
// two percent that a VM's clock may run slow.

namespace cuminroad {

/// How often a standby reads the owner row, at least.
inline constexpr milliseconds OwnerPollInterval{300};
/// How often an owner with nothing to write renews it.
inline constexpr milliseconds OwnerRenewalInterval{300};
/// An owner row that does not change for this long may be taken over; three
/// renewals. Longer by some of the store's delay, up to the maximum.
inline constexpr milliseconds MinOwnerLease{1000};
inline constexpr milliseconds MaxOwnerLease{4000};
inline constexpr int OwnerLeaseDelayFactor = 4;
/// How long a VM may run tasks without a word of the owner. Outlasts a change
/// of owners: the lapse, the standby's poll, reading the jobs, and the time
/// since the last hold before.
inline constexpr milliseconds TaskLease{4000};
/// An owner whose last renewal was sent this long ago lets the leases of its
/// VMs end by then.
inline constexpr milliseconds VmLeaseLimit{9000};
/// How long a new owner waits for VMs that it can't reach.
inline constexpr milliseconds InheritedLeaseWait{8300};

} // namespace cuminroad

#endif
