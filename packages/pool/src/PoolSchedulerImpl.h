#ifndef CUMINROAD_POOL_SRC_POOLSCHEDULERIMPL_H
#define CUMINROAD_POOL_SRC_POOLSCHEDULERIMPL_H

#include "PoolTables.h"
#include "cuminroad/pool/PoolScheduler.h"

namespace cuminroad {

/// The events of PoolScheduler on PoolTables.
class PoolSchedulerImpl final : public PoolScheduler {
public:
  PoolSchedulerImpl(const Clock &Time, const WallClock &Wall,
                    const PoolOptions &Options)
      : Time_(Time), Wall_(Wall), Options_(Options) {}

  void vmListed(const PoolVm &Vm) override;
  void vmReported(std::string_view Vm, std::int64_t Incarnation,
                  std::span<const RunningTask> Running,
                  TimePoint AskedAt) override;
  void vmUnreachable(std::string_view Vm) override;
  void vmEmptied(std::string_view Vm) override;
  void vmRemoved(std::string_view Vm) override;

  void addJob(JobPlan Plan, QueueTerms Terms, TimePoint Accepted) override;
  void restoreJob(JobPlan Plan, QueueTerms Terms, TimePoint Accepted,
                  const JobProgress &Progress) override;
  void setTerms(const QueueTerms &Terms) override;
  void cancelJob(std::string_view Job) override;
  void forgetJob(std::string_view Job) override;

  void taskEnded(std::string_view Vm, const TaskEnd &End) override;
  void startAnswered(std::string_view Vm, const TaskRun &Run,
                     StartOutcome Outcome) override;
  void stopAnswered(std::string_view Vm, const TaskRun &Run) override;
  void adviceReceived(const StepName &Step, std::span<const std::string> Asked,
                      std::span<const AdviceTicket> Allowed,
                      TimePoint ValidUntil) override;
  void adviceFailed(const StepName &Step) override;
  bool needsAdvice(const StepName &Step) const override;
  void setStartDelay(milliseconds Delay) override;

  void schedule() override;
  std::vector<PoolCommand> takeCommands() override;
  std::vector<std::string> takeChangedJobs() override;
  PoolDiagnostics takeDiagnostics() override;

  std::optional<JobStage> stage(std::string_view Job) const override;
  JobProgress progress(std::string_view Job) const override;
  bool isCurrentRun(std::string_view Vm, const TaskRun &Run) const override;
  int pendingJobs(std::string_view Queue) const override;
  std::vector<std::string> occupiedVms() const override;
  PoolLoad load() const override;
  const JobPlan *plan(std::string_view Job) const override;
  const QueueTerms *terms(std::string_view Job) const override;

private:
  JobRecord &insert(JobPlan Plan, QueueTerms Terms, TimePoint Accepted);
  void restoreOccurrence(JobRecord &Job, const OccurrenceProgress &Progress);
  void restoreTask(StepRecord &Step, const TaskProgress &Progress);
  /// The present run of \p Run's task, if it is the one meant and on \p Vm.
  TaskRecord *current(const VmRecord *Vm, const TaskRun &Run) const;
  void lose(TaskRecord &Task, std::string_view Reason);
  void emptyVm(VmRecord &Vm, std::string_view Reason);
  void stopTask(TaskRecord &Task);
  void reportRunning(VmRecord &Vm, const RunningTask &Report);
  void dropMissing(VmRecord &Vm, std::span<const RunningTask> Running,
                   TimePoint AskedAt, std::string_view Reason);
  void noteCheckpoint(TaskRecord &Task, const std::string &Checkpoint);
  /// Counts the failure of a task that is on its VM against the VM.
  void countFailure(const TaskRecord &Task);
  void stopTasksOfLeavingVm(VmRecord &Vm);
  void paceFillers(VmRecord &Vm);
  void setPace(TaskRecord &Task, int Percent);

  void ended(TaskRecord &Task, const TaskEnd &End, VmRecord &Vm);
  void endedDone(TaskRecord &Task, VmRecord &Vm);
  /// An end as done of a run that was given up: it counts all the same.
  void earlierRunDone(const TaskRun &Run);
  /// Stops the task's run, if it has one, as one that nobody waits for.
  void disown(TaskRecord &Task);
  /// Stops a run that belongs to no unfinished task; it takes room until then.
  void stopStranger(VmRecord &Vm, const TaskRun &Run, const Capacity &Size);
  void finishTask(TaskRecord &Task);
  void endedFailed(TaskRecord &Task);
  void noteRunTime(const TaskRecord &Task, VmRecord &Vm) const;
  void finishOccurrence(OccurrenceRecord &Occurrence);
  void finishJob(JobRecord &Job, JobStage Stage);
  /// Moves a finished job with nothing on VMs out of the way.
  void settleJob(JobRecord &Job);
  void createDueOccurrences();
  void stopStuckTasks();

  const Clock &Time_;
  const WallClock &Wall_;
  PoolOptions Options_;
  PoolTables Tables_;
  TimePoint NextStuckCheck_{};
};

} // namespace cuminroad

#endif
