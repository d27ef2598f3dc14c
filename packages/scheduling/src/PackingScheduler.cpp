#include "PackingScheduler.h"

#include <algorithm>

namespace cuminroad {

namespace {

/// Attempt numbers hold the owner's epoch above this many bits of a counter, so
/// that attempts of a later owner are larger.
constexpr int AttemptBits = 32;
/// How often a delay is doubled at most, so that the factor stays in an int.
constexpr int MaxDoublings = 16;
/// Weight of the latest task in the exponential moving average of the run time
/// ratio.
constexpr double RunTimeWeight = 0.2;
constexpr double RunTimeRatioMin = 0.1;
constexpr double RunTimeRatioMax = 20.0;

} // namespace

PackingScheduler::PackingScheduler(const Clock &MonotonicClock,
                                   const SchedulerOptions &Options,
                                   std::int64_t Epoch)
    : MonotonicClock_(MonotonicClock), Options_(Options),
      NextAttempt_(Epoch << AttemptBits),
      Random_(static_cast<std::uint32_t>(Epoch + 1)) {}

std::unique_ptr<Scheduler> makeScheduler(const Clock &MonotonicClock,
                                         const SchedulerOptions &Options,
                                         std::int64_t Epoch) {
  return std::make_unique<PackingScheduler>(MonotonicClock, Options, Epoch);
}

void PackingScheduler::listVm(const VmSpec &Spec) {
  if (VmState *KnownVm = findVm(Spec.Id)) {
    const Capacity Increase = Spec.Total - KnownVm->Spec.Total;
    KnownVm->Spec = Spec;
    KnownVm->FreeCapacity += Increase;
    onCapacityFreed(vmIndex(Spec.Id));
    return;
  }
  const int Index = static_cast<int>(Vms_.size());
  VmState &Vm = Vms_.emplace_back();
  Vm.Spec = Spec;
  Vm.FreeCapacity = Spec.Total;
  VmIndex_[Spec.Id] = Index;
  VmsAwaitingInventory_.insert(Index);
}

void PackingScheduler::vmClaimed(std::string_view Id,
                                 std::span<const InventoryTask> Inventory) {
  const int Index = vmIndex(Id);
  if (Index < 0 || Vms_[Index].Gone)
    return;
  Vms_[Index].Claimed = true;
  removeAbsentTasks(Index, Inventory);
  for (const InventoryTask &Entry : Inventory)
    adoptTask(Index, Entry);
  markInventoryKnown(Vms_[Index]);
  onCapacityFreed(Index);
}

void PackingScheduler::removeAbsentTasks(
    int Vm, std::span<const InventoryTask> Inventory) {
  std::set<TaskAttempt> ReportedTasks;
  for (const InventoryTask &Entry : Inventory)
    ReportedTasks.insert(Entry.Task);
  std::erase_if(UnknownTasks_, [&](const auto &Entry) {
    const bool Absent =
        Entry.second.Vm == Vm && !ReportedTasks.contains(Entry.first);
    if (Absent)
      Vms_[Vm].FreeCapacity += Entry.second.HeldCapacity;
    return Absent;
  });
  const std::vector<TaskHandle> Handles = Vms_[Vm].Tasks;
  for (const TaskHandle &Handle : Handles) {
    JobState &Job = Jobs_[Handle.Job];
    TaskState &Task = Job.Tasks[Handle.Index];
    const TaskAttempt Attempt{TaskRef{Job.Spec.Id, Handle.Index}, Task.Attempt};
    if (Task.Phase == TaskPhase::AwaitingPreemption ||
        ReportedTasks.contains(Attempt))
      continue;
    // The claim's fencing token makes the VM reject a start that is still on
    // its way, so a task in the Starting phase certainly doesn't run.
    const bool NeverStarted =
        Task.Phase == TaskPhase::Starting && !Job.Cancelled;
    releaseCapacity(Handle);
    if (NeverStarted)
      requeue(Handle);
    else
      requeueOrLose(Handle);
    restartGang(Handle.Job);
    endJobIfDone(Handle.Job);
  }
}

void PackingScheduler::adoptTask(int Vm, const InventoryTask &Entry) {
  const TaskRef &Ref = Entry.Task.Task;
  TaskHandle Handle;
  if (TaskState *KnownTask = findTask(Entry.Task, Handle);
      KnownTask && KnownTask->Vm == Vm) {
    if (KnownTask->Phase == TaskPhase::Starting)
      KnownTask->Phase = TaskPhase::Running;
    // A stop sent under the previous claim has no effect any more, so it is
    // sent again.
    if (KnownTask->Phase == TaskPhase::Stopping)
      Commands_.push_back(StopTask{Vms_[Vm].Spec.Id, Entry.Task, false});
    return;
  }
  const auto Found = JobIndex_.find(Ref.Job);
  const bool Adoptable =
      Found != JobIndex_.end() && Jobs_[Found->second].RecoveryPending &&
      Ref.Index >= 0 && Ref.Index < Jobs_[Found->second].Spec.Tasks &&
      Jobs_[Found->second].Tasks[Ref.Index].Phase == TaskPhase::Waiting;
  if (!Adoptable) {
    if (!UnknownTasks_.contains(Entry.Task)) {
      Vms_[Vm].FreeCapacity -= Entry.Size;
      UnknownTasks_[Entry.Task] = UnknownTask{Vm, Entry.Size};
    }
    Commands_.push_back(StopTask{Vms_[Vm].Spec.Id, Entry.Task, false});
    return;
  }
  Handle = TaskHandle{Found->second, Ref.Index};
  JobState &Job = Jobs_[Handle.Job];
  std::erase(Job.WaitingTasks, Ref.Index);
  if (Job.WaitingTasks.empty())
    dequeue(Handle.Job);
  allocate(Handle, Vm, Entry.Size, TaskPhase::Running);
  Job.Tasks[Ref.Index].Attempt = Entry.Task.Attempt;
  if (Job.Cancelled)
    stopTask(Handle, false, false);
}

void PackingScheduler::vmLeaving(std::string_view Id) {
  VmState *Vm = findVm(Id);
  if (!Vm || Vm->Gone || std::exchange(Vm->Leaving, true))
    return;
  const std::vector<TaskHandle> Handles = Vm->Tasks;
  for (const TaskHandle &Handle : Handles) {
    JobState &Job = Jobs_[Handle.Job];
    const TaskPhase Phase = Job.Tasks[Handle.Index].Phase;
    if (Phase == TaskPhase::AwaitingPreemption) {
      releaseCapacity(Handle);
      requeue(Handle);
      continue;
    }
    const bool CanMove =
        Job.Spec.Restartable &&
        (Job.Spec.Checkpointable || Job.Spec.Kind == JobKind::Service);
    if (Phase == TaskPhase::Running && CanMove &&
        Job.Spec.Kind != JobKind::Gang)
      stopTask(Handle, true, Job.Spec.Checkpointable);
  }
}

void PackingScheduler::vmTasksEnded(std::string_view Id, bool Permanently) {
  const int Index = vmIndex(Id);
  if (Index < 0)
    return;
  VmState &Vm = Vms_[Index];
  Vm.Claimed = false;
  Vm.Gone = Permanently;
  std::erase_if(UnknownTasks_, [&](const auto &Entry) {
    if (Entry.second.Vm != Index)
      return false;
    Vm.FreeCapacity += Entry.second.HeldCapacity;
    return true;
  });
  const std::vector<TaskHandle> Handles = Vm.Tasks;
  for (const TaskHandle &Handle : Handles) {
    const bool AwaitingPreemption =
        Jobs_[Handle.Job].Tasks[Handle.Index].Phase ==
        TaskPhase::AwaitingPreemption;
    releaseCapacity(Handle);
    if (AwaitingPreemption)
      requeue(Handle);
    else
      requeueOrLose(Handle);
    restartGang(Handle.Job);
    endJobIfDone(Handle.Job);
  }
  markInventoryKnown(Vms_[Index]);
}

void PackingScheduler::setLimit(std::string_view Customer,
                                const ContractTerms &Terms) {
  CustomerState &State = Customers_[customerIndex(Customer)];
  State.Limit = Terms;
  for (const int Job : State.Queue) {
    Jobs_[Job].StartBy = Jobs_[Job].AcceptedAt + Terms.TaskStartWithin;
    Jobs_[Job].Blocked = false;
  }
}

void PackingScheduler::removeLimit(std::string_view Customer) {
  Customers_[customerIndex(Customer)].Limit.reset();
}

Result<void> PackingScheduler::checkFeasible(const JobSpec &Spec,
                                             const Capacity &MaxLimit) const {
  const auto Found = CustomerIndex_.find(Spec.Customer);
  if (Found == CustomerIndex_.end() || !Customers_[Found->second].Limit)
    return failure(ErrorCode::UnknownCustomer, Spec.Customer);
  const int ConcurrentTasks = Spec.Kind == JobKind::Gang ? Spec.Tasks : 1;
  const Capacity Needed = Spec.PerTask * ConcurrentTasks;
  if (!Needed.fitsIn(MaxLimit))
    return failure(ErrorCode::QuotaTooSmall, Spec.Customer);
  std::int64_t FittingTasks = 0;
  for (const VmState &Vm : Vms_) {
    if (Vm.Gone || Vm.Leaving)
      continue;
    Capacity Remaining = Vm.Spec.Total;
    while (FittingTasks < ConcurrentTasks && Spec.PerTask.fitsIn(Remaining)) {
      Remaining -= Spec.PerTask;
      ++FittingTasks;
    }
  }
  if (FittingTasks < ConcurrentTasks)
    return failure(ErrorCode::JobNeverFits, Spec.Id);
  return {};
}

void PackingScheduler::submit(const JobSpec &Spec) {
  if (JobIndex_.contains(Spec.Id))
    return;
  const int Index = newJob(Spec, milliseconds(0));
  for (int Task = Spec.Tasks - 1; Task >= 0; --Task)
    Jobs_[Index].WaitingTasks.push_back(Task);
  enqueue(Index);
}

void PackingScheduler::recover(const RecoveredJob &Recovered) {
  if (JobIndex_.contains(Recovered.Spec.Id))
    return;
  const int Index = newJob(Recovered.Spec, Recovered.Age);
  JobState &Job = Jobs_[Index];
  Job.Cancelled = Recovered.Cancelled;
  Job.RecoveryPending = true;
  RecordedStarts_[Index] = Recovered.RecordedStarts;
  for (const auto &[Task, Failed] : Recovered.Ended)
    markTaskEnded(TaskHandle{Index, Task}, Failed);
  for (int Task = Job.Spec.Tasks - 1; Task >= 0; --Task)
    if (Job.Tasks[Task].Phase == TaskPhase::Waiting)
      Job.WaitingTasks.push_back(Task);
  if (!Job.WaitingTasks.empty())
    enqueue(Index);
  if (VmsAwaitingInventory_.empty())
    finishRecovery();
}

void PackingScheduler::cancel(std::string_view Id) {
  JobState *Job = findJob(Id);
  if (!Job || Job->Cancelled)
    return;
  const int Index = JobIndex_[std::string(Id)];
  Job->Cancelled = true;
  for (int Task = 0; Task < Job->Spec.Tasks; ++Task) {
    const TaskHandle Handle{Index, Task};
    switch (Job->Tasks[Task].Phase) {
    case TaskPhase::Waiting:
      // During recovery the task may run on a VM whose inventory isn't known;
      // finishRecovery() ends it.
      if (!Job->RecoveryPending)
        markTaskEnded(Handle, false);
      break;
    case TaskPhase::AwaitingPreemption:
      releaseCapacity(Handle);
      markTaskEnded(Handle, false);
      break;
    case TaskPhase::Starting:
    case TaskPhase::Running:
      stopTask(Handle, false, false);
      break;
    case TaskPhase::Stopping:
      Job->Tasks[Task].Requeue = false;
      break;
    case TaskPhase::Ended:
    case TaskPhase::Lost:
      break;
    }
  }
  if (!Job->RecoveryPending) {
    Job->WaitingTasks.clear();
    dequeue(Index);
  }
  endJobIfDone(Index);
}

void PackingScheduler::taskStarted(const TaskAttempt &Task) {
  TaskHandle Handle;
  TaskState *State = findTask(Task, Handle);
  if (!State || State->Phase != TaskPhase::Starting)
    return;
  State->Phase = TaskPhase::Running;
  State->StartedAt = MonotonicClock_.now();
}

void PackingScheduler::startRefused(const TaskAttempt &Task) {
  TaskHandle Handle;
  TaskState *State = findTask(Task, Handle);
  if (!State || (State->Phase != TaskPhase::Starting &&
                 State->Phase != TaskPhase::Stopping))
    return;
  const int Vm = State->Vm;
  JobState &Job = Jobs_[Handle.Job];
  releaseCapacity(Handle);
  recordVmFailure(Vm);
  if (Job.Cancelled) {
    markTaskEnded(Handle, false);
    endJobIfDone(Handle.Job);
    return;
  }
  const int Doublings = std::min(Job.RefusedStarts++, MaxDoublings);
  const auto Delay = std::min(Options_.RetryDelayMin * (1 << Doublings),
                              Options_.RetryDelayMax);
  std::uniform_real_distribution<double> Jitter(0.5, 1.0);
  Job.NotBefore =
      MonotonicClock_.now() +
      std::chrono::duration_cast<milliseconds>(Delay * Jitter(Random_));
  requeue(Handle);
  restartGang(Handle.Job);
}

void PackingScheduler::taskEnded(const TaskAttempt &Task, bool Failed,
                                 bool Stopped) {
  if (const auto UnknownEntry = UnknownTasks_.find(Task);
      UnknownEntry != UnknownTasks_.end()) {
    const int Vm = UnknownEntry->second.Vm;
    Vms_[Vm].FreeCapacity += UnknownEntry->second.HeldCapacity;
    UnknownTasks_.erase(UnknownEntry);
    onCapacityFreed(Vm);
    return;
  }
  if (!Stopped && endEarlierAttempt(Task, Failed))
    return;
  TaskHandle Handle;
  TaskState *State = findTask(Task, Handle);
  if (!State || State->Phase == TaskPhase::AwaitingPreemption)
    return;
  JobState &Job = Jobs_[Handle.Job];
  const int Vm = State->Vm;
  const bool Requeue = State->Requeue;
  const bool EarlierAttemptEnded = State->EarlierAttemptEnded;
  const auto RunTime = MonotonicClock_.now() - State->StartedAt;
  releaseCapacity(Handle);
  if (Stopped) {
    if (EarlierAttemptEnded)
      markTaskEnded(Handle, false);
    else if (Requeue && !Job.Cancelled)
      requeue(Handle);
    else
      requeueOrLose(Handle);
    restartGang(Handle.Job);
    endJobIfDone(Handle.Job);
    return;
  }
  markTaskEnded(Handle, Failed);
  if (Failed && RunTime < Options_.EarlyFailureTime)
    recordVmFailure(Vm);
  else
    recordVmSuccess(Vm);
  if (!Failed && Job.Spec.Duration.count() > 0) {
    CustomerState &Customer = Customers_[Job.Customer];
    const double Ratio =
        std::clamp(std::chrono::duration<double>(RunTime) /
                       std::chrono::duration<double>(Job.Spec.Duration),
                   RunTimeRatioMin, RunTimeRatioMax);
    Customer.RunTimeRatio =
        (1 - RunTimeWeight) * Customer.RunTimeRatio + RunTimeWeight * Ratio;
  }
  endJobIfDone(Handle.Job);
}

bool PackingScheduler::endEarlierAttempt(const TaskAttempt &Task, bool Failed) {
  const auto Found = JobIndex_.find(Task.Task.Job);
  if (Found == JobIndex_.end())
    return false;
  JobState &Job = Jobs_[Found->second];
  const TaskHandle Handle{Found->second, Task.Task.Index};
  if (Handle.Index < 0 || Handle.Index >= Job.Spec.Tasks)
    return false;
  if (std::erase(Job.WaitingTasks, Handle.Index) > 0) {
    markTaskEnded(Handle, Failed);
    if (Job.WaitingTasks.empty())
      dequeue(Handle.Job);
    endJobIfDone(Handle.Job);
    return true;
  }
  TaskState &CurrentTask = Job.Tasks[Handle.Index];
  if (CurrentTask.Phase == TaskPhase::AwaitingPreemption) {
    releaseCapacity(Handle);
    markTaskEnded(Handle, Failed);
    endJobIfDone(Handle.Job);
    return true;
  }
  // A later attempt keeps its allocation until its stop is confirmed.
  if (CurrentTask.Vm < 0 || CurrentTask.Attempt <= Task.Attempt)
    return false;
  if (std::exchange(CurrentTask.EarlierAttemptEnded, true))
    return true;
  Job.FailedCount += Failed ? 1 : 0;
  if (CurrentTask.Phase != TaskPhase::Stopping)
    stopTask(Handle, false, false);
  return true;
}

void PackingScheduler::recordVmFailure(int Index) {
  VmState &Vm = Vms_[Index];
  ++Vm.ConsecutiveFailures;
  if (Vm.Quarantined ||
      (Vm.ConsecutiveFailures < Options_.FailuresToQuarantine && !Vm.Probation))
    return;
  const int Doublings = std::min(Vm.ConsecutiveQuarantines++, MaxDoublings);
  const auto QuarantineTime = std::min(
      Options_.QuarantineMin * (1 << Doublings), Options_.QuarantineMax);
  Vm.Quarantined = true;
  Vm.Probation = false;
  Vm.QuarantinedUntil = MonotonicClock_.now() + QuarantineTime;
  NextQuarantineCheck_ = std::min(NextQuarantineCheck_, Vm.QuarantinedUntil);
}

void PackingScheduler::recordVmSuccess(int Index) {
  VmState &Vm = Vms_[Index];
  Vm.ConsecutiveFailures = 0;
  Vm.ConsecutiveQuarantines = 0;
  if (!Vm.Probation)
    return;
  Vm.Probation = false;
  onCapacityFreed(Index);
}

void PackingScheduler::usageReported(const TaskAttempt &Task,
                                     const Capacity &Used) {
  TaskHandle Handle;
  TaskState *State = findTask(Task, Handle);
  if (!State || State->Phase != TaskPhase::Running)
    return;
  const auto Exceeds = [this](std::int64_t Use, std::int64_t Declared) {
    return Use * 100 > Declared * (100 + Options_.OveruseTolerancePercent);
  };
  // Processor use can be throttled, memory use can't.
  if (Exceeds(Used.MilliCores, State->HeldCapacity.MilliCores) &&
      !State->Throttled) {
    State->Throttled = true;
    Commands_.push_back(ThrottleTask{Vms_[State->Vm].Spec.Id, Task,
                                     State->HeldCapacity.MilliCores});
  }
  if (Exceeds(Used.MemoryMb, State->HeldCapacity.MemoryMb))
    growTaskMemory(Handle, Used);
}

void PackingScheduler::growTaskMemory(TaskHandle Handle, const Capacity &Used) {
  JobState &Job = Jobs_[Handle.Job];
  TaskState &Task = Job.Tasks[Handle.Index];
  Capacity Growth;
  Growth.MemoryMb = Used.MemoryMb - Task.HeldCapacity.MemoryMb;
  Job.TaskSize.MemoryMb = std::max(Job.TaskSize.MemoryMb, Used.MemoryMb);
  CustomerState &Customer = Customers_[Job.Customer];
  const bool Fits = Growth.fitsIn(Vms_[Task.Vm].FreeCapacity) &&
                    Growth.fitsIn(headroom(Customer));
  if (!Fits) {
    // The task would use memory that is allocated to others.
    stopTask(Handle, true, Job.Spec.Checkpointable);
    return;
  }
  Task.HeldCapacity += Growth;
  Vms_[Task.Vm].FreeCapacity -= Growth;
  Customer.HeldCapacity += Growth;
}

std::vector<Command> PackingScheduler::takeCommands() {
  std::vector<Command> Taken;
  Taken.swap(Commands_);
  return Taken;
}

} // namespace cuminroad
