#ifndef CUMINROAD_POOL_JOBFAILURE_H
#define CUMINROAD_POOL_JOBFAILURE_H

#include <string_view>

namespace cuminroad {

/// Why a job failed. The numbers are stored.
enum class JobFailure {
  None = 0,
  /// A task or gang has failed as often as its queue allows.
  AttemptsUsed = 1,
  /// A task has crashed several VMs.
  CrashedVms = 2,
  /// The progress of the job is larger than a row of the store.
  RecordTooLarge = 3,
};

/// \returns the name of the reason in the API and in logs; "" for None.
std::string_view jobFailureName(JobFailure Failure);

} // namespace cuminroad

#endif
