#include "FirstComeFirstFit.h"

#include <algorithm>

namespace cuminroad {

void FirstComeFirstFit::listVm(const VmSpec &Spec) {
  Vms_.push_back(Vm{Spec, Spec.Total});
}

void FirstComeFirstFit::submit(const JobSpec &Spec) {
  Queue_.emplace_back(Spec, 0);
}

void FirstComeFirstFit::taskEnded(const TaskAttempt &Task, bool, bool) {
  const auto Found = Running_.find(Task.Task);
  if (Found == Running_.end())
    return;
  Vms_[Found->second.first].Free += Found->second.second;
  Running_.erase(Found);
}

/// Starts one task of a job, or all of a gang.
bool FirstComeFirstFit::startAll(const JobSpec &Spec, int First) {
  const int Last = Spec.Kind == JobKind::Gang ? Spec.Tasks : First + 1;
  std::vector<std::size_t> Places;
  for (int Task = First; Task < Last; ++Task) {
    const auto Found =
        std::find_if(Vms_.begin(), Vms_.end(), [&](const Vm &Each) {
          return Spec.PerTask.fitsIn(Each.Free);
        });
    if (Found == Vms_.end())
      break;
    Found->Free -= Spec.PerTask;
    Places.push_back(static_cast<std::size_t>(Found - Vms_.begin()));
  }
  if (static_cast<int>(Places.size()) < Last - First) {
    for (const std::size_t Place : Places)
      Vms_[Place].Free += Spec.PerTask;
    return false;
  }
  for (int Task = First; Task < Last; ++Task) {
    const TaskRef Ref{Spec.Id, Task};
    const std::size_t Place = Places[static_cast<std::size_t>(Task - First)];
    Running_[Ref] = {Place, Spec.PerTask};
    Commands_.push_back(StartTask{Vms_[Place].Spec.Id, TaskAttempt{Ref, 1},
                                  Spec.PerTask, Spec.Duration, false});
  }
  return true;
}

void FirstComeFirstFit::schedule() {
  while (!Queue_.empty()) {
    auto &[Spec, Next] = Queue_.front();
    if (!startAll(Spec, Next))
      return;
    Next = Spec.Kind == JobKind::Gang ? Spec.Tasks : Next + 1;
    if (Next >= Spec.Tasks)
      Queue_.pop_front();
  }
}

std::vector<Command> FirstComeFirstFit::takeCommands() {
  return std::exchange(Commands_, {});
}

std::vector<VmView> FirstComeFirstFit::vms() const {
  std::vector<VmView> Out;
  for (const Vm &Each : Vms_)
    Out.push_back(VmView{Each.Spec.Id, VmCondition::Usable, Each.Spec.Total,
                         Each.Free, false, false, 0});
  return Out;
}

} // namespace cuminroad
