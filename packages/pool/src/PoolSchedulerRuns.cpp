// Runs of tasks: how starts are answered, how runs end, and advice.
#include "PoolSchedulerImpl.h"

#include <algorithm>
#include <utility>

#include "AdvicePlanner.h"
#include "SchedulingPass.h"

namespace cuminroad {

namespace {

/// Weight of the newest run in a VM's smoothed slowness.
constexpr double NewestWeight = 0.15;
/// Estimates are off by up to a factor of this order; a single run says no
/// more.
constexpr double SlownessMin = 0.4;
constexpr double SlownessMax = 4.0;
/// How often tasks are looked through for those that stand still.
constexpr milliseconds StuckCheck{250};
/// Progress of a serving task that is at work.
constexpr int FullPercent = 100;

} // namespace

TaskRecord *PoolSchedulerImpl::current(const VmRecord *Vm,
                                       const TaskRun &Run) const {
  TaskRecord *Task = Tables_.task(Run.Task);
  if (Task == nullptr || Vm == nullptr || Task->Vm != Vm ||
      Task->Run != Run.Number)
    return nullptr;
  return Task;
}

bool PoolSchedulerImpl::isCurrentRun(std::string_view Vm,
                                     const TaskRun &Run) const {
  const TaskRecord *Task = current(Tables_.vm(Vm), Run);
  return Task != nullptr && Task->Phase != TaskPhase::Stopping;
}

void PoolSchedulerImpl::stopTask(TaskRecord &Task) {
  if (Task.Phase == TaskPhase::Stopping)
    return;
  Tables_.setPhase(Task, TaskPhase::Stopping);
  Tables_.Commands.push_back(
      StopRun{Task.Vm->Vm.Id, TaskRun{nameOf(Task), Task.Run}});
}

void PoolSchedulerImpl::taskEnded(std::string_view Id, const TaskEnd &End) {
  VmRecord *Vm = Tables_.vm(Id);
  if (Vm == nullptr)
    return;
  const auto Stranger = Vm->UnknownRuns.find(End.Run);
  if (Stranger != Vm->UnknownRuns.end()) {
    Vm->Used -= Stranger->second;
    Vm->UnknownRuns.erase(Stranger);
  }
  if (TaskRecord *Task = current(Vm, End.Run))
    ended(*Task, End, *Vm);
  else if (End.Outcome == RunOutcome::Done)
    earlierRunDone(End.Run);
}

void PoolSchedulerImpl::earlierRunDone(const TaskRun &Run) {
  TaskRecord *Task = Tables_.task(Run.Task);
  if (Task == nullptr || Task->Phase == TaskPhase::Done ||
      Run.Number > Task->Run || Task->Step->Plan->LongRunning ||
      isFinal(Task->Step->Occurrence->Job->Stage))
    return;
  if (Task->Step->Plan->Gang)
    for (TaskRecord &Member : Task->Step->Tasks)
      disown(Member);
  else
    disown(*Task);
  finishTask(*Task);
}

void PoolSchedulerImpl::disown(TaskRecord &Task) {
  if (!Task.onVm())
    return;
  VmRecord &Vm = *Task.Vm;
  const TaskRun Run{nameOf(Task), Task.Run};
  Tables_.release(Task);
  stopStranger(Vm, Run, Task.Step->Plan->reservedCapacity());
}

void PoolSchedulerImpl::ended(TaskRecord &Task, const TaskEnd &End,
                              VmRecord &Vm) {
  noteCheckpoint(Task, End.Checkpoint);
  JobRecord &Job = *Task.Step->Occurrence->Job;
  if (isFinal(Job.Stage)) {
    Tables_.release(Task);
    return settleJob(Job);
  }
  switch (End.Outcome) {
  case RunOutcome::Done:
    return endedDone(Task, Vm);
  case RunOutcome::Failed:
    return endedFailed(Task);
  case RunOutcome::Stopped:
  case RunOutcome::GangBroken:
    return Tables_.release(Task);
  case RunOutcome::LeaseLapsed:
  case RunOutcome::GangIncomplete:
    return lose(Task, End.Outcome == RunOutcome::LeaseLapsed
                          ? "lapsed"
                          : "gang_incomplete");
  }
}

void PoolSchedulerImpl::noteRunTime(const TaskRecord &Task,
                                    VmRecord &Vm) const {
  const StepPlan &Plan = *Task.Step->Plan;
  if (Plan.BestEffort || Plan.Gang || Plan.Estimate.count() <= 0 ||
      !Task.Checkpoint.empty() || !Task.ConfirmedAt ||
      *Task.ConfirmedAt == TimePoint::min())
    return;
  const double Took = static_cast<double>(
      std::chrono::duration_cast<milliseconds>(Time_.now() - Task.PlacedAt)
          .count());
  const double Ratio =
      std::clamp(Took / static_cast<double>(Plan.Estimate.count()), SlownessMin,
                 SlownessMax);
  Vm.Slowness += (Ratio - Vm.Slowness) * NewestWeight;
}

void PoolSchedulerImpl::endedDone(TaskRecord &Task, VmRecord &Vm) {
  StepRecord &Step = *Task.Step;
  Vm.FailuresInARow = 0;
  Vm.Quarantine = milliseconds(0);
  if (Task.PlacedAt >= Vm.QuarantinedAt)
    Vm.QuarantinedUntil = TimePoint{};
  if (Step.Plan->LongRunning)
    return Tables_.release(Task);
  noteRunTime(Task, Vm);
  finishTask(Task);
}

void PoolSchedulerImpl::finishTask(TaskRecord &Task) {
  StepRecord &Step = *Task.Step;
  Tables_.finish(Task);
  // The members of a gang end together; one end stands for all.
  if (Step.Plan->Gang)
    for (TaskRecord &Member : Step.Tasks)
      if (Member.Phase != TaskPhase::Done)
        Tables_.finish(Member);
  OccurrenceRecord &Occurrence = *Step.Occurrence;
  const bool Complete =
      std::all_of(Occurrence.Steps.begin(), Occurrence.Steps.end(),
                  [](const StepRecord &Each) { return Each.complete(); });
  if (!Complete)
    return;
  JobRecord &Job = *Occurrence.Job;
  finishOccurrence(Occurrence);
  settleJob(Job);
}

void PoolSchedulerImpl::endedFailed(TaskRecord &Task) {
  StepRecord &Step = *Task.Step;
  JobRecord &Job = *Step.Occurrence->Job;
  countFailure(Task);
  Tables_.release(Task);
  if (Step.Plan->LongRunning)
    return;
  int Failures = 0;
  if (!Step.Plan->Gang) {
    Failures = ++Task.Failures;
  } else if (Task.Run > Step.GangFailedRun) {
    // Other members that fail in this run count no more.
    Step.GangFailedRun = Task.Run;
    Failures = ++Step.GangFailures;
  }
  if (Failures >= Job.Terms.MaxAttempts) {
    finishJob(Job, JobStage::Failed);
    settleJob(Job);
  }
}

void PoolSchedulerImpl::startAnswered(std::string_view Id, const TaskRun &Run,
                                      StartOutcome Outcome) {
  VmRecord *Vm = Tables_.vm(Id);
  TaskRecord *Task = current(Vm, Run);
  if (Task == nullptr)
    return;
  // An old run was started by an earlier try of the order, and may have ended:
  // the VM's lists tell.
  if (Outcome == StartOutcome::Accepted || Outcome == StartOutcome::OldRun) {
    if (Task->Phase == TaskPhase::Placed)
      Tables_.setPhase(*Task, TaskPhase::Running);
    Task->ConfirmedAt = Time_.now();
    return;
  }
  if (Task->Phase != TaskPhase::Placed && Task->Phase != TaskPhase::Stopping)
    return;
  if (Outcome == StartOutcome::Refused)
    countFailure(*Task);
  if (Outcome == StartOutcome::TicketExpired) {
    Task->Step->AllowedVms.erase(Vm);
    Task->Step->AskedVms.erase(Vm);
    Task->Step->VmsVersion = -1;
  } else {
    Task->NotBefore = Time_.now() + Options_.RefusedStartDelay;
  }
  lose(*Task, "start_refused");
}

void PoolSchedulerImpl::stopAnswered(std::string_view Id, const TaskRun &Run) {
  TaskRecord *Task = current(Tables_.vm(Id), Run);
  // The VM now refuses the run, if it was not there.
  if (Task != nullptr && !Task->ConfirmedAt)
    Task->ConfirmedAt = Time_.now();
}

void PoolSchedulerImpl::adviceReceived(const StepName &Name,
                                       std::span<const std::string> Asked,
                                       std::span<const AdviceTicket> Allowed,
                                       TimePoint ValidUntil) {
  StepRecord *Step = Tables_.step(Name);
  if (Step == nullptr)
    return;
  Step->Asking = false;
  // A question that was dropped has yet to be asked.
  if (Asked.empty())
    Step->VmsVersion = -1;
  for (const std::string &Id : Asked)
    if (const VmRecord *Vm = Tables_.vm(Id))
      Step->AskedVms[Vm] = Vm->Vm.Incarnation;
  for (const AdviceTicket &Entry : Allowed)
    if (VmRecord *Vm = Tables_.vm(Entry.Vm))
      Step->AllowedVms[Vm] =
          TicketRecord{Entry.Ticket, ValidUntil, Vm->Vm.Incarnation};
}

void PoolSchedulerImpl::adviceFailed(const StepName &Name) {
  StepRecord *Step = Tables_.step(Name);
  if (Step == nullptr)
    return;
  Step->Asking = false;
  Step->VmsVersion = -1;
}

bool PoolSchedulerImpl::needsAdvice(const StepName &Name) const {
  const StepRecord *Step = Tables_.step(Name);
  return Step != nullptr && Step->Waiting > 0 &&
         !isFinal(Step->Occurrence->Job->Stage);
}

void PoolSchedulerImpl::setStartDelay(milliseconds Delay) {
  Options_.StartDelay = Delay;
}

void PoolSchedulerImpl::stopStuckTasks() {
  const TimePoint Now = Time_.now();
  if (Now < NextStuckCheck_)
    return;
  NextStuckCheck_ = Now + StuckCheck;
  for (const auto &[Id, Vm] : Tables_.Vms) {
    if (!Vm->Claimed)
      continue;
    const std::vector<TaskRecord *> Tasks(Vm->Tasks.begin(), Vm->Tasks.end());
    for (TaskRecord *Task : Tasks) {
      const StepPlan &Plan = *Task->Step->Plan;
      const bool AtWork =
          Plan.LongRunning && Task->ProgressPercent >= FullPercent;
      if (Task->Phase != TaskPhase::Running || Plan.BestEffort || Plan.Gang ||
          AtWork || Now - Task->MovedAt < Options_.StuckAfter)
        continue;
      countFailure(*Task);
      stopTask(*Task);
    }
  }
}

void PoolSchedulerImpl::schedule() {
  createDueOccurrences();
  stopStuckTasks();
  const TimePoint Now = Time_.now();
  const WaitingSteps Queue = gatherWaiting(Tables_, Options_, Now);
  SchedulingPass(Tables_, Queue, Options_, Now).run();
  AdvicePlanner(Tables_, Queue, Options_, Now).run();
}

std::vector<PoolCommand> PoolSchedulerImpl::takeCommands() {
  return std::exchange(Tables_.Commands, {});
}

std::vector<std::string> PoolSchedulerImpl::takeChangedJobs() {
  std::vector<std::string> Out(Tables_.Changed.begin(), Tables_.Changed.end());
  Tables_.Changed.clear();
  return Out;
}

PoolDiagnostics PoolSchedulerImpl::takeDiagnostics() {
  return std::exchange(Tables_.Notes, {});
}

std::unique_ptr<PoolScheduler> makePoolScheduler(const Clock &Time,
                                                 const WallClock &Wall,
                                                 const PoolOptions &Options) {
  return std::make_unique<PoolSchedulerImpl>(Time, Wall, Options);
}

} // namespace cuminroad
