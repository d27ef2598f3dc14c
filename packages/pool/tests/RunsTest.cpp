// Tests how runs end, are lost, are stopped and are started again.

#include <boost/test/unit_test.hpp>

#include "SchedulerFixture.h"

using namespace cuminroad;

BOOST_FIXTURE_TEST_CASE(gangMembersRestartFromOneCheckpoint, SchedulerFixture) {
  addVm(makeVm("a", BigSize));
  StepPlan Gang = makeStep(2, SmallSize);
  Gang.Gang = true;
  Gang.Checkpointing = true;
  Scheduler->addJob(makeJob("g", {Gang}), makeQueue(), MonotonicClock.now());
  runPass();
  const auto First = Starts;
  for (const StartRun &Start : First)
    acceptStart(Start);
  reportRuns("a", {RunningTask{First[0].Run, "save1", 50, 0},
                   RunningTask{First[1].Run, "", 50, 0}});
  endRun(First[0], RunOutcome::GangBroken);
  endRun(First[1], RunOutcome::Failed);
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  BOOST_CHECK_EQUAL(Starts[0].Checkpoint, "save1");
  BOOST_CHECK_EQUAL(Starts[1].Checkpoint, "save1");
}

BOOST_FIXTURE_TEST_CASE(jobFailsAfterMaxAttempts, SchedulerFixture) {
  addVm(makeVm("a", BigSize));
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  endRun(Starts.at(0), RunOutcome::Failed);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Running);
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Number, 2);
  endRun(Starts[0], RunOutcome::Failed);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Failed);
  runPass();
  BOOST_CHECK(Starts.empty());
}

// Guards against a count of waiting jobs that is too low while VMs are cut off:
// a job whose start was sent, but not carried out, still waits.
BOOST_FIXTURE_TEST_CASE(jobIsPendingUntilAStartIsCarriedOut, SchedulerFixture) {
  addVm(makeVm("a", SmallSize));
  const QueueTerms Queue = makeQueue();
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), Queue,
                    MonotonicClock.now());
  BOOST_CHECK_EQUAL(Scheduler->pendingJobs(Queue.Name), 1);
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Scheduler->pendingJobs(Queue.Name), 1);
  Scheduler->startAnswered("a", Starts[0].Run, StartOutcome::Refused);
  BOOST_CHECK_EQUAL(Scheduler->pendingJobs(Queue.Name), 1);
  MonotonicClock.advance(Options.RefusedStartDelay);
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  acceptStart(Starts[0]);
  BOOST_CHECK_EQUAL(Scheduler->pendingJobs(Queue.Name), 0);
}

BOOST_FIXTURE_TEST_CASE(recordedRunIsPendingUntilAVmReportsIt,
                        SchedulerFixture) {
  addVm(makeVm("a", SmallSize));
  const QueueTerms Queue = makeQueue();
  JobProgress Progress;
  Progress.Stage = JobStage::Running;
  Progress.Occurrences = {
      OccurrenceProgress{0, false, {StepProgress{0, false, 0, {}, 0}}}};
  TaskProgress Task;
  Task.Run = 1;
  Task.Vm = "a";
  Task.VmIncarnation = 1;
  Progress.Occurrences[0].Steps[0].Tasks = {Task};
  Scheduler->restoreJob(makeJob("j", {makeStep(1, SmallSize)}), Queue,
                        MonotonicClock.now(), Progress);
  BOOST_CHECK_EQUAL(Scheduler->pendingJobs(Queue.Name), 1);
  reportRuns("a", {RunningTask{TaskRun{{{"j", 0, 0}, 0}, 1}, "", 10, 0}});
  BOOST_CHECK_EQUAL(Scheduler->pendingJobs(Queue.Name), 0);
}

BOOST_FIXTURE_TEST_CASE(lapsedRunsDoNotCountAsAttempts, SchedulerFixture) {
  addVm(makeVm("a", BigSize));
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  for (int Round = 0; Round < 5; ++Round) {
    runPass();
    BOOST_REQUIRE_EQUAL(Starts.size(), 1);
    endRun(Starts[0], RunOutcome::LeaseExpired);
  }
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Running);
}

BOOST_FIXTURE_TEST_CASE(staleStartResponseKeepsTheRun, SchedulerFixture) {
  // The first attempt to send the start reached the VM, its response was lost,
  // and the run has ended since.
  addVm(makeVm("a", BigSize));
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  const StartRun First = Starts.at(0);
  Scheduler->startAnswered(First.Vm, First.Run, StartOutcome::OldRun);
  runPass();
  BOOST_CHECK(Starts.empty());
  endRun(First, RunOutcome::Done);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Completed);
}

BOOST_FIXTURE_TEST_CASE(runMissingFromReportIsPlacedAgain, SchedulerFixture) {
  addVm(makeVm("a", BigSize));
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  // No response yet: the start may still reach the VM.
  reportRuns("a", {});
  runPass();
  BOOST_CHECK(Starts.empty());
  Scheduler->startAnswered("a", TaskRun{{{"j", 0, 0}, 0}, 1},
                           StartOutcome::Accepted);
  reportRuns("a", {});
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Number, 2);
}

BOOST_FIXTURE_TEST_CASE(stoppingTaskKeepsItsCapacity, SchedulerFixture) {
  addVm(makeVm("a", SmallSize));
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  const StartRun First = Starts.at(0);
  acceptStart(First);
  Scheduler->cancelJob("j");
  Scheduler->addJob(makeJob("k", {makeStep(1, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  BOOST_CHECK_EQUAL(Stops.size(), 1);
  BOOST_CHECK(Starts.empty());
  endRun(First, RunOutcome::Stopped);
  runPass();
  BOOST_CHECK_EQUAL(Starts.size(), 1);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Cancelled);
}

BOOST_FIXTURE_TEST_CASE(stopIsRepeatedWhileTheVmReportsTheRun,
                        SchedulerFixture) {
  addVm(makeVm("a", BigSize));
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  const StartRun Started = Starts[0];
  acceptStart(Started);
  Scheduler->cancelJob("j");
  runPass();
  BOOST_CHECK_EQUAL(Stops.size(), 1);
  reportRuns("a", {RunningTask{Started.Run, "", 50, 0}});
  runPass();
  BOOST_REQUIRE_EQUAL(Stops.size(), 1);
  BOOST_CHECK(Stops[0].Run == Started.Run);
  reportRuns("a", {});
  runPass();
  BOOST_CHECK(Stops.empty());
}

BOOST_FIXTURE_TEST_CASE(startCancelledBeforeSendingReleasesCapacity,
                        SchedulerFixture) {
  addVm(makeVm("a", SmallSize));
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  const StartRun First = Starts.at(0);
  Scheduler->cancelJob("j");
  BOOST_CHECK(!Scheduler->isCurrentRun(First.Vm, First.Run));
  Scheduler->startAnswered(First.Vm, First.Run, StartOutcome::NotSent);
  Scheduler->addJob(makeJob("k", {makeStep(1, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  BOOST_CHECK_EQUAL(Starts.size(), 1);
}

BOOST_FIXTURE_TEST_CASE(unknownRunIsStoppedAndOccupiesCapacity,
                        SchedulerFixture) {
  Scheduler->vmListed(makeVm("a", SmallSize));
  const TaskRun UnknownRun{{{"gone", 0, 0}, 0}, 3};
  const RunningTask Running{UnknownRun, "", 10, 0};
  Scheduler->vmReported("a", 1, RunReport::complete(std::span(&Running, 1)),
                        MonotonicClock.now());
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  BOOST_CHECK_EQUAL(Stops.size(), 1);
  BOOST_CHECK(Starts.empty());
  Scheduler->taskEnded("a", TaskEnd{1, UnknownRun, RunOutcome::Stopped, ""});
  runPass();
  BOOST_CHECK_EQUAL(Starts.size(), 1);
}

BOOST_FIXTURE_TEST_CASE(newOwnerKeepsRunningTasksAndRestartsOthers,
                        SchedulerFixture) {
  addVm(makeVm("a", BigSize));
  Scheduler->addJob(makeJob("j", {makeStep(3, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  const auto StartedRuns = Starts;
  BOOST_REQUIRE_EQUAL(StartedRuns.size(), 3);
  acceptStart(StartedRuns[0]);
  endRun(StartedRuns[1], RunOutcome::Done);
  const auto Bytes = encodeProgress(Scheduler->progress("j"));
  const auto Restored = decodeProgress(Bytes);
  BOOST_REQUIRE(Restored);

  SchedulerFixture NextOwner;
  NextOwner.Scheduler->restoreJob(makeJob("j", {makeStep(3, SmallSize)}),
                                  makeQueue(), NextOwner.MonotonicClock.now(),
                                  *Restored);
  NextOwner.runPass();
  BOOST_CHECK(NextOwner.Starts.empty());
  NextOwner.Scheduler->vmListed(makeVm("a", BigSize));
  const RunningTask Running{StartedRuns[0].Run, "", 10, 0};
  NextOwner.Scheduler->vmReported("a", 1,
                                  RunReport::complete(std::span(&Running, 1)),
                                  NextOwner.MonotonicClock.now());
  NextOwner.runPass();
  BOOST_REQUIRE_EQUAL(NextOwner.Starts.size(), 1);
  BOOST_CHECK(NextOwner.Starts[0].Run.Task == StartedRuns[2].Run.Task);
  BOOST_CHECK_EQUAL(NextOwner.Starts[0].Run.Number, 2);
}

BOOST_FIXTURE_TEST_CASE(unreachableVmOfEarlierOwnerKeepsItsTasks,
                        SchedulerFixture) {
  JobProgress Restored;
  Restored.Stage = JobStage::Running;
  Restored.Occurrences = {
      {0, false, {{0, false, 0, {{0, false, 0, 1, "a", 1, ""}}}}}};
  Scheduler->restoreJob(makeJob("j", {makeStep(1, SmallSize)}), makeQueue(),
                        MonotonicClock.now(), Restored);
  addVm(makeVm("b", BigSize));
  runPass();
  BOOST_CHECK(Starts.empty());
  BOOST_CHECK_EQUAL(Scheduler->occupiedVms().size(), 1);
  Scheduler->vmTasksEnded("a", RunsEndedCause::LeaseExpired);
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Vm, "b");
  BOOST_CHECK_EQUAL(Starts[0].Run.Number, 2);
}

BOOST_FIXTURE_TEST_CASE(restartedVmLosesItsEarlierRuns, SchedulerFixture) {
  addVm(makeVm("a", BigSize));
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  acceptStart(Starts.at(0));
  // A report requested at the same instant may not include the start yet.
  MonotonicClock.advance(milliseconds(1));
  Scheduler->vmReported("a", 2, RunReport::complete({}), MonotonicClock.now());
  // The capacity of the new incarnation is not listed yet.
  runPass();
  BOOST_CHECK(Starts.empty());
  PoolVm Restarted = makeVm("a", BigSize);
  Restarted.Incarnation = 2;
  addVm(Restarted);
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Number, 2);
}

BOOST_FIXTURE_TEST_CASE(stuckTaskIsMovedElsewhere, SchedulerFixture) {
  addVm(makeVm("a", SmallSize));
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize, 500)}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  const StartRun First = Starts.at(0);
  acceptStart(First);
  reportRuns("a", {RunningTask{First.Run, "", 10, 0}});
  addVm(makeVm("b", SmallSize));
  MonotonicClock.advance(Options.StuckAfter);
  reportRuns("a", {RunningTask{First.Run, "", 10, 0}});
  runPass();
  BOOST_REQUIRE_EQUAL(Stops.size(), 1);
  endRun(First, RunOutcome::Stopped);
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
}

BOOST_FIXTURE_TEST_CASE(longRunningTaskIsRestartedHoweverItEnds,
                        SchedulerFixture) {
  addVm(makeVm("a", SmallSize));
  StepPlan Step = makeStep(1, SmallSize);
  Step.LongRunning = true;
  Scheduler->addJob(makeJob("j", {Step}), makeQueue(), MonotonicClock.now());
  for (const RunOutcome Outcome :
       {RunOutcome::Failed, RunOutcome::Failed, RunOutcome::Failed,
        RunOutcome::LeaseExpired, RunOutcome::Done}) {
    MonotonicClock.advance(milliseconds(60000));
    runPass();
    BOOST_REQUIRE_EQUAL(Starts.size(), 1);
    endRun(Starts[0], Outcome);
  }
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Running);
}

BOOST_FIXTURE_TEST_CASE(bestEffortTasksPauseWhileLatencyTargetIsMissed,
                        SchedulerFixture) {
  addVm(makeVm("a", BigSize));
  StepPlan LatencySensitive = makeStep(1, SmallSize);
  LatencySensitive.LongRunning = true;
  LatencySensitive.LatencyTarget = milliseconds(100);
  StepPlan BestEffort = makeStep(1, SmallSize, 60000);
  BestEffort.BestEffort = true;
  Scheduler->addJob(makeJob("s", {LatencySensitive}), makeQueue(),
                    MonotonicClock.now());
  Scheduler->addJob(makeJob("f", {BestEffort}), makeQueue(2),
                    MonotonicClock.now());
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  const auto StartedRuns = Starts;
  for (const StartRun &Start : StartedRuns)
    acceptStart(Start);
  const auto ReportResponseTime = [&](double Ms) {
    std::vector<RunningTask> Reports;
    Reports.reserve(StartedRuns.size());
    for (const StartRun &Start : StartedRuns)
      Reports.push_back(RunningTask{Start.Run, "", 100,
                                    Start.Run.Task.Step.Job == "s" ? Ms : 500});
    reportRuns("a", Reports);
    runPass();
  };
  ReportResponseTime(50);
  BOOST_CHECK(Throttles.empty());
  ReportResponseTime(150);
  BOOST_REQUIRE_EQUAL(Throttles.size(), 1);
  BOOST_CHECK_EQUAL(Throttles[0].Run.Task.Step.Job, "f");
  BOOST_CHECK_EQUAL(Throttles[0].SpeedPercent, 0);
  MonotonicClock.advance(milliseconds(20000));
  ReportResponseTime(50);
  BOOST_REQUIRE_EQUAL(Throttles.size(), 1);
  BOOST_CHECK_EQUAL(Throttles[0].SpeedPercent, 100);
}

BOOST_FIXTURE_TEST_CASE(cancelledWaitingJobIsRemoved, SchedulerFixture) {
  // If it were kept, each pass would examine it.
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  Scheduler->cancelJob("j");
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Cancelled);
  BOOST_CHECK_EQUAL(Scheduler->load().Jobs, 0);
  BOOST_CHECK_EQUAL(Scheduler->takeChangedJobs().size(), 1);
  Scheduler->forgetJob("j");
  BOOST_CHECK(!Scheduler->stage("j"));
}

BOOST_FIXTURE_TEST_CASE(restartedVmKeepsRunsOfItsNewIncarnation,
                        SchedulerFixture) {
  // A start that was sent before the restart was known reached the new
  // incarnation. Placing the task elsewhere would start a second run.
  addVm(makeVm("a", BigSize));
  addVm(makeVm("b", BigSize));
  Scheduler->addJob(makeJob("j", {makeStep(2, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  const auto Runs = Starts;
  for (const StartRun &Start : Runs)
    acceptStart(Start);
  MonotonicClock.advance(milliseconds(10));
  PoolVm Restarted = makeVm(Runs[0].Vm, BigSize);
  Restarted.Incarnation = 2;
  Scheduler->vmListed(Restarted);
  Scheduler->vmReported(
      Runs[0].Vm, 2,
      RunReport::complete(std::vector{RunningTask{Runs[0].Run, "", 10, 0}}),
      MonotonicClock.now());
  BOOST_CHECK(Scheduler->isCurrentRun(Runs[0].Vm, Runs[0].Run));
  // The other run doesn't exist in the new incarnation.
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK(Starts[0].Run.Task == Runs[1].Run.Task);
  BOOST_CHECK_EQUAL(Scheduler->takeDiagnostics().LostRuns[0].Reason,
                    "vm_restarted");
}

BOOST_FIXTURE_TEST_CASE(startInFlightToARestartedVmIsNotPlacedElsewhere,
                        SchedulerFixture) {
  addVm(makeVm("a", BigSize));
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  const StartRun First = Starts.at(0);
  addVm(makeVm("b", BigSize));
  Scheduler->vmReported("a", 2, RunReport::complete({}), MonotonicClock.now());
  runPass();
  BOOST_CHECK(Starts.empty());
  // The new incarnation accepted the stop: the run can't start there any more.
  Scheduler->stopAnswered("a", First.Run);
  MonotonicClock.advance(milliseconds(10));
  Scheduler->vmReported("a", 2, RunReport::complete({}), MonotonicClock.now());
  runPass();
  BOOST_CHECK_EQUAL(Starts.size(), 1);
}

BOOST_FIXTURE_TEST_CASE(completionOfAnAbandonedRunCounts, SchedulerFixture) {
  // Guards against a needless second run: a disconnected VM completes a run in
  // time but only reports it after its lease has lapsed. The platform counts
  // that completion, so a second run would be wasted and delay the dependent
  // steps.
  addVm(makeVm("a", SmallSize));
  StepPlan Second = makeStep(1, SmallSize);
  Second.DependsOn = {0};
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize), Second}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  const StartRun First = Starts.at(0);
  acceptStart(First);
  Scheduler->vmTasksEnded("a", RunsEndedCause::LeaseExpired);
  addVm(makeVm("b", SmallSize));
  runPass();
  const StartRun Again = Starts.at(0);
  acceptStart(Again);
  endRun(First, RunOutcome::Done);
  reportRuns("a", {});
  runPass();
  BOOST_REQUIRE_EQUAL(Stops.size(), 1);
  BOOST_CHECK(Stops[0].Run == Again.Run);
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Task.Step.Step, 1);
  BOOST_CHECK_EQUAL(Starts[0].Vm, "a");
  // The needless run's capacity is released once it has ended.
  BOOST_CHECK_EQUAL(Scheduler->load().UnknownRuns, 1);
  endRun(Again, RunOutcome::Stopped);
  BOOST_CHECK_EQUAL(Scheduler->load().UnknownRuns, 0);
  endRun(Starts[0], RunOutcome::Done);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Completed);
}

// Guards against a job that isn't counted as waiting though nothing of it has
// begun: it is uncertain whether its only start was carried out.
BOOST_FIXTURE_TEST_CASE(uncertainStartLeavesTheJobPending, SchedulerFixture) {
  addVm(makeVm("a", SmallSize));
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  Scheduler->startAnswered("a", Starts.at(0).Run, StartOutcome::OldRun);
  BOOST_CHECK_EQUAL(Scheduler->pendingJobs("q0"), 1);
  reportRuns("a", {RunningTask{Starts.at(0).Run, "", 10, 0}});
  BOOST_CHECK_EQUAL(Scheduler->pendingJobs("q0"), 0);
}
