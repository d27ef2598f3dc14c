#ifndef CUMINROAD_SCHEDULING_SCHEDULERVIEW_H
#define CUMINROAD_SCHEDULING_SCHEDULERVIEW_H

#include <string>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/contract/Capacity.h"
#include "cuminroad/scheduling/JobSpec.h"

namespace cuminroad {

/// Whether a VM can take tasks.
enum class VmCondition { Unclaimed, Usable, Leaving, Gone };

/// The state of a VM, for operators.
struct VmView {
  std::string Id;
  VmCondition Condition = VmCondition::Unclaimed;
  Capacity Total;
  Capacity FreeCapacity;
  bool Quarantined = false;
  /// Whether the VM is reserved for a blocked job.
  bool Reserved = false;
  int TaskCount = 0;
};

/// Why the next task of a job waits.
enum class WaitReason {
  NotWaiting,
  /// Other jobs are placed first.
  Queued,
  /// The customer's limit is used up.
  CustomerLimit,
  /// No VM has enough free capacity.
  NoRoom,
  /// A new owner doesn't know yet whether the task runs on some VM.
  Recovery,
  /// A start was refused and is retried after a delay.
  RetryDelay,
};

/// The state of a job, for callers and operators.
struct JobView {
  JobSpec Spec;
  /// Numbers of tasks.
  int WaitingCount = 0;
  int StartingCount = 0;
  int RunningCount = 0;
  int EndedCount = 0;
  int FailedCount = 0;
  int LostCount = 0;
  bool Cancelled = false;
  /// Time since the job was accepted.
  milliseconds Waited{0};
  /// Time after its acceptance within which the job must start.
  milliseconds StartWithin{0};
  WaitReason Reason = WaitReason::NotWaiting;
};

/// The names in JSON.
std::string_view vmConditionName(VmCondition Condition);
std::string_view waitReasonName(WaitReason Reason);

} // namespace cuminroad

#endif
