#ifndef CUMINROAD_POOL_SRC_PLACEMENTNEED_H
#define CUMINROAD_POOL_SRC_PLACEMENTNEED_H

#include <cstdint>
#include <string_view>

#include "cuminroad/base/Clock.h"
#include "cuminroad/contract/Capacity.h"
#include "cuminroad/pool/StepPlan.h"

namespace cuminroad {

struct StepRecord;

/// What must be free for a step to start: a single task, or all members of a
/// gang. Valid as long as the step's plan.
struct PlacementNeed {
  Capacity PerTask;
  /// Tasks that start together.
  std::int64_t Tasks = 1;
  /// Most of these tasks on one VM.
  std::int64_t MaxPerVm = 1;
  /// See StepPlan::RequiredLabel.
  std::string_view RequiredLabel;
  /// milliseconds::max() for tasks that run until their job is cancelled.
  milliseconds RunTime{0};
};

PlacementNeed needOf(const StepPlan &Plan);
/// \returns the need of a step, with its predicted run time.
PlacementNeed needOf(const StepRecord &Step);

/// \returns whether \p Harder can't be met where \p Easier can't.
bool isAtLeastAsHard(const PlacementNeed &Harder, const PlacementNeed &Easier);

} // namespace cuminroad

#endif
