#include "NaiveWorld.h"

#include <algorithm>

#include <fmt/format.h>

namespace cuminroad {

namespace {

constexpr int CustomerCount = 4;
constexpr int FirstVms = 6;
constexpr std::size_t MaxJobs = 24;
/// The first violations tell most.
constexpr std::size_t MaxReport = 500;
constexpr int FreshVms = 15;

std::string customerName(std::uint32_t Word) {
  return fmt::format("customer{}", Word % CustomerCount);
}

SchedulerOptions makeOptions() {
  SchedulerOptions Options;
  // Quarantine and reservations keep room free on purpose; the check that no
  // room is wasted runs without them, their own tests are elsewhere.
  Options.FailuresToQuarantine = 1 << 30;
  Options.ReserveAfter = std::chrono::hours(1000);
  Options.RetryDelayMin = milliseconds(0);
  Options.RetryDelayMax = milliseconds(0);
  return Options;
}

} // namespace

NaiveWorld::NaiveWorld()
    : Scheduler_(makeScheduler(Clock_, makeOptions(), Epoch_)) {
  for (int Index = 0; Index < CustomerCount; ++Index)
    changeLimit(static_cast<std::uint32_t>(Index) | 0x700);
  for (int Index = 0; Index < FirstVms; ++Index)
    play(13);
}

void NaiveWorld::fail(const std::string &What) {
  if (Violations_.size() < MaxReport)
    Violations_ += What + "\n";
}

NaiveWorld::Vm *NaiveWorld::pickVm(std::uint32_t Word) {
  std::vector<Vm *> Present;
  for (auto &[Id, Each] : Vms_)
    if (!Each.Gone)
      Present.push_back(&Each);
  return Present.empty() ? nullptr : Present[Word % Present.size()];
}

void NaiveWorld::play(std::uint32_t Word) {
  const std::uint32_t Rest = Word >> 5;
  Vm *Target = pickVm(Rest);
  switch (Word % 32) {
  case 13:
  case 14: {
    const std::string Id = fmt::format("vm{}", NextVm_++);
    Vm &New = Vms_[Id];
    New.Spec = VmSpec{Id,
                      "d1",
                      fmt::format("rack{}", NextVm_ % 3),
                      "s",
                      "",
                      NextVm_ % 3 == 0 ? Capacity{8000, 16000, 2}
                                       : Capacity{4000, 8000, 0},
                      8,
                      64};
    Scheduler_->listVm(New.Spec);
    claim(New);
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
      loseVm(*Target, Rest % 2 == 0);
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
    changeLimit(Rest);
    break;
  case 21:
    if (!Jobs_.empty()) {
      auto Entry = std::next(Jobs_.begin(), Rest % Jobs_.size());
      Entry->second.Cancelled = true;
      Scheduler_->cancel(Entry->first);
    }
    break;
  case 22:
    Clock_.advance(milliseconds(Rest % 5000));
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
    endOne(Rest);
    break;
  default:
    submit(Rest);
  }
  decide();
}

void NaiveWorld::submit(std::uint32_t Word) {
  if (Jobs_.size() >= MaxJobs)
    return;
  JobSpec Spec;
  Spec.Id = fmt::format("job{}", NextJob_++);
  Spec.Customer = customerName(Word);
  Spec.Kind = static_cast<JobKind>((Word >> 2) % 3);
  Spec.Tasks = 1 + static_cast<int>((Word >> 4) % 4);
  Spec.PerTask = Capacity{500 + 500 * static_cast<int>((Word >> 6) % 10),
                          500 + 1000 * static_cast<int>((Word >> 10) % 9),
                          (Word >> 14) % 8 == 0 ? 1 : 0};
  Spec.Duration = milliseconds(Spec.Kind == JobKind::Service ? 0 : 1000);
  Spec.Restartable = (Word >> 17) % 4 != 0;
  Spec.Checkpointable = (Word >> 19) % 2 == 0;
  const auto Checked =
      Scheduler_->checkFeasible(Spec, Limits_[Spec.Customer].MaxHeld);
  if (Checked.has_value() != canEverRun(Spec))
    fail(fmt::format("{}: refusal differs from the naive version", Spec.Id));
  if (!Checked)
    return;
  Jobs_[Spec.Id].Spec = Spec;
  Scheduler_->submit(Spec);
}

bool NaiveWorld::canEverRun(const JobSpec &Spec) const {
  const int AtOnce = Spec.Kind == JobKind::Gang ? Spec.Tasks : 1;
  const auto Limit = Limits_.find(Spec.Customer);
  if (Limit == Limits_.end() ||
      !(Spec.PerTask * AtOnce).fitsIn(Limit->second.MaxHeld))
    return false;
  int Left = AtOnce;
  for (const auto &[Id, Each] : Vms_) {
    Capacity Room = Each.Spec.Total;
    while (!Each.Gone && !Each.Leaving && Left > 0 &&
           Spec.PerTask.fitsIn(Room)) {
      Room -= Spec.PerTask;
      --Left;
    }
  }
  return Left == 0;
}

void NaiveWorld::takeOver() {
  Scheduler_ = makeScheduler(Clock_, makeOptions(), ++Epoch_);
  for (const auto &[Customer, Terms] : Limits_)
    Scheduler_->setLimit(Customer, Terms);
  for (auto &[Id, Each] : Vms_) {
    if (Each.Gone)
      continue;
    Each.Claimed = false;
    Each.Unresolved = true;
    Scheduler_->listVm(Each.Spec);
    if (Each.Leaving)
      Scheduler_->vmLeaving(Id);
  }
  for (const auto &[Id, Each] : Jobs_) {
    RecoveredJob Job;
    Job.Spec = Each.Spec;
    Job.Ended.assign(Each.Ended.begin(), Each.Ended.end());
    Job.RecordedStarts = Each.Recorded;
    Job.Cancelled = Each.Cancelled;
    Scheduler_->recover(Job);
  }
}

void NaiveWorld::claim(Vm &Target) {
  // The claim's fence voids starts that were not answered.
  std::erase_if(Target.Tasks,
                [](const auto &Entry) { return !Entry.second.Answered; });
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
  Target.Unresolved = false;
  Scheduler_->vmClaimed(Target.Spec.Id, Inventory);
}

void NaiveWorld::loseVm(Vm &Target, bool ForGood) {
  for (const auto &[Task, State] : Target.Tasks) {
    const auto Found = Jobs_.find(Task.Task.Job);
    if (Found != Jobs_.end() && !Found->second.Spec.Restartable)
      Found->second.Lost.insert(Task.Task.Index);
    // Every other one came to its end before the lease lapsed.
    if (!ForGood && State.Answered && Task.Attempt % 2 == 0)
      Target.LateEnds.push_back(Task);
  }
  Target.Tasks.clear();
  Target.Gone = ForGood;
  Target.Claimed = false;
  Target.Unresolved = false;
  Scheduler_->vmEmptied(Target.Spec.Id, ForGood);
}

void NaiveWorld::answerStarts(Vm &Target, bool Refuse) {
  if (!Target.Claimed)
    return;
  std::vector<TaskAttempt> Open;
  for (const auto &[Task, State] : Target.Tasks)
    if (!State.Answered)
      Open.push_back(Task);
  for (const TaskAttempt &Task : Open) {
    Target.Tasks[Task].Answered = true;
    if (!Refuse) {
      Scheduler_->taskStarted(Task);
      continue;
    }
    Target.Tasks.erase(Task);
    Scheduler_->startRefused(Task);
  }
}

void NaiveWorld::endOne(std::uint32_t Word) {
  std::vector<std::pair<Vm *, TaskAttempt>> Running;
  for (auto &[Id, Each] : Vms_)
    for (const auto &[Task, State] : Each.Tasks)
      if (Each.Claimed && State.Answered)
        Running.emplace_back(&Each, Task);
  if (Running.empty())
    return;
  const auto &[Where, Task] = Running[Word % Running.size()];
  const bool Failed = Word % 7 == 0;
  Where->Tasks.erase(Task);
  Job &Of = Jobs_[Task.Task.Job];
  Of.Ended[Task.Task.Index] = Failed;
  Scheduler_->taskEnded(Task, Failed, false);
}

void NaiveWorld::confirmStops() {
  std::vector<std::pair<Vm *, TaskAttempt>> Stopped;
  for (auto &[Id, Each] : Vms_)
    for (const auto &[Task, State] : Each.Tasks)
      if (Each.Claimed && State.Stopping)
        Stopped.emplace_back(&Each, Task);
  for (const auto &[Where, Task] : Stopped) {
    Where->Tasks.erase(Task);
    Scheduler_->taskEnded(Task, false, true);
  }
}

void NaiveWorld::changeLimit(std::uint32_t Word) {
  const std::string Customer = customerName(Word);
  const auto Cores = 1000 * (2 + static_cast<std::int64_t>((Word >> 3) % 30));
  ContractTerms Terms;
  Terms.MaxHeld = Capacity{Cores, Cores * 2, 4};
  Terms.TaskStartWithin = milliseconds(1000 * (1 + (Word >> 8) % 5));
  Terms.Urgent = Customer == "customer0";
  Limits_[Customer] = Terms;
  Scheduler_->setLimit(Customer, Terms);
}

Capacity NaiveWorld::used(const Vm &Of) const {
  Capacity Sum;
  for (const auto &[Task, State] : Of.Tasks)
    Sum += State.Size;
  return Sum;
}

Capacity NaiveWorld::heldBy(const std::string &Customer) const {
  // A VM that is not resolved counts whole, see unknown().
  Capacity Sum;
  for (const auto &[Id, Each] : Vms_)
    for (const auto &[Task, State] : Each.Tasks)
      if (State.Customer == Customer && !Each.Unresolved)
        Sum += State.Size;
  return Sum;
}

Capacity NaiveWorld::unknown() const {
  Capacity Sum;
  for (const auto &[Id, Each] : Vms_)
    if (Each.Unresolved && !Each.Gone)
      Sum += Each.Spec.Total;
  return Sum;
}

void NaiveWorld::decide() {
  Scheduler_->schedule();
  std::map<std::string, int> Started;
  for (const Command &Each : Scheduler_->takeCommands()) {
    if (const auto *Start = std::get_if<StartTask>(&Each))
      ++Started[Start->Task.Task.Job];
    std::visit([this](const auto &Do) { apply(Do); }, Each);
  }
  checkGangs(Started);
  checkCapacities();
  checkNothingStartable();
}

void NaiveWorld::apply(const StartTask &Do) {
  ++Starts_;
  Vm &Where = Vms_[Do.Vm];
  Job &Of = Jobs_[Do.Task.Task.Job];
  const std::string Name =
      fmt::format("{}/{}", Do.Task.Task.Job, Do.Task.Task.Index);
  if (!Where.Claimed || Where.Leaving || Where.Gone)
    fail(Name + " started on a VM that takes no work");
  for (const auto &[Id, Each] : Vms_)
    for (const auto &[Task, State] : Each.Tasks)
      if (Task.Task == Do.Task.Task)
        fail(Name + " runs in two places");
  if (Of.Ended.contains(Do.Task.Task.Index))
    fail(Name + " started after it had ended");
  if (Of.Cancelled)
    fail(Name + " started after it was cancelled");
  if (!Of.Spec.Restartable &&
      (Of.Lost.contains(Do.Task.Task.Index) ||
       (Of.Recorded.contains(Do.Task.Task.Index) && !Do.RecordBeforeStart)))
    fail(Name + " may not run twice");
  const Capacity Held = heldBy(Of.Spec.Customer) + Do.Size + unknown();
  if (!Held.fitsIn(Limits_[Of.Spec.Customer].MaxHeld))
    fail(Name + " exceeds its customer's limit");
  if (Do.RecordBeforeStart)
    Of.Recorded.insert(Do.Task.Task.Index);
  Where.Tasks[Do.Task] = RunningTask{Do.Size, Of.Spec.Customer, false, false};
}

void NaiveWorld::apply(const StopTask &Do) {
  const auto Found = Vms_[Do.Vm].Tasks.find(Do.Task);
  if (Found == Vms_[Do.Vm].Tasks.end())
    return;
  Found->second.Stopping = true;
  Found->second.Answered = true;
}

void NaiveWorld::apply(const EndJob &Do) {
  Job &Of = Jobs_[Do.Job];
  const std::size_t Known = Of.Ended.size();
  if (Do.Outcome == JobOutcome::Done && static_cast<int>(Known) < Of.Spec.Tasks)
    fail(Do.Job + " is called done with tasks missing");
  if (Do.Outcome == JobOutcome::Cancelled && !Of.Cancelled)
    fail(Do.Job + " is called cancelled but was not");
  Jobs_.erase(Do.Job);
}

void NaiveWorld::checkGangs(const std::map<std::string, int> &Started) {
  for (const auto &[Id, Count] : Started) {
    const auto Found = Jobs_.find(Id);
    if (Found == Jobs_.end() || Found->second.Spec.Kind != JobKind::Gang)
      continue;
    const Job &Of = Found->second;
    int Running = 0;
    for (const auto &[Vm, Each] : Vms_)
      for (const auto &[Task, State] : Each.Tasks)
        Running += Task.Task.Job == Id;
    if (Running + static_cast<int>(Of.Ended.size() + Of.Lost.size()) <
        Of.Spec.Tasks)
      fail(Id + ": a part of a gang was started");
  }
}

void NaiveWorld::checkCapacities() {
  for (const auto &[Id, Each] : Vms_)
    if (!used(Each).fitsIn(Each.Spec.Total))
      fail(Id + " has more work than capacity");
}

/// The naive version tries every VM for every waiting job of the depth that
/// the policy looks at; where one fits, the scheduler has wasted it.
void NaiveWorld::checkNothingStartable() {
  if (std::any_of(Vms_.begin(), Vms_.end(), [](const auto &Entry) {
        return Entry.second.Unresolved && !Entry.second.Gone;
      }))
    return;
  for (const JobView &View : Scheduler_->jobs()) {
    if (View.WaitingCount == 0 || View.Cancelled ||
        View.Spec.Kind == JobKind::Gang)
      continue;
    const Capacity Size = View.Spec.PerTask;
    const Capacity Room =
        Limits_[View.Spec.Customer].MaxHeld - heldBy(View.Spec.Customer);
    // An earmark holds room for an urgent task that is not yet started.
    bool Earmarks = false;
    for (const VmView &Vm : Scheduler_->vms())
      Earmarks = Earmarks || !Capacity{}.fitsIn(Vm.FreeCapacity);
    if (!Size.fitsIn(Room) || Earmarks)
      continue;
    for (const auto &[Id, Each] : Vms_)
      if (Each.Claimed && !Each.Leaving && !Each.Gone &&
          Size.fitsIn(Each.Spec.Total - used(Each)))
        fail(fmt::format("{} waits although {} has room", View.Spec.Id, Id));
  }
}

void NaiveWorld::finish() {
  constexpr int MaxRounds = 3000;
  for (auto &[Customer, Terms] : Limits_) {
    Terms.MaxHeld = Capacity{1'000'000, 1'000'000, 1'000};
    Scheduler_->setLimit(Customer, Terms);
  }
  // Enough for the largest gang, should every other VM be leaving.
  for (int Index = 0; Index < FreshVms; ++Index)
    play(13);
  for (int Round = 0; Round < MaxRounds && !Jobs_.empty(); ++Round) {
    for (auto &[Id, Each] : Vms_) {
      if (Each.Gone)
        continue;
      if (!Each.Claimed)
        claim(Each);
      answerStarts(Each, false);
    }
    confirmStops();
    endOne(static_cast<std::uint32_t>(Round));
    Clock_.advance(milliseconds(10));
    decide();
  }
  for (const auto &[Id, Each] : Jobs_)
    fail(Id + " never ended");
}

} // namespace cuminroad
