#include "PackingScheduler.h"

#include <algorithm>

namespace cuminroad {

namespace {

constexpr int AttemptBits = 32;
/// Weight of the newest task in the smoothed run time ratio.
constexpr double RunTimeWeight = 0.2;
constexpr double RunTimeRatioMin = 0.1;
constexpr double RunTimeRatioMax = 20.0;

} // namespace

PackingScheduler::PackingScheduler(const Clock &Clock,
                                   const SchedulerOptions &Options,
                                   std::int64_t Epoch)
    : Clock_(Clock), Options_(Options), NextAttempt_(Epoch << AttemptBits),
      Random_(static_cast<std::uint32_t>(Epoch + 1)) {}

std::unique_ptr<Scheduler> makeScheduler(const Clock &Clock,
                                         const SchedulerOptions &Options,
                                         std::int64_t Epoch) {
  return std::make_unique<PackingScheduler>(Clock, Options, Epoch);
}

void PackingScheduler::listVm(const VmSpec &Spec) {
  if (VmState *Known = findVm(Spec.Id)) {
    const Capacity Grown = Spec.Total - Known->Spec.Total;
    Known->Spec = Spec;
    Known->Free += Grown;
    noteRoom(vmIndex(Spec.Id));
    return;
  }
  const int Index = static_cast<int>(Vms_.size());
  VmState &Vm = Vms_.emplace_back();
  Vm.Spec = Spec;
  Vm.Free = Spec.Total;
  VmIndex_[Spec.Id] = Index;
  Unresolved_.insert(Index);
}

void PackingScheduler::vmClaimed(std::string_view Id,
                                 std::span<const InventoryTask> Inventory) {
  const int Index = vmIndex(Id);
  if (Index < 0 || Vms_[Index].Gone)
    return;
  Vms_[Index].Claimed = true;
  dropAbsent(Index, Inventory);
  for (const InventoryTask &Entry : Inventory)
    adopt(Index, Entry);
  resolveVm(Vms_[Index]);
  noteRoom(Index);
}

void PackingScheduler::dropAbsent(int Vm,
                                  std::span<const InventoryTask> Inventory) {
  std::set<TaskAttempt> Present;
  for (const InventoryTask &Entry : Inventory)
    Present.insert(Entry.Task);
  std::erase_if(Strays_, [&](const auto &Entry) {
    const bool Absent = Entry.second.Vm == Vm && !Present.contains(Entry.first);
    if (Absent)
      Vms_[Vm].Free += Entry.second.Held;
    return Absent;
  });
  const std::vector<TaskPlace> Places = Vms_[Vm].Tasks;
  for (const TaskPlace &Place : Places) {
    JobState &Job = Jobs_[Place.Job];
    TaskState &Task = Job.Tasks[Place.Index];
    const TaskAttempt Name{TaskRef{Job.Spec.Id, Place.Index}, Task.Attempt};
    if (Task.Phase == TaskPhase::Earmarked || Present.contains(Name))
      continue;
    // The claim's fence keeps a start that is still under way from being
    // taken, so a task that was starting certainly does not run.
    const bool NeverStarted =
        Task.Phase == TaskPhase::Starting && !Job.Cancelled;
    release(Place);
    if (NeverStarted)
      requeue(Place);
    else
      restartOrLose(Place);
    restartGang(Place.Job);
    endJobIfDone(Place.Job);
  }
}

void PackingScheduler::adopt(int Vm, const InventoryTask &Entry) {
  const TaskRef &Ref = Entry.Task.Task;
  TaskPlace Place;
  if (TaskState *Known = findTask(Entry.Task, Place);
      Known && Known->Vm == Vm) {
    if (Known->Phase == TaskPhase::Starting)
      Known->Phase = TaskPhase::Running;
    // A stop that was under way is void under the new claim.
    if (Known->Phase == TaskPhase::Stopping)
      Commands_.push_back(StopTask{Vms_[Vm].Spec.Id, Entry.Task, false});
    return;
  }
  const auto Found = JobIndex_.find(Ref.Job);
  const bool Adoptable =
      Found != JobIndex_.end() && Jobs_[Found->second].Suspect &&
      Ref.Index >= 0 && Ref.Index < Jobs_[Found->second].Spec.Tasks &&
      Jobs_[Found->second].Tasks[Ref.Index].Phase == TaskPhase::Waiting;
  if (!Adoptable) {
    if (!Strays_.contains(Entry.Task)) {
      Vms_[Vm].Free -= Entry.Size;
      Strays_[Entry.Task] = StrayTask{Vm, Entry.Size};
    }
    Commands_.push_back(StopTask{Vms_[Vm].Spec.Id, Entry.Task, false});
    return;
  }
  Place = TaskPlace{Found->second, Ref.Index};
  JobState &Job = Jobs_[Place.Job];
  std::erase(Job.Waiting, Ref.Index);
  if (Job.Waiting.empty())
    dequeue(Place.Job);
  hold(Place, Vm, Entry.Size, TaskPhase::Running);
  Job.Tasks[Ref.Index].Attempt = Entry.Task.Attempt;
  if (Job.Cancelled)
    stopTask(Place, false, false);
}

void PackingScheduler::vmLeaving(std::string_view Id) {
  VmState *Vm = findVm(Id);
  if (!Vm || Vm->Gone || std::exchange(Vm->Leaving, true))
    return;
  const std::vector<TaskPlace> Places = Vm->Tasks;
  for (const TaskPlace &Place : Places) {
    JobState &Job = Jobs_[Place.Job];
    const TaskPhase Phase = Job.Tasks[Place.Index].Phase;
    if (Phase == TaskPhase::Earmarked) {
      release(Place);
      requeue(Place);
      continue;
    }
    const bool Moves =
        Job.Spec.Restartable &&
        (Job.Spec.Checkpointable || Job.Spec.Kind == JobKind::Service);
    if (Phase == TaskPhase::Running && Moves && Job.Spec.Kind != JobKind::Gang)
      stopTask(Place, true, Job.Spec.Checkpointable);
  }
}

void PackingScheduler::vmEmptied(std::string_view Id, bool ForGood) {
  const int Index = vmIndex(Id);
  if (Index < 0)
    return;
  VmState &Vm = Vms_[Index];
  Vm.Claimed = false;
  Vm.Gone = ForGood;
  std::erase_if(Strays_, [&](const auto &Entry) {
    if (Entry.second.Vm != Index)
      return false;
    Vm.Free += Entry.second.Held;
    return true;
  });
  const std::vector<TaskPlace> Places = Vm.Tasks;
  for (const TaskPlace &Place : Places) {
    const bool Earmarked =
        Jobs_[Place.Job].Tasks[Place.Index].Phase == TaskPhase::Earmarked;
    release(Place);
    if (Earmarked)
      requeue(Place);
    else
      restartOrLose(Place);
    restartGang(Place.Job);
    endJobIfDone(Place.Job);
  }
  resolveVm(Vms_[Index]);
}

void PackingScheduler::setLimit(std::string_view Customer,
                                const ContractTerms &Share) {
  CustomerState &State = Customers_[customerIndex(Customer)];
  State.Limit = Share;
  for (const int Job : State.Queue) {
    Jobs_[Job].StartBy = Jobs_[Job].AcceptedAt + Share.TaskStartWithin;
    Jobs_[Job].Blocked = false;
  }
}

void PackingScheduler::removeLimit(std::string_view Customer) {
  Customers_[customerIndex(Customer)].Limit.reset();
}

Result<void> PackingScheduler::check(const JobSpec &Spec,
                                     const Capacity &Largest) const {
  const auto Found = CustomerIndex_.find(Spec.Customer);
  if (Found == CustomerIndex_.end() || !Customers_[Found->second].Limit)
    return failure(ErrorCode::UnknownCustomer, Spec.Customer);
  const int AtOnce = Spec.Kind == JobKind::Gang ? Spec.Tasks : 1;
  const Capacity Needed = Spec.PerTask * AtOnce;
  if (!Needed.fitsIn(Largest))
    return failure(ErrorCode::QuotaTooSmall, Spec.Customer);
  std::int64_t Places = 0;
  for (const VmState &Vm : Vms_) {
    if (Vm.Gone || Vm.Leaving)
      continue;
    Capacity Room = Vm.Spec.Total;
    while (Places < AtOnce && Spec.PerTask.fitsIn(Room)) {
      Room -= Spec.PerTask;
      ++Places;
    }
  }
  if (Places < AtOnce)
    return failure(ErrorCode::JobNeverFits, Spec.Id);
  return {};
}

void PackingScheduler::submit(const JobSpec &Spec) {
  if (JobIndex_.contains(Spec.Id))
    return;
  const int Index = newJob(Spec, milliseconds(0));
  for (int Task = Spec.Tasks - 1; Task >= 0; --Task)
    Jobs_[Index].Waiting.push_back(Task);
  enqueue(Index);
}

void PackingScheduler::recover(const RecoveredJob &Recovered) {
  if (JobIndex_.contains(Recovered.Spec.Id))
    return;
  const int Index = newJob(Recovered.Spec, Recovered.Age);
  JobState &Job = Jobs_[Index];
  Job.Cancelled = Recovered.Cancelled;
  Job.Suspect = true;
  RecordedStarts_[Index] = Recovered.Recorded;
  for (const auto &[Task, Failed] : Recovered.Ended)
    endTask(TaskPlace{Index, Task}, Failed);
  for (int Task = Job.Spec.Tasks - 1; Task >= 0; --Task)
    if (Job.Tasks[Task].Phase == TaskPhase::Waiting)
      Job.Waiting.push_back(Task);
  if (!Job.Waiting.empty())
    enqueue(Index);
  if (Unresolved_.empty())
    resolveSuspects();
}

void PackingScheduler::cancel(std::string_view Id) {
  JobState *Job = findJob(Id);
  if (!Job || Job->Cancelled)
    return;
  const int Index = JobIndex_[std::string(Id)];
  Job->Cancelled = true;
  for (int Task = 0; Task < Job->Spec.Tasks; ++Task) {
    const TaskPlace Place{Index, Task};
    switch (Job->Tasks[Task].Phase) {
    case TaskPhase::Waiting:
      // A suspect task may run somewhere; it ends when all VMs have answered.
      if (!Job->Suspect)
        endTask(Place, false);
      break;
    case TaskPhase::Earmarked:
      release(Place);
      endTask(Place, false);
      break;
    case TaskPhase::Starting:
    case TaskPhase::Running:
      stopTask(Place, false, false);
      break;
    case TaskPhase::Stopping:
      Job->Tasks[Task].Requeue = false;
      break;
    case TaskPhase::Ended:
    case TaskPhase::Lost:
      break;
    }
  }
  if (!Job->Suspect) {
    Job->Waiting.clear();
    dequeue(Index);
  }
  endJobIfDone(Index);
}

void PackingScheduler::taskStarted(const TaskAttempt &Task) {
  TaskPlace Place;
  TaskState *State = findTask(Task, Place);
  if (!State || State->Phase != TaskPhase::Starting)
    return;
  State->Phase = TaskPhase::Running;
  State->StartedAt = Clock_.now();
}

void PackingScheduler::startRefused(const TaskAttempt &Task) {
  TaskPlace Place;
  TaskState *State = findTask(Task, Place);
  if (!State || (State->Phase != TaskPhase::Starting &&
                 State->Phase != TaskPhase::Stopping))
    return;
  const int Vm = State->Vm;
  JobState &Job = Jobs_[Place.Job];
  release(Place);
  countFailure(Vm);
  if (Job.Cancelled) {
    endTask(Place, false);
    endJobIfDone(Place.Job);
    return;
  }
  const int Shift = std::min(Job.Refusals++, 16);
  const auto Delay =
      std::min(Options_.RetryDelayMin * (1 << Shift), Options_.RetryDelayMax);
  std::uniform_real_distribution<double> Jitter(0.5, 1.0);
  Job.NotBefore = Clock_.now() + std::chrono::duration_cast<milliseconds>(
                                     Delay * Jitter(Random_));
  requeue(Place);
  restartGang(Place.Job);
}

void PackingScheduler::taskEnded(const TaskAttempt &Task, bool Failed,
                                 bool Stopped) {
  if (const auto Stray = Strays_.find(Task); Stray != Strays_.end()) {
    const int Vm = Stray->second.Vm;
    Vms_[Vm].Free += Stray->second.Held;
    Strays_.erase(Stray);
    noteRoom(Vm);
    return;
  }
  if (!Stopped && endEarlierAttempt(Task, Failed))
    return;
  TaskPlace Place;
  TaskState *State = findTask(Task, Place);
  if (!State || State->Phase == TaskPhase::Earmarked)
    return;
  JobState &Job = Jobs_[Place.Job];
  const int Vm = State->Vm;
  const bool Requeue = State->Requeue;
  const bool DoneBefore = State->DoneBefore;
  const auto Ran = Clock_.now() - State->StartedAt;
  release(Place);
  if (Stopped) {
    if (DoneBefore)
      endTask(Place, false);
    else if (Requeue && !Job.Cancelled)
      requeue(Place);
    else
      restartOrLose(Place);
    restartGang(Place.Job);
    endJobIfDone(Place.Job);
    return;
  }
  endTask(Place, Failed);
  if (Failed && Ran < Options_.EarlyFailure)
    countFailure(Vm);
  else
    countSuccess(Vm);
  if (!Failed && Job.Spec.Duration.count() > 0) {
    CustomerState &Customer = Customers_[Job.Customer];
    const double Ratio =
        std::clamp(std::chrono::duration<double>(Ran) /
                       std::chrono::duration<double>(Job.Spec.Duration),
                   RunTimeRatioMin, RunTimeRatioMax);
    Customer.RunTimeRatio =
        (1 - RunTimeWeight) * Customer.RunTimeRatio + RunTimeWeight * Ratio;
  }
  endJobIfDone(Place.Job);
}

bool PackingScheduler::endEarlierAttempt(const TaskAttempt &Task, bool Failed) {
  const auto Found = JobIndex_.find(Task.Task.Job);
  if (Found == JobIndex_.end())
    return false;
  JobState &Job = Jobs_[Found->second];
  const TaskPlace Place{Found->second, Task.Task.Index};
  if (Place.Index < 0 || Place.Index >= Job.Spec.Tasks)
    return false;
  if (std::erase(Job.Waiting, Place.Index) > 0) {
    endTask(Place, Failed);
    if (Job.Waiting.empty())
      dequeue(Place.Job);
    endJobIfDone(Place.Job);
    return true;
  }
  TaskState &Present = Job.Tasks[Place.Index];
  if (Present.Phase == TaskPhase::Earmarked) {
    release(Place);
    endTask(Place, Failed);
    endJobIfDone(Place.Job);
    return true;
  }
  // A later run holds its place until its stop is confirmed.
  if (Present.Vm < 0 || Present.Attempt <= Task.Attempt)
    return false;
  if (std::exchange(Present.DoneBefore, true))
    return true;
  Job.FailedCount += Failed ? 1 : 0;
  if (Present.Phase != TaskPhase::Stopping)
    stopTask(Place, false, false);
  return true;
}

void PackingScheduler::countFailure(int Index) {
  VmState &Vm = Vms_[Index];
  ++Vm.Failures;
  if (Vm.Quarantined ||
      (Vm.Failures < Options_.FailuresToQuarantine && !Vm.Probation))
    return;
  const int Shift = std::min(Vm.Quarantines++, 16);
  const auto Time =
      std::min(Options_.QuarantineMin * (1 << Shift), Options_.QuarantineMax);
  Vm.Quarantined = true;
  Vm.Probation = false;
  Vm.QuarantinedUntil = Clock_.now() + Time;
  NextQuarantineEnd_ = std::min(NextQuarantineEnd_, Vm.QuarantinedUntil);
}

void PackingScheduler::countSuccess(int Index) {
  VmState &Vm = Vms_[Index];
  Vm.Failures = 0;
  Vm.Quarantines = 0;
  if (!Vm.Probation)
    return;
  Vm.Probation = false;
  noteRoom(Index);
}

void PackingScheduler::usageReported(const TaskAttempt &Task,
                                     const Capacity &Used) {
  TaskPlace Place;
  TaskState *State = findTask(Task, Place);
  if (!State || State->Phase != TaskPhase::Running)
    return;
  const auto Above = [this](std::int64_t Use, std::int64_t Declared) {
    return Use * 100 > Declared * (100 + Options_.OveruseTolerancePercent);
  };
  // Processors can be held back, memory can't.
  if (Above(Used.MilliCores, State->Held.MilliCores) && !State->Throttled) {
    State->Throttled = true;
    Commands_.push_back(
        ThrottleTask{Vms_[State->Vm].Spec.Id, Task, State->Held.MilliCores});
  }
  if (Above(Used.MemoryMb, State->Held.MemoryMb))
    growTask(Place, Used);
}

void PackingScheduler::growTask(TaskPlace Place, const Capacity &Used) {
  JobState &Job = Jobs_[Place.Job];
  TaskState &Task = Job.Tasks[Place.Index];
  Capacity Growth;
  Growth.MemoryMb = Used.MemoryMb - Task.Held.MemoryMb;
  Job.Size.MemoryMb = std::max(Job.Size.MemoryMb, Used.MemoryMb);
  CustomerState &Customer = Customers_[Job.Customer];
  const bool Fits =
      Growth.fitsIn(Vms_[Task.Vm].Free) && Growth.fitsIn(headroom(Customer));
  if (!Fits) {
    // It would take memory that others were promised.
    stopTask(Place, true, Job.Spec.Checkpointable);
    return;
  }
  Task.Held += Growth;
  Vms_[Task.Vm].Free -= Growth;
  Customer.Held += Growth;
}

std::vector<Command> PackingScheduler::takeCommands() {
  std::vector<Command> Out;
  Out.swap(Commands_);
  return Out;
}

} // namespace cuminroad
