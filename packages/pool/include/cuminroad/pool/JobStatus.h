#ifndef CUMINROAD_POOL_JOBSTATUS_H
#define CUMINROAD_POOL_JOBSTATUS_H

#include "cuminroad/pool/JobFailure.h"
#include "cuminroad/pool/JobStage.h"

namespace cuminroad {

/// What a client is told about a job.
struct JobStatus {
  JobStage Stage = JobStage::Queued;
  /// None unless the job failed.
  JobFailure Failure = JobFailure::None;

  bool operator==(const JobStatus &) const = default;
};

} // namespace cuminroad

#endif
