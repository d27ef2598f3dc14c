#include "ReservationPlan.h"

#include <algorithm>

namespace cuminroad {

namespace {

/// Expected remaining time of a task that has exceeded its expected run time.
constexpr milliseconds OverrunEstimate{1000};

/// A time from which a VM fits this many more tasks of the job.
struct CapacityGain {
  TimePoint Time;
  int Vm;
  int TaskCount;
};

int tasksThatFit(const Capacity &FreeCapacity, const Capacity &Size) {
  std::int64_t Count = INT32_MAX;
  const auto Limit = [&Count](std::int64_t Available, std::int64_t Required) {
    if (Required > 0)
      Count = std::min(Count, std::max<std::int64_t>(Available, 0) / Required);
  };
  Limit(FreeCapacity.MilliCores, Size.MilliCores);
  Limit(FreeCapacity.MemoryMb, Size.MemoryMb);
  Limit(FreeCapacity.Accelerators, Size.Accelerators);
  return static_cast<int>(Count);
}

/// Appends the times at which running tasks of \p Vm end and more tasks of the
/// job fit.
void appendCapacityGains(std::vector<CapacityGain> &Gains, int Index,
                         const JobState &Job, TimePoint Now, const VmState &Vm,
                         std::span<const JobState> Jobs,
                         std::span<const CustomerState> Customers) {
  std::vector<std::pair<TimePoint, Capacity>> Ends;
  for (const TaskHandle &Handle : Vm.Tasks) {
    const JobState &Other = Jobs[Handle.Job];
    const TaskState &Task = Other.Tasks[Handle.Index];
    if (const auto End =
            expectedEnd(Other, Task, Customers[Other.Customer], Now))
      Ends.emplace_back(*End, Task.HeldCapacity);
  }
  std::sort(Ends.begin(), Ends.end(),
            [](const auto &A, const auto &B) { return A.first < B.first; });
  Capacity FreeCapacity = Vm.FreeCapacity;
  int FittingTasks = tasksThatFit(FreeCapacity, Job.TaskSize);
  if (FittingTasks > 0)
    Gains.push_back(CapacityGain{Now, Index, FittingTasks});
  for (const auto &[EndTime, Freed] : Ends) {
    FreeCapacity += Freed;
    const int NewTotal = tasksThatFit(FreeCapacity, Job.TaskSize);
    if (NewTotal > FittingTasks)
      Gains.push_back(CapacityGain{EndTime, Index, NewTotal - FittingTasks});
    FittingTasks = NewTotal;
  }
}

} // namespace

std::optional<TimePoint> expectedEnd(const JobState &Job, const TaskState &Task,
                                     const CustomerState &Customer,
                                     TimePoint Now) {
  if (Job.Spec.Duration.count() == 0)
    return std::nullopt;
  const auto Corrected = std::chrono::duration_cast<milliseconds>(
      Job.Spec.Duration * Customer.RunTimeRatio);
  return std::max(Task.StartedAt + Corrected, Now + OverrunEstimate);
}

std::optional<ReservationPlan>
planReservation(const JobState &Job, TimePoint Now,
                std::span<const VmState> Vms, std::span<const JobState> Jobs,
                std::span<const CustomerState> Customers) {
  std::vector<CapacityGain> Gains;
  for (std::size_t Index = 0; Index < Vms.size(); ++Index)
    if (Vms[Index].acceptsTasks() && Job.TaskSize.fitsIn(Vms[Index].Spec.Total))
      appendCapacityGains(Gains, static_cast<int>(Index), Job, Now, Vms[Index],
                          Jobs, Customers);
  std::sort(Gains.begin(), Gains.end(),
            [](const CapacityGain &A, const CapacityGain &B) {
              return A.Time < B.Time;
            });
  int Needed = Job.Spec.Kind == JobKind::Gang
                   ? static_cast<int>(Job.WaitingTasks.size())
                   : 1;
  ReservationPlan Plan;
  for (const CapacityGain &Gain : Gains) {
    if (std::find(Plan.Vms.begin(), Plan.Vms.end(), Gain.Vm) == Plan.Vms.end())
      Plan.Vms.push_back(Gain.Vm);
    Plan.StartTime = Gain.Time;
    Needed -= Gain.TaskCount;
    if (Needed <= 0)
      return Plan;
  }
  return std::nullopt;
}

} // namespace cuminroad
