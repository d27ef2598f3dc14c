#ifndef CUMINROAD_POOL_JOBSTAGE_H
#define CUMINROAD_POOL_JOBSTAGE_H

#include <string_view>

namespace cuminroad {

/// How far a job is.
enum class JobStage { Queued, Running, Completed, Failed, Cancelled };

constexpr bool isFinal(JobStage Stage) {
  return Stage == JobStage::Completed || Stage == JobStage::Failed ||
         Stage == JobStage::Cancelled;
}

std::string_view jobStageName(JobStage Stage);

} // namespace cuminroad

#endif
