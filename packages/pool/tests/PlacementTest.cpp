// What is placed, where and in which order.

#include <boost/test/unit_test.hpp>

#include "SchedulerTrial.h"

using namespace cuminroad;

BOOST_FIXTURE_TEST_CASE(startsWhatFitsAndNoMore, SchedulerTrial) {
  addVm(makeVm("a", Big));
  Scheduler->addJob(makeJob("j", {makeStep(6, Small)}), makeQueue(),
                    Time.now());
  pass();
  BOOST_CHECK_EQUAL(Starts.size(), 4);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Running);
  end(Starts[0], RunOutcome::Done);
  pass();
  BOOST_CHECK_EQUAL(Starts.size(), 1);
}

BOOST_FIXTURE_TEST_CASE(laterStepWaitsForTheOneBefore, SchedulerTrial) {
  addVm(makeVm("a", Big));
  StepPlan Second = makeStep(1, Small);
  Second.DependsOn = {0};
  Scheduler->addJob(makeJob("j", {makeStep(2, Small), Second}), makeQueue(),
                    Time.now());
  pass();
  const auto First = Starts;
  BOOST_REQUIRE_EQUAL(First.size(), 2);
  end(First[0], RunOutcome::Done);
  pass();
  BOOST_CHECK(Starts.empty());
  end(First[1], RunOutcome::Done);
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Task.Step.Step, 1);
  end(Starts[0], RunOutcome::Done);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Completed);
}

BOOST_FIXTURE_TEST_CASE(urgentQueueGoesFirst, SchedulerTrial) {
  addVm(makeVm("a", Small));
  Scheduler->addJob(makeJob("low", {makeStep(1, Small)}), makeQueue(2),
                    Time.now());
  Scheduler->addJob(makeJob("high", {makeStep(1, Small)}), makeQueue(0),
                    Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Task.Step.Job, "high");
}

BOOST_FIXTURE_TEST_CASE(newWorkGoesBeforeLateWorkOfItsQueue, SchedulerTrial) {
  // Overload: first come, first served would make every job late.
  addVm(makeVm("a", Small));
  Scheduler->addJob(makeJob("old", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  Time.advance(milliseconds(4000)); // past 2 * 1 s + 1 s
  Scheduler->addJob(makeJob("new", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Task.Step.Job, "new");
}

BOOST_FIXTURE_TEST_CASE(hopelessWorkComesLastOfAll, SchedulerTrial) {
  addVm(makeVm("a", Small));
  Scheduler->addJob(makeJob("urgent", {makeStep(1, Small)}), makeQueue(0),
                    Time.now());
  Time.advance(milliseconds(10000)); // past three objectives
  Scheduler->addJob(makeJob("low", {makeStep(1, Small)}), makeQueue(2),
                    Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Task.Step.Job, "low");
}

BOOST_FIXTURE_TEST_CASE(wideGangGetsRoomThoughSmallTasksKeepComing,
                        SchedulerTrial) {
  // Backfill alone would starve a gang that needs two whole VMs.
  const Capacity Whole{4000, 1000, 4};
  addVm(makeVm("a", Whole));
  addVm(makeVm("b", Whole));
  std::vector<StartRun> Running;
  for (int Each = 0; Each < 8; ++Each)
    Scheduler->addJob(makeJob("small" + std::to_string(Each),
                              {makeStep(1, {1000, 100, 1}, 1000)}),
                      makeQueue(2), Time.now());
  pass();
  Running = Starts;
  BOOST_REQUIRE_EQUAL(Running.size(), 8);
  StepPlan Gang = makeStep(2, Whole, 1000);
  Gang.Gang = true;
  Scheduler->addJob(makeJob("gang", {Gang}), makeQueue(1), Time.now());
  bool Started = false;
  for (int Round = 0; Round < 8 && !Started; ++Round) {
    Scheduler->addJob(makeJob("more" + std::to_string(Round),
                              {makeStep(1, {1000, 100, 1}, 1000)}),
                      makeQueue(2), Time.now());
    Time.advance(milliseconds(300));
    end(Running.back(), RunOutcome::Done);
    Running.pop_back();
    pass();
    for (const StartRun &Start : Starts)
      Started = Started || Start.Run.Task.Step.Job == "gang";
  }
  BOOST_CHECK(Started);
}

BOOST_FIXTURE_TEST_CASE(gangStartsWholeUnderOneRun, SchedulerTrial) {
  addVm(makeVm("a", Small));
  StepPlan Gang = makeStep(2, Small);
  Gang.Gang = true;
  Scheduler->addJob(makeJob("g", {Gang}), makeQueue(), Time.now());
  pass();
  BOOST_CHECK(Starts.empty());
  addVm(makeVm("b", Small));
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  BOOST_CHECK_EQUAL(Starts[0].Run.Number, Starts[1].Run.Number);
  // One refused member takes the other with it; both start again, higher.
  accept(Starts[1]);
  const auto First = Starts;
  Scheduler->startAnswered(First[0].Vm, First[0].Run, StartOutcome::Refused);
  pass();
  BOOST_REQUIRE_EQUAL(Stops.size(), 1);
  end(First[1], RunOutcome::Stopped);
  Time.advance(milliseconds(500));
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  BOOST_CHECK_EQUAL(Starts[0].Run.Number, 2);
  BOOST_CHECK_EQUAL(Starts[1].Run.Number, 2);
  // One end as done stands for all.
  end(Starts[0], RunOutcome::Done);
  BOOST_CHECK(Scheduler->stage("g") == JobStage::Completed);
}

BOOST_FIXTURE_TEST_CASE(labelsRacksAndSpreadAreKept, SchedulerTrial) {
  addVm(makeVm("a", Big, {"x", "r1"}));
  addVm(makeVm("b", Big, {"y", "r2"}));
  addVm(makeVm("c", Big, {"y", "r1"}));
  StepPlan Step = makeStep(4, Small);
  Step.RequiredLabel = "y";
  Step.MaxPerVm = 1;
  Scheduler->addJob(makeJob("j", {Step}), makeQueue(), Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  BOOST_CHECK(Starts[0].Vm != Starts[1].Vm);
  for (const StartRun &Start : Starts)
    BOOST_CHECK(Start.Vm != "a");
}

BOOST_FIXTURE_TEST_CASE(workGoesNearItsData, SchedulerTrial) {
  Options.RemoteFactor = 2;
  Scheduler = makePoolScheduler(Time, Wall, Options);
  addVm(makeVm("a", Big, {"r1"}));
  addVm(makeVm("b", Big, {"r2"}));
  StepPlan Step = makeStep(2, Small);
  Step.DataRack = "r2";
  Scheduler->addJob(makeJob("j", {Step}), makeQueue(), Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  for (const StartRun &Start : Starts)
    BOOST_CHECK_EQUAL(Start.Vm, "b");
}

BOOST_FIXTURE_TEST_CASE(occurrencesStartWhenTheyAreDue, SchedulerTrial) {
  addVm(makeVm("a", Big));
  JobPlan Plan = makeJob("j", {makeStep(1, Small)});
  Plan.Occurrences = 2;
  Plan.FirstDue = Wall.Now + milliseconds(1000);
  Plan.Interval = milliseconds(500);
  Scheduler->addJob(Plan, makeQueue(), Time.now());
  pass();
  BOOST_CHECK(Starts.empty());
  Wall.Now += milliseconds(1000);
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  end(Starts[0], RunOutcome::Done);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Running);
  Wall.Now += milliseconds(500);
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Task.Step.Occurrence, 1);
  end(Starts[0], RunOutcome::Done);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Completed);
}
