// Admission of jobs beyond the rate of their account. They get only capacity to
// which no other job is entitled.
#include "SchedulingPass.h"

#include <algorithm>

#include "Forecast.h"

namespace cuminroad {

namespace {

/// A task beyond the rate occupies its capacity for about its run time, so the
/// peak of that time is kept free. Arrivals vary within seconds also for jobs
/// with shorter tasks.
constexpr milliseconds MinPeakWindow{2000};
/// Distinct needs of waiting steps for which room is kept free. With more, none
/// is left to jobs beyond the rate.
constexpr std::size_t MaxClaimedNeeds = 32;

/// \returns whether \p Left needs the same VMs and the same room on them.
bool isSameClaim(const PlacementNeed &Left, const PlacementNeed &Right) {
  return Left.PerTask == Right.PerTask && Left.Tasks == Right.Tasks &&
         Left.MaxPerVm == Right.MaxPerVm &&
         Left.RequiredLabel == Right.RequiredLabel;
}

/// Claims room on the VM for as many tasks as could start there together.
void claimOn(VmRecord &Vm, const PlacementNeed &Need) {
  if (!Need.RequiredLabel.empty() &&
      !Vm.Description.hasLabel(Need.RequiredLabel))
    return;
  const std::int64_t Tasks =
      std::min({Need.Tasks, Need.MaxPerVm,
                std::int64_t{countFits(Vm.Description.Total, Need.PerTask)}});
  Vm.EntitledClaim = componentwiseMax(Vm.EntitledClaim, Need.PerTask * Tasks);
}

/// \returns whether \p Need fits in \p Room, without the components of which it
/// needs nothing.
bool fitsWhereNeeded(const Capacity &Need, const Capacity &Room) {
  return (Need.MilliCores == 0 || Need.MilliCores <= Room.MilliCores) &&
         (Need.MemoryMb == 0 || Need.MemoryMb <= Room.MemoryMb) &&
         (Need.Accelerators == 0 || Need.Accelerators <= Room.Accelerators);
}

} // namespace

void SchedulingPass::recordEntitledUse() {
  EntitledUse_ = Capacity{} - Tables_.BeyondRateUsed;
  for (const VmRecord *Vm : Tables_.OrderedVms)
    EntitledUse_ += Vm->Used;
  Tables_.EntitledUse.record(Now_, EntitledUse_);
}

void SchedulingPass::claimRoom(const StepRecord &Step,
                               const PlacementNeed &Need, bool Examined) {
  if (Step.WaitingTasks == 0 || !isWhole(Step))
    return;
  if (Step.Occurrence->Job->Terms.Advice) {
    // A step without advice doesn't wait for room yet. Of many steps with
    // advice, the most urgent ones suffice.
    if (Step.AllowedVms.empty() || ++AdvisedClaims_ > Options_.MaxBlockedSteps)
      return;
    for (const auto &[Vm, Ticket] : Step.AllowedVms)
      claimOn(*Vm, Need);
    return;
  }
  // A step that was examined and isn't blocked by a lack of room waits for
  // something else. One that was not is behind many that are blocked.
  if (Examined && (!Step.Blocked || !isKnownBlocked(Need)))
    return;
  if (Need.Tasks > 1 && isBeyondPool(Need))
    return;
  if (ClaimedNeeds_.size() > MaxClaimedNeeds ||
      std::any_of(ClaimedNeeds_.begin(), ClaimedNeeds_.end(),
                  [&Need](const PlacementNeed &Each) {
                    return isSameClaim(Each, Need);
                  }))
    return;
  ClaimedNeeds_.push_back(Need);
  for (VmRecord *Vm : AvailableVms_)
    if (ClaimedNeeds_.size() > MaxClaimedNeeds)
      Vm->EntitledClaim = Vm->Description.Total;
    else
      claimOn(*Vm, Need);
}

bool SchedulingPass::leavesRecentPeak(const StepRecord &Step,
                                      std::int64_t Tasks) {
  const milliseconds Window =
      std::clamp(needOf(Step).RunTime, MinPeakWindow, UsageHistory::MaxWindow);
  if (Window != PeakWindow_) {
    PeakWindow_ = Window;
    const Capacity Peak = Tables_.EntitledUse.peak(Now_, Window);
    KeptFree_ = componentwiseMax(Peak - EntitledUse_, Capacity{});
  }
  return fitsWhereNeeded(Step.Plan->reservedCapacity() * Tasks,
                         *SpareCapacity_ - KeptFree_);
}

void SchedulingPass::holdBack(StepRecord &Step) {
  Step.HeldBack = true;
  if (++BlockedSteps_ <= Options_.MaxBlockedSteps)
    reportBlocked(Step);
}

bool SchedulingPass::admitBeyondRate(StepRecord &Step,
                                     const PlacementNeed &Need) {
  if (!SpareCapacity_) {
    SpareCapacity_ = Capacity{};
    for (const VmRecord *Vm : AvailableVms_)
      *SpareCapacity_ += componentwiseMax(Vm->freeCapacity(), Capacity{});
    recordEntitledUse();
  }
  if (leavesRecentPeak(Step, Need.Tasks) && !NeedsHeldBack_.cover(Need)) {
    if (hasRoomFor(Need, true))
      return true;
    NeedsHeldBack_.add(Need);
  }
  holdBack(Step);
  return false;
}

} // namespace cuminroad
