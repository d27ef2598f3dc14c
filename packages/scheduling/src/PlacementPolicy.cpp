#include "PlacementPolicy.h"

#include <map>
#include <string_view>
#include <tuple>

namespace cuminroad {

namespace {

double fraction(std::int64_t Part, std::int64_t Total) {
  return Total == 0 ? 0.0
                    : static_cast<double>(Part) / static_cast<double>(Total);
}

/// \returns the capacity that the VM has left with the task on it: the sum of
/// the fractions of processors, memory and accelerators.
double remainingFraction(const VmState &Vm, const Capacity &Size) {
  const Capacity Remaining = Vm.FreeCapacity - Size;
  return fraction(Remaining.MilliCores, Vm.Spec.Total.MilliCores) +
         fraction(Remaining.MemoryMb, Vm.Spec.Total.MemoryMb) +
         fraction(Remaining.Accelerators, Vm.Spec.Total.Accelerators);
}

bool wastesAccelerators(const VmState &Vm, const Capacity &Size) {
  return Vm.hasAccelerators() && Size.Accelerators == 0;
}

class BestFit final : public PlacementPolicy {
public:
  int choose(std::span<const VmState> Vms, const JobState &Job,
             std::span<const int> Candidates) const override {
    int Best = Candidates.front();
    auto BestKey = key(Vms[Best], Job);
    for (const int Candidate : Candidates.subspan(1)) {
      const auto Key = key(Vms[Candidate], Job);
      if (Key < BestKey) {
        Best = Candidate;
        BestKey = Key;
      }
    }
    return Best;
  }

private:
  static std::pair<bool, double> key(const VmState &Vm, const JobState &Job) {
    return {wastesAccelerators(Vm, Job.TaskSize),
            remainingFraction(Vm, Job.TaskSize)};
  }
};

class RackSpread final : public PlacementPolicy {
public:
  int choose(std::span<const VmState> Vms, const JobState &Job,
             std::span<const int> Candidates) const override {
    std::map<std::string_view, int> TasksInRack;
    std::map<int, int> TasksOnVm;
    for (const TaskState &Task : Job.Tasks)
      if (Task.Vm >= 0) {
        ++TasksInRack[Vms[Task.Vm].Spec.Rack];
        ++TasksOnVm[Task.Vm];
      }
    const auto Key = [&](int Index) {
      const VmState &Vm = Vms[Index];
      return std::tuple(wastesAccelerators(Vm, Job.TaskSize),
                        TasksInRack[Vm.Spec.Rack], TasksOnVm[Index],
                        remainingFraction(Vm, Job.TaskSize));
    };
    int Best = Candidates.front();
    auto BestKey = Key(Best);
    for (const int Candidate : Candidates.subspan(1)) {
      const auto Other = Key(Candidate);
      if (Other < BestKey) {
        Best = Candidate;
        BestKey = Other;
      }
    }
    return Best;
  }
};

} // namespace

const PlacementPolicy &bestFit() {
  static const BestFit Policy;
  return Policy;
}

const PlacementPolicy &rackSpread() {
  static const RackSpread Policy;
  return Policy;
}

const PlacementPolicy &placementPolicy(JobKind Kind) {
  return Kind == JobKind::Service ? rackSpread() : bestFit();
}

} // namespace cuminroad
