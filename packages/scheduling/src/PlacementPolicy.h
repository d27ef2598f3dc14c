#ifndef CUMINROAD_SCHEDULING_SRC_PLACEMENTPOLICY_H
#define CUMINROAD_SCHEDULING_SRC_PLACEMENTPOLICY_H

#include <span>
#include <vector>

#include "JobState.h"
#include "VmState.h"

namespace cuminroad {

/// Chooses among the VMs that have room for a task.
class PlacementPolicy {
public:
  virtual ~PlacementPolicy() = default;
  /// \param Vms the whole table of VMs.
  /// \param Candidates indexes of VMs that have room; never empty.
  /// \returns the index of the best one.
  virtual int choose(std::span<const VmState> Vms, const JobState &Job,
                     std::span<const int> Candidates) const = 0;
};

/// Fills the VM that is left with the least room. VMs with accelerators come
/// last for tasks that need none.
const PlacementPolicy &bestFit();
/// Spreads a job over racks first and VMs second, then fits tightly.
const PlacementPolicy &rackSpread();
/// \returns the policy for jobs of \p Kind.
const PlacementPolicy &placementPolicy(JobKind Kind);

} // namespace cuminroad

#endif
