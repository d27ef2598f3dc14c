#ifndef CUMINROAD_POOL_SRC_WAITINGSTEPS_H
#define CUMINROAD_POOL_SRC_WAITINGSTEPS_H

#include <vector>

#include "PoolTables.h"
#include "cuminroad/pool/PoolOptions.h"

namespace cuminroad {

/// The steps of unfinished jobs that have tasks to place, most urgent first.
/// Includes steps whose dependencies are not done.
struct WaitingSteps {
  std::vector<StepRecord *> Steps;
  /// Number of steps with a pending advice request, including steps with
  /// nothing to place.
  int PendingAdvice = 0;
  /// Those of them whose last request failed.
  int PendingRetries = 0;
};

WaitingSteps collectWaitingSteps(const PoolTables &Tables,
                                 const PoolOptions &Options, TimePoint Now);

} // namespace cuminroad

#endif
