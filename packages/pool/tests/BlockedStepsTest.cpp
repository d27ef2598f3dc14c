// Tests that steps that can't start don't keep others from starting.

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "SchedulerFixture.h"

using namespace cuminroad;

namespace {

/// More steps than a pass examines.
constexpr int ManySteps = 400;
/// Time within which a task that has room must start.
constexpr milliseconds LongestWait{3000};
/// Interval of passes without an event.
constexpr milliseconds PassInterval{150};

QueueTerms makeAdvisedQueue(int Priority) {
  QueueTerms Out = makeQueue(Priority);
  Out.Advice = AdviceTerms{milliseconds(10), 0.1, milliseconds(2000)};
  return Out;
}

struct BlockedStepsFixture : SchedulerFixture {
  /// Adds \p Steps steps like \p Step, as one job of the most urgent queue.
  void addUrgentSteps(const StepPlan &Step, int Steps = ManySteps) {
    addUrgentSteps(Steps, [&Step](int) { return Step; });
  }
  void addUrgentSteps(int Steps, const std::function<StepPlan(int)> &MakeStep) {
    JobPlan Plan = makeJob("urgent", {});
    for (int Number = 0; Number < Steps; ++Number)
      Plan.Steps.push_back(MakeStep(Number));
    Scheduler->addJob(Plan, makeQueue(0), MonotonicClock.now());
  }
  void addLessUrgentJob(const std::string &Id = "less-urgent") {
    Scheduler->addJob(makeJob(Id, {makeStep(1, SmallSize)}), makeQueue(2),
                      MonotonicClock.now());
  }
  /// Runs passes until the job has started or \p Limit has passed. Advice that
  /// is requested comes at once and allows all VMs.
  bool startsWithin(std::string_view Job, milliseconds Limit) {
    for (milliseconds Waited{0}; Waited <= Limit; Waited += PassInterval) {
      runPass();
      const bool Started = std::any_of(Starts.begin(), Starts.end(),
                                       [Job](const StartRun &Start) {
                                         return Start.Run.Task.Step.Job == Job;
                                       });
      if (Started)
        return true;
      MonotonicClock.advance(PassInterval);
      for (const RequestAdvice &Request : AdviceRequests)
        answerAdvice(Request);
    }
    return false;
  }
  /// Checks that a less urgent job gets new tickets: its first ones expire
  /// while a task of size \p LongSize fills the VM.
  void checkTicketsAreRenewedAfter(const Capacity &LongSize) {
    Scheduler->addJob(makeJob("long", {makeStep(1, LongSize, 100000)}),
                      makeQueue(0), MonotonicClock.now());
    runPass();
    BOOST_REQUIRE_EQUAL(Starts.size(), 1);
    const StartRun Long = Starts[0];
    acceptStart(Long);
    for (const RequestAdvice &Request : AdviceRequests)
      answerAdvice(Request);
    Scheduler->addJob(makeJob("less-urgent", {makeStep(1, SmallSize)}),
                      makeAdvisedQueue(2), MonotonicClock.now());
    BOOST_CHECK(!startsWithin("less-urgent", milliseconds(5000)));
    endRun(Long, RunOutcome::Done);
    BOOST_CHECK(startsWithin("less-urgent", LongestWait));
  }
  void answerAdvice(const RequestAdvice &Request) {
    std::vector<AdviceTicket> Tickets;
    for (const std::string &Vm : Request.Vms)
      Tickets.push_back(AdviceTicket{Vm, "ticket"});
    Scheduler->adviceReceived(Request.Step, Request.Vms, Tickets,
                              MonotonicClock.now() + milliseconds(2000));
  }
};

} // namespace

// Guards against one submission of steps that are larger than any VM hiding all
// less urgent work.
BOOST_FIXTURE_TEST_CASE(stepsLargerThanAnyVmDoNotHideOthers,
                        BlockedStepsFixture) {
  addVm(makeVm("a", BigSize));
  addUrgentSteps(makeStep(1, {64000, 100, 0}));
  addLessUrgentJob();
  BOOST_CHECK(startsWithin("less-urgent", milliseconds(0)));
}

// Guards against steps that require a label that no VM has hiding others.
BOOST_FIXTURE_TEST_CASE(stepsWithAnUnknownLabelDoNotHideOthers,
                        BlockedStepsFixture) {
  addVm(makeVm("a", BigSize, {"kind-1"}));
  StepPlan Step = makeStep(1, SmallSize);
  Step.RequiredLabel = "kind-2";
  addUrgentSteps(Step);
  addLessUrgentJob();
  BOOST_CHECK(startsWithin("less-urgent", milliseconds(0)));
}

// Guards against gangs that the pool can't hold hiding others.
BOOST_FIXTURE_TEST_CASE(gangsLargerThanThePoolDoNotHideOthers,
                        BlockedStepsFixture) {
  addVm(makeVm("a", BigSize));
  addVm(makeVm("b", BigSize));
  StepPlan Step = makeStep(3, BigSize);
  Step.Gang = true;
  addUrgentSteps(Step);
  addLessUrgentJob();
  BOOST_CHECK(startsWithin("less-urgent", milliseconds(0)));
}

// Guards against gangs with too many members for the limit per VM hiding
// others.
BOOST_FIXTURE_TEST_CASE(gangsBeyondTheirLimitPerVmDoNotHideOthers,
                        BlockedStepsFixture) {
  addVm(makeVm("a", BigSize));
  StepPlan Step = makeStep(2, SmallSize);
  Step.Gang = true;
  Step.MaxPerVm = 1;
  addUrgentSteps(Step);
  addLessUrgentJob();
  BOOST_CHECK(startsWithin("less-urgent", milliseconds(0)));
}

// Guards against steps that wait for room hiding others that have room.
BOOST_FIXTURE_TEST_CASE(stepsThatWaitForRoomDoNotHideOthers,
                        BlockedStepsFixture) {
  addVm(makeVm("a", BigSize, {"kind-1"}));
  addVm(makeVm("b", SmallSize));
  StepPlan Step = makeStep(1, BigSize, 100000);
  Step.RequiredLabel = "kind-1";
  addUrgentSteps(Step);
  addLessUrgentJob();
  BOOST_CHECK(startsWithin("less-urgent", LongestWait));
}

// Guards against steps of many different sizes, each too large, hiding others.
BOOST_FIXTURE_TEST_CASE(differentStepsThatNeverFitDoNotHideOthers,
                        BlockedStepsFixture) {
  addVm(makeVm("a", BigSize));
  addUrgentSteps(ManySteps, [](int Number) {
    return makeStep(1, {5000 + Number, 5000 - Number, 0});
  });
  addLessUrgentJob();
  BOOST_CHECK(startsWithin("less-urgent", LongestWait));
}

// Guards against steps whose limit per VM is reached hiding others: for each of
// them there is room, but not for another task of theirs.
BOOST_FIXTURE_TEST_CASE(stepsAtTheirLimitPerVmDoNotHideOthers,
                        BlockedStepsFixture) {
  addVm(makeVm("a", {ManySteps * 1000 + 4000, 1000000, 0}));
  StepPlan Step = makeStep(2, SmallSize, 100000);
  Step.MaxPerVm = 1;
  addUrgentSteps(Step);
  runPass();
  addLessUrgentJob();
  BOOST_CHECK(startsWithin("less-urgent", LongestWait));
}

// Guards against steps without a valid ticket hiding others that need none.
BOOST_FIXTURE_TEST_CASE(stepsThatWaitForAdviceDoNotHideOthers,
                        BlockedStepsFixture) {
  addVm(makeVm("a", BigSize));
  for (int Number = 0; Number < ManySteps; ++Number)
    Scheduler->addJob(
        makeJob("urgent" + std::to_string(Number), {makeStep(1, SmallSize)}),
        makeAdvisedQueue(0), MonotonicClock.now());
  addLessUrgentJob();
  AdviceRequests.clear();
  BOOST_CHECK(startsWithin("less-urgent", LongestWait));
}

// Guards against gangs that never fit using up the renewals of tickets, so that
// less urgent steps never have a valid one.
BOOST_FIXTURE_TEST_CASE(gangsThatNeverFitDoNotUseUpRenewals,
                        BlockedStepsFixture) {
  addVm(makeVm("a", BigSize));
  StepPlan Gang = makeStep(3, {2000, 500, 0});
  Gang.Gang = true;
  Scheduler->addJob(
      makeJob("urgent", std::vector<StepPlan>(ManySteps / 4, Gang)),
      makeAdvisedQueue(0), MonotonicClock.now());
  checkTicketsAreRenewedAfter(BigSize);
}

// Guards against steps that are at their limit per VM using up the renewals of
// tickets: they have room, but start nothing.
BOOST_FIXTURE_TEST_CASE(stepsAtTheirLimitPerVmDoNotUseUpRenewals,
                        BlockedStepsFixture) {
  addVm(makeVm("a", {100000, 100000, 0}));
  StepPlan Step = makeStep(2, SmallSize, 100000);
  Step.MaxPerVm = 1;
  Scheduler->addJob(makeJob("urgent", std::vector<StepPlan>(40, Step)),
                    makeAdvisedQueue(0), MonotonicClock.now());
  startsWithin("none", milliseconds(5000));
  checkTicketsAreRenewedAfter({60000, 100, 0});
}

// Guards against steps whose advice always fails using up the requests that may
// be pending.
BOOST_FIXTURE_TEST_CASE(failedAdviceDoesNotUseUpPendingRequests,
                        BlockedStepsFixture) {
  addVm(makeVm("a", BigSize));
  for (int Number = 0; Number < ManySteps; ++Number)
    Scheduler->addJob(
        makeJob("urgent" + std::to_string(Number), {makeStep(1, SmallSize)}),
        makeAdvisedQueue(0), MonotonicClock.now());
  Scheduler->addJob(makeJob("less-urgent", {makeStep(1, SmallSize)}),
                    makeAdvisedQueue(2), MonotonicClock.now());
  // Some calls are always pending.
  constexpr milliseconds CallTime{600};
  // The time in which the first calls for all steps can be made.
  const milliseconds Limit =
      CallTime * ManySteps /
      (Options.MaxPendingAdvice - Options.MaxPendingRetries);
  std::vector<RequestAdvice> Pending;
  for (milliseconds Waited{0}; Waited <= Limit; Waited += PassInterval) {
    if (Waited % CallTime == milliseconds(0))
      for (const RequestAdvice &Request : std::exchange(Pending, {}))
        Scheduler->adviceFailed(Request.Step);
    runPass();
    for (const RequestAdvice &Request : AdviceRequests)
      if (Request.Step.Job == "less-urgent")
        return;
      else
        Pending.push_back(Request);
    MonotonicClock.advance(PassInterval);
  }
  BOOST_ERROR("no advice is requested for the less urgent step");
}

// Guards against more urgent work that waits for room being overtaken for ever
// by small tasks, although steps that can never start come before it.
BOOST_FIXTURE_TEST_CASE(smallTasksDoNotOvertakeALargeOneForEver,
                        BlockedStepsFixture) {
  addVm(makeVm("a", BigSize));
  addUrgentSteps(makeStep(1, {64000, 100, 0}));
  for (int Number = 0; Number < 3; ++Number)
    addLessUrgentJob("first" + std::to_string(Number));
  runPass();
  std::vector<StartRun> Running = Starts;
  BOOST_REQUIRE_EQUAL(Running.size(), 3);
  Scheduler->addJob(makeJob("large", {makeStep(1, BigSize)}), makeQueue(1),
                    MonotonicClock.now());
  bool LargeStarted = false;
  for (int Second = 0; Second < 20 && !LargeStarted; ++Second) {
    addLessUrgentJob("small" + std::to_string(Second));
    MonotonicClock.advance(milliseconds(400));
    if (!Running.empty()) {
      endRun(Running.front(), RunOutcome::Done);
      Running.erase(Running.begin());
    }
    runPass();
    for (const StartRun &Start : Starts) {
      LargeStarted = LargeStarted || Start.Run.Task.Step.Job == "large";
      Running.push_back(Start);
    }
  }
  BOOST_CHECK(LargeStarted);
}

// Guards against steps whose job has as many runs as its stored progress can
// hold: they can start nothing, but reserved VMs and kept tickets valid.
BOOST_FIXTURE_TEST_CASE(jobsWithFullProgressReserveNothing,
                        BlockedStepsFixture) {
  const int RunCount = Options.MaxRecordedTasks;
  const Capacity DoubleSize = SmallSize * 2;
  addVm(makeVm("a", DoubleSize * (RunCount + 1)));
  StepPlan Step = makeStep(RunCount + 10, DoubleSize);
  Step.LongRunning = true;
  Scheduler->addJob(makeJob("full", {Step}), makeQueue(0),
                    MonotonicClock.now());
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), RunCount);
  Scheduler->addJob(makeJob("other", {makeStep(2, SmallSize, 2000)}),
                    makeQueue(1), MonotonicClock.now());
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  // Now there is room for a task of half the size.
  endRun(Starts[0], RunOutcome::Done);
  Scheduler->addJob(makeJob("less-urgent", {makeStep(1, SmallSize, 100000)}),
                    makeQueue(2), MonotonicClock.now());
  BOOST_CHECK(startsWithin("less-urgent", milliseconds(0)));
}
