// Events and queries about VMs.
#include "PoolSchedulerImpl.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "Forecast.h"

namespace cuminroad {

namespace {

/// A latency-sensitive task is near its target from this share of it on. The
/// margin is needed because the tail response time can rise within seconds.
constexpr double NearTargetShare = 0.85;
/// Best-effort tasks resume when the tail response time is below this share of
/// the target.
constexpr double WellBelowTargetShare = 0.6;
/// For how long best-effort tasks are paused at first; this doubles each time
/// up to the maximum.
constexpr milliseconds MinThrottleDuration{2000};
constexpr milliseconds MaxThrottleDuration{16000};
constexpr int FullSpeedPercent = 100;
constexpr int PausedPercent = 0;
/// A task with less expected time remaining is not moved off a leaving VM.
constexpr milliseconds MinRemainingToMove{1500};
/// Losses of VMs that are remembered to tell a common cause.
constexpr std::size_t MaxRecordedLosses = 256;

void forgetUnknownRuns(VmRecord &Vm) {
  PoolTables::removeUnknownRuns(
      Vm, [](const TaskRun &, const UnknownRun &) { return true; });
  Vm.SeenUnknownRuns.clear();
}

/// Forgets which runs were seen of those that neither are in the report nor
/// count on the VM.
void forgetSeenRuns(VmRecord &Vm, std::span<const RunningTask> Running) {
  std::erase_if(Vm.SeenUnknownRuns, [&](const TaskRun &Run) {
    return !Vm.UnknownRuns.contains(Run) &&
           std::none_of(
               Running.begin(), Running.end(),
               [&Run](const RunningTask &Report) { return Report.Run == Run; });
  });
}

/// Forgets the unknown runs of which a report requested at \p RequestedAt tells
/// whether they are still there.
void forgetSettledRuns(VmRecord &Vm, TimePoint RequestedAt) {
  PoolTables::removeUnknownRuns(
      Vm, [&](const TaskRun &, const UnknownRun &Unknown) {
        return Unknown.SettledAt && *Unknown.SettledAt < RequestedAt;
      });
}

} // namespace

void PoolSchedulerImpl::vmListed(const PoolVm &Listed) {
  VmRecord &Vm = Tables_.findOrCreateVm(Listed.Id);
  // A start may have reached the new incarnation, so its runs are only known
  // from its first report.
  if (Vm.Description.Incarnation != 0 &&
      Vm.Description.Incarnation != Listed.Incarnation)
    Vm.LeaseHeld = false;
  const bool WasLeaving = Vm.Description.Leaving;
  // VMs list themselves again and again.
  if (Vm.Description != Listed || Vm.ListedIncarnation != Listed.Incarnation)
    ++Tables_.VmsVersion;
  if (Vm.Description.Incarnation != Listed.Incarnation)
    Vm.IncarnationSince = MonotonicClock_.now();
  Vm.Description = Listed;
  Vm.ListedIncarnation = Listed.Incarnation;
  if (const auto Crash = Tables_.UnexplainedCrashes.find(Listed.Host);
      Crash != Tables_.UnexplainedCrashes.end())
    Vm.HostSuspectUntil = Crash->second + Options_.HostSuspectDuration;
  withdrawStarts(Vm);
  if (Listed.Leaving && !WasLeaving)
    stopTasksOfLeavingVm(Vm);
}

void PoolSchedulerImpl::vmCapacityAge(std::string_view Id, milliseconds Age) {
  if (VmRecord *Vm = Tables_.vm(Id))
    Vm->CapacityListedAt = MonotonicClock_.now() - Age;
}

void PoolSchedulerImpl::withdrawStart(TaskRecord &Task) {
  stopTask(Task);
  if (Task.Step->Plan->Gang)
    for (auto &[Index, Member] : Task.Step->Tasks.records())
      if (Member.isOnVm())
        stopTask(Member);
}

void PoolSchedulerImpl::withdrawStarts(const VmRecord &Vm) {
  // A new incarnation may be of another kind.
  for (TaskRecord *Task : Vm.Tasks)
    if (!Task->ConfirmedAt && Task->Phase == TaskPhase::Placed &&
        !canHost(*Task->Step->Plan, Vm))
      withdrawStart(*Task);
  if (Vm.Used.fitsIn(Vm.Description.Total))
    return;
  Capacity Used = Vm.Used;
  std::vector<TaskRecord *> Unconfirmed;
  for (TaskRecord *Task : Vm.Tasks) {
    if (Task->ConfirmedAt)
      continue;
    if (Task->Phase == TaskPhase::Placed)
      Unconfirmed.push_back(Task);
    else
      Used -= Task->Step->Plan->reservedCapacity();
  }
  std::sort(Unconfirmed.begin(), Unconfirmed.end(),
            [](const TaskRecord *Left, const TaskRecord *Right) {
              const auto Rank = [](const TaskRecord &Task) {
                return std::tuple{Task.Step->Occurrence->Job->BeyondRate,
                                  Task.Step->Occurrence->Job->Terms.Priority,
                                  Task.PlacedAt, Task.Index};
              };
              return Rank(*Left) > Rank(*Right);
            });
  for (TaskRecord *Task : Unconfirmed) {
    if (Used.fitsIn(Vm.Description.Total))
      return;
    Used -= Task->Step->Plan->reservedCapacity();
    withdrawStart(*Task);
  }
}

void PoolSchedulerImpl::stopTasksOfLeavingVm(VmRecord &Vm) {
  const TimePoint Now = MonotonicClock_.now();
  const std::vector<TaskRecord *> Tasks(Vm.Tasks.begin(), Vm.Tasks.end());
  for (TaskRecord *Task : Tasks) {
    const StepPlan &Plan = *Task->Step->Plan;
    const bool Movable = Plan.LongRunning || (Plan.Checkpointing && !Plan.Gang);
    if (Task->Phase == TaskPhase::Running && Movable &&
        (Plan.LongRunning || expectedEnd(*Task) > Now + MinRemainingToMove))
      stopTask(*Task);
  }
}

void PoolSchedulerImpl::vmReported(std::string_view Id,
                                   std::int64_t Incarnation,
                                   const RunReport &Report,
                                   TimePoint RequestedAt) {
  VmRecord *Vm = Tables_.vm(Id);
  if (Vm == nullptr)
    return;
  const bool Restarted =
      Vm->ReportedIncarnation != 0 && Vm->ReportedIncarnation != Incarnation;
  Vm->ReportedIncarnation = Incarnation;
  Vm->ReportedAt = MonotonicClock_.now();
  if (std::exchange(Vm->Description.Incarnation, Incarnation) != Incarnation)
    Vm->IncarnationSince = MonotonicClock_.now();
  if (!Vm->LeaseHeld || Restarted)
    ++Tables_.VmsVersion;
  Vm->LeaseHeld = true;
  Vm->RestartedSinceLosses = Vm->RestartedSinceLosses || Restarted;
  Vm->AllEndsKnown = Report.provesLosses();
  if (Restarted)
    forgetUnknownRuns(*Vm);
  else if (Report.provesLosses())
    forgetSettledRuns(*Vm, RequestedAt);
  forgetSeenRuns(*Vm, Report.running());
  for (const RunningTask &Running : Report.running())
    applyRunReport(*Vm, Running);
  settleLoss(*Vm, Vm->LastLoss && Vm->LastLoss->VmIncarnation != Incarnation);
  if (Report.provesLosses())
    handleMissingRuns(*Vm, Report.running(), RequestedAt);
  Vm->UnreachableSince.reset();
  throttleBestEffortTasks(*Vm);
}

void PoolSchedulerImpl::handleMissingRuns(VmRecord &Vm,
                                          std::span<const RunningTask> Running,
                                          TimePoint RequestedAt) {
  std::vector<CrashSuspect> Suspects;
  bool Conclusive = false;
  if (const auto Lost = runsOfEarlierIncarnation(Vm, Running);
      !Lost.empty() && !Vm.Description.Leaving) {
    const CrashVerdict Verdict =
        attributeCrash(Tables_, Vm, Lost, Options_, MonotonicClock_.now());
    Suspects = countCrash(Vm, Verdict, static_cast<int>(Lost.size()));
    Conclusive = Verdict.Conclusive;
    // A run that the VM has not confirmed stays, and is not counted again.
    for (TaskRecord *Task : Lost)
      Task->VmIncarnation = Vm.ReportedIncarnation;
  }
  loseMissingRuns(Vm, Running, RequestedAt,
                  std::exchange(Vm.RestartedSinceLosses, false) ? "vm_restarted"
                                                                : "not_on_vm");
  failCrashingJobs(Suspects, Conclusive);
}

void PoolSchedulerImpl::applyRunReport(VmRecord &Vm,
                                       const RunningTask &Report) {
  TaskRecord *Task = findCurrentTask(&Vm, Report.Run);
  if (Task == nullptr) {
    Task = resumeRun(Vm, Report.Run);
    logUnknownRun(Vm, Report.Run, Task != nullptr);
  }
  if (Task == nullptr) {
    // The run is not current, for example because its job was cancelled under
    // an earlier owner. It occupies capacity until it has ended.
    const StepRecord *Step = Tables_.step(Report.Run.Task.Step);
    UnknownRun Unknown{Vm.Description.Total, MonotonicClock_.now(), nullptr,
                       Capacity{}};
    if (Step != nullptr)
      Unknown = unknownRunOf(*Step, MonotonicClock_.now());
    else
      countForFinishedJob(Report.Run.Task.Step, Unknown);
    stopUnknownRun(Vm, Report.Run, Unknown);
    // A start that the VM has not confirmed may not have reached it yet.
    if (TaskRecord *Current = Tables_.task(Report.Run.Task);
        Current != nullptr && Current->Phase == TaskPhase::Placed &&
        !Current->ConfirmedAt)
      withdrawStart(*Current);
    return;
  }
  const TimePoint Now = MonotonicClock_.now();
  // Repeat the stop: an unhealthy VM may have refused all attempts to send it.
  if (Task->Phase == TaskPhase::Stopping)
    Tables_.Commands.push_back(StopRun{Vm.Description.Id, Report.Run});
  if (Task->Phase == TaskPhase::Placed)
    Tables_.setPhase(*Task, TaskPhase::Running);
  if (!Task->ConfirmedAt)
    Task->ConfirmedAt = Now;
  Task->StartConfirmed = true;
  Task->VmIncarnation = Vm.ReportedIncarnation;
  Task->Step->Occurrence->Job->Started = true;
  if (Report.ProgressPercent != Task->ProgressPercent) {
    Task->ProgressPercent = Report.ProgressPercent;
    Task->ProgressedAt = Now;
    PoolTables::sampleProgress(*Task);
  }
  Task->Measurement = Report.Measurement;
  recordCheckpoint(*Task, Report.Checkpoint);
  if (Task->isCrashSuspect() &&
      Now - Task->PlacedAt >= Options_.CrashFreeRunTime) {
    Task->Crashes = 0;
    Task->ConfirmedCrashes = 0;
    Tables_.markChanged(*Task->Step->Occurrence->Job);
  }
}

void PoolSchedulerImpl::logUnknownRun(VmRecord &Vm, const TaskRun &Run,
                                      bool Resumed) {
  if (Vm.SeenUnknownRuns.insert(Run).second)
    Tables_.Diagnostics.UnknownRuns.push_back(UnknownRunReport{
        Run, Vm.Description.Id, Vm.ReportedIncarnation, Resumed});
}

TaskRecord *PoolSchedulerImpl::resumeRun(VmRecord &Vm, const TaskRun &Run) {
  TaskRecord *Task = Tables_.task(Run.Task);
  if (Task == nullptr || Task->Phase != TaskPhase::Waiting ||
      Task->Run != Run.Number || Task->Step->Plan->Gang ||
      isFinal(Task->Step->Occurrence->Job->Stage) ||
      Vm.UnknownRuns.contains(Run))
    return nullptr;
  Task->PlacedAt = MonotonicClock_.now();
  Task->ProgressedAt = Task->PlacedAt;
  Task->ConfirmedAt.reset();
  Task->StartUnknown = true;
  Tables_.assign(*Task, Vm, TaskPhase::Running);
  Tables_.markChanged(*Task->Step->Occurrence->Job);
  return Task;
}

void PoolSchedulerImpl::countForFinishedJob(const StepName &Step,
                                            UnknownRun &Run) const {
  const auto Found = Tables_.FinishedJobs.find(Step.Job);
  if (Found == Tables_.FinishedJobs.end())
    return;
  const FinishedJob &Job = Found->second;
  if (Step.Step < 0 || Step.Step >= static_cast<int>(Job.TaskSizes.size()))
    return;
  Run.Account = Job.Account;
  Run.AccountSize = Job.TaskSizes[static_cast<std::size_t>(Step.Step)];
}

UnknownRun PoolSchedulerImpl::unknownRunOf(const StepRecord &Step,
                                           std::optional<TimePoint> SettledAt) {
  return UnknownRun{Step.Plan->reservedCapacity(), SettledAt,
                    Step.Occurrence->Job->Account, Step.Plan->PerTask};
}

void PoolSchedulerImpl::stopUnknownRun(VmRecord &Vm, const TaskRun &Run,
                                       const UnknownRun &Unknown) {
  const auto [Entry, IsNew] = Tables_.addUnknownRun(Vm, Run, Unknown);
  if (!IsNew && !Entry->SettledAt)
    Entry->SettledAt = Unknown.SettledAt;
  Tables_.Commands.push_back(StopRun{Vm.Description.Id, Run});
}

void PoolSchedulerImpl::recordCheckpoint(TaskRecord &Task,
                                         const std::string &Checkpoint) {
  if (Checkpoint.empty() || Checkpoint == Task.Checkpoint)
    return;
  Task.Checkpoint = Checkpoint;
  // All members of a gang must start from the same checkpoint.
  if (Task.Step->Plan->Gang)
    for (auto &[Index, Member] : Task.Step->Tasks.records())
      Member.Checkpoint = Checkpoint;
}

void PoolSchedulerImpl::loseMissingRuns(VmRecord &Vm,
                                        std::span<const RunningTask> Running,
                                        TimePoint RequestedAt,
                                        std::string_view Reason) {
  std::set<const TaskRecord *> ReportedTasks;
  for (const RunningTask &Report : Running)
    ReportedTasks.insert(findCurrentTask(&Vm, Report.Run));
  const std::vector<TaskRecord *> Tasks(Vm.Tasks.begin(), Vm.Tasks.end());
  for (TaskRecord *Task : Tasks) {
    // A start that the VM has not confirmed may still reach it.
    const bool ConfirmedBeforeRequest =
        Task->ConfirmedAt && *Task->ConfirmedAt < RequestedAt;
    if (ConfirmedBeforeRequest && !ReportedTasks.contains(Task))
      loseRun(*Task, Reason);
  }
}

void PoolSchedulerImpl::throttleBestEffortTasks(VmRecord &Vm) {
  bool AnyNearTarget = false;
  bool AllWellBelowTarget = true;
  for (const TaskRecord *Task : Vm.Tasks) {
    if (!Task->Step->Plan->isLatencySensitive())
      continue;
    const double Target =
        static_cast<double>(Task->Step->Plan->LatencyTarget.count());
    AnyNearTarget =
        AnyNearTarget || Task->Measurement > Target * NearTargetShare;
    AllWellBelowTarget =
        AllWellBelowTarget && Task->Measurement < Target * WellBelowTargetShare;
  }
  const TimePoint Now = MonotonicClock_.now();
  if (AnyNearTarget) {
    if (Vm.ThrottledUntil <= Now)
      Vm.ThrottleDuration = std::clamp(
          Vm.ThrottleDuration * 2, MinThrottleDuration, MaxThrottleDuration);
    Vm.ThrottledUntil = Now + Vm.ThrottleDuration;
  }
  for (TaskRecord *Task : Vm.Tasks) {
    if (!Task->Step->Plan->BestEffort || Task->Phase != TaskPhase::Running)
      continue;
    if (Now < Vm.ThrottledUntil)
      setSpeed(*Task, PausedPercent);
    else if (AllWellBelowTarget)
      setSpeed(*Task, FullSpeedPercent);
  }
}

void PoolSchedulerImpl::setSpeed(TaskRecord &Task, int SpeedPercent) {
  if (Task.SpeedPercent == SpeedPercent)
    return;
  Task.SpeedPercent = SpeedPercent;
  Tables_.Commands.push_back(ThrottleRun{
      Task.Vm->Description.Id, TaskRun{nameOf(Task), Task.Run}, SpeedPercent});
}

void PoolSchedulerImpl::vmUnreachable(std::string_view Id) {
  VmRecord *Vm = Tables_.vm(Id);
  if (Vm == nullptr)
    return;
  Vm->LeaseHeld = false;
  if (Vm->UnreachableSince)
    return;
  Vm->UnreachableSince = MonotonicClock_.now();
  // A task that is tried on the VM explains the loss better than a cause that
  // it has in common with others.
  if (Vm->Trial != nullptr &&
      Vm->Trial->isNewRun(*Vm->UnreachableSince, Options_.NewRunDuration))
    return;
  Tables_.Losses.push_back(*Vm->UnreachableSince);
  if (Tables_.Losses.size() > MaxRecordedLosses)
    Tables_.Losses.pop_front();
}

void PoolSchedulerImpl::vmTasksEnded(std::string_view Id,
                                     RunsEndedCause Cause) {
  VmRecord *Vm = Tables_.vm(Id);
  if (Vm == nullptr)
    return;
  const bool Crashed =
      Cause != RunsEndedCause::LeaseExpired && !Vm->Description.Leaving;
  if (Crashed)
    settleLoss(*Vm, true);
  clearVm(*Vm, runsEndedCauseName(Cause), Crashed);
}

void PoolSchedulerImpl::vmRemoved(std::string_view Id) {
  const auto Found = Tables_.Vms.find(Id);
  if (Found == Tables_.Vms.end())
    return;
  VmRecord &Vm = *Found->second;
  // Runs are left if an earlier owner started them and the VM has never been
  // seen since: it has crashed or was removed.
  clearVm(Vm, "vm_gone", !Vm.Description.Leaving);
  for (const auto &[Name, Job] : Tables_.Jobs)
    for (const auto &[Number, Occurrence] : Job->Occurrences)
      for (StepRecord &Step : Occurrence->Steps) {
        Step.AllowedVms.erase(&Vm);
        Step.QueriedVms.erase(&Vm);
      }
  Tables_.removeVm(Found);
}

void PoolSchedulerImpl::clearVm(VmRecord &Vm, std::string_view Reason,
                                bool Crashed) {
  Vm.LeaseHeld = false;
  forgetUnknownRuns(Vm);
  const std::vector<TaskRecord *> Tasks(Vm.Tasks.begin(), Vm.Tasks.end());
  if (Tasks.empty())
    return;
  const CrashVerdict Verdict =
      attributeCrash(Tables_, Vm, Tasks, Options_, MonotonicClock_.now());
  std::vector<CrashSuspect> Suspects;
  if (Crashed)
    Suspects = countCrash(Vm, Verdict, static_cast<int>(Tasks.size()));
  else
    for (const TaskRecord *Task : Verdict.Suspects)
      Suspects.push_back(CrashSuspect{nameOf(*Task), Task->StartConfirmed});
  for (TaskRecord *Task : Tasks)
    loseRun(*Task, Reason);
  if (Crashed)
    failCrashingJobs(Suspects, Verdict.Conclusive);
  Vm.LastLoss =
      UnsettledLoss{Vm.Description.Incarnation, Crashed, std::move(Suspects)};
}

void PoolSchedulerImpl::loseRun(TaskRecord &Task, std::string_view Reason) {
  LostRun Loss{TaskRun{nameOf(Task), Task.Run}, Task.Vm->Description.Id, Reason,
               std::nullopt};
  if (Task.ConfirmedAt != TimePoint::min())
    Loss.Age = std::chrono::duration_cast<milliseconds>(
        Task.Vm->UnreachableSince.value_or(MonotonicClock_.now()) -
        Task.PlacedAt);
  Tables_.Diagnostics.LostRuns.push_back(std::move(Loss));
  JobRecord &Job = *Task.Step->Occurrence->Job;
  StepRecord &Step = *Task.Step;
  Tables_.release(Task);
  // The other members of the gang make no progress without it.
  if (Step.Plan->Gang && !isFinal(Job.Stage))
    for (auto &[Index, Member] : Step.Tasks.records())
      if (Member.isOnVm())
        stopTask(Member);
  archiveFinishedJob(Job);
}

void PoolSchedulerImpl::recordVmFailure(const TaskRecord &Task) {
  VmRecord &Vm = *Task.Vm;
  const TimePoint Now = MonotonicClock_.now();
  Vm.LastFailureAt = Now;
  // A VM that hangs fails all its runs at once; that counts as one failure.
  if (Vm.inQuarantine(Now) && Task.PlacedAt < Vm.QuarantinedAt)
    return;
  if (++Vm.ConsecutiveFailures < Options_.FailuresToQuarantine)
    return;
  Vm.QuarantineDuration =
      std::clamp(Vm.QuarantineDuration * 2, Options_.QuarantineMin,
                 Options_.QuarantineMax);
  Vm.QuarantinedAt = Now;
  Vm.QuarantinedUntil = Now + Vm.QuarantineDuration;
  Tables_.Diagnostics.Quarantines.push_back(
      VmQuarantine{Vm.Description.Id, Vm.QuarantineDuration});
  // A single failure after the quarantine starts the next one.
  Vm.ConsecutiveFailures = Options_.FailuresToQuarantine - 1;
}

PoolLoad PoolSchedulerImpl::load() const {
  PoolLoad Out;
  for (const auto &[Id, Vm] : Tables_.Vms) {
    ++Out.Vms;
    Out.LeasedVms += Vm->LeaseHeld;
    Out.UnknownRuns += static_cast<int>(Vm->UnknownRuns.size());
    Out.UsedMilliCores += Vm->Used.MilliCores;
    Out.TotalMilliCores += Vm->Description.Total.MilliCores;
    for (const TaskRecord *Task : Vm->Tasks) {
      Out.PlacedTasks += Task->Phase == TaskPhase::Placed;
      Out.RunningTasks += Task->Phase == TaskPhase::Running;
      Out.StoppingTasks += Task->Phase == TaskPhase::Stopping;
    }
  }
  for (const auto &[Id, Job] : Tables_.Jobs) {
    ++Out.Jobs;
    if (isFinal(Job->Stage))
      continue;
    for (const auto &[Number, Occurrence] : Job->Occurrences)
      for (const StepRecord &Step : Occurrence->Steps)
        if (isReady(Step))
          Out.WaitingTasks += Step.WaitingTasks;
  }
  return Out;
}

std::vector<std::string> PoolSchedulerImpl::occupiedVms() const {
  std::vector<std::string> Out;
  for (const auto &[Id, Vm] : Tables_.Vms)
    if (!Vm->Tasks.empty() || !Vm->UnknownRuns.empty())
      Out.push_back(Id);
  return Out;
}

} // namespace cuminroad
