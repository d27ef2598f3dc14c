// Tests that what the jobs of a client account have running stays within the
// account's limit.

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "SchedulerFixture.h"

using namespace cuminroad;

namespace {

/// So many jobs a second that none of the tests' is beyond its account's rate.
constexpr double LargeWeight = 1000;
constexpr Capacity HugeSize{1000000, 1000000, 1000};

struct QuotaFixture : SchedulerFixture {
  void setQuota(const std::string &Account, const Capacity &Quota) {
    Quotas[Account] = Quota;
    std::vector<ClientAccount> Accounts;
    for (const auto &[Name, Each] : Quotas)
      Accounts.push_back(ClientAccount{Name, LargeWeight, Each});
    Scheduler->setAccounts(Accounts);
  }
  static JobPlan planOf(const std::string &Account, const std::string &Job,
                        const StepPlan &Step) {
    JobPlan Out = makeJob(Job, {Step});
    Out.Account = Account;
    return Out;
  }
  void submit(const std::string &Account, const std::string &Job,
              const StepPlan &Step, const QueueTerms &Queue = makeQueue()) {
    Scheduler->addJob(planOf(Account, Job, Step), Queue, MonotonicClock.now());
  }
  /// Runs a pass. \returns how many tasks it started.
  std::size_t startCount() {
    runPass();
    return Starts.size();
  }
  Capacity usedBy(const std::string &Account) const {
    for (const AccountLoad &Load : Scheduler->accountLoads())
      if (Load.Name == Account)
        return Load.Used;
    return Capacity{};
  }
  StepPlan gang(int Tasks, const Capacity &Size) const {
    StepPlan Out = makeStep(Tasks, Size);
    Out.Gang = true;
    return Out;
  }

  std::map<std::string, Capacity> Quotas;
};

QueueTerms makeAdvisedQueue() {
  QueueTerms Out = makeQueue();
  Out.Advice = AdviceTerms{milliseconds(10), 0.1, milliseconds(2000)};
  return Out;
}

} // namespace

// Guards against an account having more running than its quota, in each of the
// three components.
BOOST_FIXTURE_TEST_CASE(startsStayWithinEachComponent, QuotaFixture) {
  addVm(makeVm("a", HugeSize));
  setQuota("cpu", {5500, UnlimitedAmount, UnlimitedAmount});
  setQuota("memory", {UnlimitedAmount, 350, UnlimitedAmount});
  setQuota("accelerators", {UnlimitedAmount, UnlimitedAmount, 2});
  submit("cpu", "c", makeStep(10, {1000, 100, 1}));
  submit("memory", "m", makeStep(10, {1000, 100, 1}));
  submit("accelerators", "g", makeStep(10, {1000, 100, 1}));
  BOOST_CHECK_EQUAL(startCount(), 5 + 3 + 2);
  BOOST_CHECK(usedBy("cpu") == (Capacity{5000, 500, 5}));
  BOOST_CHECK(usedBy("memory") == (Capacity{3000, 300, 3}));
  BOOST_CHECK(usedBy("accelerators") == (Capacity{2000, 200, 2}));
}

// Guards against jobs without an account, and deployments without accounts,
// being limited.
BOOST_FIXTURE_TEST_CASE(jobsWithoutAccountHaveNoQuota, QuotaFixture) {
  addVm(makeVm("a", HugeSize));
  setQuota("other", {0, 0, 0});
  submit("", "j", makeStep(10, SmallSize));
  BOOST_CHECK_EQUAL(startCount(), 10);
}

// Guards against a job that arrives before the contracts with its account
// running without a quota, and against jobs of an account that the contracts
// have dropped never running.
BOOST_FIXTURE_TEST_CASE(unknownAccountWaitsForItsQuota, QuotaFixture) {
  addVm(makeVm("a", HugeSize));
  submit("new", "j", makeStep(5, SmallSize));
  submit("dropped", "k", makeStep(5, SmallSize));
  BOOST_CHECK_EQUAL(startCount(), 0);
  MonotonicClock.advance(milliseconds(3000));
  BOOST_CHECK_EQUAL(startCount(), 0);
  setQuota("new", SmallSize * 2);
  BOOST_CHECK_EQUAL(startCount(), 2);
  MonotonicClock.advance(milliseconds(1000));
  BOOST_CHECK_EQUAL(startCount(), 5);
  BOOST_CHECK(usedBy("new") == SmallSize * 2);
  // A further job of it need not wait.
  submit("dropped", "l", makeStep(1, SmallSize));
  BOOST_CHECK_EQUAL(startCount(), 1);
}

// Guards against smaller tasks of an account that take all of the quota that
// becomes free, so that a gang that waits for it never starts.
BOOST_FIXTURE_TEST_CASE(smallTasksDoNotOvertakeAGangForEver, QuotaFixture) {
  addVm(makeVm("a", HugeSize));
  setQuota("x", SmallSize * 4);
  submit("x", "service", [] {
    StepPlan Out = makeStep(1, SmallSize);
    Out.LongRunning = true;
    return Out;
  }());
  for (int Number = 0; Number < 3; ++Number)
    submit("x", "first" + std::to_string(Number), makeStep(1, SmallSize));
  BOOST_REQUIRE_EQUAL(startCount(), 4);
  std::vector<StartRun> Running;
  for (const StartRun &Start : Starts)
    if (Start.Run.Task.Step.Job != "service")
      Running.push_back(Start);
  submit("x", "gang", gang(3, SmallSize));
  bool GangStarted = false;
  for (int Round = 0; Round < 20 && !GangStarted; ++Round) {
    submit("x", "small" + std::to_string(Round), makeStep(1, SmallSize),
           makeQueue(2));
    MonotonicClock.advance(milliseconds(400));
    if (!Running.empty()) {
      endRun(Running.front(), RunOutcome::Done);
      Running.erase(Running.begin());
    }
    runPass();
    for (const StartRun &Start : Starts) {
      GangStarted = GangStarted || Start.Run.Task.Step.Job == "gang";
      Running.push_back(Start);
    }
  }
  BOOST_CHECK(GangStarted);
}

// Guards against the quota being held for a gang that can't start because
// long-running tasks have the rest of it.
BOOST_FIXTURE_TEST_CASE(quotaIsNotHeldInVain, QuotaFixture) {
  addVm(makeVm("a", HugeSize));
  setQuota("x", SmallSize * 4);
  StepPlan Service = makeStep(2, SmallSize);
  Service.LongRunning = true;
  submit("x", "service", Service);
  BOOST_REQUIRE_EQUAL(startCount(), 2);
  submit("x", "gang", gang(3, SmallSize));
  runPass();
  MonotonicClock.advance(milliseconds(60000));
  submit("x", "small", makeStep(2, SmallSize), makeQueue(2));
  BOOST_CHECK_EQUAL(startCount(), 2);
  for (const AccountLoad &Load : Scheduler->accountLoads())
    BOOST_CHECK(Load.Claim == SmallSize * 5);
}

// Guards against a pool asking for parts of quotas that its VMs can't use.
BOOST_FIXTURE_TEST_CASE(poolNeedsWhatItsVmsCanHold, QuotaFixture) {
  addVm(makeVm("a", SmallSize * 2));
  setQuota("x", UnlimitedCapacity);
  submit("x", "small", makeStep(5, SmallSize));
  submit("x", "large", makeStep(1, SmallSize * 3));
  submit("x", "accelerated", makeStep(1, {1000, 100, 1}));
  StepPlan Filler = makeStep(3, {1000, 0, 0});
  Filler.BestEffort = true;
  submit("x", "filler", Filler);
  const std::vector<AccountLoad> Loads = Scheduler->accountLoads();
  BOOST_REQUIRE_EQUAL(Loads.size(), 1);
  BOOST_CHECK(Loads[0].Needed == (Capacity{5000, 200, 0}));
  BOOST_CHECK(Loads[0].Waiting == (Capacity{12000, 900, 1}));
}

// Guards against best-effort tasks, which reserve no CPU on their VM, running
// beyond the CPU quota.
BOOST_FIXTURE_TEST_CASE(cpuOfBestEffortTasksCounts, QuotaFixture) {
  addVm(makeVm("a", HugeSize));
  setQuota("x", {2000, UnlimitedAmount, UnlimitedAmount});
  StepPlan Step = makeStep(5, SmallSize);
  Step.BestEffort = true;
  submit("x", "j", Step);
  BOOST_CHECK_EQUAL(startCount(), 2);
}

// Guards against a part of a gang being started within the quota, which would
// use it up without progress.
BOOST_FIXTURE_TEST_CASE(gangStartsWholeOrNotAtAll, QuotaFixture) {
  addVm(makeVm("a", HugeSize));
  setQuota("x", SmallSize * 4);
  submit("x", "first", makeStep(1, SmallSize));
  BOOST_REQUIRE_EQUAL(startCount(), 1);
  const StartRun First = Starts[0];
  submit("x", "gang", gang(4, SmallSize));
  BOOST_CHECK_EQUAL(startCount(), 0);
  endRun(First, RunOutcome::Done);
  BOOST_CHECK_EQUAL(startCount(), 4);
}

// Guards against a step that is wider than the quota never running.
BOOST_FIXTURE_TEST_CASE(wideStepRunsInWaves, QuotaFixture) {
  addVm(makeVm("a", HugeSize));
  setQuota("x", SmallSize * 3);
  submit("x", "j", makeStep(7, SmallSize));
  for (const std::size_t Wave : {3U, 3U, 1U}) {
    BOOST_REQUIRE_EQUAL(startCount(), Wave);
    for (const StartRun &Start : std::exchange(Starts, {}))
      endRun(Start, RunOutcome::Done);
  }
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Completed);
}

// Guards against a lowered accelerator quota keeping tasks that use none from
// starting.
BOOST_FIXTURE_TEST_CASE(unusedComponentsDoNotBlock, QuotaFixture) {
  addVm(makeVm("a", HugeSize));
  setQuota("x", {UnlimitedAmount, UnlimitedAmount, 4});
  submit("x", "accelerated", makeStep(4, {1000, 100, 1}));
  BOOST_REQUIRE_EQUAL(startCount(), 4);
  setQuota("x", {UnlimitedAmount, UnlimitedAmount, 1});
  submit("x", "plain", makeStep(1, SmallSize));
  submit("x", "more", makeStep(1, {1000, 100, 1}));
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Task.Step.Job, "plain");
}

// Guards against sizes whose product overflows passing as small ones.
BOOST_FIXTURE_TEST_CASE(hugeGangDoesNotOverflow, QuotaFixture) {
  addVm(makeVm("a", HugeSize));
  setQuota("x", SmallSize * 4);
  submit("x", "j", gang(1000000000, {1000000000000, 1, 0}));
  submit("x", "k", makeStep(1000000000, {1000000000000, 1, 0}));
  BOOST_CHECK_EQUAL(startCount(), 0);
  for (const AccountLoad &Load : Scheduler->accountLoads())
    BOOST_CHECK_GE(Load.Waiting.MilliCores, 1000000000000);
}

// Guards against a lowered quota being ignored, or stopping runs: the running
// tasks stay, and nothing starts until they are below it.
BOOST_FIXTURE_TEST_CASE(loweredQuotaHoldsBackStarts, QuotaFixture) {
  addVm(makeVm("a", HugeSize));
  setQuota("x", SmallSize * 4);
  submit("x", "j", makeStep(8, SmallSize));
  BOOST_REQUIRE_EQUAL(startCount(), 4);
  const std::vector<StartRun> Running = Starts;
  setQuota("x", SmallSize * 2);
  BOOST_CHECK_EQUAL(startCount(), 0);
  BOOST_CHECK(Stops.empty());
  endRun(Running[0], RunOutcome::Done);
  endRun(Running[1], RunOutcome::Done);
  BOOST_CHECK_EQUAL(startCount(), 0);
  endRun(Running[2], RunOutcome::Done);
  BOOST_CHECK_EQUAL(startCount(), 1);
}

// Guards against runs that are being stopped leaving room for others before
// they have ended.
BOOST_FIXTURE_TEST_CASE(runsBeingStoppedCount, QuotaFixture) {
  addVm(makeVm("a", HugeSize));
  setQuota("x", SmallSize * 2);
  submit("x", "j", makeStep(2, SmallSize));
  BOOST_REQUIRE_EQUAL(startCount(), 2);
  const std::vector<StartRun> Running = Starts;
  Scheduler->cancelJob("j");
  submit("x", "k", makeStep(2, SmallSize));
  BOOST_CHECK_EQUAL(startCount(), 0);
  endRun(Running[0], RunOutcome::Stopped);
  BOOST_CHECK_EQUAL(startCount(), 1);
}

// Guards against a start that was given up and is carried out late running
// beside as many others as the quota allows: the run counts until it ends.
BOOST_FIXTURE_TEST_CASE(lateCommandCountsUntilItsRunEnds, QuotaFixture) {
  addVm(makeVm("a", HugeSize));
  addVm(makeVm("b", HugeSize));
  setQuota("x", SmallSize * 2);
  submit("x", "j", makeStep(2, SmallSize));
  BOOST_REQUIRE_EQUAL(startCount(), 2);
  const std::vector<StartRun> Late = Starts;
  for (const StartRun &Start : Late)
    Scheduler->startAnswered(Start.Vm, Start.Run, StartOutcome::Refused);
  MonotonicClock.advance(milliseconds(1000));
  BOOST_REQUIRE_EQUAL(startCount(), 2);
  for (const StartRun &Start : Starts)
    acceptStart(Start);
  // Both commands of the first runs are carried out after all.
  std::map<std::string, std::vector<RunningTask>> Reported;
  for (const std::vector<StartRun> &Runs : {Late, Starts})
    for (const StartRun &Start : Runs) {
      RunningTask Run;
      Run.Run = Start.Run;
      Reported[Start.Vm].push_back(Run);
    }
  for (const auto &[Vm, Runs] : Reported)
    reportRuns(Vm, Runs);
  BOOST_CHECK(usedBy("x") == SmallSize * 4);
  submit("x", "k", makeStep(4, SmallSize));
  BOOST_CHECK_EQUAL(startCount(), 0);
  for (const StartRun &Start : Late)
    endRun(Start, RunOutcome::Stopped);
  BOOST_CHECK(usedBy("x") == SmallSize * 2);
  BOOST_CHECK_EQUAL(startCount(), 0);
}

// Guards against a run that is found on a VM although its task waits not being
// counted.
BOOST_FIXTURE_TEST_CASE(resumedRunCounts, QuotaFixture) {
  addVm(makeVm("a", HugeSize));
  setQuota("x", SmallSize);
  submit("x", "j", makeStep(1, SmallSize));
  BOOST_REQUIRE_EQUAL(startCount(), 1);
  const StartRun Resumed = Starts[0];
  Scheduler->startAnswered(Resumed.Vm, Resumed.Run, StartOutcome::Refused);
  BOOST_CHECK(usedBy("x") == Capacity{});
  RunningTask Run;
  Run.Run = Resumed.Run;
  reportRuns("a", {Run});
  BOOST_CHECK(usedBy("x") == SmallSize);
  submit("x", "k", makeStep(1, SmallSize));
  MonotonicClock.advance(milliseconds(1000));
  BOOST_CHECK_EQUAL(startCount(), 0);
}

// Guards against an owner that was killed between recording a start and sending
// it: the next owner counts the run, before any VM has reported.
BOOST_FIXTURE_TEST_CASE(restoredRunsCountBeforeVmsReport, QuotaFixture) {
  addVm(makeVm("a", HugeSize));
  setQuota("x", SmallSize * 2);
  const StepPlan Step = makeStep(4, SmallSize);
  submit("x", "j", Step);
  BOOST_REQUIRE_EQUAL(startCount(), 2);
  const JobProgress Stored = Scheduler->progress("j");
  Scheduler = makePoolScheduler(MonotonicClock, SystemClock, Options);
  setQuota("x", SmallSize * 2);
  Scheduler->restoreJob(planOf("x", "j", Step), makeQueue(),
                        MonotonicClock.now(), Stored);
  BOOST_CHECK(usedBy("x") == SmallSize * 2);
  addVm(makeVm("b", HugeSize));
  BOOST_CHECK_EQUAL(startCount(), 0);
}

// Guards against a quota that was lowered during a takeover: the runs of the
// earlier owner count against the new quota.
BOOST_FIXTURE_TEST_CASE(quotaLoweredDuringTakeover, QuotaFixture) {
  addVm(makeVm("a", HugeSize));
  setQuota("x", SmallSize * 4);
  const StepPlan Step = makeStep(6, SmallSize);
  submit("x", "j", Step);
  BOOST_REQUIRE_EQUAL(startCount(), 4);
  const std::vector<StartRun> Running = Starts;
  const JobProgress Stored = Scheduler->progress("j");
  Scheduler = makePoolScheduler(MonotonicClock, SystemClock, Options);
  setQuota("x", SmallSize * 2);
  Scheduler->restoreJob(planOf("x", "j", Step), makeQueue(),
                        MonotonicClock.now(), Stored);
  addVm(makeVm("b", HugeSize));
  std::vector<RunningTask> Reported;
  for (const StartRun &Start : Running) {
    Reported.emplace_back();
    Reported.back().Run = Start.Run;
  }
  Scheduler->vmListed(makeVm("a", HugeSize));
  reportRuns("a", Reported);
  BOOST_CHECK_EQUAL(startCount(), 0);
  for (int Ended = 0; Ended < 3; ++Ended) {
    BOOST_CHECK_EQUAL(startCount(), 0);
    endRun(Running[static_cast<std::size_t>(Ended)], RunOutcome::Done);
  }
  BOOST_CHECK_EQUAL(startCount(), 1);
}

// Guards against steps that wait for their quota hiding the steps of other
// accounts, reserving VMs or requesting advice.
BOOST_FIXTURE_TEST_CASE(stepsWithoutQuotaTakeNothingFromOthers, QuotaFixture) {
  addVm(makeVm("a", SmallSize * 3));
  setQuota("full", {1, UnlimitedAmount, UnlimitedAmount});
  setQuota("other", UnlimitedCapacity);
  constexpr int ManySteps = 400;
  for (int Number = 0; Number < ManySteps; ++Number) {
    const std::string Id = std::to_string(Number);
    submit("full", "single" + Id, makeStep(1, SmallSize, 100000));
    submit("full", "gang" + Id, gang(3, SmallSize));
    submit("full", "advised" + Id, makeStep(1, SmallSize), makeAdvisedQueue());
  }
  submit("other", "j", makeStep(3, SmallSize, 100000), makeQueue(2));
  submit("other", "k", makeStep(1, SmallSize), [] {
    QueueTerms Out = makeAdvisedQueue();
    Out.Name = "advised";
    Out.Priority = 3;
    return Out;
  }());
  BOOST_CHECK_EQUAL(startCount(), 3);
  BOOST_REQUIRE_EQUAL(AdviceRequests.size(), 1);
  BOOST_CHECK_EQUAL(AdviceRequests[0].Step.Job, "k");
}

// Guards against a step that waits for its quota being logged as waiting for
// capacity, and against a log line for each of thousands of such steps.
BOOST_FIXTURE_TEST_CASE(blockedStepIsReportedWithItsQuota, QuotaFixture) {
  addVm(makeVm("a", HugeSize));
  setQuota("x", SmallSize * 2);
  for (int Number = 0; Number < 20; ++Number)
    submit("x", "j" + std::to_string(Number), makeStep(1, SmallSize));
  runPass();
  Scheduler->takeDiagnostics();
  MonotonicClock.advance(milliseconds(1500));
  runPass();
  const PoolDiagnostics Diagnostics = Scheduler->takeDiagnostics();
  BOOST_REQUIRE_EQUAL(Diagnostics.BlockedSteps.size(), 1);
  const BlockedStep &Report = Diagnostics.BlockedSteps[0];
  BOOST_CHECK_EQUAL(Report.QuotaAccount, "x");
  BOOST_CHECK(Report.QuotaUsed == SmallSize * 2);
  BOOST_CHECK(Report.QuotaLimit == SmallSize * 2);
  BOOST_CHECK_GE(Report.Waited.count(), 1000);
}

// Guards against a pipeline at its quota waiting for advice only after each of
// its steps: the quota that the running step holds becomes free for the next.
BOOST_FIXTURE_TEST_CASE(adviceForNextStepIsRequestedInTime, QuotaFixture) {
  addVm(makeVm("a", HugeSize));
  setQuota("x", SmallSize);
  JobPlan Plan =
      makeJob("j", {makeStep(1, SmallSize, 100), makeStep(1, SmallSize, 100)});
  Plan.Steps[1].DependsOn = {0};
  Plan.Account = "x";
  Scheduler->addJob(Plan, makeAdvisedQueue(), MonotonicClock.now());
  runPass();
  BOOST_REQUIRE_EQUAL(AdviceRequests.size(), 1);
  const std::vector<std::string> Vms{"a"};
  const std::vector<AdviceTicket> Tickets{AdviceTicket{"a", "ticket"}};
  Scheduler->adviceReceived(AdviceRequests[0].Step, Vms, Tickets,
                            MonotonicClock.now() + milliseconds(2000));
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_REQUIRE_EQUAL(AdviceRequests.size(), 1);
  BOOST_CHECK_EQUAL(AdviceRequests[0].Step.Step, 1);
}
