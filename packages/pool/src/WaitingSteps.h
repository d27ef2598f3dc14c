#ifndef CUMINROAD_POOL_SRC_WAITINGSTEPS_H
#define CUMINROAD_POOL_SRC_WAITINGSTEPS_H

#include <vector>

#include "PoolTables.h"
#include "cuminroad/pool/PoolOptions.h"

namespace cuminroad {

/// The steps of unfinished jobs that have tasks to place, the most urgent
/// first, and among them those that wait for earlier steps.
struct WaitingSteps {
  std::vector<StepRecord *> Steps;
  /// Steps, also of those that have nothing to place, with a question open.
  int PendingAdvice = 0;
};

WaitingSteps collectWaitingSteps(const PoolTables &Tables,
                                 const PoolOptions &Options, TimePoint Now);

} // namespace cuminroad

#endif
