#ifndef CUMINROAD_POOL_SRC_ACCOUNTQUOTA_H
#define CUMINROAD_POOL_SRC_ACCOUNTQUOTA_H

#include "PoolRecords.h"

// Whether the limit of an account allows its steps to start tasks.

namespace cuminroad {

/// \returns how many more tasks of the size the account may start. A component
/// that the tasks don't use is not compared: the account may use more of it
/// than a limit that was lowered.
std::int64_t startsWithinLimit(const AccountRecord &Account,
                               const Capacity &PerTask);

/// \returns how many of the step's waiting tasks may start: all of a gang's
/// tasks or none.
std::int64_t startsWithinLimit(const StepRecord &Step);

/// \returns whether the limit of the step's account keeps the step from
/// starting anything.
inline bool isBlockedByQuota(const StepRecord &Step) {
  return Step.Occurrence->Job->Account != nullptr &&
         startsWithinLimit(Step) <= 0;
}

/// Keeps the limit of the step's account for the step, which is the account's
/// most urgent one that waits for its quota, if it has waited for a good part
/// of its objective.
void holdQuotaFor(const StepRecord &Step, TimePoint Now);

/// \returns whether that will still be so when the running tasks of the steps
/// that \p Step depends on have ended.
bool isBlockedByQuotaWhenReady(const StepRecord &Step);

} // namespace cuminroad

#endif
