#ifndef CUMINROAD_SCHEDULING_SCHEDULERVIEW_H
#define CUMINROAD_SCHEDULING_SCHEDULERVIEW_H

#include <string>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/contract/Capacity.h"
#include "cuminroad/scheduling/JobSpec.h"

namespace cuminroad {

/// What a VM is good for at present.
enum class VmCondition { Unclaimed, Usable, Leaving, Gone };

/// A VM as operators see it.
struct VmView {
  std::string Id;
  VmCondition Condition = VmCondition::Unclaimed;
  Capacity Total;
  Capacity FreeCapacity;
  bool Quarantined = false;
  bool Reserved = false;
  int TaskCount = 0;
};

/// Why the next task of a job waits.
enum class WaitReason {
  NotWaiting,
  /// Its turn has not come.
  Queued,
  /// The customer's capacity is in use.
  CustomerLimit,
  /// No VM has room.
  NoRoom,
  /// A new owner does not yet know whether it runs somewhere.
  Recovery,
  /// A refused start is retried after a delay.
  RetryDelay,
};

/// A job as callers and operators see it.
struct JobView {
  JobSpec Spec;
  int WaitingCount = 0;
  int StartingCount = 0;
  int RunningCount = 0;
  int EndedCount = 0;
  int FailedCount = 0;
  int LostCount = 0;
  bool Cancelled = false;
  milliseconds Waited{0};
  milliseconds StartWithin{0};
  WaitReason Reason = WaitReason::NotWaiting;
};

std::string_view vmConditionName(VmCondition Condition);
std::string_view waitReasonName(WaitReason Reason);

} // namespace cuminroad

#endif
