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

bool FirstComeFirstFit::startTasks(const JobSpec &Spec, int FirstTask) {
  const int TaskLimit = Spec.Kind == JobKind::Gang ? Spec.Tasks : FirstTask + 1;
  std::vector<std::size_t> VmIndices;
  for (int Task = FirstTask; Task < TaskLimit; ++Task) {
    const auto Found =
        std::find_if(Vms_.begin(), Vms_.end(), [&](const Vm &Candidate) {
          return Spec.PerTask.fitsIn(Candidate.Free);
        });
    if (Found == Vms_.end())
      break;
    Found->Free -= Spec.PerTask;
    VmIndices.push_back(static_cast<std::size_t>(Found - Vms_.begin()));
  }
  if (static_cast<int>(VmIndices.size()) < TaskLimit - FirstTask) {
    for (const std::size_t VmIndex : VmIndices)
      Vms_[VmIndex].Free += Spec.PerTask;
    return false;
  }
  for (int Task = FirstTask; Task < TaskLimit; ++Task) {
    const TaskRef Ref{Spec.Id, Task};
    const std::size_t VmIndex =
        VmIndices[static_cast<std::size_t>(Task - FirstTask)];
    Running_[Ref] = {VmIndex, Spec.PerTask};
    Commands_.push_back(StartTask{Vms_[VmIndex].Spec.Id, TaskAttempt{Ref, 1},
                                  Spec.PerTask, Spec.Duration, false});
  }
  return true;
}

void FirstComeFirstFit::schedule() {
  while (!Queue_.empty()) {
    auto &[Spec, NextTask] = Queue_.front();
    if (!startTasks(Spec, NextTask))
      return;
    NextTask = Spec.Kind == JobKind::Gang ? Spec.Tasks : NextTask + 1;
    if (NextTask >= Spec.Tasks)
      Queue_.pop_front();
  }
}

std::vector<Command> FirstComeFirstFit::takeCommands() {
  return std::exchange(Commands_, {});
}

std::vector<VmView> FirstComeFirstFit::vms() const {
  std::vector<VmView> Views;
  for (const Vm &Listed : Vms_)
    Views.push_back(VmView{Listed.Spec.Id, VmCondition::Usable,
                           Listed.Spec.Total, Listed.Free, false, false, 0});
  return Views;
}

} // namespace cuminroad
