// Two daemons share one pool. Jobs run through lost and late calls, lost
// connections and killed daemons; the history recorded by the VMs is then
// checked.

#include <map>
#include <random>
#include <set>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "PoolTestSupport.h"

using namespace cuminroad;

namespace {

constexpr int VmCount = 4;
constexpr int TasksPerVm = 3;
/// Time from a change of a VM's capacity until daemons read its entry.
constexpr milliseconds HeartbeatInterval{500};
/// A lower capacity binds this much later than it could have been read.
constexpr milliseconds ContactTime{3000};

QueueTerms testQueue(bool Advised) {
  QueueTerms Out;
  Out.Name = "q";
  Out.Service = TestService;
  Out.MaxAttempts = 3;
  if (Advised)
    Out.Advice = AdviceTerms{milliseconds(20), 0.1, milliseconds(2000)};
  return Out;
}

JobRequest makeJob(int Number, std::mt19937 &Random) {
  JobRequest Out;
  Out.Queue = "q";
  Out.Service = TestService;
  Out.Plan.Id = fmt::format(
      "{:016x}", 0x1111111111111111ULL * static_cast<unsigned>(Number % 16) +
                     static_cast<unsigned>(Number));
  StepPlan Step;
  Step.Tasks = 1 + static_cast<int>(Random() % 4);
  Step.PerTask = TestTaskSize;
  Step.Estimate = milliseconds(300);
  Out.Plan.Steps.push_back(Step);
  Step.DependsOn = {0};
  Out.Plan.Steps.push_back(Step);
  return Out;
}

/// The kinds of faults that a scenario injects.
struct ScenarioFaults {
  bool Store = false;
  bool Orders = false;
  bool DaemonRestarts = false;
  bool VmCuts = false;
  /// The owner loses the store, and the other daemon some of the VMs.
  bool SplitReachability = false;
  /// The capacities of VMs shrink and grow again.
  bool CapacityChanges = false;
};

class Scenario {
public:
  Scenario(unsigned Seed, ScenarioFaults Faults)
      : Random_(Seed), Faults_(Faults), Vms_(ControlLoop_) {
    for (int Number = 0; Number < VmCount; ++Number) {
      const std::string Id = fmt::format("vm{}", Number);
      Vms_.add(Id, 1);
      Entries_.push_back(StoredRow{RowName{"vms", "", Id},
                                   std::to_string(TasksPerVm), 1, false});
      Rooms_[Id] = {{TimePoint{}, TasksPerVm}};
    }
    Vms_.PlanRun = [this](const TaskRun &) {
      const unsigned Longest = Faults_.SplitReachability ? 6000 : 900;
      return std::pair{milliseconds(100 + Random_() % Longest),
                       Random_() % 12 == 0 ? RunOutcome::Failed
                                           : RunOutcome::Done};
    };
    for (const char *Name : {"a", "b"}) {
      auto Daemon = std::make_unique<TestDaemon>(
          Name, ControlLoop_, Rows_, Vms_, testQueue(Seed % 2 == 0));
      Daemon->listVms(Entries_);
      Daemons_.push_back(std::move(Daemon));
    }
    for (std::size_t Index = 0; Index < Daemons_.size(); ++Index)
      injectFaults(Index);
  }

  void run() {
    ControlLoop_.runFor(milliseconds(3000));
    for (int Step = 0; Step < 60; ++Step) {
      submit(Step);
      injectRandomEvents();
      ControlLoop_.runFor(milliseconds(100 + Random_() % 300));
    }
    FaultsOver_ = true;
    UnreachableVms_.clear();
    for (StoredRow &Entry : Entries_)
      changeCapacity(Entry, TasksPerVm);
    // Long enough to finish all remaining jobs.
    ControlLoop_.runFor(
        milliseconds(Faults_.SplitReachability ? 150000 : 60000));
  }

  void check() {
    std::map<TaskName, std::pair<std::string, TaskRun>> Running;
    std::map<std::string, int> OnVm;
    for (const RunEvent &Event : Vms_.RunHistory) {
      const TaskName &Task = Event.Run.Task;
      if (!Event.IsStart) {
        Running.erase(Task);
        --OnVm[Event.Vm];
        continue;
      }
      BOOST_CHECK_MESSAGE(!Running.contains(Task),
                          "two runs at once: " << Task.Step.Job);
      Running[Task] = {Event.Vm, Event.Run};
      BOOST_CHECK_LE(++OnVm[Event.Vm], permittedTasks(Event.Vm, Event.Time));
      if (Task.Step.Step == 1)
        BOOST_CHECK_MESSAGE(
            firstStepDone(Task.Step.Job, Event.Time),
            "started before the first step was done: " << Task.Step.Job);
    }
    BOOST_CHECK(Running.empty());
    for (const auto &[Task, DoneAt] : Vms_.AcknowledgedCompletions)
      for (const RunEvent &Event : Vms_.RunHistory)
        BOOST_CHECK_MESSAGE(!Event.IsStart || Event.Time <= DoneAt ||
                                !(Event.Run.Task == Task),
                            "started again after its success was acknowledged: "
                                << Task.Step.Job);
    for (const auto &[Job, Plan] : Jobs_)
      checkJob(Job, Plan);
  }

private:
  void injectFaults(std::size_t Index) {
    TestDaemon &Daemon = *Daemons_[Index];
    Daemon.Store.NextFault = [this, Index] {
      if (!FaultsOver_ && DaemonWithoutStore_ == static_cast<int>(Index))
        return StoreFault{StoreFault::Refused, {}};
      if (FaultsOver_ || !Faults_.Store)
        return StoreFault{};
      switch (Random_() % 25) {
      case 0:
        return StoreFault{StoreFault::ResponseLost, {}};
      case 1:
        return StoreFault{StoreFault::Delayed,
                          milliseconds(500 + Random_() % 4000)};
      default:
        return StoreFault{};
      }
    };
    Daemon.Calls.NextFault = [this, Index](const std::string &Vm) {
      if (UnreachableVms_.contains({Index, Vm}))
        return VmCallFault{VmCallFault::RequestLost, {}};
      if (FaultsOver_ || !Faults_.Orders)
        return VmCallFault{};
      switch (Random_() % 25) {
      case 0:
        return VmCallFault{VmCallFault::ResponseLost, {}};
      case 1:
        return VmCallFault{VmCallFault::Delayed,
                           milliseconds(1000 + Random_() % 6000)};
      default:
        return VmCallFault{};
      }
    };
  }

  void submit(int Number) {
    const JobRequest Request = makeJob(Number, Random_);
    RowTransaction Change;
    Change.Checks.push_back(RowCheck{requestRow(Request.Plan.Id), 0});
    Change.Puts.push_back(
        RowPut{requestRow(Request.Plan.Id), encodeRequest(Request)});
    Rows_.apply(Change);
    Jobs_[Request.Plan.Id] = Request.Plan;
  }

  void injectRandomEvents() {
    if (Faults_.DaemonRestarts && Random_() % 12 == 0)
      Daemons_[Random_() % Daemons_.size()]->restart();
    if (Faults_.Store && Random_() % 10 == 0)
      DaemonWithoutStore_ = static_cast<int>(Random_() % 4);
    if (Faults_.VmCuts && Random_() % 6 == 0)
      UnreachableVms_.insert({Random_() % Daemons_.size(),
                              fmt::format("vm{}", Random_() % VmCount)});
    if (Faults_.SplitReachability && Random_() % 10 == 0)
      splitReachability();
    if (Random_() % 40 == 0)
      UnreachableVms_.clear();
    if (Faults_.CapacityChanges && Random_() % 3 == 0)
      changeCapacity(Entries_[Random_() % VmCount],
                     static_cast<int>(Random_() % (TasksPerVm + 1)));
  }

  void changeCapacity(StoredRow &Entry, int Tasks) {
    Entry.Value = std::to_string(Tasks);
    Rooms_[Entry.Name.Key].emplace_back(ControlLoop_.MonotonicClock.now(),
                                        Tasks);
    ControlLoop_.after(HeartbeatInterval, [this, Listed = Entries_] {
      for (const auto &Daemon : Daemons_)
        Daemon->listVms(Listed);
    });
  }

  /// \returns how many tasks may be on the VM when one starts at \p Time: the
  /// largest capacity that the owner may still have known.
  int permittedTasks(const std::string &Vm, TimePoint Time) const {
    int Out = 0;
    TimePoint ReplacedAt = TimePoint::max();
    const auto &Changes = Rooms_.at(Vm);
    for (auto Change = Changes.rbegin(); Change != Changes.rend(); ++Change) {
      if (Change->first <= Time &&
          (ReplacedAt == TimePoint::max() ||
           Time - ReplacedAt <= ContactTime + HeartbeatInterval))
        Out = std::max(Out, Change->second);
      ReplacedAt = Change->first;
    }
    return Out;
  }

  void splitReachability() {
    for (std::size_t Index = 0; Index < Daemons_.size(); ++Index)
      if (Daemons_[Index]->owns())
        DaemonWithoutStore_ = static_cast<int>(Index);
    UnreachableVms_.clear();
    for (const char *Vm : {"vm0", "vm1"})
      UnreachableVms_.insert({DaemonWithoutStore_ == 0 ? 1U : 0U, Vm});
  }

  bool firstStepDone(const std::string &Job, TimePoint Before) const {
    std::set<TaskName> Done;
    for (const RunEvent &Event : Vms_.RunHistory)
      if (!Event.IsStart && Event.Outcome == RunOutcome::Done &&
          Event.Time <= Before && Event.Run.Task.Step.Job == Job &&
          Event.Run.Task.Step.Step == 0)
        Done.insert(Event.Run.Task);
    return static_cast<int>(Done.size()) == Jobs_.at(Job).Steps[0].Tasks;
  }

  void checkJob(const std::string &Job, const JobPlan &Plan) const {
    const StoredRow *Row = Rows_.find(progressRow(TestService, Job));
    BOOST_REQUIRE_MESSAGE(Row != nullptr, "no progress recorded: " << Job);
    const auto Progress = decodeProgress(Row->Value);
    BOOST_REQUIRE(Progress);
    BOOST_CHECK_MESSAGE(isFinal(Progress->Stage),
                        "not finished: " << Job << " of "
                                         << Plan.Steps[0].Tasks);
    int Failures = 0;
    for (const RunEvent &Event : Vms_.RunHistory)
      Failures += !Event.IsStart && Event.Outcome == RunOutcome::Failed &&
                  Event.Run.Task.Step.Job == Job;
    if (Progress->Stage == JobStage::Failed)
      BOOST_CHECK_GE(Failures, 3);
  }

  std::mt19937 Random_;
  ScenarioFaults Faults_;
  FakeLoop ControlLoop_;
  FakeRows Rows_;
  FakeVms Vms_;
  std::vector<StoredRow> Entries_;
  /// For each VM, its capacity in tasks from each time on.
  std::map<std::string, std::vector<std::pair<TimePoint, int>>> Rooms_;
  std::vector<std::unique_ptr<TestDaemon>> Daemons_;
  std::map<std::string, JobPlan> Jobs_;
  std::set<std::pair<std::size_t, std::string>> UnreachableVms_;
  int DaemonWithoutStore_ = -1;
  bool FaultsOver_ = false;
};

void runScenarios(unsigned First, unsigned Last, ScenarioFaults Faults) {
  for (unsigned Seed = First; Seed <= Last; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      Scenario Next(Seed, Faults);
      Next.run();
      Next.check();
    }
  }
}

} // namespace

// Guards against an owner that renews its ownership but can't read its pool's
// jobs: it would keep the pool forever while nothing runs.
BOOST_AUTO_TEST_CASE(ownerThatCannotLoadReleasesThePool) {
  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeVms Vms(ControlLoop);
  std::mt19937 Random(1);
  for (int Number = 0; Number < 16; ++Number) {
    JobRequest Request = makeJob(Number, Random);
    Request.Plan.Spec = std::string(4000, 's');
    RowTransaction Change;
    Change.Puts.push_back(
        RowPut{requestRow(Request.Plan.Id), encodeRequest(Request)});
    Rows.apply(Change);
  }
  TestDaemon First("a", ControlLoop, Rows, Vms, testQueue(false));
  // The owner row passes this link in time, but no job does.
  First.Store.LinkBytesPerSecond = 1000;
  ControlLoop.runFor(milliseconds(2000));
  BOOST_CHECK(First.owner() != nullptr);
  TestDaemon Second("b", ControlLoop, Rows, Vms, testQueue(false));
  ControlLoop.runFor(milliseconds(8000));
  BOOST_CHECK(First.owner() == nullptr);
  BOOST_CHECK(Second.owns());
}

// Guards against a job that takes down every owner of its pool: the store
// refuses the row of its progress, and with it the owner's renewals.
BOOST_AUTO_TEST_CASE(widestJobsDoNotStopTheirPool) {
  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeVms Vms(ControlLoop);
  Vms.add("vm0", 1);
  const auto Submit = [&Rows](int Number, int Tasks, bool Gang) {
    std::mt19937 Random(1);
    JobRequest Request = makeJob(Number, Random);
    Request.Plan.Steps.resize(1);
    Request.Plan.Steps[0].Tasks = Tasks;
    Request.Plan.Steps[0].Gang = Gang;
    RowTransaction Change;
    Change.Puts.push_back(
        RowPut{requestRow(Request.Plan.Id), encodeRequest(Request)});
    Rows.apply(Change);
    return Request.Plan.Id;
  };
  const std::string Wide = Submit(1, 5000, false);
  const std::string WideGang = Submit(2, 5000, true);
  TestDaemon Daemon("a", ControlLoop, Rows, Vms, testQueue(false));
  Daemon.listVms({StoredRow{RowName{"vms", "", "vm0"}, "9000", 1, false}});
  ControlLoop.runFor(milliseconds(3000));
  const std::string Small = Submit(3, 2, false);
  ControlLoop.runFor(milliseconds(20000));
  const auto Progress = [&Rows](const std::string &Job) {
    const StoredRow *Row = Rows.find(progressRow(TestService, Job));
    return Row == nullptr ? JobProgress{} : *decodeProgress(Row->Value);
  };
  BOOST_CHECK(Progress(Small).Stage == JobStage::Completed);
  BOOST_CHECK(Progress(Wide).Stage == JobStage::Completed);
  BOOST_CHECK(Progress(WideGang).Failure == JobFailure::RecordTooLarge);
}

// Load: a new owner of thousands of VMs with a quarter of a core. Guards
// against owners that claim all VMs at once, are busy with the answers until
// their ownership expires, and are replaced by another one that does the same.
BOOST_AUTO_TEST_CASE(vmsAreClaimedInBatches) {
  constexpr int PoolSize = 500;
  constexpr int MaxClaimsAtOnce = 50;
  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeVms Vms(ControlLoop);
  std::vector<StoredRow> Entries;
  for (int Number = 0; Number < PoolSize; ++Number) {
    const std::string Id = fmt::format("vm{}", Number);
    Vms.add(Id, 1);
    Entries.push_back(StoredRow{RowName{"vms", "", Id}, "1", 1, false});
  }
  TestDaemon Daemon("a", ControlLoop, Rows, Vms, testQueue(false));
  Daemon.listVms(Entries);
  std::set<std::string> Claimed;
  Daemon.Calls.NextFault = [&Claimed](const std::string &Vm) {
    Claimed.insert(Vm);
    return VmCallFault{};
  };
  std::size_t Before = 0;
  for (int Elapsed = 0; Elapsed < 3000; Elapsed += 10) {
    ControlLoop.runFor(milliseconds(10));
    BOOST_CHECK_LE(Claimed.size() - Before, MaxClaimsAtOnce);
    Before = Claimed.size();
  }
  BOOST_CHECK_EQUAL(Claimed.size(), PoolSize);
}

// Guards against a finished job that a new owner runs again: its progress was
// removed, but the store was away when its request was to be removed.
BOOST_AUTO_TEST_CASE(expiredJobIsNotRunAgain) {
  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeVms Vms(ControlLoop);
  Vms.add("vm0", 1);
  const std::vector<StoredRow> Entries{
      StoredRow{RowName{"vms", "", "vm0"}, "3", 1, false}};
  std::mt19937 Random(1);
  const JobRequest Request = makeJob(1, Random);
  RowTransaction Change;
  Change.Puts.push_back(
      RowPut{requestRow(Request.Plan.Id), encodeRequest(Request)});
  Rows.apply(Change);
  TestDaemon First("a", ControlLoop, Rows, Vms, testQueue(false));
  First.listVms(Entries);
  ControlLoop.runFor(milliseconds(20000));
  const auto Runs = Vms.RunHistory.size();
  BOOST_REQUIRE_GT(Runs, 0);
  // The job expires 180 s after its end, and is removed within 10 s.
  ControlLoop.runFor(milliseconds(155000));
  First.Store.NextFault = [] { return StoreFault{StoreFault::Refused, {}}; };
  ControlLoop.runFor(milliseconds(25000));
  First.Store.NextFault = nullptr;
  ControlLoop.runFor(milliseconds(5000));
  First.kill();
  TestDaemon Second("b", ControlLoop, Rows, Vms, testQueue(false));
  Second.listVms(Entries);
  ControlLoop.runFor(milliseconds(30000));
  BOOST_CHECK(Second.owns());
  BOOST_CHECK_EQUAL(Vms.RunHistory.size(), Runs);
}

BOOST_AUTO_TEST_CASE(noFaults) { runScenarios(1, 4, ScenarioFaults{}); }

BOOST_AUTO_TEST_CASE(storeCallsAreLostDelayedOrRefused) {
  runScenarios(101, 115, ScenarioFaults{true, false, false, false, false});
}

BOOST_AUTO_TEST_CASE(ordersAreLostOrDelayed) {
  runScenarios(201, 215, ScenarioFaults{false, true, false, false, false});
}

BOOST_AUTO_TEST_CASE(daemonsAreKilled) {
  runScenarios(301, 315, ScenarioFaults{false, false, true, false, false});
}

BOOST_AUTO_TEST_CASE(vmsAreUnreachable) {
  runScenarios(401, 415, ScenarioFaults{false, false, false, true, false});
}

BOOST_AUTO_TEST_CASE(ownerAndStandbyReachDifferentVms) {
  runScenarios(601, 615, ScenarioFaults{false, false, false, false, true});
}

// Guards against starts on VMs whose capacity has shrunk meanwhile: of tasks
// whose record or whose order takes long, and by a new owner.
BOOST_AUTO_TEST_CASE(capacityShrinksAndGrows) {
  runScenarios(701, 715, ScenarioFaults{.CapacityChanges = true});
}

BOOST_AUTO_TEST_CASE(capacityChangesWhileAllFaultsAreCombined) {
  runScenarios(1341, 1370,
               ScenarioFaults{.Store = true,
                              .Orders = true,
                              .DaemonRestarts = true,
                              .VmCuts = true,
                              .CapacityChanges = true});
}

BOOST_AUTO_TEST_CASE(allFaultsCombined) {
  runScenarios(501, 530, ScenarioFaults{true, true, true, true, false});
}
