#ifndef CUMINROAD_SCHEDULING_SRC_JOBSTATE_H
#define CUMINROAD_SCHEDULING_SRC_JOBSTATE_H

#include <cstdint>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/scheduling/JobSpec.h"
#include "cuminroad/scheduling/SchedulerView.h"

namespace cuminroad {

enum class TaskPhase : std::uint8_t {
  Waiting,
  /// Holds its place, but waits for preempted tasks to stop.
  AwaitingPreemption,
  Starting,
  Running,
  Stopping,
  Ended,
  Lost,
};

/// A task in the scheduler's table.
struct TaskState {
  TaskPhase Phase = TaskPhase::Waiting;
  /// The task is to be queued again once its stop is confirmed.
  bool Requeue = false;
  bool Throttled = false;
  /// An earlier run came to its end; this one is being stopped.
  bool EarlierAttemptEnded = false;
  int Vm = -1;
  std::int64_t Attempt = 0;
  TimePoint StartedAt{};
  /// What the task holds of its VM and its customer's limit.
  Capacity HeldCapacity;
};

/// A job in the scheduler's table.
struct JobState {
  JobSpec Spec;
  int Customer = -1;
  TimePoint AcceptedAt{};
  TimePoint StartBy{};
  std::vector<TaskState> Tasks;
  /// Indexes of waiting tasks.
  std::vector<int> WaitingTasks;
  /// Size of a task, raised when reports show that the declared one is too
  /// small.
  Capacity TaskSize;
  int EndedCount = 0;
  int FailedCount = 0;
  int LostCount = 0;
  bool Cancelled = false;
  bool Queued = false;
  /// A new owner does not yet know what of it runs.
  bool RecoveryPending = false;
  /// Position in the log of freed VMs up to which the job found no room.
  std::uint64_t BlockedPosition = 0;
  bool Blocked = false;
  int RefusedStarts = 0;
  TimePoint NotBefore{};
  TimePoint BlockedSince{};
  WaitReason Reason = WaitReason::Queued;
};

} // namespace cuminroad

#endif
