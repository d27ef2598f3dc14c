#ifndef CUMINROAD_SCHEDULING_SRC_PREEMPTIONPLAN_H
#define CUMINROAD_SCHEDULING_SRC_PREEMPTIONPLAN_H

#include <optional>
#include <span>
#include <vector>

#include "CustomerState.h"
#include "JobState.h"
#include "VmState.h"

namespace cuminroad {

/// A VM and the tasks to stop there to make room.
struct PreemptionPlan {
  int Vm = -1;
  std::vector<TaskHandle> Victims;
};

/// Finds the VM where an urgent task displaces the least work. Only running
/// tasks that can be checkpointed and belong to customers without urgency are
/// displaced.
/// \returns nothing where no VM can make room.
std::optional<PreemptionPlan>
planPreemption(const Capacity &Size, std::span<const VmState> Vms,
               std::span<const JobState> Jobs,
               std::span<const CustomerState> Customers);

} // namespace cuminroad

#endif
