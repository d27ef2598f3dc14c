// Tests which tasks are placed, on which VMs and in which order.

#include <boost/test/unit_test.hpp>

#include "SchedulerFixture.h"

using namespace cuminroad;

BOOST_FIXTURE_TEST_CASE(startsOnlyWhatFits, SchedulerFixture) {
  addVm(makeVm("a", BigSize));
  Scheduler->addJob(makeJob("j", {makeStep(6, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  BOOST_CHECK_EQUAL(Starts.size(), 4);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Running);
  endRun(Starts[0], RunOutcome::Done);
  runPass();
  BOOST_CHECK_EQUAL(Starts.size(), 1);
}

BOOST_FIXTURE_TEST_CASE(stepWaitsForItsDependency, SchedulerFixture) {
  addVm(makeVm("a", BigSize));
  StepPlan Second = makeStep(1, SmallSize);
  Second.DependsOn = {0};
  Scheduler->addJob(makeJob("j", {makeStep(2, SmallSize), Second}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  const auto First = Starts;
  BOOST_REQUIRE_EQUAL(First.size(), 2);
  endRun(First[0], RunOutcome::Done);
  runPass();
  BOOST_CHECK(Starts.empty());
  endRun(First[1], RunOutcome::Done);
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Task.Step.Step, 1);
  endRun(Starts[0], RunOutcome::Done);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Completed);
}

BOOST_FIXTURE_TEST_CASE(higherPriorityQueueIsPlacedFirst, SchedulerFixture) {
  addVm(makeVm("a", SmallSize));
  Scheduler->addJob(makeJob("low", {makeStep(1, SmallSize)}), makeQueue(2),
                    MonotonicClock.now());
  Scheduler->addJob(makeJob("high", {makeStep(1, SmallSize)}), makeQueue(0),
                    MonotonicClock.now());
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Task.Step.Job, "high");
}

BOOST_FIXTURE_TEST_CASE(onTimeJobIsPlacedBeforeLateJobOfItsQueue,
                        SchedulerFixture) {
  // Under overload, first come, first served would make every job late.
  addVm(makeVm("a", SmallSize));
  Scheduler->addJob(makeJob("old", {makeStep(1, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  MonotonicClock.advance(milliseconds(4000)); // past 2 * 1 s + 1 s
  Scheduler->addJob(makeJob("new", {makeStep(1, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Task.Step.Job, "new");
}

BOOST_FIXTURE_TEST_CASE(veryLateJobIsPlacedLast, SchedulerFixture) {
  addVm(makeVm("a", SmallSize));
  Scheduler->addJob(makeJob("urgent", {makeStep(1, SmallSize)}), makeQueue(0),
                    MonotonicClock.now());
  MonotonicClock.advance(milliseconds(10000)); // past three objectives
  Scheduler->addJob(makeJob("low", {makeStep(1, SmallSize)}), makeQueue(2),
                    MonotonicClock.now());
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Task.Step.Job, "low");
}

BOOST_FIXTURE_TEST_CASE(wideGangIsNotStarvedBySmallTasks, SchedulerFixture) {
  // Without reservations, small tasks would starve a gang that needs two whole
  // VMs.
  const Capacity Whole{4000, 1000, 4};
  addVm(makeVm("a", Whole));
  addVm(makeVm("b", Whole));
  std::vector<StartRun> Running;
  for (int Each = 0; Each < 8; ++Each)
    Scheduler->addJob(makeJob("small" + std::to_string(Each),
                              {makeStep(1, {1000, 100, 1}, 1000)}),
                      makeQueue(2), MonotonicClock.now());
  runPass();
  Running = Starts;
  BOOST_REQUIRE_EQUAL(Running.size(), 8);
  StepPlan Gang = makeStep(2, Whole, 1000);
  Gang.Gang = true;
  Scheduler->addJob(makeJob("gang", {Gang}), makeQueue(1),
                    MonotonicClock.now());
  bool Started = false;
  for (int Round = 0; Round < 8 && !Started; ++Round) {
    Scheduler->addJob(makeJob("more" + std::to_string(Round),
                              {makeStep(1, {1000, 100, 1}, 1000)}),
                      makeQueue(2), MonotonicClock.now());
    MonotonicClock.advance(milliseconds(300));
    endRun(Running.back(), RunOutcome::Done);
    Running.pop_back();
    runPass();
    for (const StartRun &Start : Starts)
      Started = Started || Start.Run.Task.Step.Job == "gang";
  }
  BOOST_CHECK(Started);
}

BOOST_FIXTURE_TEST_CASE(gangMembersStartTogetherUnderOneRunNumber,
                        SchedulerFixture) {
  addVm(makeVm("a", SmallSize));
  StepPlan Gang = makeStep(2, SmallSize);
  Gang.Gang = true;
  Scheduler->addJob(makeJob("g", {Gang}), makeQueue(), MonotonicClock.now());
  runPass();
  BOOST_CHECK(Starts.empty());
  addVm(makeVm("b", SmallSize));
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  BOOST_CHECK_EQUAL(Starts[0].Run.Number, Starts[1].Run.Number);
  // If one member is refused, the other is stopped; both start again under a
  // higher run number.
  acceptStart(Starts[1]);
  const auto First = Starts;
  Scheduler->startAnswered(First[0].Vm, First[0].Run, StartOutcome::Refused);
  runPass();
  BOOST_REQUIRE_EQUAL(Stops.size(), 1);
  endRun(First[1], RunOutcome::Stopped);
  MonotonicClock.advance(milliseconds(500));
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  BOOST_CHECK_EQUAL(Starts[0].Run.Number, 2);
  BOOST_CHECK_EQUAL(Starts[1].Run.Number, 2);
  // The completion of one member counts for all.
  endRun(Starts[0], RunOutcome::Done);
  BOOST_CHECK(Scheduler->stage("g") == JobStage::Completed);
}

// Guards against two tasks of a step on a VM that may have one: a run that was
// given up as lost is found on its VM when the VM is back, and occupies it
// until it has been stopped.
BOOST_FIXTURE_TEST_CASE(maxPerVmCountsRunsThatAreBeingStopped,
                        SchedulerFixture) {
  addVm(makeVm("a", BigSize));
  StepPlan Step = makeStep(1, SmallSize);
  Step.MaxPerVm = 1;
  Scheduler->addJob(makeJob("j", {Step}), makeQueue(), MonotonicClock.now());
  StepPlan Gang = Step;
  Gang.Gang = true;
  Scheduler->addJob(makeJob("g", {Gang}), makeQueue(), MonotonicClock.now());
  const TaskRun Late{{{"j", 0, 0}, 0}, 7};
  const TaskRun LateMember{{{"g", 0, 0}, 0}, 7};
  reportRuns("a", {{Late, "", 10, 0}, {LateMember, "", 10, 0}});
  runPass();
  BOOST_CHECK(Starts.empty());
  BOOST_CHECK_EQUAL(Stops.size(), 2);
  Scheduler->taskEnded("a", TaskEnd{1, Late, RunOutcome::Stopped, ""});
  Scheduler->taskEnded("a", TaskEnd{2, LateMember, RunOutcome::Stopped, ""});
  runPass();
  BOOST_CHECK_EQUAL(Starts.size(), 2);
}

// Guards against a log that can't tell why a task was placed beside others of
// its step: each start of a step with a limit per VM tells what counted.
BOOST_FIXTURE_TEST_CASE(startOfALimitedStepTellsTheRunsThatCounted,
                        SchedulerFixture) {
  addVm(makeVm("a", BigSize));
  StepPlan Step = makeStep(4, SmallSize);
  Step.MaxPerVm = 3;
  Scheduler->addJob(makeJob("j", {Step}), makeQueue(1), MonotonicClock.now());
  Scheduler->addJob(makeJob("k", {makeStep(1, SmallSize)}), makeQueue(0),
                    MonotonicClock.now());
  const TaskRun Unknown{{{"j", 0, 0}, 3}, 7};
  reportRuns("a", {{Unknown, "", 10, 0}});
  MonotonicClock.advance(milliseconds(200));
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 3);
  BOOST_CHECK_EQUAL(Starts[0].Run.Task.Step.Job, "k");
  BOOST_CHECK(!Starts[0].OnVm);
  BOOST_REQUIRE(Starts[1].OnVm && Starts[2].OnVm);
  BOOST_CHECK(Starts[1].OnVm->Runs.empty());
  BOOST_CHECK(Starts[2].OnVm->Runs == std::vector{Starts[1].Run});
  for (const StartRun &Start : {Starts[1], Starts[2]}) {
    BOOST_CHECK_EQUAL(Start.OnVm->Limit, 3);
    BOOST_CHECK(Start.OnVm->UnknownRuns == std::vector{Unknown});
    BOOST_CHECK_EQUAL(Start.OnVm->VmIncarnation, 1);
    BOOST_CHECK(Start.OnVm->DecidedAt - Start.OnVm->ReportedAt ==
                milliseconds(200));
  }
}

BOOST_FIXTURE_TEST_CASE(requiredLabelAndMaxPerVmAreRespected,
                        SchedulerFixture) {
  addVm(makeVm("a", BigSize, {"x", "r1"}));
  addVm(makeVm("b", BigSize, {"y", "r2"}));
  addVm(makeVm("c", BigSize, {"y", "r1"}));
  StepPlan Step = makeStep(4, SmallSize);
  Step.RequiredLabel = "y";
  Step.MaxPerVm = 1;
  Scheduler->addJob(makeJob("j", {Step}), makeQueue(), MonotonicClock.now());
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  BOOST_CHECK(Starts[0].Vm != Starts[1].Vm);
  for (const StartRun &Start : Starts)
    BOOST_CHECK(Start.Vm != "a");
}

BOOST_FIXTURE_TEST_CASE(tasksArePlacedNearTheirData, SchedulerFixture) {
  Options.RemoteFactor = 2;
  Scheduler = makePoolScheduler(MonotonicClock, SystemClock, Options);
  addVm(makeVm("a", BigSize, {"r1"}));
  addVm(makeVm("b", BigSize, {"r2"}));
  StepPlan Step = makeStep(2, SmallSize);
  Step.DataRack = "r2";
  Scheduler->addJob(makeJob("j", {Step}), makeQueue(), MonotonicClock.now());
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  for (const StartRun &Start : Starts)
    BOOST_CHECK_EQUAL(Start.Vm, "b");
}

BOOST_FIXTURE_TEST_CASE(occurrencesStartWhenTheyAreDue, SchedulerFixture) {
  addVm(makeVm("a", BigSize));
  JobPlan Plan = makeJob("j", {makeStep(1, SmallSize)});
  Plan.Occurrences = 2;
  Plan.FirstDue = SystemClock.Now + milliseconds(1000);
  Plan.Interval = milliseconds(500);
  Scheduler->addJob(Plan, makeQueue(), MonotonicClock.now());
  runPass();
  BOOST_CHECK(Starts.empty());
  SystemClock.Now += milliseconds(1000);
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  endRun(Starts[0], RunOutcome::Done);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Running);
  SystemClock.Now += milliseconds(500);
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Task.Step.Occurrence, 1);
  endRun(Starts[0], RunOutcome::Done);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Completed);
}
