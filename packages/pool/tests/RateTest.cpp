// Tests how jobs beyond the rate of their account are told apart and admitted.

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "../src/AccountRateMeter.h"
#include "../src/UsageHistory.h"
#include "OverloadedPool.h"

using namespace cuminroad;

namespace {

constexpr TimePoint Begin{milliseconds(1000000)};

struct AccountsFixture : SchedulerFixture {
  AccountsFixture() {
    MonotonicClock.advance(milliseconds(100000));
    Scheduler->setAccounts(std::vector{account("hot"), account("calm")});
  }
  static ClientAccount account(const std::string &Name, double Weight = 1) {
    ClientAccount Out;
    Out.Name = Name;
    Out.Weight = Weight;
    return Out;
  }
  void submit(const std::string &Job, const std::string &Account, StepPlan Step,
              int Priority = 0) {
    JobPlan Plan = makeJob(Job, {std::move(Step)});
    Plan.Account = Account;
    Scheduler->addJob(Plan, makeQueue(Priority), MonotonicClock.now());
  }
  /// Uses up the tokens of an account with jobs of other pools.
  void useUpRate(const std::string &Account) {
    Scheduler->countJob(Account, MonotonicClock.now());
  }
  std::vector<std::string> startedJobs() {
    runPass();
    std::vector<std::string> Out;
    for (const StartRun &Start : Starts) {
      acceptStart(Start);
      Out.push_back(Start.Run.Task.Step.Job);
    }
    return Out;
  }
};

using Names = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_CASE(rateIsKeptOverTime) {
  // Guards against a bucket that forgets parts of a token, and against one that
  // saves up more than its depth.
  AccountRateMeter Meter;
  int Entitled = 0;
  for (int Number = 0; Number < 1000; ++Number)
    Entitled += Meter.take(Begin + milliseconds(Number * 10), 1.4, seconds(1));
  BOOST_CHECK_EQUAL(Entitled, 15);
  Entitled = 0;
  for (int Number = 0; Number < 10; ++Number)
    Entitled += Meter.take(Begin + milliseconds(100000), 3, seconds(1));
  BOOST_CHECK_EQUAL(Entitled, 3);
}

BOOST_AUTO_TEST_CASE(slowRateStillEntitlesSingleJobs) {
  AccountRateMeter Meter;
  BOOST_CHECK(Meter.take(Begin, 0.25, seconds(1)));
  BOOST_CHECK(!Meter.take(Begin + milliseconds(3000), 0.25, seconds(1)));
  BOOST_CHECK(Meter.take(Begin + milliseconds(4000), 0.25, seconds(1)));
}

BOOST_AUTO_TEST_CASE(clockDifferenceAddsNoTokens) {
  // A job whose daemon's clock is behind must not make the next refill longer.
  AccountRateMeter Meter;
  BOOST_CHECK(Meter.take(Begin, 1, seconds(1)));
  BOOST_CHECK(!Meter.take(Begin - milliseconds(5000), 1, seconds(1)));
  BOOST_CHECK(!Meter.take(Begin + milliseconds(900), 1, seconds(1)));
  BOOST_CHECK(Meter.take(Begin + milliseconds(1000), 1, seconds(1)));
}

BOOST_AUTO_TEST_CASE(usagePeakEndsWithItsWindow) {
  UsageHistory History;
  History.record(Begin, Capacity{500, 10, 1});
  History.record(Begin + milliseconds(1000), Capacity{300, 20, 0});
  const TimePoint Now = Begin + milliseconds(1500);
  BOOST_CHECK((History.peak(Now, milliseconds(1500)) == Capacity{500, 20, 1}));
  BOOST_CHECK((History.peak(Now, milliseconds(1000)) == Capacity{300, 20, 0}));
  BOOST_CHECK((History.peak(Now + milliseconds(60000), milliseconds::max()) ==
               Capacity{}));
}

BOOST_FIXTURE_TEST_CASE(jobBeyondRateStartsAtOnceWithRoom, AccountsFixture) {
  addVm(makeVm("a", BigSize));
  submit("first", "hot", makeStep(1, SmallSize));
  submit("second", "hot", makeStep(1, SmallSize));
  BOOST_CHECK(startedJobs() == (Names{"first", "second"}));
}

BOOST_FIXTURE_TEST_CASE(jobBeyondRateComesAfterEntitledOnes, AccountsFixture) {
  // The load: an account that sends more than its rate, at the highest
  // priority, beside accounts that don't.
  addVm(makeVm("a", SmallSize));
  useUpRate("hot");
  submit("beyond", "hot", makeStep(1, SmallSize), 0);
  submit("entitled", "calm", makeStep(1, SmallSize), 2);
  submit("anonymous", "", makeStep(1, SmallSize), 2);
  Names Order;
  for (int Pass = 0; Pass < 40; ++Pass) {
    for (const std::string &Job : startedJobs())
      Order.push_back(Job);
    const std::vector<StartRun> Running = Starts;
    MonotonicClock.advance(milliseconds(100));
    for (const StartRun &Start : Running)
      endRun(Start, RunOutcome::Done);
  }
  BOOST_CHECK(Order == (Names{"anonymous", "entitled", "beyond"}));
}

BOOST_FIXTURE_TEST_CASE(jobBeyondRateLeavesRoomThatWaitingWorkNeeds,
                        AccountsFixture) {
  // Small jobs beyond the rate would keep a large entitled task waiting for
  // ever, by taking each core that becomes free.
  addVm(makeVm("a", BigSize));
  submit("running", "calm", makeStep(3, SmallSize));
  BOOST_CHECK_EQUAL(startedJobs().size(), 3);
  const StartRun Running = Starts[0];
  MonotonicClock.advance(milliseconds(1000));
  submit("large", "calm", makeStep(1, Capacity{3000, 100, 0}));
  useUpRate("hot");
  submit("beyond", "hot", makeStep(4, SmallSize));
  BOOST_CHECK(startedJobs().empty());
  endRun(Running, RunOutcome::Done);
  BOOST_CHECK(startedJobs().empty());
}

BOOST_FIXTURE_TEST_CASE(jobBeyondRateUsesVmsThatWaitingWorkCannotUse,
                        AccountsFixture) {
  // Nothing is held back for a step that can't run on the free VM, nor for one
  // that no VM of the pool could hold.
  addVm(makeVm("a", BigSize));
  StepPlan Labelled = makeStep(1, SmallSize);
  Labelled.RequiredLabel = "ssd";
  submit("labelled", "calm", Labelled);
  StepPlan WideGang = makeStep(9, SmallSize);
  WideGang.Gang = true;
  submit("wide", "", WideGang);
  useUpRate("hot");
  submit("beyond", "hot", makeStep(2, SmallSize));
  BOOST_CHECK(startedJobs() == (Names{"beyond", "beyond"}));
}

BOOST_FIXTURE_TEST_CASE(recentPeakOfEntitledWorkIsKeptFree, AccountsFixture) {
  // Entitled work varies: what it has used lately must be free again for it.
  addVm(makeVm("a", BigSize));
  submit("peak", "calm", makeStep(3, SmallSize));
  BOOST_CHECK_EQUAL(startedJobs().size(), 3);
  const std::vector<StartRun> Running = Starts;
  for (const StartRun &Start : Running)
    endRun(Start, RunOutcome::Done);
  useUpRate("hot");
  submit("beyond", "hot", makeStep(4, SmallSize));
  BOOST_CHECK_EQUAL(startedJobs().size(), 1);
  MonotonicClock.advance(milliseconds(4000));
  BOOST_CHECK_EQUAL(startedJobs().size(), 3);
}

BOOST_FIXTURE_TEST_CASE(jobBeyondRateReservesNoVms, AccountsFixture) {
  // A reservation for a gang beyond the rate would withhold capacity from
  // entitled work.
  addVm(makeVm("a", BigSize));
  submit("running", "calm", makeStep(1, Capacity{3000, 100, 0}, 10000));
  BOOST_CHECK_EQUAL(startedJobs().size(), 1);
  useUpRate("hot");
  StepPlan Gang = makeStep(4, SmallSize);
  Gang.Gang = true;
  submit("gang", "hot", Gang);
  submit("long", "", makeStep(1, SmallSize, 60000), 2);
  BOOST_CHECK(startedJobs() == (Names{"long"}));
}

BOOST_FIXTURE_TEST_CASE(jobBeyondRateAsksForAdviceLast, AccountsFixture) {
  addVm(makeVm("a", BigSize));
  QueueTerms Queue = makeQueue(0);
  Queue.Advice = AdviceTerms{milliseconds(100), 1.0, milliseconds(2000)};
  const auto Submit = [&](const std::string &Job, const std::string &Account) {
    JobPlan Plan = makeJob(Job, {makeStep(1, SmallSize)});
    Plan.Account = Account;
    Scheduler->addJob(Plan, Queue, MonotonicClock.now());
  };
  useUpRate("hot");
  Submit("abeyond", "hot");
  Submit("entitled", "calm");
  runPass();
  BOOST_REQUIRE_EQUAL(AdviceRequests.size(), 2);
  BOOST_CHECK_EQUAL(AdviceRequests[0].Step.Job, "entitled");
  BOOST_CHECK_EQUAL(AdviceRequests[1].Priority, LowestPriority);
  // Without room there is nothing to ask for.
  submit("full", "", makeStep(4, SmallSize));
  BOOST_CHECK_EQUAL(startedJobs().size(), 4);
  Submit("abeyond2", "hot");
  runPass();
  BOOST_CHECK(AdviceRequests.empty());
}

BOOST_FIXTURE_TEST_CASE(laterOwnerEntitlesTheSameJobs, AccountsFixture) {
  // A takeover must not turn jobs beyond the rate into entitled ones.
  addVm(makeVm("a", SmallSize));
  const auto Start = MonotonicClock.now();
  const auto Restore = [&](const std::string &Job, int AtMs, JobStage Stage) {
    JobPlan Plan = makeJob(Job, {makeStep(1, SmallSize)});
    Plan.Account = "hot";
    JobProgress Progress;
    Progress.Stage = Stage;
    Scheduler->restoreJob(Plan, makeQueue(), Start + milliseconds(AtMs),
                          Progress);
  };
  Restore("done", 0, JobStage::Completed);
  Restore("beyond", 500, JobStage::Queued);
  Restore("entitled", 1000, JobStage::Queued);
  BOOST_CHECK(startedJobs() == (Names{"entitled"}));
}

BOOST_AUTO_TEST_CASE(accountsChangeNothingWithinTheirRate) {
  // Accounts whose jobs are within their rate are served as without accounts.
  const auto Run = [](bool WithAccounts) {
    OverloadedPool Pool{PoolOptions{}};
    Pool.addVms(10, Capacity{32000, 64000, 0});
    if (WithAccounts)
      Pool.setAccounts({AccountsFixture::account("a", 1000)});
    JobKind Quick{"quick",
                  0,
                  1.5,
                  milliseconds(300),
                  2,
                  10,
                  Capacity{5000, 100, 0},
                  milliseconds(700)};
    Pool.submitAtRate(Quick, WithAccounts ? "a" : "", 6, milliseconds(0),
                      milliseconds(8000));
    Pool.runFor(milliseconds(12000));
    return Pool.waitQuantile(Pool.outcomes("quick"), 0.9);
  };
  BOOST_CHECK(Run(false) == Run(true));
}

BOOST_AUTO_TEST_CASE(hotAccountLeavesWaitingTimesOfOthers) {
  // The load: at 80 % use, one of 20 accounts sends twelve times its usual for
  // 8 s. Without rates, the others' 99th percentile rises several times.
  const JobKind Quick{"quick",
                      0,
                      1.5,
                      milliseconds(300),
                      1,
                      10,
                      Capacity{5000, 100, 0},
                      milliseconds(700),
                      false,
                      false,
                      0.5,
                      0.7};
  const JobKind Large{"large",
                      2,
                      4,
                      milliseconds(3000),
                      1,
                      20,
                      Capacity{9000, 100, 0},
                      milliseconds(2000),
                      false,
                      false,
                      0.5,
                      0.7};
  struct Waits {
    milliseconds Quick, Large;
    double HotInTime;
  };
  const auto Run = [&](double HotFactor, bool WithAccounts) {
    OverloadedPool Pool{PoolOptions{}};
    Pool.addVms(220, Capacity{32000, 64000, 0});
    constexpr int AccountCount = 20;
    std::vector<ClientAccount> Accounts;
    Accounts.reserve(AccountCount);
    for (int Number = 0; Number < AccountCount; ++Number)
      Accounts.push_back(
          AccountsFixture::account(fmt::format("a{}", Number), 6));
    if (WithAccounts)
      Pool.setAccounts(Accounts);
    for (const ClientAccount &Each : Accounts) {
      Pool.submitAtRate(Quick, Each.Name, 3, milliseconds(0),
                        milliseconds(20000));
      Pool.submitAtRate(Large, Each.Name, 0.4, milliseconds(0),
                        milliseconds(20000));
    }
    // Drawn last, so that the others' jobs are the same.
    Pool.submitAtRate(Quick, "a0", 3 * HotFactor, milliseconds(8000),
                      milliseconds(8000));
    Pool.runFor(milliseconds(30000));
    std::vector<const JobOutcome *> Others[2];
    for (int Number = 1; Number < 20; ++Number)
      for (int Kind = 0; Kind < 2; ++Kind)
        for (const JobOutcome *Each :
             Pool.outcomes(Kind == 0 ? "quick" : "large",
                           fmt::format("a{}", Number), milliseconds(8000)))
          Others[Kind].push_back(Each);
    return Waits{Pool.waitQuantile(Others[0], 0.95),
                 Pool.waitQuantile(Others[1], 0.95),
                 OverloadedPool::inTime(Pool.outcomes("quick", "a0"))};
  };
  const Waits Usual = Run(0.001, true);
  const Waits Hot = Run(11, true);
  const Waits Unlimited = Run(11, false);
  BOOST_TEST_MESSAGE("quick " << Usual.Quick.count() << " " << Hot.Quick.count()
                              << " " << Unlimited.Quick.count() << " large "
                              << Usual.Large.count() << " " << Hot.Large.count()
                              << " " << Unlimited.Large.count());
  BOOST_CHECK_LE(Hot.Quick.count(), Usual.Quick.count() + 100);
  BOOST_CHECK_LE(Hot.Large.count(), Usual.Large.count() + 300);
}

BOOST_FIXTURE_TEST_CASE(jobsHeldUpByAnOutageAreWithinTheRate, AccountsFixture) {
  // The load: all daemons were down for 4 s, and the callers of these seconds
  // are accepted together afterwards. Guards against counting them as beyond
  // the rate: 40 % of the jobs after a restart of all daemons were.
  constexpr int Rate = 3;
  constexpr int OutageSeconds = 4;
  Scheduler->setAccounts(std::vector{account("calm", Rate)});
  addVm(makeVm("a", BigSize));
  Scheduler->countJob("calm", MonotonicClock.now());
  MonotonicClock.advance(seconds(OutageSeconds));
  for (int Number = 0; Number < Rate * OutageSeconds - 1; ++Number)
    Scheduler->countJob("calm", MonotonicClock.now());
  submit("held_up", "calm", makeStep(1, BigSize), 1);
  submit("anonymous", "", makeStep(1, BigSize), 2);
  BOOST_CHECK(startedJobs() == (Names{"held_up"}));
}
