// Tests the order of waiting steps under overload.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "OverloadedPool.h"

using namespace cuminroad;

namespace {

PoolOptions slackOrder() {
  PoolOptions Out;
  Out.PredictRunTimes = true;
  Out.SlackOrder = true;
  return Out;
}

struct SlackFixture : SchedulerFixture {
  SlackFixture() {
    Options.SlackOrder = true;
    Scheduler = makePoolScheduler(MonotonicClock, SystemClock, Options);
    MonotonicClock.advance(milliseconds(100000));
    addVm(makeVm("a", SmallSize));
  }
  /// Adds a job whose objective is 3 s for a run time of 1 s.
  void submit(const std::string &Job, int Priority, int AgeMs) {
    Scheduler->addJob(makeJob(Job, {makeStep(1, SmallSize)}),
                      makeQueue(Priority),
                      MonotonicClock.now() - milliseconds(AgeMs));
  }
  /// \returns the jobs in the order in which they start on the only VM.
  std::vector<std::string> order() {
    std::vector<std::string> Out;
    for (runPass(); !Starts.empty(); runPass()) {
      Out.push_back(Starts[0].Run.Task.Step.Job);
      acceptStart(Starts[0]);
      endRun(Starts[0], RunOutcome::Done);
    }
    return Out;
  }
};

using Names = std::vector<std::string>;

/// Jobs of the second customer's pools, on a tenth of their VMs.
JobKind makeGang() {
  JobKind Out;
  Out.Name = "gang";
  Out.Priority = 1;
  Out.Stretch = 2.2;
  Out.Target = milliseconds(1000);
  Out.Tasks = 4;
  Out.Size = {62000, 32000, 4};
  Out.RunTime = milliseconds(4500);
  Out.Gang = true;
  Out.EstimateSigma = 0.7;
  return Out;
}

JobKind makeAcceleratorJob() {
  JobKind Out;
  Out.Name = "small";
  Out.Priority = 2;
  Out.Stretch = 4;
  Out.Target = milliseconds(3000);
  Out.Tasks = 20;
  Out.Size = {11000, 8000, 1};
  Out.RunTime = milliseconds(2400);
  Out.EstimateSigma = 0.7;
  return Out;
}

JobKind makeQuick() {
  JobKind Out;
  Out.Name = "quick";
  Out.Stretch = 1.5;
  Out.Target = milliseconds(300);
  Out.Tasks = 10;
  Out.Size = {5000, 2000, 0};
  Out.RunTime = milliseconds(700);
  Out.EstimateSigma = 0.7;
  return Out;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(jobsCertainToBeLateComeAfterThoseInTime, SlackFixture) {
  // The load: after an outage, jobs whose deadline isn't over yet but can't be
  // met took the turn of jobs that could still be in time.
  submit("certain", 1, 2500);
  submit("intime", 1, 500);
  submit("hopeless", 0, 8500);
  submit("lower", 2, 0);
  submit("urgent", 0, 0);
  BOOST_CHECK(order() ==
              (Names{"urgent", "intime", "lower", "certain", "hopeless"}));
}

BOOST_FIXTURE_TEST_CASE(lateJobYieldsOnePriorityOnly, SlackFixture) {
  // Late jobs of a high priority must not wait for all jobs of the lowest one.
  submit("low", 2, 0);
  submit("late", 0, 2500);
  BOOST_CHECK(order() == (Names{"late", "low"}));
}

BOOST_AUTO_TEST_CASE(lateJobsDoNotDelayThoseThatCanBeInTime) {
  // The load: nothing starts for 6 s while quick jobs arrive. Those that arrive
  // afterwards must not be late for the sake of those that are late already. A
  // part of them is, since the runs of late jobs that began in free room are
  // not interrupted.
  const auto Run = [](const PoolOptions &Options, milliseconds Outage) {
    double Out = 0;
    for (const unsigned Seed : {1U, 2U, 3U}) {
      OverloadedPool Pool(Options, Seed);
      Pool.addVms(25, Capacity{32000, 64000, 0});
      Pool.submitAtRate(makeQuick(), "", 14, milliseconds(0),
                        milliseconds(20000));
      Pool.runFor(milliseconds(4000));
      Pool.stopPasses(Outage);
      Pool.runFor(milliseconds(30000));
      Out += OverloadedPool::inTime(
                 Pool.outcomes("quick", "", milliseconds(10000))) /
             3;
    }
    return Out;
  };
  const double Calm = Run(slackOrder(), milliseconds(0));
  const double Before = Run(PoolOptions{}, milliseconds(6000));
  const double Now = Run(slackOrder(), milliseconds(6000));
  BOOST_TEST_MESSAGE("after an outage " << Before << " " << Now << " without "
                                        << Calm);
  BOOST_CHECK_GE(Now - Before, (Calm - Before) / 3);
}

BOOST_AUTO_TEST_CASE(burstOfGangsAndSmallTasksServesBoth) {
  // The loads that hurt: small accelerator tasks take the room that gangs
  // wait for, and gangs reserve what small tasks could use.
  const auto Run = [](double Gangs, double Small) {
    OverloadedPool Pool(slackOrder());
    Pool.addVms(20, Capacity{128000, 512000, 8});
    Pool.submitAtRate(makeGang(), "", Gangs, milliseconds(0),
                      milliseconds(20000));
    Pool.submitAtRate(makeAcceleratorJob(), "", Small, milliseconds(0),
                      milliseconds(20000));
    Pool.runFor(milliseconds(60000));
    const auto WithinThree = [&](const std::string &Kind) {
      int Count = 0;
      const auto Jobs = Pool.outcomes(Kind);
      for (const JobOutcome *Each : Jobs)
        Count += Each->objectives() >= 1 && Each->objectives() <= 3;
      return static_cast<double>(Count) / static_cast<double>(Jobs.size());
    };
    BOOST_TEST_MESSAGE("gangs " << WithinThree("gang") << " small "
                                << WithinThree("small"));
    BOOST_CHECK_GE(WithinThree("gang"), 0.75);
    BOOST_CHECK_GE(WithinThree("small"), 0.75);
  };
  Run(0.6, 6);
  Run(3.5, 0.7);
}

BOOST_AUTO_TEST_CASE(longRunningTasksStartUnderLoad) {
  // The load: quick jobs of a higher priority and large ones of a lower one
  // fill the pool; a long-running task has no deadline that would move it up.
  OverloadedPool Pool(slackOrder());
  Pool.addVms(25, Capacity{32000, 64000, 0});
  JobKind Large = makeQuick();
  Large.Name = "large";
  Large.Priority = 2;
  Large.Tasks = 22;
  Large.Size = {9000, 4000, 0};
  Large.RunTime = milliseconds(4500);
  Large.Stretch = 4;
  JobKind Service;
  Service.Name = "service";
  Service.Priority = 1;
  Service.LongRunning = true;
  Service.Size = {4000, 2000, 0};
  Pool.submitAtRate(makeQuick(), "", 8, milliseconds(0), milliseconds(20000));
  Pool.submitAtRate(Large, "", 1, milliseconds(0), milliseconds(20000));
  Pool.submitAtRate(Service, "", 1, milliseconds(3000), milliseconds(15000));
  Pool.runFor(milliseconds(22000));
  const auto Waited = Pool.waitQuantile(Pool.outcomes("service"), 0.99);
  BOOST_TEST_MESSAGE("long-running " << Waited.count());
  BOOST_CHECK_LE(Waited.count(), 3000);
}

BOOST_AUTO_TEST_CASE(largestJobsOfAKindAreNotStarved) {
  // The load: twice what the pool can do for 8 s, estimates off by factors.
  OverloadedPool Pool(slackOrder());
  Pool.addVms(25, Capacity{32000, 64000, 0});
  Pool.submitAtRate(makeQuick(), "", 12, milliseconds(0), milliseconds(30000));
  Pool.submitAtRate(makeQuick(), "", 18, milliseconds(5000),
                    milliseconds(8000));
  Pool.runFor(milliseconds(60000));
  std::vector<const JobOutcome *> Jobs = Pool.outcomes("quick");
  std::sort(Jobs.begin(), Jobs.end(),
            [](const JobOutcome *Left, const JobOutcome *Right) {
              return Left->MilliCoreSeconds > Right->MilliCoreSeconds;
            });
  const std::size_t Tenth = Jobs.size() / 10;
  const std::vector<const JobOutcome *> Largest(
      Jobs.begin(), Jobs.begin() + static_cast<std::ptrdiff_t>(Tenth));
  const std::vector<const JobOutcome *> Next(
      Jobs.begin() + static_cast<std::ptrdiff_t>(Tenth),
      Jobs.begin() + static_cast<std::ptrdiff_t>(3 * Tenth));
  const double All = OverloadedPool::inTime(Jobs);
  BOOST_TEST_MESSAGE("all " << All << " largest tenth "
                            << OverloadedPool::inTime(Largest) << " next fifth "
                            << OverloadedPool::inTime(Next));
  BOOST_CHECK_GE(OverloadedPool::inTime(Largest), All / 2);
  BOOST_CHECK_GE(OverloadedPool::inTime(Next), All / 2);
}

BOOST_AUTO_TEST_CASE(wrongEstimatesKeepTheOrderAsGoodAsBefore) {
  // The load: a burst with estimates that are off by 0.3 to 3 times.
  const auto Run = [](const PoolOptions &Options) {
    OverloadedPool Pool(Options);
    Pool.addVms(25, Capacity{32000, 64000, 0});
    JobKind Quick = makeQuick();
    Quick.EstimateSigma = 0.9;
    Pool.submitAtRate(Quick, "", 12, milliseconds(0), milliseconds(20000));
    Pool.submitAtRate(Quick, "", 14, milliseconds(5000), milliseconds(6000));
    Pool.runFor(milliseconds(40000));
    return OverloadedPool::inTime(Pool.outcomes("quick"));
  };
  const double Before = Run(PoolOptions{});
  const double Now = Run(slackOrder());
  BOOST_TEST_MESSAGE("wrong estimates " << Before << " " << Now);
  BOOST_CHECK_GE(Now, Before);
}
