#ifndef CUMINROAD_FLEET_LEASETIMES_H
#define CUMINROAD_FLEET_LEASETIMES_H

#include "cuminroad/base/Clock.h"

// The times that together keep a task from running twice over a change of a
// pool's owner. With an owner that was last renewed at time 0:
//
//   - it starts nothing after OwnerStartLimit;
//   - it extends no VM's lease beyond HoldLimit;
//   - a standby takes over at OwnerLapse at the earliest, and counts runs on a
//     VM that it can't reach as ended InheritedWait later.
//
// So OwnerLapse + InheritedWait must be above HoldLimit, by more than the two
// percent that a VM's clock may run slow.

namespace cuminroad {

/// How often a standby reads the owner row.
inline constexpr milliseconds OwnerPoll{500};
/// How often an owner with nothing to write renews it.
inline constexpr milliseconds OwnerRenewal{500};
/// An owner row that does not change for this long may be taken over; four
/// renewals, of which three may be lost.
inline constexpr milliseconds OwnerLapse{2200};
/// An owner whose last renewal was sent this long ago starts nothing more.
inline constexpr milliseconds OwnerStartLimit{1900};
/// An owner whose last renewal was sent this long ago lets the leases of its
/// VMs end by then.
inline constexpr milliseconds HoldLimit{9000};
/// How long a new owner waits for VMs that it can't reach.
inline constexpr milliseconds InheritedWait{7500};

} // namespace cuminroad

#endif
