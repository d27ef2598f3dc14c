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
  Job.Size = Spec.PerTask;
  Job.Customer = customerIndex(Spec.Customer);
  Job.AcceptedAt = Clock_.now() - Age;
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
                                      TaskPlace &Place) {
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
  Place = TaskPlace{Found->second, Index};
  return &State;
}

void PackingScheduler::hold(TaskPlace Place, int Vm, const Capacity &Size,
                            TaskPhase Phase) {
  JobState &Job = Jobs_[Place.Job];
  TaskState &Task = Job.Tasks[Place.Index];
  Task.Phase = Phase;
  Task.Requeue = false;
  Task.Throttled = false;
  Task.DoneBefore = false;
  Task.Vm = Vm;
  Task.Held = Size;
  Task.StartedAt = Clock_.now();
  Vms_[Vm].Free -= Size;
  Vms_[Vm].Tasks.push_back(Place);
  Customers_[Job.Customer].Held += Size;
}

void PackingScheduler::unhold(TaskPlace Place) {
  JobState &Job = Jobs_[Place.Job];
  TaskState &Task = Job.Tasks[Place.Index];
  const int Vm = Task.Vm;
  Vms_[Vm].Free += Task.Held;
  std::erase(Vms_[Vm].Tasks, Place);
  Customers_[Job.Customer].Held -= Task.Held;
  Task.Vm = -1;
  Task.Held = {};
}

void PackingScheduler::release(TaskPlace Place) {
  const int Vm = Jobs_[Place.Job].Tasks[Place.Index].Vm;
  unhold(Place);
  noteRoom(Vm);
}

void PackingScheduler::noteRoom(int Vm) {
  Freed_.note(Vm);
  startEarmarked(Vm);
}

void PackingScheduler::requeue(TaskPlace Place) {
  JobState &Job = Jobs_[Place.Job];
  Job.Tasks[Place.Index].Phase = TaskPhase::Waiting;
  Job.Waiting.push_back(Place.Index);
  Job.Blocked = false;
  enqueue(Place.Job);
}

void PackingScheduler::enqueue(int Index) {
  JobState &Job = Jobs_[Index];
  if (Job.Queued)
    return;
  Job.Queued = true;
  std::vector<int> &Queue = Customers_[Job.Customer].Queue;
  const auto Spot = std::upper_bound(
      Queue.begin(), Queue.end(), Job.StartBy,
      [this](TimePoint By, int Other) { return By < Jobs_[Other].StartBy; });
  Queue.insert(Spot, Index);
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

void PackingScheduler::endTask(TaskPlace Place, bool Failed) {
  JobState &Job = Jobs_[Place.Job];
  Job.Tasks[Place.Index].Phase = TaskPhase::Ended;
  ++Job.EndedCount;
  Job.FailedCount += Failed ? 1 : 0;
}

void PackingScheduler::loseTask(TaskPlace Place) {
  JobState &Job = Jobs_[Place.Job];
  Job.Tasks[Place.Index].Phase = TaskPhase::Lost;
  ++Job.LostCount;
}

void PackingScheduler::restartOrLose(TaskPlace Place) {
  JobState &Job = Jobs_[Place.Job];
  if (Job.Cancelled)
    endTask(Place, false);
  else if (Job.Spec.Restartable)
    requeue(Place);
  else
    loseTask(Place);
}

void PackingScheduler::restartGang(int Index) {
  JobState &Job = Jobs_[Index];
  if (Job.Spec.Kind != JobKind::Gang || Job.Cancelled || !Job.Spec.Restartable)
    return;
  for (int Task = 0; Task < static_cast<int>(Job.Tasks.size()); ++Task) {
    const TaskPhase Phase = Job.Tasks[Task].Phase;
    if (Phase == TaskPhase::Starting || Phase == TaskPhase::Running)
      stopTask(TaskPlace{Index, Task}, true, Job.Spec.Checkpointable);
  }
}

void PackingScheduler::stopTask(TaskPlace Place, bool Requeue,
                                bool Checkpoint) {
  JobState &Job = Jobs_[Place.Job];
  TaskState &Task = Job.Tasks[Place.Index];
  Task.Phase = TaskPhase::Stopping;
  Task.Requeue = Requeue;
  Commands_.push_back(
      StopTask{Vms_[Task.Vm].Spec.Id,
               TaskAttempt{TaskRef{Job.Spec.Id, Place.Index}, Task.Attempt},
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

void PackingScheduler::resolveVm(VmState &Vm) {
  Unresolved_.erase(vmIndex(Vm.Spec.Id));
  if (Unresolved_.empty())
    resolveSuspects();
}

void PackingScheduler::resolveSuspects() {
  for (int Index = 0; Index < static_cast<int>(Jobs_.size()); ++Index) {
    JobState &Job = Jobs_[Index];
    if (!Job.Suspect)
      continue;
    Job.Suspect = false;
    const std::set<int> &Recorded = RecordedStarts_[Index];
    std::vector<int> Waiting;
    for (const int Task : Job.Waiting) {
      if (Job.Cancelled)
        endTask(TaskPlace{Index, Task}, false);
      else if (Recorded.contains(Task))
        loseTask(TaskPlace{Index, Task});
      else
        Waiting.push_back(Task);
    }
    Job.Waiting = std::move(Waiting);
    if (Job.Waiting.empty())
      dequeue(Index);
    RecordedStarts_.erase(Index);
    endJobIfDone(Index);
  }
}

Capacity PackingScheduler::unknownCapacity() const {
  Capacity Sum;
  for (const int Vm : Unresolved_)
    Sum += Vms_[Vm].Spec.Total;
  return Sum;
}

Capacity PackingScheduler::headroom(const CustomerState &Customer) const {
  if (!Customer.Limit)
    return {};
  // Any customer's tasks may run on a VM that has not told its inventory.
  return Customer.Limit->MaxHeld - Customer.Held - unknownCapacity();
}

} // namespace cuminroad
