#ifndef CUMINROAD_POOL_SRC_POOLTABLES_H
#define CUMINROAD_POOL_SRC_POOLTABLES_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "ExaminationBudget.h"
#include "PoolRecords.h"
#include "UsageHistory.h"
#include "cuminroad/pool/JobProgress.h"
#include "cuminroad/pool/JobStatus.h"
#include "cuminroad/pool/PoolOptions.h"
#include "cuminroad/pool/PoolScheduler.h"

namespace cuminroad {

/// Tables of jobs and VMs. All changes of a task's phase or VM go through this
/// class, which keeps the used capacity of each VM up to date.
class PoolTables {
public:
  using JobMap = std::map<std::string, std::unique_ptr<JobRecord>, std::less<>>;
  using VmMap = std::map<std::string, std::unique_ptr<VmRecord>, std::less<>>;

  // The lookups return nullptr if there is no such record. See TaskTable for
  // which tasks have one.
  JobRecord *job(std::string_view Id) const;
  VmRecord *vm(std::string_view Id) const;
  VmRecord &findOrCreateVm(std::string_view Id);
  void removeVm(VmMap::iterator Entry);
  JobRecord &addJob(std::unique_ptr<JobRecord> New);
  void removeJob(const JobRecord &Job);
  StepRecord *step(const StepName &Name) const;
  TaskRecord *task(const TaskName &Name) const;
  /// Creates the records of an occurrence, with all tasks waiting.
  OccurrenceRecord &createOccurrence(JobRecord &Job, int Number, TimePoint Due);

  /// \returns the record of an account, which is created if there is none.
  AccountRecord &findOrCreateAccount(std::string_view Name);
  /// Counts a job of an account. \returns whether it is within the account's
  /// rate.
  bool countJob(AccountRecord &Account, TimePoint AcceptedAt,
                const PoolOptions &Options);

  /// Adds a run that belongs to no unfinished task. \returns its record and
  /// whether it is new.
  std::pair<UnknownRun *, bool> addUnknownRun(VmRecord &Vm, const TaskRun &Run,
                                              const UnknownRun &New);
  static void removeUnknownRun(VmRecord &Vm, const TaskRun &Run);
  /// Removes the unknown runs for which \p Ended returns true.
  template <typename F> static void removeUnknownRuns(VmRecord &Vm, F Ended) {
    std::erase_if(Vm.UnknownRuns, [&](const auto &Entry) {
      if (!Ended(Entry.first, Entry.second))
        return false;
      releaseUnknownRun(Vm, Entry.second);
      return true;
    });
  }

  /// Places a waiting task on a VM under a new run number.
  void place(TaskRecord &Task, VmRecord &Vm, std::int64_t Run, TimePoint Now);
  /// Assigns a task to a VM and accounts for its capacity.
  void assign(TaskRecord &Task, VmRecord &Vm, TaskPhase Phase);
  /// Releases the task's capacity after its run has certainly ended; the task
  /// waits again.
  void release(TaskRecord &Task);
  /// Marks \p Count tasks from \p First on as done, releases the capacity that
  /// they hold, and removes their records.
  void finish(StepRecord &Step, int First, int Count);
  void setPhase(TaskRecord &Task, TaskPhase Phase);
  /// Derives the run time of the task from its reported progress, if run times
  /// are predicted.
  static void sampleProgress(TaskRecord &Task);
  /// Adds the run time of a task that is done to those of its step and queue.
  static void sampleRunTime(const TaskRecord &Task, TimePoint EndedAt);

  /// The job's progress must be persisted.
  void markChanged(const JobRecord &Job) { ChangedJobs.insert(Job.Plan.Id); }

  /// Unfinished jobs, and finished jobs with runs that have not ended yet. Jobs
  /// and VMs are only added and removed by the functions above.
  JobMap Jobs;
  /// The run times of each queue with jobs, if they are predicted.
  std::map<std::string, RunTimePredictor, std::less<>> QueueRunTimes;
  /// The other finished jobs.
  std::map<std::string, FinishedJob, std::less<>> FinishedJobs;
  VmMap Vms;
  std::map<std::string, std::unique_ptr<AccountRecord>, std::less<>> Accounts;
  /// Whether any account is in force. Without accounts there are no rates.
  bool AnyAccountInForce = false;
  /// Capacity of the VMs that tasks of jobs beyond the rate occupy.
  Capacity BeyondRateUsed;
  /// Capacity of the VMs that all other runs occupied.
  UsageHistory EntitledUse;
  /// The same VMs in the same order, each at its Position.
  std::vector<VmRecord *> OrderedVms;
  /// When VMs became unreachable, most recent last.
  std::deque<TimePoint> Losses;
  /// When a VM of a host last crashed without new runs.
  std::map<std::string, TimePoint, std::less<>> UnexplainedCrashes;
  /// Increases when a VM is added, changes or accepts work again.
  std::int64_t VmsVersion = 0;
  /// For the placement of steps, and for the renewal of their tickets.
  ExaminationRound PlacementRound;
  ExaminationRound RenewalRound;
  std::set<std::string> ChangedJobs;
  /// Jobs with a gang that could start but is too large to be recorded.
  std::set<std::string> UnrecordableJobs;
  std::vector<PoolCommand> Commands;
  PoolDiagnostics Diagnostics;

private:
  /// \returns for how long accounts save up their rates, at the acceptance of a
  /// job.
  milliseconds rateBurst(TimePoint AcceptedAt, const PoolOptions &Options);
  void releaseCapacity(TaskRecord &Task);
  static void releaseUnknownRun(VmRecord &Vm, const UnknownRun &Run);
  /// Updates the positions of the VMs from \p First on.
  void renumberVms(std::size_t First);

  /// When the last job of any account was accepted, and the last gap before
  /// one; see PoolOptions::RateBurst.
  std::optional<TimePoint> LastAcceptedAt_;
  TimePoint GapEndedAt_{};
  milliseconds Gap_{0};
  /// The records of Vms and Jobs by their keys there, for lookups.
  std::unordered_map<std::string_view, VmRecord *> VmsById_;
  std::unordered_map<std::string_view, JobRecord *> JobsById_;
};

/// \returns the name that identifies the record in commands and messages.
TaskName nameOf(const TaskRecord &Task);
StepName nameOf(const StepRecord &Step);
/// \returns whether the stored progress of the job has room for the start of a
/// waiting task, that is, whether one has had a run or few others have. A gang
/// is checked as a whole when it is placed.
bool mayStartTasks(const StepRecord &Step, const PoolOptions &Options);
/// Counts the tasks of the step on the VM, including runs that are not current
/// and still being stopped.
int tasksOnVm(const StepRecord &Step, const VmRecord &Vm);
/// \returns whether all dependencies of \p Step are done.
bool isReady(const StepRecord &Step);
/// \returns the estimated length of the critical path of \p Plan, including one
/// call to the advisor for each step if the queue needs advice.
milliseconds criticalPath(const JobPlan &Plan, const QueueTerms &Terms);
/// \returns the expected run time of a task of the step: its estimate, unless
/// run times are predicted.
milliseconds predictedRunTime(const StepRecord &Step);
/// The length of a critical path, and of the part of it that is left.
struct PathLengths {
  milliseconds Whole{0};
  milliseconds Remaining{0};
};
/// \returns the expected lengths of the critical path of an occurrence.
PathLengths predictedPath(const OccurrenceRecord &Occurrence);
/// \returns the progress of a job to persist. That of a finished job has the
/// runs on VMs if they count against an account.
JobProgress progressOf(const JobRecord &Job);

} // namespace cuminroad

#endif
