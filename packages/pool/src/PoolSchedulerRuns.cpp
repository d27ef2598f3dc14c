// Events about runs of tasks and about advice, and the scheduling pass.
#include "PoolSchedulerImpl.h"

#include <algorithm>
#include <utility>

#include "AdvicePlanner.h"
#include "SchedulingPass.h"

namespace cuminroad {

namespace {

/// Weight of the newest run in the exponential smoothing of a VM's slowdown.
constexpr double SlowdownSmoothing = 0.15;
/// Bounds of the ratio of a single run's time to its estimate: estimates are
/// off by factors of this order, so a larger ratio says nothing more about the
/// VM.
constexpr double MinSlowdown = 0.4;
constexpr double MaxSlowdown = 4.0;
/// Interval between checks for tasks that make no progress.
constexpr milliseconds StuckCheckInterval{250};
/// Progress that a long-running task reports while it is ready.
constexpr int ReadyPercent = 100;

} // namespace

TaskRecord *PoolSchedulerImpl::findCurrentTask(const VmRecord *Vm,
                                               const TaskRun &Run) const {
  TaskRecord *Task = Tables_.task(Run.Task);
  if (Task == nullptr || Vm == nullptr || Task->Vm != Vm ||
      Task->Run != Run.Number)
    return nullptr;
  return Task;
}

bool PoolSchedulerImpl::isCurrentRun(std::string_view Vm,
                                     const TaskRun &Run) const {
  const TaskRecord *Task = findCurrentTask(Tables_.vm(Vm), Run);
  return Task != nullptr && Task->Phase != TaskPhase::Stopping;
}

void PoolSchedulerImpl::stopTask(TaskRecord &Task) {
  if (Task.Phase == TaskPhase::Stopping)
    return;
  Tables_.setPhase(Task, TaskPhase::Stopping);
  Tables_.Commands.push_back(
      StopRun{Task.Vm->Description.Id, TaskRun{nameOf(Task), Task.Run}});
}

void PoolSchedulerImpl::taskEnded(std::string_view Id, const TaskEnd &End) {
  VmRecord *Vm = Tables_.vm(Id);
  if (Vm == nullptr)
    return;
  PoolTables::removeUnknownRun(*Vm, End.Run);
  if (TaskRecord *Task = findCurrentTask(Vm, End.Run))
    runEnded(*Task, End, *Vm);
  else if (End.Outcome == RunOutcome::Done)
    earlierRunSucceeded(End.Run);
}

void PoolSchedulerImpl::earlierRunSucceeded(const TaskRun &Run) {
  TaskRecord *Task = Tables_.task(Run.Task);
  if (Task == nullptr || Run.Number > Task->Run ||
      Task->Step->Plan->LongRunning ||
      isFinal(Task->Step->Occurrence->Job->Stage))
    return;
  if (Task->Step->Plan->Gang)
    for (auto &[Index, Member] : Task->Step->Tasks.records())
      abandonRun(Member);
  else
    abandonRun(*Task);
  finishTask(*Task);
}

void PoolSchedulerImpl::abandonRun(TaskRecord &Task) {
  if (!Task.isOnVm())
    return;
  VmRecord &Vm = *Task.Vm;
  const TaskRun Run{nameOf(Task), Task.Run};
  const std::optional<TimePoint> SettledAt = Task.ConfirmedAt;
  Tables_.release(Task);
  Vm.SeenUnknownRuns.insert(Run);
  stopUnknownRun(Vm, Run, unknownRunOf(*Task.Step, SettledAt));
}

void PoolSchedulerImpl::runEnded(TaskRecord &Task, const TaskEnd &End,
                                 VmRecord &Vm) {
  recordCheckpoint(Task, End.Checkpoint);
  JobRecord &Job = *Task.Step->Occurrence->Job;
  Job.Started = true;
  if (isFinal(Job.Stage)) {
    Tables_.release(Task);
    return archiveFinishedJob(Job);
  }
  switch (End.Outcome) {
  case RunOutcome::Done:
    return runSucceeded(Task, Vm);
  case RunOutcome::Failed:
    return runFailed(Task);
  case RunOutcome::Stopped:
  case RunOutcome::GangBroken:
    return Tables_.release(Task);
  case RunOutcome::LeaseExpired:
  case RunOutcome::GangIncomplete:
    return loseRun(Task, End.Outcome == RunOutcome::LeaseExpired
                             ? "lapsed"
                             : "gang_incomplete");
  }
}

/// \returns the expected run time of the task without what its own run tells.
static milliseconds runTimeWithout(const TaskRecord &Task) {
  const StepRecord &Step = *Task.Step;
  const RunTimePredictor *Queue = Step.Occurrence->Job->QueueRunTimes;
  if (Queue == nullptr)
    return Step.Plan->Estimate;
  RunTimeSamples Others = Step.RunTimes;
  if (Task.LogRunTime)
    Others.remove(*Task.LogRunTime);
  return std::max(Queue->predict(Step.Plan->Estimate, Others), milliseconds(1));
}

void PoolSchedulerImpl::updateSlowdown(const TaskRecord &Task,
                                       VmRecord &Vm) const {
  const StepPlan &Plan = *Task.Step->Plan;
  if (Plan.BestEffort || Plan.Gang || Plan.Estimate.count() <= 0 ||
      !Task.Checkpoint.empty() || !Task.ConfirmedAt ||
      *Task.ConfirmedAt == TimePoint::min())
    return;
  const milliseconds Expected = runTimeWithout(Task);
  const double ElapsedMs =
      static_cast<double>(std::chrono::duration_cast<milliseconds>(
                              MonotonicClock_.now() - Task.PlacedAt)
                              .count());
  const double Ratio =
      std::clamp(ElapsedMs / static_cast<double>(Expected.count()), MinSlowdown,
                 MaxSlowdown);
  Vm.Slowdown += (Ratio - Vm.Slowdown) * SlowdownSmoothing;
  Vm.ExpectedEndsKnown = false;
}

void PoolSchedulerImpl::runSucceeded(TaskRecord &Task, VmRecord &Vm) {
  StepRecord &Step = *Task.Step;
  Vm.ConsecutiveFailures = 0;
  Vm.QuarantineDuration = milliseconds(0);
  if (Task.PlacedAt >= Vm.QuarantinedAt)
    Vm.QuarantinedUntil = TimePoint{};
  if (Step.Plan->LongRunning)
    return Tables_.release(Task);
  updateSlowdown(Task, Vm);
  PoolTables::sampleRunTime(Task, MonotonicClock_.now());
  finishTask(Task);
}

void PoolSchedulerImpl::finishTask(TaskRecord &Task) {
  StepRecord &Step = *Task.Step;
  // The members of a gang complete together, so one completion counts for all.
  if (Step.Plan->Gang)
    Tables_.finish(Step, 0, Step.Tasks.size());
  else
    Tables_.finish(Step, Task.Index, 1);
  OccurrenceRecord &Occurrence = *Step.Occurrence;
  const bool Complete =
      std::all_of(Occurrence.Steps.begin(), Occurrence.Steps.end(),
                  [](const StepRecord &Each) { return Each.isComplete(); });
  if (!Complete)
    return;
  JobRecord &Job = *Occurrence.Job;
  finishOccurrence(Occurrence);
  archiveFinishedJob(Job);
}

void PoolSchedulerImpl::runFailed(TaskRecord &Task) {
  StepRecord &Step = *Task.Step;
  JobRecord &Job = *Step.Occurrence->Job;
  recordVmFailure(Task);
  Tables_.release(Task);
  if (Step.Plan->LongRunning)
    return;
  int Failures = 0;
  if (!Step.Plan->Gang) {
    Failures = ++Task.Failures;
  } else if (Task.Run > Step.GangFailedRun) {
    // Failures of other members in the same run are not counted.
    Step.GangFailedRun = Task.Run;
    Failures = ++Step.GangFailures;
  }
  if (Job.Terms.Known && Failures >= Job.Terms.MaxAttempts)
    failJob(Job, JobFailure::AttemptsUsed);
}

void PoolSchedulerImpl::startAnswered(std::string_view Id, const TaskRun &Run,
                                      StartOutcome Outcome) {
  VmRecord *Vm = Tables_.vm(Id);
  TaskRecord *Task = findCurrentTask(Vm, Run);
  if (Task == nullptr)
    return settleUnknownRun(Vm, Run);
  // An old run was started by an earlier attempt to send the command and may
  // have ended since; the VM's reports will show that.
  if (Outcome == StartOutcome::Accepted || Outcome == StartOutcome::OldRun) {
    if (Task->Phase == TaskPhase::Placed)
      Tables_.setPhase(*Task, TaskPhase::Running);
    Task->ConfirmedAt = MonotonicClock_.now();
    Task->StartConfirmed = Outcome == StartOutcome::Accepted;
    Task->InvalidStartDelay = milliseconds(0);
    // An old run may never have started. The VM's reports tell.
    if (Outcome == StartOutcome::Accepted)
      Task->Step->Occurrence->Job->Started = true;
    return;
  }
  if (Task->Phase != TaskPhase::Placed && Task->Phase != TaskPhase::Stopping)
    return;
  if (Outcome == StartOutcome::Refused)
    recordVmFailure(*Task);
  if (Outcome == StartOutcome::TicketExpired) {
    Task->Step->AllowedVms.erase(Vm);
    Task->Step->QueriedVms.erase(Vm);
    Task->Step->SeenVmsVersion = -1;
  } else if (Outcome == StartOutcome::Invalid) {
    Task->InvalidStartDelay =
        std::clamp(Task->InvalidStartDelay * 2, Options_.RefusedStartDelay,
                   Options_.MaxInvalidStartDelay);
    Task->NotPlacedBefore = MonotonicClock_.now() + Task->InvalidStartDelay;
  } else {
    Task->NotPlacedBefore = MonotonicClock_.now() + Options_.RefusedStartDelay;
  }
  loseRun(*Task, "start_refused");
}

void PoolSchedulerImpl::stopAnswered(std::string_view Id, const TaskRun &Run) {
  VmRecord *Vm = Tables_.vm(Id);
  TaskRecord *Task = findCurrentTask(Vm, Run);
  // If the run had not started, the VM now refuses to start it.
  if (Task == nullptr)
    settleUnknownRun(Vm, Run);
  else if (!Task->ConfirmedAt)
    Task->ConfirmedAt = MonotonicClock_.now();
}

void PoolSchedulerImpl::settleUnknownRun(VmRecord *Vm,
                                         const TaskRun &Run) const {
  if (Vm == nullptr)
    return;
  const auto Found = Vm->UnknownRuns.find(Run);
  if (Found != Vm->UnknownRuns.end() && !Found->second.SettledAt)
    Found->second.SettledAt = MonotonicClock_.now();
}

void PoolSchedulerImpl::adviceReceived(const StepName &Name,
                                       std::span<const std::string> QueriedVms,
                                       std::span<const AdviceTicket> Tickets,
                                       TimePoint ValidUntil) {
  StepRecord *Step = Tables_.step(Name);
  if (Step == nullptr)
    return;
  Step->AdvicePending = false;
  // The request was dropped: it must be made again.
  if (QueriedVms.empty())
    Step->SeenVmsVersion = -1;
  else
    Step->AdviceRetryDelay = milliseconds(0);
  // Advice that was on its way while a VM restarted is for the VM's earlier
  // incarnation.
  const auto IsFor = [Step](const VmRecord *Vm) {
    return Vm != nullptr && Vm->IncarnationSince <= Step->AdviceRequestedAt;
  };
  for (const std::string &Id : QueriedVms)
    if (const VmRecord *Vm = Tables_.vm(Id); IsFor(Vm))
      Step->QueriedVms[Vm] = Vm->Description.Incarnation;
  for (const AdviceTicket &Entry : Tickets)
    if (VmRecord *Vm = Tables_.vm(Entry.Vm); IsFor(Vm))
      Step->AllowedVms[Vm] =
          TicketRecord{Entry.Ticket, ValidUntil, Vm->Description.Incarnation};
}

void PoolSchedulerImpl::adviceFailed(const StepName &Name) {
  StepRecord *Step = Tables_.step(Name);
  if (Step == nullptr)
    return;
  Step->AdvicePending = false;
  Step->SeenVmsVersion = -1;
  Step->AdviceRetryDelay =
      std::clamp(Step->AdviceRetryDelay * 2, Options_.AdviceRetryMin,
                 Options_.AdviceRetryMax);
  Step->NoAdviceBefore = MonotonicClock_.now() + Step->AdviceRetryDelay;
}

bool PoolSchedulerImpl::needsAdvice(const StepName &Name) const {
  const StepRecord *Step = Tables_.step(Name);
  return Step != nullptr && Step->WaitingTasks > 0 &&
         !isFinal(Step->Occurrence->Job->Stage);
}

void PoolSchedulerImpl::setStartDelay(milliseconds Delay) {
  Options_.StartDelay = Delay;
}

void PoolSchedulerImpl::stopStuckTasks() {
  const TimePoint Now = MonotonicClock_.now();
  if (Now < NextStuckCheck_)
    return;
  NextStuckCheck_ = Now + StuckCheckInterval;
  for (const auto &[Id, Vm] : Tables_.Vms) {
    // A run whose end isn't known yet makes no progress either.
    if (!Vm->LeaseHeld || !Vm->AllEndsKnown)
      continue;
    const std::vector<TaskRecord *> Tasks(Vm->Tasks.begin(), Vm->Tasks.end());
    for (TaskRecord *Task : Tasks) {
      const StepPlan &Plan = *Task->Step->Plan;
      const bool IsServing =
          Plan.LongRunning && Task->ProgressPercent >= ReadyPercent;
      if (Task->Phase != TaskPhase::Running || Plan.BestEffort || Plan.Gang ||
          IsServing || Now - Task->ProgressedAt < Options_.StuckAfter)
        continue;
      recordVmFailure(*Task);
      stopTask(*Task);
    }
  }
}

void PoolSchedulerImpl::schedule() {
  admitUnknownAccounts();
  createDueOccurrences();
  stopStuckTasks();
  const TimePoint Now = MonotonicClock_.now();
  const WaitingSteps Waiting = collectWaitingSteps(Tables_, Options_, Now);
  SchedulingPass Pass(Tables_, Waiting, Options_, Now);
  Pass.run();
  AdvicePlanner(Tables_, Waiting, Options_, Now, Pass.largestFreeCapacity())
      .run();
  for (const std::string &Job : std::exchange(Tables_.UnrecordableJobs, {}))
    failJob(Job, JobFailure::RecordTooLarge);
}

std::vector<PoolCommand> PoolSchedulerImpl::takeCommands() {
  return std::exchange(Tables_.Commands, {});
}

std::vector<std::string> PoolSchedulerImpl::takeChangedJobs() {
  std::vector<std::string> Out(Tables_.ChangedJobs.begin(),
                               Tables_.ChangedJobs.end());
  Tables_.ChangedJobs.clear();
  return Out;
}

PoolDiagnostics PoolSchedulerImpl::takeDiagnostics() {
  return std::exchange(Tables_.Diagnostics, {});
}

std::unique_ptr<PoolScheduler> makePoolScheduler(const Clock &MonotonicClock,
                                                 const WallClock &SystemClock,
                                                 const PoolOptions &Options) {
  return std::make_unique<PoolSchedulerImpl>(MonotonicClock, SystemClock,
                                             Options);
}

} // namespace cuminroad
