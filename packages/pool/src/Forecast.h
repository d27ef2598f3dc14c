#ifndef CUMINROAD_POOL_SRC_FORECAST_H
#define CUMINROAD_POOL_SRC_FORECAST_H

#include "PoolRecords.h"

// What is expected of VMs, from the estimates of the tasks on them.

namespace cuminroad {

/// \returns how many tasks of size \p Need fit into \p Free.
int countFits(const Capacity &Free, const Capacity &Need);
/// \returns when the task's run is expected to end; the largest time for one
/// that lasts.
TimePoint expectedEnd(const TaskRecord &Task, TimePoint Now);
/// \returns the room that the VM is expected to have at \p When.
Capacity freeCapacityAt(const VmRecord &Vm, TimePoint When, TimePoint Now);

} // namespace cuminroad

#endif
