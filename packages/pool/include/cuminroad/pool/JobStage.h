#ifndef CUMINROAD_POOL_JOBSTAGE_H
#define CUMINROAD_POOL_JOBSTAGE_H

#include <string_view>

namespace cuminroad {

/// Stage in the life cycle of a job.
enum class JobStage { Queued, Running, Completed, Failed, Cancelled };

/// \returns whether the job has ended, successfully or not.
constexpr bool isFinal(JobStage Stage) {
  return Stage == JobStage::Completed || Stage == JobStage::Failed ||
         Stage == JobStage::Cancelled;
}

/// \returns the stage's name in the API.
std::string_view jobStageName(JobStage Stage);

} // namespace cuminroad

#endif
