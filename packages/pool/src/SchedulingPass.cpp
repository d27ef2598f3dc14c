#include "SchedulingPass.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "AccountQuota.h"
#include "Forecast.h"

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
/// A step blocked for this long is logged, and again each time this doubles.
constexpr milliseconds FirstBlockedReport{1000};
/// Run time estimates are often too low. A task is only backfilled onto a
/// reserved VM if this multiple of its estimate ends before the reservation.
constexpr double BackfillMargin = 1.3;

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

/// \returns whether the step can start if there is room: no member of a gang is
/// on a VM.
bool isWhole(const StepRecord &Step) {
  return !Step.Plan->Gang || Step.WaitingTasks == Step.Plan->Tasks;
}

/// \returns whether the step has no VM yet that it may use.
bool awaitsAdvice(const StepRecord &Step) {
  return Step.Occurrence->Job->Terms.Advice && Step.AllowedVms.empty();
}

/// \returns whether a waiting task of the step may have crashed a VM.
bool hasWaitingSuspect(const StepRecord &Step) {
  const TaskTable::Records &Records = Step.Tasks.records();
  return std::any_of(Records.begin(), Records.end(), [](const auto &Entry) {
    const TaskRecord &Task = Entry.second;
    return Task.isCrashSuspect() && Task.Phase == TaskPhase::Waiting;
  });
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

void SchedulingPass::run() {
  for (VmRecord *Vm : Tables_.OrderedVms) {
    Vm->ReservationStart.reset();
    for (const auto &[Run, Unknown] : Vm->UnknownRuns)
      TasksWithOtherRuns_.insert(Run.Task);
    if (Vm->acceptsWork() && (!Vm->inQuarantine(Now_) || Vm->NextProbe <= Now_))
      AvailableVms_.push_back(Vm);
  }
  for (const auto &[Name, Account] : Tables_.Accounts) {
    Account->Held = Capacity{};
    Account->Claim = Capacity{};
  }
  for (StepRecord *Step : Waiting_.Steps) {
    Step->Blocked = false;
    Step->ReservedVms.clear();
  }
  ExaminationBudget Budget({.MostUrgent = Options_.MaxBlockedSteps,
                            .InTurn = Options_.MaxBlockedStepsInTurn,
                            .RoundTime = Options_.ExaminationRoundTime},
                           Tables_.PlacementRound, Now_);
  for (StepRecord *Step : Waiting_.Steps) {
    if (!isReady(*Step) || !mayStartTasks(*Step, Options_))
      continue;
    if (isBlockedByQuota(*Step)) {
      handleBlockedByQuota(*Step);
      continue;
    }
    Step->QuotaBlockedSince.reset();
    const PlacementNeed Need = needOf(*Step->Plan);
    if (isWhole(*Step) && (awaitsAdvice(*Step) || isKnownBlocked(Need))) {
      handleBlocked(*Step, Need);
      if (Budget.isMostUrgent() && !isBeyondPool(Need))
        Budget.spend();
    } else if (Budget.admit(Step->PlacementRound)) {
      placeStep(*Step);
      if (Step->Blocked && !(Budget.isMostUrgent() && isBeyondPool(Need)))
        Budget.spend();
    }
  }
  Budget.finish();
}

bool SchedulingPass::isKnownBlocked(const PlacementNeed &Need) {
  return !Need.PerTask.fitsIn(largestFreeCapacity()) ||
         NeedsWithoutRoom_.cover(Need);
}

template <typename F>
bool SchedulingPass::isMet(const PlacementNeed &Need, F CapacityOf) const {
  std::int64_t MissingTasks = Need.Tasks;
  for (const VmRecord *Vm : AvailableVms_) {
    if (!Need.RequiredLabel.empty() &&
        !Vm->Description.hasLabel(Need.RequiredLabel))
      continue;
    if (const std::optional<Capacity> Room = CapacityOf(*Vm))
      MissingTasks -=
          std::min<std::int64_t>(countFits(*Room, Need.PerTask), Need.MaxPerVm);
    if (MissingTasks <= 0)
      return true;
  }
  return false;
}

bool SchedulingPass::hasRoomFor(const PlacementNeed &Need) const {
  return isMet(Need, [&](const VmRecord &Vm) -> std::optional<Capacity> {
    if (!Vm.acceptsWork() || !hasValidCapacity(Vm) ||
        !reservationAllows(Need, Vm))
      return std::nullopt;
    return Vm.freeCapacity();
  });
}

bool SchedulingPass::isBeyondPool(const PlacementNeed &Need) {
  if (NeedsBeyondPool_.cover(Need))
    return true;
  const bool FitsEmptyPool =
      isMet(Need, [](const VmRecord &Vm) -> std::optional<Capacity> {
        return Vm.Description.Total;
      });
  return !FitsEmptyPool && NeedsBeyondPool_.add(Need);
}

void SchedulingPass::placeStep(StepRecord &Step) {
  if (Step.Plan->Gang)
    placeGang(Step);
  else
    placeTasks(Step);
  if (!Step.Blocked) {
    Step.BlockedSince.reset();
    return;
  }
  const PlacementNeed Need = needOf(*Step.Plan);
  if (!hasRoomFor(Need))
    NeedsWithoutRoom_.add(Need);
  handleBlocked(Step, Need);
}

void SchedulingPass::handleBlocked(StepRecord &Step,
                                   const PlacementNeed &Need) {
  Step.Blocked = true;
  // Of the steps that can only wait for room, the most urgent ones suffice.
  if (++BlockedSteps_ <= Options_.MaxBlockedSteps || !isKnownBlocked(Need))
    reportBlocked(Step);
  if (ReservationCount_ < Options_.MaxReservedSteps &&
      ReservationAttempts_ < Options_.MaxBlockedSteps &&
      !NeedsWithoutForecast_.cover(Need))
    reserveVms(Step, Need);
}

void SchedulingPass::handleBlockedByQuota(StepRecord &Step) {
  Step.BlockedSince.reset();
  AccountRecord &Account = *Step.Occurrence->Job->Account;
  // An account may have thousands of steps that wait for its quota; its most
  // urgent one suffices.
  if (std::exchange(Account.QuotaReportedAt, Now_) == Now_)
    return;
  if (!Step.QuotaBlockedSince) {
    Step.QuotaBlockedSince = Now_;
    Step.NextBlockedReport = FirstBlockedReport;
  }
  holdQuotaFor(Step, Now_);
  const auto Waited =
      std::chrono::duration_cast<milliseconds>(Now_ - *Step.QuotaBlockedSince);
  if (!isReportDue(Step, Waited))
    return;
  BlockedStep Report;
  Report.Step = nameOf(Step);
  Report.Waited = Waited;
  Report.WaitingTasks = Step.WaitingTasks;
  Report.QuotaAccount = Account.Terms.Name;
  Report.QuotaUsed = Account.Used;
  Report.QuotaLimit = Account.Limit;
  Tables_.Diagnostics.BlockedSteps.push_back(std::move(Report));
}

bool SchedulingPass::isReportDue(StepRecord &Step, milliseconds Waited) {
  if (Waited < Step.NextBlockedReport)
    return false;
  Step.NextBlockedReport *= 2;
  return true;
}

void SchedulingPass::reportBlocked(StepRecord &Step) {
  if (!Step.BlockedSince) {
    Step.BlockedSince = Now_;
    Step.NextBlockedReport = FirstBlockedReport;
  }
  const auto Waited =
      std::chrono::duration_cast<milliseconds>(Now_ - *Step.BlockedSince);
  if (!isReportDue(Step, Waited))
    return;
  BlockedStep Report;
  Report.Step = nameOf(Step);
  Report.Waited = Waited;
  Report.WaitingTasks = Step.WaitingTasks;
  const bool NeedsAdvice = Step.Occurrence->Job->Terms.Advice.has_value();
  for (const auto &[Id, Vm] : Tables_.Vms) {
    if (NeedsAdvice && !Step.AllowedVms.contains(Vm.get()))
      continue;
    ++Report.AllowedVms;
    Report.AvailableVms += Vm->acceptsWork();
    Report.UsableVms += Vm->acceptsWork() && canHost(*Step.Plan, *Vm) &&
                        !Vm->inQuarantine(Now_);
    Report.VmsWithRoom +=
        Step.Plan->reservedCapacity().fitsIn(Vm->freeCapacity());
  }
  forEachPermittedVm(Step,
                     [&Report](const VmRecord &) { ++Report.VmsWithTicket; });
  Tables_.Diagnostics.BlockedSteps.push_back(std::move(Report));
}

const Capacity &SchedulingPass::largestFreeCapacity() {
  if (!LargestFreeKnown_) {
    LargestFree_ = Capacity{};
    for (const VmRecord *Vm : AvailableVms_) {
      const Capacity Free = Vm->freeCapacity();
      LargestFree_.MilliCores =
          std::max(LargestFree_.MilliCores, Free.MilliCores);
      LargestFree_.MemoryMb = std::max(LargestFree_.MemoryMb, Free.MemoryMb);
      LargestFree_.Accelerators =
          std::max(LargestFree_.Accelerators, Free.Accelerators);
    }
    LargestFreeKnown_ = true;
  }
  return LargestFree_;
}

bool SchedulingPass::reducesMaximum(const Capacity &FreeBefore,
                                    const Capacity &FreeNow) const {
  const auto Reduces = [](std::int64_t Before, std::int64_t Now,
                          std::int64_t Largest) {
    return Now < Before && Before >= Largest;
  };
  return Reduces(FreeBefore.MilliCores, FreeNow.MilliCores,
                 LargestFree_.MilliCores) ||
         Reduces(FreeBefore.MemoryMb, FreeNow.MemoryMb,
                 LargestFree_.MemoryMb) ||
         Reduces(FreeBefore.Accelerators, FreeNow.Accelerators,
                 LargestFree_.Accelerators);
}

template <typename F>
void SchedulingPass::forEachPermittedVm(const StepRecord &Step, F Visit) const {
  if (!Step.Occurrence->Job->Terms.Advice) {
    for (VmRecord *Vm : AvailableVms_)
      Visit(*Vm);
    return;
  }
  for (const auto &[Vm, Ticket] : Step.AllowedVms)
    if (Ticket.VmIncarnation == Vm->Description.Incarnation &&
        Ticket.ValidUntil > Now_ + Options_.TicketMargin + Options_.StartDelay)
      Visit(*Vm);
}

bool SchedulingPass::canPlaceTask(const StepRecord &Step,
                                  const VmRecord &Vm) const {
  return Step.Plan->reservedCapacity().fitsIn(Vm.freeCapacity()) &&
         hasValidCapacity(Vm) && reservationAllows(needOf(*Step.Plan), Vm) &&
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

bool SchedulingPass::reserveForTrial(const StepRecord &Step,
                                     std::span<VmRecord *const> Vms) const {
  bool AllFree = true;
  for (VmRecord *Vm : Vms) {
    Vm->TrialReservedUntil = Now_ + Options_.TrialReservation;
    AllFree = AllFree && !hasOtherNewRuns(Step, *Vm);
  }
  return AllFree;
}

void SchedulingPass::placeCrashSuspects(StepRecord &Step) {
  for (auto &[Index, Task] : Step.Tasks.records()) {
    if (!Task.isCrashSuspect() || Task.Phase != TaskPhase::Waiting ||
        Task.NotPlacedBefore > Now_ || hasOtherRun(Step, Index))
      continue;
    if (isBlockedByQuota(Step))
      return;
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
    Place(Step.Tasks.begin(*Index));
  }
}

void SchedulingPass::placeGang(StepRecord &Step) {
  // Members of an earlier run may still be on VMs.
  if (!isWhole(Step) || hasOtherRunOf(Step))
    return;
  std::int64_t LastRun = 0;
  for (const auto &[Index, Task] : Step.Tasks.records()) {
    if (Task.NotPlacedBefore > Now_)
      return;
    LastRun = std::max(LastRun, Task.Run);
  }
  if (Step.Plan->Tasks > Options_.MaxGangTasks) {
    Step.Blocked = true;
    if (hasRoomFor(needOf(*Step.Plan)))
      Tables_.UnrecordableJobs.insert(Step.Occurrence->Job->Plan.Id);
    return;
  }
  std::vector<VmRecord *> ChosenVms;
  bool Placed = false;
  if (Step.Plan->SameRack) {
    std::set<std::string_view> Racks;
    for (const auto &[Id, Vm] : Tables_.Vms)
      for (const std::string &Label : Vm->Description.Labels)
        Racks.insert(Label);
    for (const std::string_view Rack : Racks)
      if (!Placed)
        Placed = chooseGangVms(Step, Rack, ChosenVms);
  }
  if (!Placed && !chooseGangVms(Step, "", ChosenVms)) {
    Step.Blocked = true;
    return;
  }
  if (hasWaitingSuspect(Step) && !reserveForTrial(Step, ChosenVms))
    return;
  for (int Index = 0; Index < Step.Tasks.size(); ++Index) {
    TaskRecord &Task = Step.Tasks.begin(Index);
    VmRecord &Vm = *ChosenVms[static_cast<std::size_t>(Index)];
    if (Task.isCrashSuspect())
      Vm.Trial = &Task;
    Vm.TrialReservedUntil = TimePoint{};
    startRun(Task, Vm, LastRun + 1);
  }
}

bool SchedulingPass::chooseGangVms(StepRecord &Step, std::string_view Rack,
                                   std::vector<VmRecord *> &ChosenVms) {
  std::vector<ScoredVm> UsableVms;
  forEachPermittedVm(Step, [&](VmRecord &Vm) {
    if (isEligible(Step, Vm) && hasValidCapacity(Vm) &&
        reservationAllows(needOf(*Step.Plan), Vm) &&
        (Rack.empty() || Vm.Description.hasLabel(Rack)))
      UsableVms.push_back(ScoredVm{score(Step, Vm), &Vm});
  });
  std::sort(UsableVms.begin(), UsableVms.end(),
            [](const ScoredVm &Left, const ScoredVm &Right) {
              return std::tie(Left.Score, Left.Vm->Position) <
                     std::tie(Right.Score, Right.Vm->Position);
            });
  ChosenVms.clear();
  const auto WantedTasks = static_cast<std::size_t>(Step.Tasks.size());
  for (const auto &[Score, Vm] : UsableVms) {
    int FittingTasks =
        countFits(Vm->freeCapacity(), Step.Plan->reservedCapacity());
    if (Step.Plan->MaxPerVm > 0)
      FittingTasks =
          std::min(FittingTasks, Step.Plan->MaxPerVm - tasksOnVm(Step, *Vm));
    while (FittingTasks-- > 0 && ChosenVms.size() < WantedTasks)
      ChosenVms.push_back(Vm);
  }
  return ChosenVms.size() == WantedTasks;
}

bool SchedulingPass::hasOtherRunOf(const StepRecord &Step) const {
  if (TasksWithOtherRuns_.empty())
    return false;
  const StepName Name = nameOf(Step);
  const auto First = TasksWithOtherRuns_.lower_bound(TaskName{Name, 0});
  return First != TasksWithOtherRuns_.end() && First->Step == Name;
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

bool SchedulingPass::reservationAllows(const PlacementNeed &Need,
                                       const VmRecord &Vm) const {
  if (!Vm.ReservationStart)
    return true;
  if (Need.PerTask.fitsIn(Vm.BackfillRoom))
    return true;
  if (Need.RunTime == milliseconds::max())
    return false;
  const auto ExpectedRunTime = std::chrono::duration_cast<milliseconds>(
      Need.RunTime * BackfillMargin * Vm.Slowdown);
  return Now_ + ExpectedRunTime <= *Vm.ReservationStart;
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

int SchedulingPass::countFitsAt(const StepRecord &Step, const VmRecord &Vm,
                                TimePoint When) const {
  int Out =
      countFits(freeCapacityAt(Vm, When, Now_), Step.Plan->reservedCapacity());
  if (Step.Plan->MaxPerVm > 0)
    Out =
        std::min(Out, Step.Plan->MaxPerVm - tasksOnVmAt(Step, Vm, When, Now_));
  return std::max(Out, 0);
}

void SchedulingPass::reserveVms(StepRecord &Step, const PlacementNeed &Need) {
  ++ReservationAttempts_;
  const bool NeedsAdvice = Step.Occurrence->Job->Terms.Advice.has_value();
  std::vector<VmRecord *> UsableVms;
  // VMs are excluded that other steps with the same need could use.
  bool AnyExcluded = NeedsAdvice;
  const auto AddIfUsable = [&](VmRecord *Vm) {
    if (!canHost(*Step.Plan, *Vm) || !hasValidCapacity(*Vm) ||
        Vm->ReservationStart)
      return;
    if (isEligible(Step, *Vm))
      UsableVms.push_back(Vm);
    else
      AnyExcluded = true;
  };
  if (NeedsAdvice) {
    for (const auto &[Vm, Ticket] : Step.AllowedVms)
      AddIfUsable(Vm);
    std::sort(UsableVms.begin(), UsableVms.end(),
              [](const VmRecord *Left, const VmRecord *Right) {
                return Left->Position < Right->Position;
              });
  } else {
    std::for_each(AvailableVms_.begin(), AvailableVms_.end(), AddIfUsable);
  }
  std::vector<TimePoint> CandidateTimes{Now_};
  for (const VmRecord *Vm : UsableVms)
    for (const ExpectedEnd &End : expectedEnds(*Vm))
      CandidateTimes.push_back(std::max(End.At, earliestEnd(Now_)));
  const auto WantedTasks = static_cast<int>(Need.Tasks);
  const auto EnoughRoom = [&](TimePoint When) {
    std::int64_t FittingTasks = 0;
    for (const VmRecord *Vm : UsableVms) {
      FittingTasks += std::min(countFitsAt(Step, *Vm, When), WantedTasks);
      if (FittingTasks >= WantedTasks)
        return true;
    }
    return false;
  };
  std::sort(CandidateTimes.begin(), CandidateTimes.end());
  const auto EarliestStart = std::partition_point(
      CandidateTimes.begin(), CandidateTimes.end(),
      [&EnoughRoom](TimePoint When) { return !EnoughRoom(When); });
  if (EarliestStart == CandidateTimes.end()) {
    if (!AnyExcluded)
      NeedsWithoutForecast_.add(Need);
    return;
  }
  ++ReservationCount_;
  std::vector<std::pair<int, VmRecord *>> VmsByRoom;
  VmsByRoom.reserve(UsableVms.size());
  for (VmRecord *Vm : UsableVms)
    VmsByRoom.emplace_back(-countFitsAt(Step, *Vm, *EarliestStart), Vm);
  std::stable_sort(VmsByRoom.begin(), VmsByRoom.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first < Right.first;
                   });
  int RemainingTasks = WantedTasks;
  Step.ReservationStart = *EarliestStart;
  for (const auto &[NegatedRoom, Vm] : VmsByRoom) {
    const int TasksHere = std::min(-NegatedRoom, RemainingTasks);
    if (TasksHere <= 0)
      return;
    Vm->ReservationStart = *EarliestStart;
    Vm->BackfillRoom = freeCapacityAt(*Vm, *EarliestStart, Now_) -
                       Step.Plan->reservedCapacity() * TasksHere;
    // A task beside the step must fit now as well as then.
    Vm->BackfillRoom = componentwiseMin(Vm->BackfillRoom, Vm->freeCapacity());
    Step.ReservedVms.push_back(Vm);
    RemainingTasks -= TasksHere;
  }
}

} // namespace cuminroad
