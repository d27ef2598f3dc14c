#ifndef CUMINROAD_SCHEDULING_SRC_PREEMPTIONPLAN_H
#define CUMINROAD_SCHEDULING_SRC_PREEMPTIONPLAN_H

#include <optional>
#include <span>
#include <vector>

#include "CustomerState.h"
#include "JobState.h"
#include "VmState.h"

namespace cuminroad {

/// A VM and the tasks to stop there so that an urgent task fits.
struct PreemptionPlan {
  int Vm = -1;
  std::vector<TaskHandle> Victims;
};

/// Finds the VM on which preempting for an urgent task of \p Size stops tasks
/// with the fewest processors in total. Only running tasks that can be
/// checkpointed, are not part of a gang and belong to customers that are not
/// urgent are preempted.
/// \returns nothing where preemption frees enough capacity on no VM.
std::optional<PreemptionPlan>
planPreemption(const Capacity &Size, std::span<const VmState> Vms,
               std::span<const JobState> Jobs,
               std::span<const CustomerState> Customers);

} // namespace cuminroad

#endif
