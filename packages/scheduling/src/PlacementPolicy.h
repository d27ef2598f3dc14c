#ifndef CUMINROAD_SCHEDULING_SRC_PLACEMENTPOLICY_H
#define CUMINROAD_SCHEDULING_SRC_PLACEMENTPOLICY_H

#include <span>
#include <vector>

#include "JobState.h"
#include "VmState.h"

namespace cuminroad {

/// Chooses among the VMs that have enough free capacity for a task.
class PlacementPolicy {
public:
  virtual ~PlacementPolicy() = default;
  /// \param Vms all VMs.
  /// \param Candidates indices of the VMs that fit the task; never empty.
  /// \returns the index of the best one.
  virtual int choose(std::span<const VmState> Vms, const JobState &Job,
                     std::span<const int> Candidates) const = 0;
};

/// Best fit: chooses the VM that is left with the least free capacity. VMs with
/// accelerators come last for tasks that need none.
const PlacementPolicy &bestFit();
/// Chooses the rack, then the VM, with the fewest tasks of the job, then the
/// best fit. VMs with accelerators come last for tasks that need none.
const PlacementPolicy &rackSpread();
/// \returns the policy for jobs of \p Kind.
const PlacementPolicy &placementPolicy(JobKind Kind);

} // namespace cuminroad

#endif
