// Reservations of VMs for blocked steps, and backfilling beside them.
#include "SchedulingPass.h"

#include <algorithm>
#include <utility>

#include "Forecast.h"

namespace cuminroad {

namespace {

/// Run time estimates are often too low. A task is only backfilled onto a
/// reserved VM if this multiple of its estimate ends before the reservation.
constexpr double BackfillMargin = 1.3;

} // namespace

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
