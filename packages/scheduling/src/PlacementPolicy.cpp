#include "PlacementPolicy.h"

#include <map>
#include <string_view>
#include <tuple>

namespace cuminroad {

namespace {

double shareLeft(std::int64_t Left, std::int64_t Total) {
  return Total == 0 ? 0.0
                    : static_cast<double>(Left) / static_cast<double>(Total);
}

/// What is left of the VM after the task, as the sum of the shares.
double roomLeft(const VmState &Vm, const Capacity &Size) {
  const Capacity Left = Vm.Free - Size;
  return shareLeft(Left.MilliCores, Vm.Spec.Total.MilliCores) +
         shareLeft(Left.MemoryMb, Vm.Spec.Total.MemoryMb) +
         shareLeft(Left.Accelerators, Vm.Spec.Total.Accelerators);
}

bool wastesAccelerators(const VmState &Vm, const Capacity &Size) {
  return Vm.hasAccelerators() && Size.Accelerators == 0;
}

class TightestFit final : public PlacementPolicy {
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
    return {wastesAccelerators(Vm, Job.Size), roomLeft(Vm, Job.Size)};
  }
};

class RackSpread final : public PlacementPolicy {
public:
  int choose(std::span<const VmState> Vms, const JobState &Job,
             std::span<const int> Candidates) const override {
    std::map<std::string_view, int> InRack;
    std::map<int, int> OnVm;
    for (const TaskState &Task : Job.Tasks)
      if (Task.Vm >= 0) {
        ++InRack[Vms[Task.Vm].Spec.Rack];
        ++OnVm[Task.Vm];
      }
    const auto Key = [&](int Index) {
      const VmState &Vm = Vms[Index];
      return std::tuple(wastesAccelerators(Vm, Job.Size), InRack[Vm.Spec.Rack],
                        OnVm[Index], roomLeft(Vm, Job.Size));
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

const PlacementPolicy &tightestFit() {
  static const TightestFit Policy;
  return Policy;
}

const PlacementPolicy &rackSpread() {
  static const RackSpread Policy;
  return Policy;
}

const PlacementPolicy &placementPolicy(JobKind Kind) {
  return Kind == JobKind::Service ? rackSpread() : tightestFit();
}

} // namespace cuminroad
