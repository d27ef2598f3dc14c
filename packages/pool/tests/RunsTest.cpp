// Runs: how they end, get lost, are stopped and begin again.

#include <boost/test/unit_test.hpp>

#include "SchedulerTrial.h"

using namespace cuminroad;

BOOST_FIXTURE_TEST_CASE(gangMembersShareOneCheckpoint, SchedulerTrial) {
  addVm(makeVm("a", Big));
  StepPlan Gang = makeStep(2, Small);
  Gang.Gang = true;
  Gang.Checkpointing = true;
  Scheduler->addJob(makeJob("g", {Gang}), makeQueue(), Time.now());
  pass();
  const auto First = Starts;
  for (const StartRun &Start : First)
    accept(Start);
  report("a", {RunningTask{First[0].Run, "save1", 50, 0},
               RunningTask{First[1].Run, "", 50, 0}});
  end(First[0], RunOutcome::GangBroken);
  end(First[1], RunOutcome::Failed);
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  BOOST_CHECK_EQUAL(Starts[0].Checkpoint, "save1");
  BOOST_CHECK_EQUAL(Starts[1].Checkpoint, "save1");
}

BOOST_FIXTURE_TEST_CASE(jobFailsAfterItsAttempts, SchedulerTrial) {
  addVm(makeVm("a", Big));
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  end(Starts.at(0), RunOutcome::Failed);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Running);
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Number, 2);
  end(Starts[0], RunOutcome::Failed);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Failed);
  pass();
  BOOST_CHECK(Starts.empty());
}

BOOST_FIXTURE_TEST_CASE(lapsedRunsAreNoAttempts, SchedulerTrial) {
  addVm(makeVm("a", Big));
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  for (int Round = 0; Round < 5; ++Round) {
    pass();
    BOOST_REQUIRE_EQUAL(Starts.size(), 1);
    end(Starts[0], RunOutcome::LeaseLapsed);
  }
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Running);
}

BOOST_FIXTURE_TEST_CASE(refusalOfARepeatLeavesTheRunToTheLists,
                        SchedulerTrial) {
  // The first try was carried out, its answer was lost, and the run is over.
  addVm(makeVm("a", Big));
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  const StartRun First = Starts.at(0);
  Scheduler->startAnswered(First.Vm, First.Run, StartOutcome::OldRun);
  pass();
  BOOST_CHECK(Starts.empty());
  end(First, RunOutcome::Done);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Completed);
}

BOOST_FIXTURE_TEST_CASE(runThatNoListHasIsPlacedAgain, SchedulerTrial) {
  addVm(makeVm("a", Big));
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  // Not answered yet: the start may be on its way.
  report("a", {});
  pass();
  BOOST_CHECK(Starts.empty());
  Scheduler->startAnswered("a", TaskRun{{{"j", 0, 0}, 0}, 1},
                           StartOutcome::Accepted);
  report("a", {});
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Number, 2);
}

BOOST_FIXTURE_TEST_CASE(stoppingTaskKeepsItsRoom, SchedulerTrial) {
  addVm(makeVm("a", Small));
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  const StartRun First = Starts.at(0);
  accept(First);
  Scheduler->cancelJob("j");
  Scheduler->addJob(makeJob("k", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  BOOST_CHECK_EQUAL(Stops.size(), 1);
  BOOST_CHECK(Starts.empty());
  end(First, RunOutcome::Stopped);
  pass();
  BOOST_CHECK_EQUAL(Starts.size(), 1);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Cancelled);
}

BOOST_FIXTURE_TEST_CASE(stopIsRepeatedWhileTheVmListsTheRun, SchedulerTrial) {
  addVm(makeVm("a", Big));
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  const StartRun Started = Starts[0];
  accept(Started);
  Scheduler->cancelJob("j");
  pass();
  BOOST_CHECK_EQUAL(Stops.size(), 1);
  report("a", {RunningTask{Started.Run, "", 50, 0}});
  pass();
  BOOST_REQUIRE_EQUAL(Stops.size(), 1);
  BOOST_CHECK(Stops[0].Run == Started.Run);
  report("a", {});
  pass();
  BOOST_CHECK(Stops.empty());
}

BOOST_FIXTURE_TEST_CASE(cancelledBeforeItWasSentGivesItsRoomBack,
                        SchedulerTrial) {
  addVm(makeVm("a", Small));
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  const StartRun First = Starts.at(0);
  Scheduler->cancelJob("j");
  BOOST_CHECK(!Scheduler->isCurrentRun(First.Vm, First.Run));
  Scheduler->startAnswered(First.Vm, First.Run, StartOutcome::NotSent);
  Scheduler->addJob(makeJob("k", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  BOOST_CHECK_EQUAL(Starts.size(), 1);
}

BOOST_FIXTURE_TEST_CASE(unknownRunOnAVmIsStoppedAndTakesRoom, SchedulerTrial) {
  Scheduler->vmListed(makeVm("a", Small));
  const TaskRun Stranger{{{"gone", 0, 0}, 0}, 3};
  const RunningTask Running{Stranger, "", 10, 0};
  Scheduler->vmReported("a", 1, std::span(&Running, 1), Time.now());
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  BOOST_CHECK_EQUAL(Stops.size(), 1);
  BOOST_CHECK(Starts.empty());
  Scheduler->taskEnded("a", TaskEnd{1, Stranger, RunOutcome::Stopped, ""});
  pass();
  BOOST_CHECK_EQUAL(Starts.size(), 1);
}

BOOST_FIXTURE_TEST_CASE(newOwnerKeepsWhatRunsAndRestartsWhatDoesNot,
                        SchedulerTrial) {
  addVm(makeVm("a", Big));
  Scheduler->addJob(makeJob("j", {makeStep(3, Small)}), makeQueue(),
                    Time.now());
  pass();
  const auto Sent = Starts;
  BOOST_REQUIRE_EQUAL(Sent.size(), 3);
  accept(Sent[0]);
  end(Sent[1], RunOutcome::Done);
  const auto Bytes = encodeProgress(Scheduler->progress("j"));
  const auto Known = decodeProgress(Bytes);
  BOOST_REQUIRE(Known);

  SchedulerTrial Next;
  Next.Scheduler->restoreJob(makeJob("j", {makeStep(3, Small)}), makeQueue(),
                             Next.Time.now(), *Known);
  Next.pass();
  BOOST_CHECK(Next.Starts.empty());
  Next.Scheduler->vmListed(makeVm("a", Big));
  const RunningTask Running{Sent[0].Run, "", 10, 0};
  Next.Scheduler->vmReported("a", 1, std::span(&Running, 1), Next.Time.now());
  Next.pass();
  BOOST_REQUIRE_EQUAL(Next.Starts.size(), 1);
  BOOST_CHECK(Next.Starts[0].Run.Task == Sent[2].Run.Task);
  BOOST_CHECK_EQUAL(Next.Starts[0].Run.Number, 2);
}

BOOST_FIXTURE_TEST_CASE(silentVmOfAnEarlierOwnerHoldsItsTasks, SchedulerTrial) {
  JobProgress Known;
  Known.Stage = JobStage::Running;
  Known.Occurrences = {
      {0, false, {{0, false, 0, {{0, false, 0, 1, "a", 1, ""}}}}}};
  Scheduler->restoreJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                        Time.now(), Known);
  addVm(makeVm("b", Big));
  pass();
  BOOST_CHECK(Starts.empty());
  BOOST_CHECK_EQUAL(Scheduler->occupiedVms().size(), 1);
  Scheduler->vmEmptied("a");
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Vm, "b");
  BOOST_CHECK_EQUAL(Starts[0].Run.Number, 2);
}

BOOST_FIXTURE_TEST_CASE(restartedVmHasNothingOfBefore, SchedulerTrial) {
  addVm(makeVm("a", Big));
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  accept(Starts.at(0));
  // A report asked for at this very moment may be from before the start.
  Time.advance(milliseconds(1));
  Scheduler->vmReported("a", 2, {}, Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Number, 2);
}

BOOST_FIXTURE_TEST_CASE(stuckTaskIsMovedElsewhere, SchedulerTrial) {
  addVm(makeVm("a", Small));
  Scheduler->addJob(makeJob("j", {makeStep(1, Small, 500)}), makeQueue(),
                    Time.now());
  pass();
  const StartRun First = Starts.at(0);
  accept(First);
  report("a", {RunningTask{First.Run, "", 10, 0}});
  addVm(makeVm("b", Small));
  Time.advance(Options.StuckAfter);
  report("a", {RunningTask{First.Run, "", 10, 0}});
  pass();
  BOOST_REQUIRE_EQUAL(Stops.size(), 1);
  end(First, RunOutcome::Stopped);
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
}

BOOST_FIXTURE_TEST_CASE(longRunningTaskIsRestartedHoweverItEnds,
                        SchedulerTrial) {
  addVm(makeVm("a", Small));
  StepPlan Step = makeStep(1, Small);
  Step.LongRunning = true;
  Scheduler->addJob(makeJob("j", {Step}), makeQueue(), Time.now());
  for (const RunOutcome Outcome :
       {RunOutcome::Failed, RunOutcome::Failed, RunOutcome::Failed,
        RunOutcome::LeaseLapsed, RunOutcome::Done}) {
    Time.advance(milliseconds(60000));
    pass();
    BOOST_REQUIRE_EQUAL(Starts.size(), 1);
    end(Starts[0], Outcome);
  }
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Running);
}

BOOST_FIXTURE_TEST_CASE(fillersGiveWayToServingTasksOverTarget,
                        SchedulerTrial) {
  addVm(makeVm("a", Big));
  StepPlan Serves = makeStep(1, Small);
  Serves.LongRunning = true;
  Serves.LatencyTarget = milliseconds(100);
  StepPlan BestEffort = makeStep(1, Small, 60000);
  BestEffort.BestEffort = true;
  Scheduler->addJob(makeJob("s", {Serves}), makeQueue(), Time.now());
  Scheduler->addJob(makeJob("f", {BestEffort}), makeQueue(2), Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  const auto Sent = Starts;
  for (const StartRun &Start : Sent)
    accept(Start);
  const auto Tail = [&](double Ms) {
    std::vector<RunningTask> Rows;
    Rows.reserve(Sent.size());
    for (const StartRun &Start : Sent)
      Rows.push_back(RunningTask{Start.Run, "", 100,
                                 Start.Run.Task.Step.Job == "s" ? Ms : 500});
    report("a", Rows);
    pass();
  };
  Tail(50);
  BOOST_CHECK(Paces.empty());
  Tail(150);
  BOOST_REQUIRE_EQUAL(Paces.size(), 1);
  BOOST_CHECK_EQUAL(Paces[0].Run.Task.Step.Job, "f");
  BOOST_CHECK_EQUAL(Paces[0].SpeedPercent, 0);
  Time.advance(milliseconds(20000));
  Tail(50);
  BOOST_REQUIRE_EQUAL(Paces.size(), 1);
  BOOST_CHECK_EQUAL(Paces[0].SpeedPercent, 100);
}

BOOST_FIXTURE_TEST_CASE(cancelledJobThatWaitsIsDropped, SchedulerTrial) {
  // Kept for ever, it cost each pass a look.
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  Scheduler->cancelJob("j");
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Cancelled);
  BOOST_CHECK_EQUAL(Scheduler->load().Jobs, 0);
  BOOST_CHECK_EQUAL(Scheduler->takeChangedJobs().size(), 1);
  Scheduler->forgetJob("j");
  BOOST_CHECK(!Scheduler->stage("j"));
}

BOOST_FIXTURE_TEST_CASE(restartedVmKeepsWhatItsNewLifeRuns, SchedulerTrial) {
  // A start that was sent before the restart was known reached the new life;
  // elsewhere it would be a second run.
  addVm(makeVm("a", Big));
  addVm(makeVm("b", Big));
  Scheduler->addJob(makeJob("j", {makeStep(2, Small)}), makeQueue(),
                    Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  const auto Runs = Starts;
  for (const StartRun &Start : Runs)
    accept(Start);
  Time.advance(milliseconds(10));
  PoolVm Restarted = makeVm(Runs[0].Vm, Big);
  Restarted.Incarnation = 2;
  Scheduler->vmListed(Restarted);
  Scheduler->vmReported(Runs[0].Vm, 2,
                        std::vector{RunningTask{Runs[0].Run, "", 10, 0}},
                        Time.now());
  BOOST_CHECK(Scheduler->isCurrentRun(Runs[0].Vm, Runs[0].Run));
  // The other one is not there.
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK(Starts[0].Run.Task == Runs[1].Run.Task);
  BOOST_CHECK_EQUAL(Scheduler->takeDiagnostics().LostRuns[0].Reason,
                    "vm_restarted");
}

BOOST_FIXTURE_TEST_CASE(startOnItsWayToARestartedVmIsNotPlacedElsewhere,
                        SchedulerTrial) {
  addVm(makeVm("a", Big));
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  const StartRun First = Starts.at(0);
  addVm(makeVm("b", Big));
  Scheduler->vmReported("a", 2, {}, Time.now());
  pass();
  BOOST_CHECK(Starts.empty());
  // The new life took the stop: the run can't begin there any more.
  Scheduler->stopAnswered("a", First.Run);
  Time.advance(milliseconds(10));
  Scheduler->vmReported("a", 2, {}, Time.now());
  pass();
  BOOST_CHECK_EQUAL(Starts.size(), 1);
}

BOOST_FIXTURE_TEST_CASE(runThatEndedBeforeItWasGivenUpCounts, SchedulerTrial) {
  // Pattern: a VM that is cut off ends a run in time, and tells of it after its
  // lease has lapsed. The platform counts that end, so that a second run is
  // wasted and the steps behind wait for it.
  addVm(makeVm("a", Small));
  StepPlan Second = makeStep(1, Small);
  Second.DependsOn = {0};
  Scheduler->addJob(makeJob("j", {makeStep(1, Small), Second}), makeQueue(),
                    Time.now());
  pass();
  const StartRun First = Starts.at(0);
  accept(First);
  Scheduler->vmEmptied("a");
  addVm(makeVm("b", Small));
  pass();
  const StartRun Again = Starts.at(0);
  accept(Again);
  end(First, RunOutcome::Done);
  report("a", {});
  pass();
  BOOST_REQUIRE_EQUAL(Stops.size(), 1);
  BOOST_CHECK(Stops[0].Run == Again.Run);
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Task.Step.Step, 1);
  BOOST_CHECK_EQUAL(Starts[0].Vm, "a");
  // The room of the needless run is free once it has ended.
  BOOST_CHECK_EQUAL(Scheduler->load().UnknownRuns, 1);
  end(Again, RunOutcome::Stopped);
  BOOST_CHECK_EQUAL(Scheduler->load().UnknownRuns, 0);
  end(Starts[0], RunOutcome::Done);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Completed);
}
