#ifndef CUMINROAD_POOL_SRC_POOLSCHEDULERIMPL_H
#define CUMINROAD_POOL_SRC_POOLSCHEDULERIMPL_H

#include "CrashAttribution.h"
#include "PoolTables.h"
#include "cuminroad/pool/PoolScheduler.h"

namespace cuminroad {

/// Implements the events of PoolScheduler on PoolTables.
class PoolSchedulerImpl final : public PoolScheduler {
public:
  PoolSchedulerImpl(const Clock &MonotonicClock, const WallClock &SystemClock,
                    const PoolOptions &Options)
      : MonotonicClock_(MonotonicClock), SystemClock_(SystemClock),
        Options_(Options) {}

  void vmListed(const PoolVm &Vm) override;
  void vmCapacityAge(std::string_view Vm, milliseconds Age) override;
  void vmReported(std::string_view Vm, std::int64_t Incarnation,
                  const RunReport &Report, TimePoint RequestedAt) override;
  void vmUnreachable(std::string_view Vm) override;
  void vmTasksEnded(std::string_view Vm, RunsEndedCause Cause) override;
  void vmRemoved(std::string_view Vm) override;

  void addJob(JobPlan Plan, QueueTerms Accepted, TimePoint AcceptedAt) override;
  void restoreJob(JobPlan Plan, QueueTerms Accepted, TimePoint AcceptedAt,
                  const JobProgress &Progress) override;
  void setQueues(std::span<const QueueTerms> Queues) override;
  void setAccounts(std::span<const ClientAccount> Accounts) override;
  void countJob(std::string_view Account, TimePoint AcceptedAt) override;
  void setAccountLimit(std::string_view Account,
                       const Capacity &Limit) override;
  void failJob(std::string_view Job, JobFailure Reason) override;
  void cancelJob(std::string_view Job) override;
  void forgetJob(std::string_view Job) override;

  void taskEnded(std::string_view Vm, const TaskEnd &End) override;
  void startAnswered(std::string_view Vm, const TaskRun &Run,
                     StartOutcome Outcome) override;
  void stopAnswered(std::string_view Vm, const TaskRun &Run) override;
  void adviceReceived(const StepName &Step,
                      std::span<const std::string> QueriedVms,
                      std::span<const AdviceTicket> Tickets,
                      TimePoint ValidUntil) override;
  void adviceFailed(const StepName &Step) override;
  bool needsAdvice(const StepName &Step) const override;
  void setStartDelay(milliseconds Delay) override;

  void schedule() override;
  std::vector<PoolCommand> takeCommands() override;
  std::vector<std::string> takeChangedJobs() override;
  PoolDiagnostics takeDiagnostics() override;

  std::optional<JobStage> stage(std::string_view Job) const override;
  JobFailure failure(std::string_view Job) const override;
  JobProgress progress(std::string_view Job) const override;
  bool isCurrentRun(std::string_view Vm, const TaskRun &Run) const override;
  int pendingJobs(std::string_view Queue) const override;
  std::vector<std::string> pendingQueues() const override;
  std::vector<std::string> occupiedVms() const override;
  PoolLoad load() const override;
  std::vector<AccountLoad> accountLoads() const override;
  const JobPlan *plan(std::string_view Job) const override;
  const QueueTerms *terms(std::string_view Job) const override;

private:
  /// \returns the record of the account of a job. A new one starts nothing
  /// until its terms are known, or it has been unknown for long.
  AccountRecord &findOrCreateAccount(const std::string &Name);
  JobRecord &insertJob(JobPlan Plan, QueueTerms Accepted, TimePoint AcceptedAt);
  /// Gives the job the terms in force of its queue, or else those under which
  /// it was accepted.
  void applyTerms(JobRecord &Job);
  /// Fails a job whose tasks have failed as often as its terms allow.
  void failIfAttemptsUsed(JobRecord &Job);
  void restoreFinishedJob(const JobPlan &Plan, const JobProgress &Progress);
  void restoreOccurrence(JobRecord &Job, const OccurrenceProgress &Progress);
  void restoreTask(StepRecord &Step, const TaskProgress &Progress);
  /// \returns the task of \p Run if that is its current run and on \p Vm, or
  /// nullptr.
  TaskRecord *findCurrentTask(const VmRecord *Vm, const TaskRun &Run) const;
  /// Releases a task whose run was lost, and stops the other members of a gang.
  void loseRun(TaskRecord &Task, std::string_view Reason);
  /// All runs on the VM have ended without a report.
  void clearVm(VmRecord &Vm, std::string_view Reason, bool Crashed);
  /// Counts a crash of the VM for the tasks that may have caused it.
  /// \returns these tasks.
  std::vector<CrashSuspect>
  countCrash(VmRecord &Vm, const CrashVerdict &Verdict, int LostRuns);
  /// Fails the jobs of those suspects that may have caused too many crashes.
  /// \p Conclusive whether they alone may have caused the last one.
  void failCrashingJobs(std::span<const CrashSuspect> Suspects,
                        bool Conclusive);
  /// Corrects the crashes counted for the VM's last loss, now that it is known
  /// whether the VM crashed.
  void settleLoss(VmRecord &Vm, bool Crashed);
  /// \returns the tasks on a VM whose runs a report shows to be of an earlier
  /// incarnation.
  std::vector<TaskRecord *>
  runsOfEarlierIncarnation(const VmRecord &Vm,
                           std::span<const RunningTask> Running) const;
  /// Stops the task's run, and those of the other members of its gang.
  void withdrawStart(TaskRecord &Task);
  /// Stops runs whose start the VM has not confirmed: those that it can't host,
  /// and the least urgent and newest until the others fit into its capacity.
  void withdrawStarts(const VmRecord &Vm);
  /// Commands the VM to stop the task's current run.
  void stopTask(TaskRecord &Task);
  void applyRunReport(VmRecord &Vm, const RunningTask &Report);
  /// Logs a reported run that was not current, unless it has been seen.
  void logUnknownRun(VmRecord &Vm, const TaskRun &Run, bool Resumed);
  /// Takes the last run of a waiting task, which was taken for lost, for its
  /// current one again. \returns the task, or nullptr if there is none.
  TaskRecord *resumeRun(VmRecord &Vm, const TaskRun &Run);
  /// Counts and loses the runs that are missing from a VM's report and have no
  /// end, except those whose start may have reached the VM after the report was
  /// requested.
  void handleMissingRuns(VmRecord &Vm, std::span<const RunningTask> Running,
                         TimePoint RequestedAt);
  /// The part of it that loses them.
  void loseMissingRuns(VmRecord &Vm, std::span<const RunningTask> Running,
                       TimePoint RequestedAt, std::string_view Reason);
  void recordCheckpoint(TaskRecord &Task, const std::string &Checkpoint);
  /// Counts a failure of a task against its VM, and quarantines the VM after
  /// too many consecutive ones.
  void recordVmFailure(const TaskRecord &Task);
  void stopTasksOfLeavingVm(VmRecord &Vm);
  /// Pauses the VM's best-effort tasks while a latency-sensitive task is near
  /// its target, and resumes them later.
  void throttleBestEffortTasks(VmRecord &Vm);
  void setSpeed(TaskRecord &Task, int SpeedPercent);

  void runEnded(TaskRecord &Task, const TaskEnd &End, VmRecord &Vm);
  void runSucceeded(TaskRecord &Task, VmRecord &Vm);
  /// An abandoned run has ended as done: its task is done all the same.
  void earlierRunSucceeded(const TaskRun &Run);
  /// Turns the task's current run, if any, into an unknown run and stops it.
  void abandonRun(TaskRecord &Task);
  /// \returns the record of a run of the step that is not a task's current one.
  static UnknownRun unknownRunOf(const StepRecord &Step,
                                 std::optional<TimePoint> SettledAt);
  /// Lets a run count against the account of its job, if that has finished.
  void countForFinishedJob(const StepName &Step, UnknownRun &Run) const;
  /// Stops a run that belongs to no unfinished task. It occupies the VM's
  /// capacity until it has ended.
  void stopUnknownRun(VmRecord &Vm, const TaskRun &Run,
                      const UnknownRun &Unknown);
  /// The VM has answered the start or the stop of a run, if it is unknown.
  void settleUnknownRun(VmRecord *Vm, const TaskRun &Run) const;
  void finishTask(TaskRecord &Task);
  void runFailed(TaskRecord &Task);
  /// Updates the VM's slowdown with the run time of a task that is done.
  void updateSlowdown(const TaskRecord &Task, VmRecord &Vm) const;
  void finishOccurrence(OccurrenceRecord &Occurrence);
  void finishJob(JobRecord &Job, JobStage Stage);
  void failJob(JobRecord &Job, JobFailure Reason);
  /// Discards the records of a finished job, except its final stage, once none
  /// of its tasks is on a VM.
  void archiveFinishedJob(JobRecord &Job);
  /// Lifts the limit of accounts that have been unknown for long.
  void admitUnknownAccounts();
  void createDueOccurrences();
  void stopStuckTasks();

  const Clock &MonotonicClock_;
  const WallClock &SystemClock_;
  PoolOptions Options_;
  PoolTables Tables_;
  /// The terms of the queues of the contracts in force, by name.
  std::map<std::string, QueueTerms, std::less<>> Queues_;
  TimePoint NextStuckCheck_{};
};

} // namespace cuminroad

#endif
