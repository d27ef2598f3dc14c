#include "PackingScheduler.h"

#include <algorithm>

namespace cuminroad {

VmState *PackingScheduler::findVm(std::string_view Id) {
  const int Index = vmIndex(Id);
  return Index < 0 ? nullptr : &Vms_[Index];
}

int PackingScheduler::vmIndex(std::string_view Id) const {
  const auto Found = VmIndex_.find(std::string(Id));
  return Found == VmIndex_.end() ? -1 : Found->second;
}

int PackingScheduler::customerIndex(std::string_view Name) {
  const auto [Found, New] = CustomerIndex_.try_emplace(
      std::string(Name), static_cast<int>(Customers_.size()));
  if (New) {
    Customers_.emplace_back();
    Customers_.back().Name = Name;
  }
  return Found->second;
}

int PackingScheduler::newJob(const JobSpec &Spec, milliseconds Age) {
  int Index = static_cast<int>(Jobs_.size());
  if (FreeJobSlots_.empty()) {
    Jobs_.emplace_back();
  } else {
    Index = FreeJobSlots_.back();
    FreeJobSlots_.pop_back();
    Jobs_[Index] = JobState();
  }
  JobState &Job = Jobs_[Index];
  Job.Spec = Spec;
  Job.TaskSize = Spec.PerTask;
  Job.Customer = customerIndex(Spec.Customer);
  Job.AcceptedAt = MonotonicClock_.now() - Age;
  const CustomerState &Customer = Customers_[Job.Customer];
  const milliseconds Within =
      Customer.Limit ? Customer.Limit->TaskStartWithin : milliseconds(0);
  Job.StartBy = Job.AcceptedAt + Within;
  Job.Tasks.resize(Spec.Tasks);
  JobIndex_[Spec.Id] = Index;
  return Index;
}

JobState *PackingScheduler::findJob(std::string_view Id) {
  const auto Found = JobIndex_.find(std::string(Id));
  return Found == JobIndex_.end() ? nullptr : &Jobs_[Found->second];
}

TaskState *PackingScheduler::findTask(const TaskAttempt &Task,
                                      TaskHandle &Handle) {
  const auto Found = JobIndex_.find(Task.Task.Job);
  if (Found == JobIndex_.end())
    return nullptr;
  JobState &Job = Jobs_[Found->second];
  const int Index = Task.Task.Index;
  if (Index < 0 || Index >= static_cast<int>(Job.Tasks.size()))
    return nullptr;
  TaskState &State = Job.Tasks[Index];
  if (State.Vm < 0 || State.Attempt != Task.Attempt)
    return nullptr;
  Handle = TaskHandle{Found->second, Index};
  return &State;
}

void PackingScheduler::allocate(TaskHandle Handle, int Vm, const Capacity &Size,
                                TaskPhase Phase) {
  JobState &Job = Jobs_[Handle.Job];
  TaskState &Task = Job.Tasks[Handle.Index];
  Task.Phase = Phase;
  Task.Requeue = false;
  Task.Throttled = false;
  Task.EarlierAttemptEnded = false;
  Task.Vm = Vm;
  Task.HeldCapacity = Size;
  Task.StartedAt = MonotonicClock_.now();
  Vms_[Vm].FreeCapacity -= Size;
  Vms_[Vm].Tasks.push_back(Handle);
  Customers_[Job.Customer].HeldCapacity += Size;
}

void PackingScheduler::deallocate(TaskHandle Handle) {
  JobState &Job = Jobs_[Handle.Job];
  TaskState &Task = Job.Tasks[Handle.Index];
  const int Vm = Task.Vm;
  Vms_[Vm].FreeCapacity += Task.HeldCapacity;
  std::erase(Vms_[Vm].Tasks, Handle);
  Customers_[Job.Customer].HeldCapacity -= Task.HeldCapacity;
  Task.Vm = -1;
  Task.HeldCapacity = {};
}

void PackingScheduler::releaseCapacity(TaskHandle Handle) {
  const int Vm = Jobs_[Handle.Job].Tasks[Handle.Index].Vm;
  deallocate(Handle);
  onCapacityFreed(Vm);
}

void PackingScheduler::onCapacityFreed(int Vm) {
  FreedVms_.append(Vm);
  startAfterPreemption(Vm);
}

void PackingScheduler::requeue(TaskHandle Handle) {
  JobState &Job = Jobs_[Handle.Job];
  Job.Tasks[Handle.Index].Phase = TaskPhase::Waiting;
  Job.WaitingTasks.push_back(Handle.Index);
  Job.Blocked = false;
  enqueue(Handle.Job);
}

void PackingScheduler::enqueue(int Index) {
  JobState &Job = Jobs_[Index];
  if (Job.Queued)
    return;
  Job.Queued = true;
  std::vector<int> &Queue = Customers_[Job.Customer].Queue;
  const auto Position =
      std::upper_bound(Queue.begin(), Queue.end(), Job.StartBy,
                       [this](TimePoint StartBy, int Other) {
                         return StartBy < Jobs_[Other].StartBy;
                       });
  Queue.insert(Position, Index);
}

void PackingScheduler::dequeue(int Index) {
  JobState &Job = Jobs_[Index];
  if (!Job.Queued)
    return;
  Job.Queued = false;
  Job.Blocked = false;
  std::erase(Customers_[Job.Customer].Queue, Index);
  if (ReservedJob_ == Index)
    clearReservation();
}

void PackingScheduler::markTaskEnded(TaskHandle Handle, bool Failed) {
  JobState &Job = Jobs_[Handle.Job];
  Job.Tasks[Handle.Index].Phase = TaskPhase::Ended;
  ++Job.EndedCount;
  Job.FailedCount += Failed ? 1 : 0;
}

void PackingScheduler::markTaskLost(TaskHandle Handle) {
  JobState &Job = Jobs_[Handle.Job];
  Job.Tasks[Handle.Index].Phase = TaskPhase::Lost;
  ++Job.LostCount;
}

void PackingScheduler::requeueOrLose(TaskHandle Handle) {
  JobState &Job = Jobs_[Handle.Job];
  if (Job.Cancelled)
    markTaskEnded(Handle, false);
  else if (Job.Spec.Restartable)
    requeue(Handle);
  else
    markTaskLost(Handle);
}

void PackingScheduler::restartGang(int Index) {
  JobState &Job = Jobs_[Index];
  if (Job.Spec.Kind != JobKind::Gang || Job.Cancelled || !Job.Spec.Restartable)
    return;
  for (int Task = 0; Task < static_cast<int>(Job.Tasks.size()); ++Task) {
    const TaskPhase Phase = Job.Tasks[Task].Phase;
    if (Phase == TaskPhase::Starting || Phase == TaskPhase::Running)
      stopTask(TaskHandle{Index, Task}, true, Job.Spec.Checkpointable);
  }
}

void PackingScheduler::stopTask(TaskHandle Handle, bool Requeue,
                                bool Checkpoint) {
  JobState &Job = Jobs_[Handle.Job];
  TaskState &Task = Job.Tasks[Handle.Index];
  Task.Phase = TaskPhase::Stopping;
  Task.Requeue = Requeue;
  Commands_.push_back(
      StopTask{Vms_[Task.Vm].Spec.Id,
               TaskAttempt{TaskRef{Job.Spec.Id, Handle.Index}, Task.Attempt},
               Checkpoint});
}

void PackingScheduler::endJobIfDone(int Index) {
  JobState &Job = Jobs_[Index];
  if (Job.EndedCount + Job.LostCount < Job.Spec.Tasks)
    return;
  dequeue(Index);
  JobOutcome Outcome = JobOutcome::Done;
  if (Job.Cancelled)
    Outcome = JobOutcome::Cancelled;
  else if (Job.LostCount > 0)
    Outcome = JobOutcome::Unknown;
  else if (Job.FailedCount > 0)
    Outcome = JobOutcome::Failed;
  Commands_.push_back(EndJob{Job.Spec.Id, Outcome});
  JobIndex_.erase(Job.Spec.Id);
  RecordedStarts_.erase(Index);
  Job = JobState();
  FreeJobSlots_.push_back(Index);
}

void PackingScheduler::markInventoryKnown(VmState &Vm) {
  VmsAwaitingInventory_.erase(vmIndex(Vm.Spec.Id));
  if (VmsAwaitingInventory_.empty())
    finishRecovery();
}

void PackingScheduler::finishRecovery() {
  for (int Index = 0; Index < static_cast<int>(Jobs_.size()); ++Index) {
    JobState &Job = Jobs_[Index];
    if (!Job.RecoveryPending)
      continue;
    Job.RecoveryPending = false;
    const std::set<int> &Recorded = RecordedStarts_[Index];
    std::vector<int> StillWaiting;
    for (const int Task : Job.WaitingTasks) {
      if (Job.Cancelled)
        markTaskEnded(TaskHandle{Index, Task}, false);
      else if (Recorded.contains(Task))
        markTaskLost(TaskHandle{Index, Task});
      else
        StillWaiting.push_back(Task);
    }
    Job.WaitingTasks = std::move(StillWaiting);
    if (Job.WaitingTasks.empty())
      dequeue(Index);
    RecordedStarts_.erase(Index);
    endJobIfDone(Index);
  }
}

Capacity PackingScheduler::capacityAwaitingInventory() const {
  Capacity Sum;
  for (const int Vm : VmsAwaitingInventory_)
    Sum += Vms_[Vm].Spec.Total;
  return Sum;
}

Capacity PackingScheduler::headroom(const CustomerState &Customer) const {
  if (!Customer.Limit)
    return {};
  // Any customer's tasks may run on a VM whose inventory isn't known.
  return Customer.Limit->MaxCapacity - Customer.HeldCapacity -
         capacityAwaitingInventory();
}

} // namespace cuminroad
