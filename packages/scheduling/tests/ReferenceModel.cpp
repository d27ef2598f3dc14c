#include "ReferenceModel.h"

#include <algorithm>

#include <fmt/format.h>

namespace cuminroad {

namespace {

constexpr int CustomerCount = 4;
constexpr int InitialVmCount = 6;
constexpr std::size_t MaxJobs = 24;
/// Value of an event, modulo 32, that adds a VM.
constexpr std::uint32_t AddVmEvent = 13;
/// Length of the report, in bytes, from which no more violations are added:
/// later ones often follow from the first.
constexpr std::size_t MaxReportLength = 500;
/// VMs added at the end: enough for the largest gang even if every other VM is
/// leaving.
constexpr int ExtraVmCount = 15;

std::string customerName(std::uint32_t RandomBits) {
  return fmt::format("customer{}", RandomBits % CustomerCount);
}

SchedulerOptions makeOptions() {
  SchedulerOptions Options;
  // Quarantines and reservations leave capacity unused on purpose, which
  // checkNoStartableTask() would report. PolicyTest covers them.
  Options.FailuresToQuarantine = 1 << 30;
  Options.ReserveAfter = std::chrono::hours(1000);
  Options.RetryDelayMin = milliseconds(0);
  Options.RetryDelayMax = milliseconds(0);
  return Options;
}

} // namespace

ReferenceModel::ReferenceModel()
    : Scheduler_(makeScheduler(Clock_, makeOptions(), Epoch_)) {
  for (int Index = 0; Index < CustomerCount; ++Index)
    changeLimit(static_cast<std::uint32_t>(Index) | 0x700);
  for (int Index = 0; Index < InitialVmCount; ++Index)
    applyEvent(AddVmEvent);
}

void ReferenceModel::addViolation(const std::string &Message) {
  if (Violations_.size() < MaxReportLength)
    Violations_ += Message + "\n";
}

ReferenceModel::ModelVm *ReferenceModel::pickVm(std::uint32_t RandomBits) {
  std::vector<ModelVm *> Candidates;
  for (auto &[Id, Each] : Vms_)
    if (!Each.Gone)
      Candidates.push_back(&Each);
  return Candidates.empty() ? nullptr
                            : Candidates[RandomBits % Candidates.size()];
}

void ReferenceModel::applyEvent(std::uint32_t RandomBits) {
  const std::uint32_t RemainingBits = RandomBits >> 5;
  ModelVm *Target = pickVm(RemainingBits);
  switch (RandomBits % 32) {
  case AddVmEvent:
  case 14: {
    const std::string Id = fmt::format("vm{}", NextVm_++);
    ModelVm &NewVm = Vms_[Id];
    NewVm.Spec = VmSpec{Id,
                        "d1",
                        fmt::format("rack{}", NextVm_ % 3),
                        "s",
                        "",
                        NextVm_ % 3 == 0 ? Capacity{8000, 16000, 2}
                                         : Capacity{4000, 8000, 0},
                        8,
                        64};
    Scheduler_->listVm(NewVm.Spec);
    claim(NewVm);
    break;
  }
  case 15:
    if (Target) {
      Target->Leaving = true;
      Scheduler_->vmLeaving(Target->Spec.Id);
    }
    break;
  case 16:
    if (Target)
      loseVm(*Target, RemainingBits % 2 == 0);
    break;
  case 17:
    takeOver();
    break;
  case 18:
  case 19:
    if (Target && !Target->Claimed)
      claim(*Target);
    break;
  case 20:
    changeLimit(RemainingBits);
    break;
  case 21:
    if (!Jobs_.empty()) {
      auto Entry = std::next(Jobs_.begin(), RemainingBits % Jobs_.size());
      Entry->second.Cancelled = true;
      Scheduler_->cancel(Entry->first);
    }
    break;
  case 22:
    Clock_.advance(milliseconds(RemainingBits % 5000));
    break;
  case 23:
    confirmStops();
    break;
  case 24:
    if (Target)
      answerStarts(*Target, true);
    break;
  case 25:
  case 26:
    if (Target)
      answerStarts(*Target, false);
    break;
  case 27:
  case 28:
  case 29:
  case 30:
  case 31:
    endRandomTask(RemainingBits);
    break;
  default:
    submit(RemainingBits);
  }
  runScheduler();
}

void ReferenceModel::submit(std::uint32_t RandomBits) {
  if (Jobs_.size() >= MaxJobs)
    return;
  JobSpec Spec;
  Spec.Id = fmt::format("job{}", NextJob_++);
  Spec.Customer = customerName(RandomBits);
  Spec.Kind = static_cast<JobKind>((RandomBits >> 2) % 3);
  Spec.Tasks = 1 + static_cast<int>((RandomBits >> 4) % 4);
  Spec.PerTask = Capacity{500 + 500 * static_cast<int>((RandomBits >> 6) % 10),
                          500 + 1000 * static_cast<int>((RandomBits >> 10) % 9),
                          (RandomBits >> 14) % 8 == 0 ? 1 : 0};
  Spec.Duration = milliseconds(Spec.Kind == JobKind::Service ? 0 : 1000);
  Spec.Restartable = (RandomBits >> 17) % 4 != 0;
  Spec.Checkpointable = (RandomBits >> 19) % 2 == 0;
  const auto Checked =
      Scheduler_->checkFeasible(Spec, Limits_[Spec.Customer].MaxCapacity);
  if (Checked.has_value() != canEverRun(Spec))
    addViolation(
        fmt::format("{}: refusal differs from the reference model", Spec.Id));
  if (!Checked)
    return;
  Jobs_[Spec.Id].Spec = Spec;
  Scheduler_->submit(Spec);
}

bool ReferenceModel::canEverRun(const JobSpec &Spec) const {
  const int ConcurrentTasks = Spec.Kind == JobKind::Gang ? Spec.Tasks : 1;
  const auto Limit = Limits_.find(Spec.Customer);
  if (Limit == Limits_.end() ||
      !(Spec.PerTask * ConcurrentTasks).fitsIn(Limit->second.MaxCapacity))
    return false;
  int UnplacedTasks = ConcurrentTasks;
  for (const auto &[Id, Each] : Vms_) {
    Capacity Remaining = Each.Spec.Total;
    while (!Each.Gone && !Each.Leaving && UnplacedTasks > 0 &&
           Spec.PerTask.fitsIn(Remaining)) {
      Remaining -= Spec.PerTask;
      --UnplacedTasks;
    }
  }
  return UnplacedTasks == 0;
}

void ReferenceModel::takeOver() {
  Scheduler_ = makeScheduler(Clock_, makeOptions(), ++Epoch_);
  for (const auto &[Customer, Terms] : Limits_)
    Scheduler_->setLimit(Customer, Terms);
  for (auto &[Id, Each] : Vms_) {
    if (Each.Gone)
      continue;
    Each.Claimed = false;
    Each.InventoryUnknown = true;
    Scheduler_->listVm(Each.Spec);
    if (Each.Leaving)
      Scheduler_->vmLeaving(Id);
  }
  for (const auto &[Id, Each] : Jobs_) {
    RecoveredJob Job;
    Job.Spec = Each.Spec;
    Job.Ended.assign(Each.Ended.begin(), Each.Ended.end());
    Job.RecordedStarts = Each.RecordedStarts;
    Job.Cancelled = Each.Cancelled;
    Scheduler_->recover(Job);
  }
}

void ReferenceModel::claim(ModelVm &Target) {
  // The claim's fencing token makes the VM reject starts that it hasn't
  // answered.
  std::erase_if(Target.Tasks,
                [](const auto &Entry) { return !Entry.second.StartAnswered; });
  std::vector<InventoryTask> Inventory;
  for (auto &[Task, State] : Target.Tasks) {
    State.Stopping = false;
    Inventory.push_back(InventoryTask{Task, State.Size});
  }
  for (const TaskAttempt &Task : std::exchange(Target.LateEnds, {})) {
    const auto Found = Jobs_.find(Task.Task.Job);
    if (Found != Jobs_.end())
      Found->second.Ended.try_emplace(Task.Task.Index, false);
    Scheduler_->taskEnded(Task, false, false);
  }
  Target.Claimed = true;
  Target.InventoryUnknown = false;
  Scheduler_->vmClaimed(Target.Spec.Id, Inventory);
}

void ReferenceModel::loseVm(ModelVm &Target, bool Permanently) {
  for (const auto &[Task, State] : Target.Tasks) {
    const auto Found = Jobs_.find(Task.Task.Job);
    if (Found != Jobs_.end() && !Found->second.Spec.Restartable)
      Found->second.Lost.insert(Task.Task.Index);
    // Every other task ended before the lease lapsed.
    if (!Permanently && State.StartAnswered && Task.Attempt % 2 == 0)
      Target.LateEnds.push_back(Task);
  }
  Target.Tasks.clear();
  Target.Gone = Permanently;
  Target.Claimed = false;
  Target.InventoryUnknown = false;
  Scheduler_->vmTasksEnded(Target.Spec.Id, Permanently);
}

void ReferenceModel::answerStarts(ModelVm &Target, bool Refuse) {
  if (!Target.Claimed)
    return;
  std::vector<TaskAttempt> UnansweredStarts;
  for (const auto &[Task, State] : Target.Tasks)
    if (!State.StartAnswered)
      UnansweredStarts.push_back(Task);
  for (const TaskAttempt &Task : UnansweredStarts) {
    Target.Tasks[Task].StartAnswered = true;
    if (!Refuse) {
      Scheduler_->taskStarted(Task);
      continue;
    }
    Target.Tasks.erase(Task);
    Scheduler_->startRefused(Task);
  }
}

void ReferenceModel::endRandomTask(std::uint32_t RandomBits) {
  std::vector<std::pair<ModelVm *, TaskAttempt>> Running;
  for (auto &[Id, Each] : Vms_)
    for (const auto &[Task, State] : Each.Tasks)
      if (Each.Claimed && State.StartAnswered)
        Running.emplace_back(&Each, Task);
  if (Running.empty())
    return;
  const auto &[Vm, Task] = Running[RandomBits % Running.size()];
  const bool Failed = RandomBits % 7 == 0;
  Vm->Tasks.erase(Task);
  ModelJob &Job = Jobs_[Task.Task.Job];
  Job.Ended[Task.Task.Index] = Failed;
  Scheduler_->taskEnded(Task, Failed, false);
}

void ReferenceModel::confirmStops() {
  std::vector<std::pair<ModelVm *, TaskAttempt>> Stopped;
  for (auto &[Id, Each] : Vms_)
    for (const auto &[Task, State] : Each.Tasks)
      if (Each.Claimed && State.Stopping)
        Stopped.emplace_back(&Each, Task);
  for (const auto &[Vm, Task] : Stopped) {
    Vm->Tasks.erase(Task);
    Scheduler_->taskEnded(Task, false, true);
  }
}

void ReferenceModel::changeLimit(std::uint32_t RandomBits) {
  const std::string Customer = customerName(RandomBits);
  const auto MilliCores =
      1000 * (2 + static_cast<std::int64_t>((RandomBits >> 3) % 30));
  ContractTerms Terms;
  Terms.MaxCapacity = Capacity{MilliCores, MilliCores * 2, 4};
  Terms.TaskStartWithin = milliseconds(1000 * (1 + (RandomBits >> 8) % 5));
  Terms.Urgent = Customer == "customer0";
  Limits_[Customer] = Terms;
  Scheduler_->setLimit(Customer, Terms);
}

Capacity ReferenceModel::usedCapacity(const ModelVm &Vm) const {
  Capacity Sum;
  for (const auto &[Task, State] : Vm.Tasks)
    Sum += State.Size;
  return Sum;
}

Capacity ReferenceModel::heldCapacity(const std::string &Customer) const {
  // VMs with an unknown inventory count with their whole capacity, see
  // capacityAwaitingInventory().
  Capacity Sum;
  for (const auto &[Id, Each] : Vms_)
    for (const auto &[Task, State] : Each.Tasks)
      if (State.Customer == Customer && !Each.InventoryUnknown)
        Sum += State.Size;
  return Sum;
}

Capacity ReferenceModel::capacityAwaitingInventory() const {
  Capacity Sum;
  for (const auto &[Id, Each] : Vms_)
    if (Each.InventoryUnknown && !Each.Gone)
      Sum += Each.Spec.Total;
  return Sum;
}

void ReferenceModel::runScheduler() {
  Scheduler_->schedule();
  std::map<std::string, int> Started;
  for (const Command &Each : Scheduler_->takeCommands()) {
    if (const auto *Start = std::get_if<StartTask>(&Each))
      ++Started[Start->Task.Task.Job];
    std::visit([this](const auto &Body) { applyCommand(Body); }, Each);
  }
  checkGangs(Started);
  checkCapacities();
  checkNoStartableTask();
}

void ReferenceModel::applyCommand(const StartTask &Start) {
  ++Starts_;
  ModelVm &Vm = Vms_[Start.Vm];
  ModelJob &Job = Jobs_[Start.Task.Task.Job];
  const std::string Name =
      fmt::format("{}/{}", Start.Task.Task.Job, Start.Task.Task.Index);
  if (!Vm.Claimed || Vm.Leaving || Vm.Gone)
    addViolation(Name + " started on a VM that takes no tasks");
  for (const auto &[Id, Each] : Vms_)
    for (const auto &[Task, State] : Each.Tasks)
      if (Task.Task == Start.Task.Task)
        addViolation(Name + " started while it already runs");
  if (Job.Ended.contains(Start.Task.Task.Index))
    addViolation(Name + " started after it had ended");
  if (Job.Cancelled)
    addViolation(Name + " started after it was cancelled");
  if (!Job.Spec.Restartable &&
      (Job.Lost.contains(Start.Task.Task.Index) ||
       (Job.RecordedStarts.contains(Start.Task.Task.Index) &&
        !Start.RecordBeforeStart)))
    addViolation(Name + " started again although it may not run twice");
  const Capacity Total = heldCapacity(Job.Spec.Customer) + Start.Size +
                         capacityAwaitingInventory();
  if (!Total.fitsIn(Limits_[Job.Spec.Customer].MaxCapacity))
    addViolation(Name + " exceeds its customer's limit");
  if (Start.RecordBeforeStart)
    Job.RecordedStarts.insert(Start.Task.Task.Index);
  Vm.Tasks[Start.Task] =
      RunningTask{Start.Size, Job.Spec.Customer, false, false};
}

void ReferenceModel::applyCommand(const StopTask &Stop) {
  const auto Found = Vms_[Stop.Vm].Tasks.find(Stop.Task);
  if (Found == Vms_[Stop.Vm].Tasks.end())
    return;
  Found->second.Stopping = true;
  Found->second.StartAnswered = true;
}

void ReferenceModel::applyCommand(const EndJob &End) {
  ModelJob &Job = Jobs_[End.Job];
  const std::size_t EndedCount = Job.Ended.size();
  if (End.Outcome == JobOutcome::Done &&
      static_cast<int>(EndedCount) < Job.Spec.Tasks)
    addViolation(End.Job + " is reported as done although tasks haven't ended");
  if (End.Outcome == JobOutcome::Cancelled && !Job.Cancelled)
    addViolation(End.Job + " is reported as cancelled but was not");
  Jobs_.erase(End.Job);
}

void ReferenceModel::checkGangs(const std::map<std::string, int> &Started) {
  for (const auto &[Id, Count] : Started) {
    const auto Found = Jobs_.find(Id);
    if (Found == Jobs_.end() || Found->second.Spec.Kind != JobKind::Gang)
      continue;
    const ModelJob &Job = Found->second;
    int Running = 0;
    for (const auto &[Vm, Each] : Vms_)
      for (const auto &[Task, State] : Each.Tasks)
        Running += Task.Task.Job == Id;
    if (Running + static_cast<int>(Job.Ended.size() + Job.Lost.size()) <
        Job.Spec.Tasks)
      addViolation(Id + ": only part of the gang was started");
  }
}

void ReferenceModel::checkCapacities() {
  for (const auto &[Id, Each] : Vms_)
    if (!usedCapacity(Each).fitsIn(Each.Spec.Total))
      addViolation(Id + " has tasks that exceed its capacity");
}

/// Tries every VM for every waiting job but gangs. Where a task fits, the
/// scheduler should have started it.
void ReferenceModel::checkNoStartableTask() {
  if (std::any_of(Vms_.begin(), Vms_.end(), [](const auto &Entry) {
        return Entry.second.InventoryUnknown && !Entry.second.Gone;
      }))
    return;
  for (const JobView &View : Scheduler_->jobs()) {
    if (View.WaitingCount == 0 || View.Cancelled ||
        View.Spec.Kind == JobKind::Gang)
      continue;
    const Capacity Size = View.Spec.PerTask;
    const Capacity Available = Limits_[View.Spec.Customer].MaxCapacity -
                               heldCapacity(View.Spec.Customer);
    // Free capacity is negative where an urgent task waits for preempted tasks
    // to stop.
    bool PreemptionPending = false;
    for (const VmView &Vm : Scheduler_->vms())
      PreemptionPending =
          PreemptionPending || !Capacity{}.fitsIn(Vm.FreeCapacity);
    if (!Size.fitsIn(Available) || PreemptionPending)
      continue;
    for (const auto &[Id, Each] : Vms_)
      if (Each.Claimed && !Each.Leaving && !Each.Gone &&
          Size.fitsIn(Each.Spec.Total - usedCapacity(Each)))
        addViolation(fmt::format("{} waits although a task fits on {}",
                                 View.Spec.Id, Id));
  }
}

void ReferenceModel::finish() {
  constexpr int MaxRounds = 3000;
  for (auto &[Customer, Terms] : Limits_) {
    Terms.MaxCapacity = Capacity{1'000'000, 1'000'000, 1'000};
    Scheduler_->setLimit(Customer, Terms);
  }
  for (int Index = 0; Index < ExtraVmCount; ++Index)
    applyEvent(AddVmEvent);
  for (int Round = 0; Round < MaxRounds && !Jobs_.empty(); ++Round) {
    for (auto &[Id, Each] : Vms_) {
      if (Each.Gone)
        continue;
      if (!Each.Claimed)
        claim(Each);
      answerStarts(Each, false);
    }
    confirmStops();
    endRandomTask(static_cast<std::uint32_t>(Round));
    Clock_.advance(milliseconds(10));
    runScheduler();
  }
  for (const auto &[Id, Each] : Jobs_)
    addViolation(Id + " never ended");
}

} // namespace cuminroad
