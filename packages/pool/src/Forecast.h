#ifndef CUMINROAD_POOL_SRC_FORECAST_H
#define CUMINROAD_POOL_SRC_FORECAST_H

#include <span>

#include "PoolRecords.h"

// Predicts the ends of runs and the free capacity of VMs from run time
// estimates.

namespace cuminroad {

/// \returns how many tasks of size \p Need fit into \p Free.
int countFits(const Capacity &Free, const Capacity &Need);
/// \returns the expected ends of the VM's tasks, in order of time, without
/// long-running tasks. Some may be in the past. Valid until a task is placed on
/// the VM or leaves it.
std::span<const ExpectedEnd> expectedEnds(const VmRecord &Vm);
/// \returns when a task on a VM is expected to end if the VM is not slow; by
/// its progress, if that is known.
TimePoint expectedEnd(const TaskRecord &Task);
/// \returns the earliest time at which a task that has not ended is expected to
/// end.
TimePoint earliestEnd(TimePoint Now);
/// \returns the free capacity that the VM is expected to have at \p When.
Capacity freeCapacityAt(const VmRecord &Vm, TimePoint When, TimePoint Now);

/// \returns how many of the step's present tasks on the VM are expected to be
/// there at \p When.
int tasksOnVmAt(const StepRecord &Step, const VmRecord &Vm, TimePoint When,
                TimePoint Now);

} // namespace cuminroad

#endif
