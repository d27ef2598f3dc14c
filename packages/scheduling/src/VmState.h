#ifndef CUMINROAD_SCHEDULING_SRC_VMSTATE_H
#define CUMINROAD_SCHEDULING_SRC_VMSTATE_H

#include <cstdint>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/scheduling/SchedulerView.h"
#include "cuminroad/scheduling/VmSpec.h"

namespace cuminroad {

/// Indices of a task in the scheduler's tables.
struct TaskHandle {
  int Job = -1;
  /// Index of the task in its job.
  int Index = -1;
  bool operator==(const TaskHandle &) const = default;
};

/// A VM in the scheduler's tables.
struct VmState {
  VmSpec Spec;
  bool Claimed = false;
  /// Takes no new tasks; still set after the VM is lost and claimed again.
  bool Leaving = false;
  bool Gone = false;
  /// Capacity that is allocated to no task. Some parts are negative while a
  /// task waits for preempted ones to stop, so that nothing else is placed
  /// there.
  Capacity FreeCapacity;
  std::vector<TaskHandle> Tasks;
  /// Refused starts and early failures since the last success.
  int ConsecutiveFailures = 0;
  /// Quarantines since the last success.
  int ConsecutiveQuarantines = 0;
  TimePoint QuarantinedUntil{};
  bool Quarantined = false;
  /// Takes one task at a time until one succeeds.
  bool Probation = false;
  /// The job for which the VM is reserved, or -1, and the time from which that
  /// job needs the VM.
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
