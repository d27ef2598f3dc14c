#include "PreemptionPlan.h"

#include <algorithm>

namespace cuminroad {

namespace {

bool isPreemptible(const TaskHandle &Handle, std::span<const JobState> Jobs,
                   std::span<const CustomerState> Customers) {
  const JobState &Job = Jobs[Handle.Job];
  return Job.Spec.Checkpointable && Job.Spec.Kind != JobKind::Gang &&
         Job.Tasks[Handle.Index].Phase == TaskPhase::Running &&
         !Customers[Job.Customer].urgent();
}

/// Adds tasks, those with the most processors first, until the urgent task
/// fits; then drops those that turn out not to be needed.
/// \returns nothing where the urgent task doesn't fit.
std::vector<TaskHandle> selectVictims(const Capacity &Size, const VmState &Vm,
                                      std::vector<TaskHandle> PreemptibleTasks,
                                      std::span<const JobState> Jobs) {
  const auto HeldCapacityOf = [&](const TaskHandle &Handle) {
    return Jobs[Handle.Job].Tasks[Handle.Index].HeldCapacity;
  };
  std::sort(PreemptibleTasks.begin(), PreemptibleTasks.end(),
            [&](const TaskHandle &A, const TaskHandle &B) {
              return HeldCapacityOf(A).MilliCores >
                     HeldCapacityOf(B).MilliCores;
            });
  Capacity FreeCapacity = Vm.FreeCapacity;
  std::vector<TaskHandle> Victims;
  for (const TaskHandle &Handle : PreemptibleTasks) {
    if (Size.fitsIn(FreeCapacity))
      break;
    FreeCapacity += HeldCapacityOf(Handle);
    Victims.push_back(Handle);
  }
  if (!Size.fitsIn(FreeCapacity))
    return {};
  std::erase_if(Victims, [&](const TaskHandle &Handle) {
    if (!Size.fitsIn(FreeCapacity - HeldCapacityOf(Handle)))
      return false;
    FreeCapacity -= HeldCapacityOf(Handle);
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
  // Milli-cores of the preempted tasks.
  std::int64_t BestCost = 0;
  for (std::size_t Index = 0; Index < Vms.size(); ++Index) {
    const VmState &Vm = Vms[Index];
    // Negative free capacity means that tasks are being preempted here for
    // another urgent task.
    if (!Vm.acceptsTasks() || !Size.fitsIn(Vm.Spec.Total) ||
        !Capacity{}.fitsIn(Vm.FreeCapacity))
      continue;
    std::vector<TaskHandle> PreemptibleTasks;
    for (const TaskHandle &Handle : Vm.Tasks)
      if (isPreemptible(Handle, Jobs, Customers))
        PreemptibleTasks.push_back(Handle);
    std::vector<TaskHandle> Victims =
        selectVictims(Size, Vm, std::move(PreemptibleTasks), Jobs);
    if (Victims.empty())
      continue;
    std::int64_t Cost = 0;
    for (const TaskHandle &Handle : Victims)
      Cost += Jobs[Handle.Job].Tasks[Handle.Index].HeldCapacity.MilliCores;
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
