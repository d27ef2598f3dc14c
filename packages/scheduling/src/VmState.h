#ifndef CUMINROAD_SCHEDULING_SRC_VMSTATE_H
#define CUMINROAD_SCHEDULING_SRC_VMSTATE_H

#include <cstdint>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/scheduling/SchedulerView.h"
#include "cuminroad/scheduling/VmSpec.h"

namespace cuminroad {

/// A task's place in the scheduler's tables.
struct TaskHandle {
  int Job = -1;
  int Index = -1;
  bool operator==(const TaskHandle &) const = default;
};

/// A VM in the scheduler's table.
struct VmState {
  VmSpec Spec;
  bool Claimed = false;
  /// Takes no new work; stays so when the VM is lost and claimed again.
  bool Leaving = false;
  bool Gone = false;
  /// Capacity that no task holds. Negative in part while a task waits for the
  /// preempted ones to stop, so that nothing else takes their place.
  Capacity FreeCapacity;
  std::vector<TaskHandle> Tasks;
  /// Consecutive failures.
  int ConsecutiveFailures = 0;
  /// How often the VM was quarantined since it last worked.
  int ConsecutiveQuarantines = 0;
  TimePoint QuarantinedUntil{};
  bool Quarantined = false;
  /// One task at a time until one succeeds.
  bool Probation = false;
  /// The job that has this VM reserved, or -1, and from when it needs it.
  int ReservedFor = -1;
  TimePoint ReservedFrom{};

  VmCondition condition() const {
    if (Gone)
      return VmCondition::Gone;
    if (Leaving)
      return VmCondition::Leaving;
    return Claimed ? VmCondition::Usable : VmCondition::Unclaimed;
  }
  bool acceptsTasks() const {
    return condition() == VmCondition::Usable && !Quarantined &&
           (!Probation || Tasks.empty());
  }
  bool hasAccelerators() const { return Spec.Total.Accelerators > 0; }
};

} // namespace cuminroad

#endif
