#include "ReservationPlan.h"

#include <algorithm>

namespace cuminroad {

namespace {

/// A task that outran its declared time is expected to take this much more.
constexpr milliseconds OverrunGuess{1000};

struct RoomGain {
  TimePoint At;
  int Vm;
  int Tasks;
};

int tasksThatFit(const Capacity &Room, const Capacity &Size) {
  std::int64_t Count = INT32_MAX;
  const auto Limit = [&Count](std::int64_t Have, std::int64_t Need) {
    if (Need > 0)
      Count = std::min(Count, std::max<std::int64_t>(Have, 0) / Need);
  };
  Limit(Room.MilliCores, Size.MilliCores);
  Limit(Room.MemoryMb, Size.MemoryMb);
  Limit(Room.Accelerators, Size.Accelerators);
  return static_cast<int>(Count);
}

/// Appends the times at which \p Vm can hold more tasks of the job.
void addGains(std::vector<RoomGain> &Gains, int Index, const JobState &Job,
              TimePoint Now, const VmState &Vm, std::span<const JobState> Jobs,
              std::span<const CustomerState> Customers) {
  std::vector<std::pair<TimePoint, Capacity>> Ends;
  for (const TaskPlace &Place : Vm.Tasks) {
    const JobState &Other = Jobs[Place.Job];
    const TaskState &Task = Other.Tasks[Place.Index];
    if (const auto End =
            expectedEnd(Other, Task, Customers[Other.Customer], Now))
      Ends.emplace_back(*End, Task.Held);
  }
  std::sort(Ends.begin(), Ends.end(),
            [](const auto &A, const auto &B) { return A.first < B.first; });
  Capacity Room = Vm.Free;
  int Fitting = tasksThatFit(Room, Job.Size);
  if (Fitting > 0)
    Gains.push_back(RoomGain{Now, Index, Fitting});
  for (const auto &[At, Held] : Ends) {
    Room += Held;
    const int Total = tasksThatFit(Room, Job.Size);
    if (Total > Fitting)
      Gains.push_back(RoomGain{At, Index, Total - Fitting});
    Fitting = Total;
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
  return std::max(Task.StartedAt + Corrected, Now + OverrunGuess);
}

std::optional<ReservationPlan>
planReservation(const JobState &Job, TimePoint Now,
                std::span<const VmState> Vms, std::span<const JobState> Jobs,
                std::span<const CustomerState> Customers) {
  std::vector<RoomGain> Gains;
  for (std::size_t Index = 0; Index < Vms.size(); ++Index)
    if (Vms[Index].takesWork() && Job.Size.fitsIn(Vms[Index].Spec.Total))
      addGains(Gains, static_cast<int>(Index), Job, Now, Vms[Index], Jobs,
               Customers);
  std::sort(Gains.begin(), Gains.end(),
            [](const RoomGain &A, const RoomGain &B) { return A.At < B.At; });
  int Needed =
      Job.Spec.Kind == JobKind::Gang ? static_cast<int>(Job.Waiting.size()) : 1;
  ReservationPlan Plan;
  for (const RoomGain &Gain : Gains) {
    if (std::find(Plan.Vms.begin(), Plan.Vms.end(), Gain.Vm) == Plan.Vms.end())
      Plan.Vms.push_back(Gain.Vm);
    Plan.From = Gain.At;
    Needed -= Gain.Tasks;
    if (Needed <= 0)
      return Plan;
  }
  return std::nullopt;
}

} // namespace cuminroad
