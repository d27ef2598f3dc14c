#ifndef CUMINROAD_POOL_SRC_POOLTABLES_H
#define CUMINROAD_POOL_SRC_POOLTABLES_H

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "PoolRecords.h"
#include "cuminroad/pool/JobProgress.h"
#include "cuminroad/pool/PoolScheduler.h"

namespace cuminroad {

/// Jobs and VMs, and the moves of tasks between them. Holds the accounts of
/// what each VM has taken; every change of a task's phase goes through here.
class PoolTables {
public:
  using JobMap = std::map<std::string, std::unique_ptr<JobRecord>, std::less<>>;
  using VmMap = std::map<std::string, std::unique_ptr<VmRecord>, std::less<>>;

  JobRecord *job(std::string_view Id) const;
  VmRecord *vm(std::string_view Id) const;
  VmRecord &findOrCreateVm(std::string_view Id);
  StepRecord *step(const StepName &Name) const;
  TaskRecord *task(const TaskName &Name) const;
  /// Makes the records of an occurrence, all of whose tasks wait.
  OccurrenceRecord &createOccurrence(JobRecord &Job, int Number, TimePoint Due);

  /// A waiting task takes room on a VM under a new run.
  void place(TaskRecord &Task, VmRecord &Vm, std::int64_t Run, TimePoint Now);
  /// A task is known to be, or to have been, on a VM.
  void assign(TaskRecord &Task, VmRecord &Vm, TaskPhase Phase);
  /// The task's run has certainly ended; it gives its room back and waits.
  void release(TaskRecord &Task);
  /// The task is done; gives its room back, if it has any.
  void finish(TaskRecord &Task);
  void setPhase(TaskRecord &Task, TaskPhase Phase);

  void markChanged(const JobRecord &Job) { ChangedJobs.insert(Job.Plan.Id); }

  /// Unfinished jobs, and finished ones with runs that have not ended yet.
  JobMap Jobs;
  std::map<std::string, JobStage, std::less<>> FinishedJobs;
  VmMap Vms;
  /// Rises when a VM comes, changes or takes work again.
  std::int64_t VmsVersion = 0;
  std::set<std::string> ChangedJobs;
  std::vector<PoolCommand> Commands;
  PoolDiagnostics Diagnostics;
};

/// \returns the task's name for messages.
TaskName nameOf(const TaskRecord &Task);
StepName nameOf(const StepRecord &Step);
/// Whether all steps that \p Step follows are done.
bool isReady(const StepRecord &Step);
/// \returns the longest chain of estimated work of \p Plan.
milliseconds criticalPath(const JobPlan &Plan, const QueueTerms &Terms);
/// What must last of a job.
JobProgress progressOf(const JobRecord &Job);

} // namespace cuminroad

#endif
