// Placement of gangs, whose tasks start together.
#include "SchedulingPass.h"

#include <algorithm>
#include <string_view>
#include <tuple>

#include "Forecast.h"

namespace cuminroad {

bool SchedulingPass::reserveForTrial(const StepRecord &Step,
                                     std::span<VmRecord *const> Vms) const {
  bool AllFree = true;
  for (VmRecord *Vm : Vms) {
    Vm->TrialReservedUntil = Now_ + Options_.TrialReservation;
    AllFree = AllFree && !hasOtherNewRuns(Step, *Vm);
  }
  return AllFree;
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
    if (hasRoomFor(needOf(Step)))
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
        reservationAllows(needOf(Step), Vm) &&
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
        countFits(roomFor(Step, *Vm), Step.Plan->reservedCapacity());
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

} // namespace cuminroad
