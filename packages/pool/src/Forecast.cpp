#include "Forecast.h"

#include <algorithm>
#include <limits>

namespace cuminroad {

namespace {

/// Runs tend to end later than expected, so a run that has not ended yet is
/// expected to take at least this much longer.
constexpr milliseconds MinRemaining{50};

/// Counts how many tasks fit in one dimension of a capacity.
std::int64_t fits(std::int64_t Free, std::int64_t Need) {
  // A VM whose capacity has shrunk below what is on it has no room at all.
  if (Free < 0)
    return 0;
  return Need <= 0 ? std::numeric_limits<int>::max() : Free / Need;
}

} // namespace

int countFits(const Capacity &Free, const Capacity &Need) {
  return static_cast<int>(
      std::min({fits(Free.MilliCores, Need.MilliCores),
                fits(Free.MemoryMb, Need.MemoryMb),
                fits(Free.Accelerators, Need.Accelerators)}));
}

TimePoint expectedEnd(const TaskRecord &Task, TimePoint Now) {
  const StepPlan &Plan = *Task.Step->Plan;
  if (Plan.LongRunning)
    return TimePoint::max();
  const TimePoint End =
      Task.PlacedAt + std::chrono::duration_cast<milliseconds>(
                          Plan.Estimate * Task.Vm->Slowdown);
  return std::max(End, Now + MinRemaining);
}

Capacity freeCapacityAt(const VmRecord &Vm, TimePoint When, TimePoint Now) {
  Capacity Out = Vm.freeCapacity();
  for (const TaskRecord *Task : Vm.Tasks)
    if (expectedEnd(*Task, Now) <= When)
      Out += Task->Step->Plan->reservedCapacity();
  return Out;
}

} // namespace cuminroad
