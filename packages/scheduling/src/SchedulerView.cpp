#include "cuminroad/scheduling/SchedulerView.h"

namespace cuminroad {

std::string_view vmConditionName(VmCondition Condition) {
  switch (Condition) {
  case VmCondition::Unclaimed:
    return "unclaimed";
  case VmCondition::Usable:
    return "usable";
  case VmCondition::Leaving:
    return "leaving";
  case VmCondition::Gone:
    return "gone";
  }
  return "gone";
}

std::string_view waitReasonName(WaitReason Reason) {
  switch (Reason) {
  case WaitReason::NotWaiting:
    return "not_waiting";
  case WaitReason::Queued:
    return "queued";
  case WaitReason::CustomerLimit:
    return "customer_limit";
  case WaitReason::NoRoom:
    return "no_room";
  case WaitReason::Recovery:
    return "recovery";
  case WaitReason::RetryDelay:
    return "retry_delay";
  }
  return "queued";
}

} // namespace cuminroad
