#ifndef CUMINROAD_POOL_JOBPROGRESS_H
#define CUMINROAD_POOL_JOBPROGRESS_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cuminroad/base/Error.h"
#include "cuminroad/pool/JobFailure.h"
#include "cuminroad/pool/JobStage.h"

namespace cuminroad {

/// Persisted progress of one task, or of several ones that are done.
struct TaskProgress {
  /// Of the first one.
  int Index = 0;
  bool Done = false;
  int Failures = 0;
  /// Number of the last run that may have been started.
  std::int64_t Run = 0;
  /// The VM that has the run, and that VM's incarnation; "" if the task is on
  /// no VM.
  std::string Vm;
  std::int64_t VmIncarnation = 0;
  std::string Checkpoint;
  /// Crashes of VMs that runs of the task may have caused.
  int Crashes = 0;
  /// Those of them before which the VM had confirmed the start of the run.
  int ConfirmedCrashes = 0;
  /// Number of consecutive tasks that are done; 1 unless Done.
  int Count = 1;
};

/// Persisted progress of one step: the tasks whose state has changed since the
/// job was submitted.
struct StepProgress {
  int Step = 0;
  /// All tasks are done; Tasks is then empty.
  bool Done = false;
  int GangFailures = 0;
  std::vector<TaskProgress> Tasks;
  /// Number of the last run of a gang that was counted as failed.
  std::int64_t GangFailedRun = 0;
};

/// Persisted progress of one occurrence of a job, or of several ones that are
/// done.
struct OccurrenceProgress {
  /// Of the first one.
  int Number = 0;
  bool Done = false;
  std::vector<StepProgress> Steps;
  /// Number of consecutive occurrences that are done; 1 unless Done.
  int Count = 1;
};

/// Persisted progress of a job; its plan is stored separately.
struct JobProgress {
  JobStage Stage = JobStage::Queued;
  /// Why the job failed; None unless Stage is Failed.
  JobFailure Failure = JobFailure::None;
  /// Of a finished job, only tasks whose runs may be on VMs.
  std::vector<OccurrenceProgress> Occurrences;
};

/// Serializes progress to MessagePack for a row of the store.
std::string encodeProgress(JobProgress Progress);
/// Parses the output of encodeProgress(), also that of earlier versions.
Result<JobProgress> decodeProgress(std::string_view Bytes);

} // namespace cuminroad

#endif
