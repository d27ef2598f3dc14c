#include "Forecast.h"

#include <algorithm>
#include <limits>

#include "PoolTables.h"

namespace cuminroad {

namespace {

/// Runs tend to end later than expected, so a run that has not ended yet is
/// expected to take at least this much longer.
constexpr milliseconds MinRemaining{50};

TimePoint expectedEnd(const TaskRecord &Task, const VmRecord &Vm) {
  if (Task.LogRunTime)
    return expectedEnd(Task);
  return Task.PlacedAt + std::chrono::duration_cast<milliseconds>(
                             predictedRunTime(*Task.Step) * Vm.Slowdown);
}

/// Counts how many tasks fit in one dimension of a capacity.
std::int64_t fits(std::int64_t Free, std::int64_t Need) {
  // A VM whose capacity has shrunk below what is on it has no room at all.
  if (Free < 0)
    return 0;
  return Need <= 0 ? std::numeric_limits<int>::max() : Free / Need;
}

} // namespace

TimePoint expectedEnd(const TaskRecord &Task) {
  return Task.PlacedAt + (Task.LogRunTime ? fromLogMs(*Task.LogRunTime)
                                          : predictedRunTime(*Task.Step));
}

int countFits(const Capacity &Free, const Capacity &Need) {
  return static_cast<int>(
      std::min({fits(Free.MilliCores, Need.MilliCores),
                fits(Free.MemoryMb, Need.MemoryMb),
                fits(Free.Accelerators, Need.Accelerators)}));
}

std::span<const ExpectedEnd> expectedEnds(const VmRecord &Vm) {
  if (Vm.ExpectedEndsKnown)
    return Vm.ExpectedEnds;
  Vm.ExpectedEnds.clear();
  for (const TaskRecord *Task : Vm.Tasks) {
    const StepPlan &Plan = *Task->Step->Plan;
    if (!Plan.LongRunning)
      Vm.ExpectedEnds.push_back(
          ExpectedEnd{expectedEnd(*Task, Vm), Plan.reservedCapacity()});
  }
  std::sort(Vm.ExpectedEnds.begin(), Vm.ExpectedEnds.end(),
            [](const ExpectedEnd &Left, const ExpectedEnd &Right) {
              return Left.At < Right.At;
            });
  Capacity Released;
  for (ExpectedEnd &Each : Vm.ExpectedEnds)
    Each.ReleasedUntilThen = Released += Each.ReleasedUntilThen;
  Vm.ExpectedEndsKnown = true;
  return Vm.ExpectedEnds;
}

int tasksOnVmAt(const StepRecord &Step, const VmRecord &Vm, TimePoint When,
                TimePoint Now) {
  if (When < earliestEnd(Now) || Step.Plan->LongRunning)
    return tasksOnVm(Step, Vm);
  return static_cast<int>(std::count_if(
      Vm.Tasks.begin(), Vm.Tasks.end(), [&](const TaskRecord *Task) {
        return Task->Step == &Step && expectedEnd(*Task, Vm) > When;
      }));
}

TimePoint earliestEnd(TimePoint Now) { return Now + MinRemaining; }

Capacity freeCapacityAt(const VmRecord &Vm, TimePoint When, TimePoint Now) {
  Capacity Out = Vm.freeCapacity();
  if (When < earliestEnd(Now))
    return Out;
  const std::span<const ExpectedEnd> Ends = expectedEnds(Vm);
  const auto After = std::upper_bound(
      Ends.begin(), Ends.end(), When,
      [](TimePoint Left, const ExpectedEnd &Right) { return Left < Right.At; });
  if (After != Ends.begin())
    Out += std::prev(After)->ReleasedUntilThen;
  return Out;
}

} // namespace cuminroad
