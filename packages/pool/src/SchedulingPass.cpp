// The order of a pass, and what it does with blocked steps.
#include "SchedulingPass.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "AccountQuota.h"
#include "Forecast.h"

namespace cuminroad {

namespace {

/// A step blocked for this long is logged, and again each time this doubles.
constexpr milliseconds FirstBlockedReport{1000};

/// \returns whether the step has no VM yet that it may use.
bool awaitsAdvice(const StepRecord &Step) {
  return Step.Occurrence->Job->Terms.Advice && Step.AllowedVms.empty();
}

} // namespace

void SchedulingPass::run() {
  for (VmRecord *Vm : Tables_.OrderedVms) {
    Vm->ReservationStart.reset();
    Vm->EntitledClaim = Capacity{};
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
    Step->HeldBack = false;
    Step->ReservedVms.clear();
  }
  AnyBeyondRate_ =
      !Waiting_.Steps.empty() && isBeyondRate(*Waiting_.Steps.back());
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
    const PlacementNeed Need = needOf(*Step);
    if (isBeyondRate(*Step) && !admitBeyondRate(*Step, Need))
      continue;
    bool Examined = true;
    if (isWhole(*Step) && (awaitsAdvice(*Step) || isKnownBlocked(Need))) {
      handleBlocked(*Step, Need);
      if (Budget.isMostUrgent() && !isBeyondPool(Need))
        Budget.spend();
    } else if (Budget.admit(Step->PlacementRound)) {
      placeStep(*Step);
      if ((Step->Blocked || Step->HeldBack) &&
          !(Budget.isMostUrgent() && isBeyondPool(Need)))
        Budget.spend();
    } else {
      Examined = false;
    }
    if (AnyBeyondRate_ && !isBeyondRate(*Step))
      claimRoom(*Step, Need, Examined);
  }
  Budget.finish();
  if (Tables_.AnyAccountInForce && !SpareCapacity_)
    recordEntitledUse();
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

bool SchedulingPass::hasRoomFor(const PlacementNeed &Need,
                                bool BeyondRate) const {
  return isMet(Need, [&](const VmRecord &Vm) -> std::optional<Capacity> {
    if (!Vm.acceptsWork() || !hasValidCapacity(Vm) ||
        !reservationAllows(Need, Vm))
      return std::nullopt;
    return BeyondRate ? unclaimedRoom(Vm) : Vm.freeCapacity();
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
    if (!Step.HeldBack)
      Step.BlockedSince.reset();
    return;
  }
  const PlacementNeed Need = needOf(Step);
  if (!hasRoomFor(Need)) {
    NeedsWithoutRoom_.add(Need);
  } else if (isBeyondRate(Step) && !Step.Occurrence->Job->Terms.Advice) {
    // A step that needs advice may only lack valid tickets, and must ask for
    // them.
    Step.Blocked = false;
    return holdBack(Step);
  }
  handleBlocked(Step, Need);
}

void SchedulingPass::handleBlocked(StepRecord &Step,
                                   const PlacementNeed &Need) {
  Step.Blocked = true;
  // Of the steps that can only wait for room, the most urgent ones suffice.
  if (++BlockedSteps_ <= Options_.MaxBlockedSteps || !isKnownBlocked(Need))
    reportBlocked(Step);
  if (isBeyondRate(Step))
    return;
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
  Report.BeyondRate = isBeyondRate(Step);
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

} // namespace cuminroad
