#include "Preemption.h"

#include <algorithm>

namespace cuminroad {

namespace {

bool mayDisplace(const TaskPlace &Place, std::span<const JobState> Jobs,
                 std::span<const CustomerState> Customers) {
  const JobState &Job = Jobs[Place.Job];
  return Job.Spec.Checkpointable && Job.Spec.Kind != JobKind::Gang &&
         Job.Tasks[Place.Index].Phase == TaskPhase::Running &&
         !Customers[Job.Customer].urgent();
}

/// Adds the largest victims until the task fits; then drops those that turned
/// out not to be needed.
std::vector<TaskPlace> pickVictims(const Capacity &Size, const VmState &Vm,
                                   std::vector<TaskPlace> Displaceable,
                                   std::span<const JobState> Jobs) {
  const auto HeldBy = [&](const TaskPlace &Place) {
    return Jobs[Place.Job].Tasks[Place.Index].Held;
  };
  std::sort(Displaceable.begin(), Displaceable.end(),
            [&](const TaskPlace &A, const TaskPlace &B) {
              return HeldBy(A).MilliCores > HeldBy(B).MilliCores;
            });
  Capacity Room = Vm.Free;
  std::vector<TaskPlace> Victims;
  for (const TaskPlace &Place : Displaceable) {
    if (Size.fitsIn(Room))
      break;
    Room += HeldBy(Place);
    Victims.push_back(Place);
  }
  if (!Size.fitsIn(Room))
    return {};
  std::erase_if(Victims, [&](const TaskPlace &Place) {
    if (!Size.fitsIn(Room - HeldBy(Place)))
      return false;
    Room -= HeldBy(Place);
    return true;
  });
  return Victims;
}

} // namespace

std::optional<PreemptionPlan>
planPreemption(const Capacity &Size, std::span<const VmState> Vms,
               std::span<const JobState> Jobs,
               std::span<const CustomerState> Customers) {
  PreemptionPlan Best;
  std::int64_t BestCost = 0;
  for (std::size_t Index = 0; Index < Vms.size(); ++Index) {
    const VmState &Vm = Vms[Index];
    // A VM with negative room already makes place for another urgent task.
    if (!Vm.takesWork() || !Size.fitsIn(Vm.Spec.Total) ||
        !Capacity{}.fitsIn(Vm.Free))
      continue;
    std::vector<TaskPlace> Displaceable;
    for (const TaskPlace &Place : Vm.Tasks)
      if (mayDisplace(Place, Jobs, Customers))
        Displaceable.push_back(Place);
    std::vector<TaskPlace> Victims =
        pickVictims(Size, Vm, std::move(Displaceable), Jobs);
    if (Victims.empty())
      continue;
    std::int64_t Cost = 0;
    for (const TaskPlace &Place : Victims)
      Cost += Jobs[Place.Job].Tasks[Place.Index].Held.MilliCores;
    if (Best.Vm < 0 || Cost < BestCost) {
      Best = PreemptionPlan{static_cast<int>(Index), std::move(Victims)};
      BestCost = Cost;
    }
  }
  if (Best.Vm < 0)
    return std::nullopt;
  return Best;
}

} // namespace cuminroad
