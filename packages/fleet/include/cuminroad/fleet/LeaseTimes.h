#ifndef CUMINROAD_FLEET_LEASETIMES_H
#define CUMINROAD_FLEET_LEASETIMES_H

#include "cuminroad/base/Clock.h"

// Durations that govern a change of a pool's owner.
//
// They are not needed to prevent a task from running twice: a replaced owner
// can't record starts any more, the next owner knows the starts recorded
// before, and VMs refuse the old owner's orders once the next owner has claimed
// them. The durations matter only for VMs that the next owner can't reach. If
// the old owner's last renewal was at time 0:
//
//   - the old owner extends no VM's lease beyond VmLeaseLimit;
//   - a standby takes over at MinOwnerLease at the earliest, and
//     InheritedLeaseWait later assumes that all runs on an unreachable VM have
//     ended.
//
// MinOwnerLease + InheritedLeaseWait must therefore exceed VmLeaseLimit by more
// than two percent, since a VM's clock may run slow by that much.

namespace cuminroad {

/// Longest interval between two reads of the owner row by a standby.
inline constexpr milliseconds OwnerPollInterval{300};
/// How often an owner that has nothing else to write renews the owner row.
inline constexpr milliseconds OwnerRenewalInterval{300};
/// An owner row that has not changed for this long may be taken over. The
/// minimum is about three renewals; the owner extends it by a multiple of the
/// store's delay, up to the maximum, while the store is slow.
inline constexpr milliseconds MinOwnerLease{1000};
inline constexpr milliseconds MaxOwnerLease{4000};
inline constexpr int OwnerLeaseDelayFactor = 4;
/// How long a VM may run tasks without contact to the owner. It covers a change
/// of owners: the expiry of the owner row, the standby's poll interval, reading
/// the jobs, and the time since the last lease renewal before the change.
inline constexpr milliseconds TaskLease{4000};
/// An owner extends no VM's lease beyond this time after its own last renewal
/// was sent.
inline constexpr milliseconds VmLeaseLimit{9000};
/// How long a new owner waits before it assumes that the leases of a VM that it
/// can't reach have expired.
inline constexpr milliseconds InheritedLeaseWait{8300};

} // namespace cuminroad

#endif
