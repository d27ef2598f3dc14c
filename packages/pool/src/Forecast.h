#ifndef CUMINROAD_POOL_SRC_FORECAST_H
#define CUMINROAD_POOL_SRC_FORECAST_H

#include "PoolRecords.h"

// Predicts the ends of runs and the free capacity of VMs from run time
// estimates.

namespace cuminroad {

/// \returns how many tasks of size \p Need fit into \p Free.
int countFits(const Capacity &Free, const Capacity &Need);
/// \returns when the task's run is expected to end; TimePoint::max() for a
/// long-running task.
TimePoint expectedEnd(const TaskRecord &Task, TimePoint Now);
/// \returns the free capacity that the VM is expected to have at \p When.
Capacity freeCapacityAt(const VmRecord &Vm, TimePoint When, TimePoint Now);

} // namespace cuminroad

#endif
