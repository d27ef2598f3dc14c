// Handles the events that the VM sessions report to the DomainOwner.

#include "cuminroad/daemon/DomainOwner.h"

#include <fmt/format.h>

#include "TaskText.h"

namespace cuminroad {

void DomainOwner::updateVmSlots(const std::string &Id) {
  const KnownVm &Vm = Vms_.at(Id);
  const bool IsUsable = Vm.Session->held() && !Vm.Leaving &&
                        Vm.ListEntry.State == ListedState::Live;
  Grants_.setVm(Id, Vm.ListEntry.Spec.Service,
                IsUsable ? Vm.ListEntry.Spec.Slots : 0);
}

void DomainOwner::onVmClaimed(const std::string &Id,
                              const std::vector<InventoryTask> &Running) {
  Context_.Events.record(EventId::VmClaimed, Id,
                         fmt::format("{} tasks", Running.size()));
  KnownVm &Vm = Vms_.at(Id);
  updateVmSlots(Id);
  if (!JobsLoaded_) {
    Vm.Inventory = Running;
    return;
  }
  Scheduler_->vmClaimed(Id, Running);
  runScheduler();
}

void DomainOwner::onTasksEnded(const std::string &Id,
                               const std::vector<EndedTask> &Tasks) {
  KnownVm &Vm = Vms_.at(Id);
  if (!JobsLoaded_) {
    // A VM reports each end until it is acknowledged, so the newest list is
    // complete.
    Vm.EndedTasks = Tasks;
    return;
  }
  for (const EndedTask &Task : Tasks)
    applyTaskEnd(Id, Task);
  runScheduler();
}

void DomainOwner::applyTaskEnd(const std::string &Id, const EndedTask &End) {
  const auto Acknowledge = [this, Id, Task = End.Task] {
    if (KnownVm *Vm = findVm(Id))
      Vm->Session->acknowledgeEnd(Task);
  };
  // Acknowledge only an end that is stored in the table: the VM discards an
  // acknowledged end.
  if (End.Stopped || Jobs_->isEndRecorded(End.Task.Task))
    Acknowledge();
  else if (Jobs_->recordEnd(End.Task.Task, End.Failed, Acknowledge))
    Context_.Events.record(EventId::TaskEnded, taskText(End.Task), Id);
  Scheduler_->taskEnded(End.Task, End.Failed, End.Stopped);
}

void DomainOwner::onUsageReported(const std::string &, const TaskAttempt &Task,
                                  const Capacity &Used) {
  Scheduler_->usageReported(Task, Used);
  runScheduler();
}

void DomainOwner::onTaskStarted(const std::string &Vm,
                                const TaskAttempt &Task) {
  Context_.Events.record(EventId::TaskStarted, taskText(Task), Vm);
  Scheduler_->taskStarted(Task);
}

void DomainOwner::onStartRefused(const std::string &Vm, const TaskAttempt &Task,
                                 const std::string &Reason) {
  Context_.Events.record(EventId::TaskStartFailed, taskText(Task),
                         Vm + ": " + Reason);
  if (Reason == "leaving")
    onVmLeaving(Vm);
  Scheduler_->startRefused(Task);
  runScheduler();
}

void DomainOwner::onVmLeaving(const std::string &Id) {
  KnownVm *Vm = findVm(Id);
  if (!Vm || std::exchange(Vm->Leaving, true))
    return;
  Context_.Events.record(EventId::VmLeaving, Id);
  updateVmSlots(Id);
  if (JobsLoaded_)
    Scheduler_->vmLeaving(Id);
  if (OnGrantsChanged)
    OnGrantsChanged();
  runScheduler();
}

void DomainOwner::onLeasesLapsed(const std::string &Vm) {
  Context_.Events.record(EventId::VmLeaseLapsed, Vm);
  Vms_.at(Vm).Inventory.reset();
  updateVmSlots(Vm);
  if (JobsLoaded_)
    Scheduler_->vmTasksEnded(Vm, false);
  runScheduler();
}

void DomainOwner::onClaimSuperseded(const std::string &Vm, std::int64_t Epoch,
                                    const std::string &Holder) {
  Context_.Events.record(EventId::VmClaimRefused, Vm,
                         fmt::format("epoch {} of {}", Epoch, Holder));
  if (OnSuperseded)
    OnSuperseded(Epoch);
}

} // namespace cuminroad
