#ifndef CUMINROAD_SCHEDULING_SRC_JOBSTATE_H
#define CUMINROAD_SCHEDULING_SRC_JOBSTATE_H

#include <cstdint>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/scheduling/JobSpec.h"
#include "cuminroad/scheduling/SchedulerView.h"

namespace cuminroad {

/// What a task is doing.
enum class TaskPhase : std::uint8_t {
  Waiting,
  /// Its capacity is allocated, but preempted tasks on the VM haven't stopped.
  AwaitingPreemption,
  Starting,
  Running,
  Stopping,
  Ended,
  Lost,
};

/// A task in the scheduler's tables.
struct TaskState {
  TaskPhase Phase = TaskPhase::Waiting;
  /// The task is to be queued again once its stop is confirmed.
  bool Requeue = false;
  bool Throttled = false;
  /// An earlier attempt ended by itself, so this one is being stopped.
  bool EarlierAttemptEnded = false;
  /// Index of the VM, or -1.
  int Vm = -1;
  std::int64_t Attempt = 0;
  TimePoint StartedAt{};
  /// Capacity allocated on the VM and counted towards the customer's limit.
  Capacity HeldCapacity;
};

/// A job in the scheduler's tables.
struct JobState {
  JobSpec Spec;
  int Customer = -1;
  TimePoint AcceptedAt{};
  /// The time by which the job must start.
  TimePoint StartBy{};
  std::vector<TaskState> Tasks;
  /// Indices of waiting tasks.
  std::vector<int> WaitingTasks;
  /// Size of a task, raised when reports show that the declared one is too
  /// small.
  Capacity TaskSize;
  int EndedCount = 0;
  int FailedCount = 0;
  int LostCount = 0;
  bool Cancelled = false;
  /// Whether the job is in its customer's queue.
  bool Queued = false;
  /// Set until a new owner knows which of the job's tasks run.
  bool RecoveryPending = false;
  /// Position in the log of freed VMs up to which the job fitted on no VM.
  std::uint64_t BlockedPosition = 0;
  bool Blocked = false;
  int RefusedStarts = 0;
  /// No task of the job is placed before this, after a refused start.
  TimePoint NotBefore{};
  TimePoint BlockedSince{};
  WaitReason Reason = WaitReason::Queued;
};

} // namespace cuminroad

#endif
