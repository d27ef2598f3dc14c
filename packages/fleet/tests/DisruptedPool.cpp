#include "DisruptedPool.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace cuminroad {

namespace {

constexpr int InitialVms = 5;
constexpr int TasksPerVm = 3;
constexpr milliseconds HeartbeatInterval{1500};
/// Silence after which the platform removes an entry.
constexpr milliseconds EntryLifetime = HeartbeatInterval * 3;
constexpr milliseconds BeatInterval{100};
constexpr milliseconds ContactTime{3000};
/// The longest disruption that goes on in calm times.
constexpr milliseconds LongestFreeze{12000};
constexpr milliseconds DisruptedTime{60000};
constexpr milliseconds CalmTime{30000};
/// A process takes at least this long, in milliseconds, to start again.
constexpr int ShortestRestart = 350;
constexpr double SlowClockRate = 0.98;
constexpr int MaxAttempts = 4;
/// So many jobs a second that none of the model's is beyond its account's rate.
constexpr double LargeWeight = 1000;
/// The accounts and their quotas in tasks, of which the VMs hold 15.
const std::map<std::string, int> AccountQuotas{{"x", 5}, {"y", 2}};

QueueTerms modelQueue() {
  QueueTerms Out;
  Out.Name = "q";
  Out.Service = TestService;
  Out.MaxAttempts = MaxAttempts;
  return Out;
}

/// \returns the largest capacity that was in force from \p Since to \p Until.
int largestIn(const std::vector<std::pair<TimePoint, int>> &Changes,
              TimePoint Since, TimePoint Until) {
  int Out = 0;
  TimePoint ReplacedAt = TimePoint::max();
  for (auto Change = Changes.rbegin(); Change != Changes.rend(); ++Change) {
    if (Change->first <= Until && ReplacedAt >= Since)
      Out = std::max(Out, Change->second);
    ReplacedAt = Change->first;
  }
  return Out;
}

} // namespace

DisruptedPool::DisruptedPool(unsigned Seed, Disruptions Kinds)
    : Random_(Seed), Kinds_(Kinds), Fake_(ControlLoop_) {
  Fake_.PlanRun = [this](const TaskRun &Run) {
    const int Longest = chance(3) ? 9000 : 1500;
    const bool Hopeless = HopelessJobs_.contains(Run.Task.Step.Job);
    return std::pair{between(100, Longest), chance(Hopeless ? 2 : 15)
                                                ? RunOutcome::Failed
                                                : RunOutcome::Done};
  };
  Fake_.PlanStop = [this](const TaskRun &) { return between(0, 800); };
  if (Kinds_.ShortEndLists)
    Fake_.MaxListedEnds = 1;
  Facts_.MaxAttempts = MaxAttempts;
  if (Kinds_.Quotas)
    Facts_.Quotas = AccountQuotas;
  Facts_.PermittedTasks = [this](const std::string &Vm, TimePoint Time) {
    return permittedTasks(Vm, Time);
  };
  Daemons_.reserve(3);
  for (int Number = 0; Number < InitialVms; ++Number)
    addVm(fmt::format("vm{}", VmCount_++), fmt::format("h{}:1", Number));
  ControlLoop_.runFor(between(0, 20000));
  for (const char *Name : {"a", "b", "c"})
    addDaemon(Name);
}

milliseconds DisruptedPool::between(int Shortest, int Longest) {
  return milliseconds(Shortest +
                      static_cast<int>(Random_() % (Longest - Shortest + 1)));
}

void DisruptedPool::note(const std::string &Text) {
  Notes_.emplace_back(now(), Text);
}

void DisruptedPool::addVm(const std::string &Id, const std::string &Address) {
  ModelVm Vm;
  Vm.Id = Id;
  Vm.Address = Address;
  Vm.Tasks = TasksPerVm;
  Fake_.add(Id, Vm.Incarnation);
  Fake_.setAddress(Id, Address);
  Fake_.setClockRate(Id, chance(2) ? SlowClockRate : 1.0);
  Capacities_[Id].emplace_back(now(), Vm.Tasks);
  Vm.Label = Vm.EarlierLabel = anyLabel();
  Facts_.Labels[Id][now()] = Vm.Label;
  Vms_.push_back(std::move(Vm));
}

void DisruptedPool::addDaemon(const std::string &Name) {
  ModelDaemon &Daemon = Daemons_.emplace_back();
  Daemon.Process = std::make_unique<TestDaemon>(Name, ControlLoop_, Rows_,
                                                Fake_, modelQueue());
  Daemon.Process->Calls.LateOrdersSurviveRestarts =
      Kinds_.LateOrdersSurviveRestarts;
  Daemon.Process->Calls.NextFault = [this, &Daemon](const std::string &Vm) {
    return orderFault(Daemon, Vm);
  };
  Daemon.Process->Store.NextFault = [this, &Daemon] {
    return storeFault(Daemon);
  };
  if (!Kinds_.Quotas)
    return;
  std::vector<ClientAccount> Accounts;
  for (const auto &[Account, Tasks] : AccountQuotas)
    Accounts.push_back(
        ClientAccount{Account, LargeWeight, TestTaskSize * Tasks});
  Daemon.Process->setAccounts({std::string(TestService)}, Accounts);
}

VmCallFault DisruptedPool::orderFault(ModelDaemon &Daemon,
                                      const std::string &Id) {
  if (Calm_)
    return {};
  if (const auto Cut = Daemon.CutOffUntil.find(Id);
      Cut != Daemon.CutOffUntil.end() && now() < Cut->second)
    return {chance(2) ? VmCallFault::RequestLost : VmCallFault::ResponseLost,
            milliseconds(0)};
  if (const ModelVm *Vm = findVm(Id); Vm != nullptr && now() < Vm->FrozenUntil)
    return {VmCallFault::Delayed,
            std::chrono::duration_cast<milliseconds>(Vm->FrozenUntil - now()) +
                milliseconds(1)};
  if (!Kinds_.Orders)
    return {};
  if (Random_() % 100 >= (now() < StormUntil_ ? 25U : 3U))
    return {};
  switch (Random_() % 6) {
  case 0:
    return {VmCallFault::RequestLost, milliseconds(0)};
  case 1:
    return {VmCallFault::ResponseLost, milliseconds(0)};
  case 2:
    return {VmCallFault::Repeated, between(1000, 12000)};
  case 3:
    return {VmCallFault::SlowResponse, between(20, 800)};
  default:
    return {VmCallFault::Delayed, between(400, 12000)};
  }
}

StoreFault DisruptedPool::storeFault(ModelDaemon &Daemon) {
  if (Calm_)
    return {};
  if (now() < StoreAwayUntil_ || now() < Daemon.WithoutStoreUntil)
    return {chance(2) ? StoreFault::Refused : StoreFault::RequestLost,
            milliseconds(0)};
  if (!Kinds_.Store || Random_() % 100 >= (now() < StormUntil_ ? 12U : 1U))
    return {};
  return chance(3) ? StoreFault{StoreFault::ResponseLost, milliseconds(0)}
                   : StoreFault{StoreFault::Delayed, between(300, 5000)};
}

StepPlan DisruptedPool::anyStep() {
  StepPlan Out;
  Out.Tasks = 1 + static_cast<int>(Random_() % 5);
  Out.PerTask = TestTaskSize;
  Out.Estimate = between(200, 3000);
  Out.Checkpointing = chance(3);
  if (chance(2))
    Out.MaxPerVm = 1 + static_cast<int>(Random_() % 2);
  if (chance(4))
    Out.RequiredLabel = anyLabel();
  return Out;
}

void DisruptedPool::submit() {
  JobRequest Request;
  Request.Queue = "q";
  Request.Service = TestService;
  Request.Plan.Id =
      fmt::format("{:016x}", 0x1000000000000000ULL * (Random_() % 16) +
                                 static_cast<unsigned long long>(++JobCount_));
  if (Kinds_.Quotas && JobCount_ % 3 != 0)
    Request.Plan.Account = JobCount_ % 3 == 1 ? "x" : "y";
  Request.Plan.Steps.push_back(anyStep());
  if (chance(4)) {
    Request.Plan.Steps.push_back(anyStep());
    Request.Plan.Steps.back().DependsOn = {0};
  }
  if (chance(10))
    HopelessJobs_.insert(Request.Plan.Id);
  Facts_.Submitted[Request.Plan.Id] = Request.Plan;
  RowTransaction Change;
  Change.Puts.push_back(
      RowPut{requestRow(Request.Plan.Id), encodeRequest(Request)});
  Rows_.apply(Change);
  if (chance(6))
    ControlLoop_.after(between(0, 8000),
                       [this, Job = Request.Plan.Id] { cancel(Job); });
}

void DisruptedPool::cancel(const std::string &Job) {
  note(fmt::format("{} is cancelled", formatModelJob(Job)));
  Facts_.CancelledAt[Job] = now();
  RowTransaction Change;
  Change.Puts.push_back(RowPut{cancelRow(Job), "1"});
  Rows_.apply(Change);
}

DisruptedPool::ModelVm *DisruptedPool::findVm(const std::string &Id) {
  const auto Found =
      std::find_if(Vms_.begin(), Vms_.end(),
                   [&Id](const ModelVm &Vm) { return Vm.Id == Id; });
  return Found == Vms_.end() ? nullptr : &*Found;
}

void DisruptedPool::resize(ModelVm &Vm, int Tasks) {
  note(fmt::format("{} has room for {}", Vm.Id, Tasks));
  Vm.Tasks = Tasks;
  Capacities_[Vm.Id].emplace_back(now(), Tasks);
  // The entry is written at the next heartbeat, at the latest.
  if (chance(2))
    Vm.WrittenAt = TimePoint{};
}

void DisruptedPool::crash(ModelVm &Vm) {
  if (!Vm.Up)
    return;
  note(fmt::format("{} crashes", Vm.Id));
  Vm.Up = false;
  Fake_.crash(Vm.Id);
  const std::string Id = Vm.Id;
  const milliseconds Delay =
      chance(3) ? between(ShortestRestart, 800) : between(800, 8000);
  if (Kinds_.ReusedAddresses && chance(3))
    ControlLoop_.after(Delay, [this, Id] { replaceVm(Id); });
  else
    ControlLoop_.after(Delay, [this, Id] { comeBack(Id); });
}

void DisruptedPool::comeBack(const std::string &Id) {
  ModelVm &Vm = *findVm(Id);
  Vm.Up = true;
  Vm.FrozenUntil = TimePoint{};
  Vm.WrittenAt = TimePoint{};
  Fake_.restart(Id, ++Vm.Incarnation);
  Vm.EarlierLabel = std::exchange(Vm.Label, anyLabel());
  Facts_.Labels[Id][now()] = Vm.Label;
  note(fmt::format("{} is back as incarnation {} with {}", Id, Vm.Incarnation,
                   Vm.Label));
  if (Kinds_.Shrinks && chance(3))
    resize(Vm, 1 + static_cast<int>(Random_() % TasksPerVm));
}

void DisruptedPool::replaceVm(const std::string &Id) {
  const std::string Address = findVm(Id)->Address;
  std::erase_if(Vms_, [&Id](const ModelVm &Vm) { return Vm.Id == Id; });
  const std::string Next = fmt::format("vm{}", VmCount_++);
  note(fmt::format("{} takes the address of {}", Next, Id));
  addVm(Next, Address);
}

DisruptedPool::Entry DisruptedPool::trueEntry(const ModelVm &Vm) const {
  return Entry{Vm.Tasks, Vm.Incarnation, Vm.Address,
               Vm.Label, true,           Fake_.vmTime(Vm.Id)};
}

void DisruptedPool::disruptVm() {
  ModelVm &Vm = anyVm();
  switch (Random_() % 8) {
  case 0:
  case 1:
    if (Kinds_.Crashes)
      crash(Vm);
    return;
  case 2:
  case 3:
    if (Kinds_.Cuts) {
      ModelDaemon &Daemon = anyDaemon();
      Daemon.CutOffUntil[Vm.Id] = now() + between(500, 14000);
      note(fmt::format("{} is cut off from daemon {}", Vm.Id,
                       &Daemon - Daemons_.data()));
    }
    return;
  case 4:
    if (Kinds_.Cuts) {
      Vm.FrozenUntil = now() + between(500, 9000);
      note(fmt::format("{} is frozen until {}", Vm.Id,
                       millisecondsOf(Vm.FrozenUntil)));
    }
    return;
  default:
    if (Kinds_.Shrinks)
      resize(Vm, static_cast<int>(Random_() % (TasksPerVm + 1)));
  }
}

void DisruptedPool::disruptEntry() {
  ModelVm &Vm = anyVm();
  const auto Overwrite = [&](Entry Odd) {
    Entries_[Vm.Id] = std::move(Odd);
    OverwrittenUntil_[Vm.Id] = now() + between(100, 3000);
  };
  const Entry True = trueEntry(Vm);
  switch (Random_() % 5) {
  case 0:
    note(fmt::format("{} is cut off from the store", Vm.Id));
    Vm.WithoutStoreUntil = now() + between(2000, 12000);
    return;
  case 1: {
    note(fmt::format("the entry of {} can't be read", Vm.Id));
    Entry Odd = True;
    Odd.Readable = false;
    return Overwrite(Odd);
  }
  case 2: {
    Entry Odd = True;
    Odd.Incarnation = std::max<std::int64_t>(1, Vm.Incarnation - 1);
    Odd.Label = Vm.EarlierLabel;
    note(fmt::format("the entry of {} is of incarnation {}", Vm.Id,
                     Odd.Incarnation));
    return Overwrite(Odd);
  }
  case 3: {
    Entry Odd = True;
    Odd.Address = anyVm().Address;
    note(fmt::format("the entry of {} has address {}", Vm.Id, Odd.Address));
    return Overwrite(Odd);
  }
  default: {
    const std::string Odd = fmt::format("odd{}", Random_() % 3);
    note(fmt::format("{} has the address of {}", Odd, Vm.Id));
    Entries_[Odd] = True;
    OverwrittenUntil_[Odd] = now() + between(500, 5000);
  }
  }
}

void DisruptedPool::disruptStore() {
  if (chance(2)) {
    StoreAwayUntil_ = now() + between(300, 9000);
    note(fmt::format("the store is away until {}",
                     millisecondsOf(StoreAwayUntil_)));
    return;
  }
  ModelDaemon &Daemon = anyDaemon();
  Daemon.WithoutStoreUntil = now() + between(500, 12000);
  note(fmt::format("daemon {} is without the store until {}",
                   &Daemon - Daemons_.data(),
                   millisecondsOf(Daemon.WithoutStoreUntil)));
}

void DisruptedPool::disruptDaemon() {
  ModelDaemon *Daemon = &anyDaemon();
  // The owner is disrupted more often than the others.
  for (ModelDaemon &Each : Daemons_)
    if (Each.Process->owns() && chance(2))
      Daemon = &Each;
  switch (Random_() % 6) {
  case 0:
    note("all daemons are killed");
    for (ModelDaemon &Each : Daemons_) {
      Each.Process->restart();
      Each.Read.clear();
    }
    return;
  case 1:
  case 2:
    note(fmt::format("daemon {} is killed", Daemon - Daemons_.data()));
    Daemon->Process->restart();
    Daemon->Read.clear();
    return;
  default: {
    const milliseconds Duration =
        between(300, static_cast<int>(LongestFreeze.count()));
    note(fmt::format("daemon {} is frozen for {} ms", Daemon - Daemons_.data(),
                     Duration.count()));
    Daemon->Process->Process.freeze();
    ControlLoop_.after(Duration, [this, Daemon] {
      note(fmt::format("daemon {} is thawed", Daemon - Daemons_.data()));
      Daemon->Process->Process.thaw();
    });
  }
  }
}

void DisruptedPool::disrupt() {
  switch (Random_() % 8) {
  case 0:
    if (Kinds_.Store)
      disruptStore();
    return;
  case 1:
    if (Kinds_.Daemons)
      disruptDaemon();
    return;
  case 2:
  case 3:
    if (Kinds_.OddEntries)
      disruptEntry();
    return;
  default:
    disruptVm();
  }
}

void DisruptedPool::beat() {
  const bool StoreAway = !Calm_ && now() < StoreAwayUntil_;
  for (ModelVm &Vm : Vms_) {
    const auto Overwritten = OverwrittenUntil_.find(Vm.Id);
    const bool Waits =
        Overwritten != OverwrittenUntil_.end() && now() < Overwritten->second;
    if (!Vm.Up || StoreAway || Waits ||
        (!Calm_ && (now() < Vm.WithoutStoreUntil || now() < Vm.FrozenUntil)) ||
        (Vm.WrittenAt != TimePoint{} &&
         now() - Vm.WrittenAt < HeartbeatInterval &&
         Overwritten == OverwrittenUntil_.end()))
      continue;
    OverwrittenUntil_.erase(Vm.Id);
    Vm.WrittenAt = now();
    Entries_[Vm.Id] = trueEntry(Vm);
  }
  std::erase_if(Entries_, [this](const auto &Listed) {
    const ModelVm *Vm = findVm(Listed.first);
    if (Vm != nullptr)
      return now() - Vm->WrittenAt > EntryLifetime;
    const auto Overwritten = OverwrittenUntil_.find(Listed.first);
    // What is left of a VM that has gone expires like its own entry.
    if (Overwritten == OverwrittenUntil_.end()) {
      OverwrittenUntil_[Listed.first] = now() + EntryLifetime;
      return false;
    }
    return now() >= Overwritten->second;
  });
  if (!StoreAway)
    for (ModelDaemon &Daemon : Daemons_)
      if (Calm_ || now() >= Daemon.WithoutStoreUntil)
        readEntries(Daemon);
}

void DisruptedPool::readEntries(ModelDaemon &Daemon) {
  if (Daemon.Read == Entries_)
    return;
  Daemon.Read = Entries_;
  std::vector<StoredRow> Listed;
  const auto Number = static_cast<std::size_t>(&Daemon - Daemons_.data());
  for (const auto &[Id, Each] : Entries_) {
    Listed.push_back(StoredRow{RowName{"vms", "", Id},
                               Each.Readable
                                   ? fmt::format("{} {} {} {} {}", Each.Tasks,
                                                 Each.Incarnation, Each.Address,
                                                 Each.Clock.count(), Each.Label)
                                   : "?",
                               1, false});
    ReadCapacities_[{Number, Id}].emplace_back(now(), Each.Tasks);
  }
  Daemon.Process->listVms(Listed);
}

void DisruptedPool::run() {
  const TimePoint End = now() + DisruptedTime;
  TimePoint NextEvent = now() + milliseconds(4000);
  TimePoint NextJob = now();
  while (now() < End) {
    beat();
    if (now() >= NextJob) {
      submit();
      NextJob = now() + between(100, 900);
    }
    if (now() >= NextEvent) {
      if (now() >= StormUntil_ && chance(4)) {
        NextEvent = now() + between(1000, 6000);
      } else {
        if (now() >= StormUntil_)
          StormUntil_ = now() + between(1000, 6000);
        disrupt();
        NextEvent = now() + between(0, 900);
      }
    }
    ControlLoop_.runFor(BeatInterval);
  }
  Calm_ = true;
  Facts_.InTouchSince = now() + LongestFreeze + ContactTime;
  for (const TimePoint CalmEnd = now() + CalmTime; now() < CalmEnd;) {
    beat();
    ControlLoop_.runFor(BeatInterval);
  }
}

int DisruptedPool::permittedTasks(const std::string &Vm, TimePoint Time) const {
  constexpr milliseconds Notice = ContactTime + HeartbeatInterval;
  int Out = largestIn(Capacities_.at(Vm), Time - Notice, Time);
  if (Kinds_.StaleCapacityBinds)
    return Out;
  for (std::size_t Number = 0; Number < Daemons_.size(); ++Number)
    if (const auto Read = ReadCapacities_.find({Number, Vm});
        Read != ReadCapacities_.end())
      Out = std::max(Out, largestIn(Read->second, Time - Notice, Time));
  return Out;
}

std::vector<std::string> DisruptedPool::violations() const {
  return RunRules(Facts_).violations(Fake_);
}

std::string DisruptedPool::history() const {
  std::vector<std::pair<TimePoint, std::string>> Lines = Notes_;
  for (const RunEvent &Event : Fake_.RunHistory)
    Lines.emplace_back(
        Event.Time,
        fmt::format("{} {} {} {}", Event.IsStart ? "start" : "end",
                    formatModelRun(Event.Run), Event.Vm,
                    Event.IsStart ? -1 : static_cast<int>(Event.Outcome)));
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first < Right.first;
                   });
  std::string Out;
  for (const auto &[Time, Text] : Lines)
    Out += fmt::format("{} {}\n", millisecondsOf(Time), Text);
  return Out;
}

} // namespace cuminroad
