// Choice of a VM for a single task, and the start of its run.
#include "SchedulingPass.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

#include "AccountQuota.h"

namespace cuminroad {

namespace {

// Weights of the terms of a placement's score. They are relative to the share
// of the VM's CPU that is left after the placement, from 0 to 1.
/// Accelerators are the scarcest resource of the VMs that have them.
constexpr double AcceleratorWeight = 2.0;
/// A longer run time costs more than a looser fit.
constexpr double SlowdownWeight = 0.7;
/// For VMs outside of the rack with the step's data.
constexpr double RemoteWeight = 3.0;
/// Best-effort tasks slow down latency-sensitive tasks, so a VM with tasks of
/// the other kind is chosen last.
constexpr double ConflictWeight = 10.0;
/// Spreads the tasks of a long-running step, so that the loss of a VM affects
/// few of them.
constexpr double SpreadWeight = 0.5;
/// A VM that has just failed a run is used if no other VM has room, except for
/// VMs on which the task would disturb others.
constexpr double SuspectWeight = 8.0;
/// A VM in quarantine is only probed if no other VM is usable.
constexpr double QuarantineWeight = 100.0;

/// The time until a start reaches its VM counts towards the age of the VM's
/// capacity up to this part of the largest age.
constexpr int MaxDelayDivisor = 4;

/// \returns the runs that tasksOnVm() counts, and what is known of the VM.
StepOnVm describeStepOnVm(const StepRecord &Step, const VmRecord &Vm,
                          TimePoint Now) {
  StepOnVm Out;
  Out.Limit = Step.Plan->MaxPerVm;
  for (const TaskRecord *Task : Vm.Tasks)
    if (Task->Step == &Step)
      Out.Runs.push_back(TaskRun{nameOf(*Task), Task->Run});
  for (const auto &[Run, Unknown] : Vm.UnknownRuns)
    if (Run.Task.Step == nameOf(Step))
      Out.UnknownRuns.push_back(Run);
  Out.VmIncarnation = Vm.ReportedIncarnation;
  Out.ReportedAt = Vm.ReportedAt;
  Out.DecidedAt = Now;
  return Out;
}

/// \returns whether the VM has best-effort tasks and the step is
/// latency-sensitive, or the other way round.
bool conflicts(const StepRecord &Step, const VmRecord &Vm) {
  if (!Step.Plan->BestEffort && !Step.Plan->isLatencySensitive())
    return false;
  return std::any_of(Vm.Tasks.begin(), Vm.Tasks.end(),
                     [&Step](const TaskRecord *Task) {
                       const StepPlan &Other = *Task->Step->Plan;
                       return Step.Plan->BestEffort ? Other.isLatencySensitive()
                                                    : Other.BestEffort;
                     });
}

} // namespace

bool SchedulingPass::hasWaitingSuspect(const StepRecord &Step) {
  const TaskTable::Records &Records = Step.Tasks.records();
  return std::any_of(Records.begin(), Records.end(), [](const auto &Entry) {
    const TaskRecord &Task = Entry.second;
    return Task.isCrashSuspect() && Task.Phase == TaskPhase::Waiting;
  });
}

bool SchedulingPass::canPlaceTask(const StepRecord &Step,
                                  const VmRecord &Vm) const {
  return Step.Plan->reservedCapacity().fitsIn(roomFor(Step, Vm)) &&
         hasValidCapacity(Vm) && reservationAllows(needOf(Step), Vm) &&
         (Step.Plan->MaxPerVm == 0 ||
          tasksOnVm(Step, Vm) < Step.Plan->MaxPerVm);
}

bool SchedulingPass::hasValidCapacity(const VmRecord &Vm) const {
  // While a start waits for a slow store, its VM lists its capacity again.
  const milliseconds Delay =
      std::min(Options_.StartDelay, Options_.MaxCapacityAge / MaxDelayDivisor);
  return Vm.hasValidCapacity(Now_ + Delay, Options_.MaxCapacityAge);
}

bool SchedulingPass::hasOtherNewRuns(const StepRecord &Step,
                                     const VmRecord &Vm) const {
  return std::any_of(
      Vm.Tasks.begin(), Vm.Tasks.end(), [&](const TaskRecord *Task) {
        return Task->Step->Occurrence->Job != Step.Occurrence->Job &&
               Task->isNewRun(Now_, Options_.NewRunDuration);
      });
}

bool SchedulingPass::isOnTrial(const StepRecord &Step,
                               const VmRecord &Vm) const {
  if (Vm.Trial != nullptr &&
      Vm.Trial->Step->Occurrence->Job != Step.Occurrence->Job &&
      Vm.Trial->isNewRun(Now_, Options_.NewRunDuration))
    return true;
  return Now_ < Vm.TrialReservedUntil && !hasWaitingSuspect(Step);
}

void SchedulingPass::placeCrashSuspects(StepRecord &Step) {
  for (auto &[Index, Task] : Step.Tasks.records()) {
    if (!Task.isCrashSuspect() || Task.Phase != TaskPhase::Waiting ||
        Task.NotPlacedBefore > Now_ || hasOtherRun(Step, Index))
      continue;
    if (isBlockedByQuota(Step))
      return;
    if (isBeyondRate(Step) && !leavesRecentPeak(Step, 1))
      return holdBack(Step);
    // The VM with the fewest runs, since a crash takes them all.
    VmRecord *Best = nullptr;
    VmRecord *BestBusy = nullptr;
    const auto Rank = [this](const VmRecord &Vm) {
      return std::tuple{Vm.hasSuspectHost(Now_), Now_ >= Vm.TrialReservedUntil,
                        Vm.Tasks.size()};
    };
    forEachPermittedVm(Step, [&](VmRecord &Vm) {
      if (!isEligible(Step, Vm) || !canPlaceTask(Step, Vm))
        return;
      VmRecord *&Slot = hasOtherNewRuns(Step, Vm) ? BestBusy : Best;
      if (Slot == nullptr || Rank(Vm) < Rank(*Slot))
        Slot = &Vm;
    });
    if (Best != nullptr) {
      Best->TrialReservedUntil = TimePoint{};
      Best->Trial = &Task;
      startRun(Task, *Best, Task.Run + 1);
    } else if (BestBusy != nullptr) {
      BestBusy->TrialReservedUntil = Now_ + Options_.TrialReservation;
      return;
    } else {
      Step.Blocked = true;
      return;
    }
  }
}

void SchedulingPass::placeTasks(StepRecord &Step) {
  placeCrashSuspects(Step);
  const JobRecord &Job = *Step.Occurrence->Job;
  std::vector<ScoredVm> FittingVms;
  forEachPermittedVm(Step, [&](VmRecord &Vm) {
    if (isEligible(Step, Vm) && canPlaceTask(Step, Vm))
      FittingVms.push_back(ScoredVm{score(Step, Vm), &Vm});
  });
  const auto Place = [&](TaskRecord &Task) {
    const auto Best =
        std::min_element(FittingVms.begin(), FittingVms.end(),
                         [](const ScoredVm &Left, const ScoredVm &Right) {
                           return std::tie(Left.Score, Left.Vm->Position) <
                                  std::tie(Right.Score, Right.Vm->Position);
                         });
    startRun(Task, *Best->Vm, Task.Run + 1);
    if (isEligible(Step, *Best->Vm) && canPlaceTask(Step, *Best->Vm))
      Best->Score = score(Step, *Best->Vm);
    else
      FittingVms.erase(Best);
  };
  for (auto &[Index, Task] : Step.Tasks.records()) {
    if (Task.Phase != TaskPhase::Waiting || Task.NotPlacedBefore > Now_ ||
        Task.isCrashSuspect() || hasOtherRun(Step, Index))
      continue;
    if (isBlockedByQuota(Step))
      return;
    if (FittingVms.empty()) {
      Step.Blocked = true;
      return;
    }
    if (isBeyondRate(Step) && !leavesRecentPeak(Step, 1))
      return holdBack(Step);
    Place(Task);
  }
  for (auto Index = Step.Tasks.nextUnbegun(0); Index;
       Index = Step.Tasks.nextUnbegun(*Index + 1)) {
    if (hasOtherRun(Step, *Index))
      continue;
    if (isBlockedByQuota(Step))
      return;
    if (FittingVms.empty()) {
      Step.Blocked = true;
      return;
    }
    if (Job.RecordedTasks >= Options_.MaxRecordedTasks)
      return;
    if (isBeyondRate(Step) && !leavesRecentPeak(Step, 1))
      return holdBack(Step);
    Place(Step.Tasks.begin(*Index));
  }
}

bool SchedulingPass::isEligible(const StepRecord &Step,
                                const VmRecord &Vm) const {
  return Vm.acceptsWork() && canHost(*Step.Plan, Vm) && !isOnTrial(Step, Vm) &&
         (!Vm.inQuarantine(Now_) || mayProbe(Step, Vm));
}

bool SchedulingPass::mayProbe(const StepRecord &Step,
                              const VmRecord &Vm) const {
  if (!Step.BlockedSince || Now_ < Vm.NextProbe)
    return false;
  const bool LastAttempt =
      !Step.Plan->LongRunning &&
      Step.failures() + 1 >= Step.Occurrence->Job->Terms.MaxAttempts;
  return Now_ - *Step.BlockedSince >=
         Options_.ProbeAfter * (LastAttempt ? 2 : 1);
}

double SchedulingPass::score(const StepRecord &Step, const VmRecord &Vm) const {
  const StepPlan &Plan = *Step.Plan;
  const Capacity Left = Vm.freeCapacity() - Plan.reservedCapacity();
  const auto Share = [](std::int64_t Part, std::int64_t Whole) {
    return Whole > 0 ? static_cast<double>(Part) / static_cast<double>(Whole)
                     : 0.0;
  };
  double Out = Share(Left.MilliCores, Vm.Description.Total.MilliCores) +
               AcceleratorWeight *
                   Share(Left.Accelerators, Vm.Description.Total.Accelerators) +
               SlowdownWeight * (Vm.Slowdown - 1.0);
  if (!Plan.DataRack.empty() && !Vm.Description.hasLabel(Plan.DataRack))
    Out += RemoteWeight * (Options_.RemoteFactor - 1.0);
  if (conflicts(Step, Vm))
    Out += ConflictWeight;
  if (Vm.isSuspect(Now_, Options_.SuspectDuration) || Vm.hasSuspectHost(Now_))
    Out += SuspectWeight;
  if (Vm.inQuarantine(Now_))
    Out += QuarantineWeight;
  if (Plan.LongRunning)
    Out += SpreadWeight * tasksOnVm(Step, Vm);
  return Out;
}

void SchedulingPass::startRun(TaskRecord &Task, VmRecord &Vm,
                              std::int64_t Run) {
  StepRecord &Step = *Task.Step;
  if (Vm.ReservationStart)
    Vm.BackfillRoom -= Step.Plan->reservedCapacity();
  if (Vm.inQuarantine(Now_))
    Vm.NextProbe = Now_ + Options_.MinProbeInterval;
  const Capacity FreeBefore = Vm.freeCapacity();
  std::optional<StepOnVm> OnVm;
  if (Step.Plan->MaxPerVm > 0)
    OnVm = describeStepOnVm(Step, Vm, Now_);
  Tables_.place(Task, Vm, Run, Now_);
  LargestFreeKnown_ =
      LargestFreeKnown_ && !reducesMaximum(FreeBefore, Vm.freeCapacity());
  if (isBeyondRate(Step))
    *SpareCapacity_ -= Step.Plan->reservedCapacity();
  JobRecord &Job = *Step.Occurrence->Job;
  if (Job.Stage == JobStage::Queued)
    Job.Stage = JobStage::Running;
  StartRun Command{Vm.Description.Id, TaskRun{nameOf(Task), Run},
                   Task.Checkpoint, ""};
  if (const auto Ticket = Step.AllowedVms.find(&Vm);
      Ticket != Step.AllowedVms.end()) {
    Command.Ticket = Ticket->second.Ticket;
    Command.TicketExpiry = Ticket->second.ValidUntil;
  }
  Command.OnVm = std::move(OnVm);
  Tables_.Commands.push_back(std::move(Command));
}

} // namespace cuminroad
