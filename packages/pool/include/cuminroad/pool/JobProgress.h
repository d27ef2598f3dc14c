#ifndef CUMINROAD_POOL_JOBPROGRESS_H
#define CUMINROAD_POOL_JOBPROGRESS_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cuminroad/base/Error.h"
#include "cuminroad/pool/JobStage.h"

namespace cuminroad {

/// What must last of one task.
struct TaskProgress {
  int Index = 0;
  bool Done = false;
  int Failures = 0;
  /// The last run that may have been started.
  std::int64_t Run = 0;
  /// The VM that has the run, and when that VM began its present life; "" where
  /// the task is on none.
  std::string Vm;
  std::int64_t VmIncarnation = 0;
  std::string Checkpoint;
};

/// Tasks of one step that are not as they were submitted.
struct StepProgress {
  int Step = 0;
  /// All tasks are done; Tasks is empty.
  bool Done = false;
  int GangFailures = 0;
  std::vector<TaskProgress> Tasks;
  /// The last run of a gang that was counted as failed.
  std::int64_t GangFailedRun = 0;
};

/// One occurrence of a job.
struct OccurrenceProgress {
  int Number = 0;
  bool Done = false;
  std::vector<StepProgress> Steps;
};

/// What must last of a job besides its plan.
struct JobProgress {
  JobStage Stage = JobStage::Queued;
  std::vector<OccurrenceProgress> Occurrences;
};

/// Compact bytes for a row of the store.
std::string encodeProgress(const JobProgress &Progress);
Result<JobProgress> decodeProgress(std::string_view Bytes);

} // namespace cuminroad

#endif
