// Tasks that crash each VM that starts them are given up; other tasks, whose
// VMs crash for other reasons, never are.

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "CrashingPool.h"

using namespace cuminroad;

namespace {

/// A task that has crashed three VMs must be started less than three times
/// more.
constexpr int MaxStartsOfDeadlyTask = 5;

bool isFirstTaskOf(const TaskName &Task, std::string_view JobPrefix) {
  return Task.Step.Job.starts_with(JobPrefix) && Task.Step.Step == 0 &&
         Task.Index == 0;
}

/// VMs, and a task that crashes each VM that starts it: the first one of a job
/// whose name begins with "bad".
struct DeadlyTaskFixture : CrashingPool {
  DeadlyTaskFixture() {
    IsDeadly = [](const TaskName &Task) { return isFirstTaskOf(Task, "bad"); };
    addVms(8);
  }
};

/// A job of one task, and VMs that are lost under its runs.
struct LossFixture : CrashingPool {
  LossFixture() {
    Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), Queue,
                      MonotonicClock.now());
  }
  /// Loses the same VM six times, which then answers as before.
  void loseUnchangedVm(RunsEndedCause Reason) {
    addVm(makeVm("a", SmallSize));
    for (int Round = 0; Round < 6; ++Round) {
      runPass();
      BOOST_REQUIRE_EQUAL(Starts.size(), 1);
      acceptStart(Starts[0]);
      Scheduler->vmUnreachable("a");
      MonotonicClock.advance(DownTime);
      Scheduler->vmTasksEnded("a", Reason);
      reportRuns("a", {});
    }
  }
  /// Adds a VM that crashes soon after the start, if there is one.
  /// \returns the number of starts.
  int startAndCrash(bool Confirmed) {
    const std::string Vm = fmt::format("vm{}", VmCount++);
    addVm(makeVm(Vm, SmallSize));
    runPass();
    if (Confirmed)
      for (const StartRun &Start : Starts)
        acceptStart(Start);
    MonotonicClock.advance(NoticeDelay);
    Scheduler->vmUnreachable(Vm);
    MonotonicClock.advance(DownTime);
    Scheduler->vmTasksEnded(Vm, RunsEndedCause::AddressReused);
    return static_cast<int>(Starts.size());
  }

  int VmCount = 0;
};

} // namespace

// Guards against a task that crashes VM after VM without end.
BOOST_FIXTURE_TEST_CASE(taskThatCrashesVmsIsGivenUp, DeadlyTaskFixture) {
  submit("bad", {makeStep(4, SmallSize, 700)});
  runFor(milliseconds(40000));
  BOOST_CHECK(stageOf("bad") == JobStage::Failed);
  BOOST_CHECK_LE(mostStarts(), MaxStartsOfDeadlyTask);
}

// Guards against crashes of VMs that keep their ids, which are seen as a new
// incarnation only.
BOOST_FIXTURE_TEST_CASE(taskThatRestartsVmsIsGivenUp, DeadlyTaskFixture) {
  KeepIds = true;
  submit("bad", {makeStep(4, SmallSize, 700)});
  runFor(milliseconds(40000));
  BOOST_CHECK(stageOf("bad") == JobStage::Failed);
  BOOST_CHECK_LE(mostStarts(), MaxStartsOfDeadlyTask);
}

// Guards against tasks that crash their VM some time after their start, so that
// a run is not new any more.
BOOST_FIXTURE_TEST_CASE(taskThatCrashesVmsLateIsGivenUp, DeadlyTaskFixture) {
  CrashDelay = milliseconds(1500);
  submit("bad", {makeStep(4, SmallSize, 3000)});
  runFor(milliseconds(60000));
  BOOST_CHECK(stageOf("bad") == JobStage::Failed);
  BOOST_CHECK_LE(mostStarts(), MaxStartsOfDeadlyTask);
}

BOOST_FIXTURE_TEST_CASE(gangThatCrashesVmsIsGivenUp, DeadlyTaskFixture) {
  StepPlan Gang = makeStep(4, {8000, 1000, 4}, 2000);
  Gang.Gang = true;
  submit("bad", {Gang});
  runFor(milliseconds(60000));
  BOOST_CHECK(stageOf("bad") == JobStage::Failed);
  BOOST_CHECK_LE(mostStarts(), MaxStartsOfDeadlyTask);
}

// Guards against long-running tasks, which are restarted however they end.
BOOST_FIXTURE_TEST_CASE(longRunningTaskThatCrashesVmsIsGivenUp,
                        DeadlyTaskFixture) {
  StepPlan Step = makeStep(3, SmallSize);
  Step.LongRunning = true;
  submit("bad", {Step});
  submit("good", {Step});
  runFor(milliseconds(60000));
  BOOST_CHECK(stageOf("bad") == JobStage::Failed);
  BOOST_CHECK(stageOf("good") == JobStage::Running);
  BOOST_CHECK_LE(mostStarts(), MaxStartsOfDeadlyTask);
}

// Guards against an owner that forgets the crashes that earlier owners saw, or
// did not live to see.
BOOST_FIXTURE_TEST_CASE(crashesAreCountedOverTakeovers, DeadlyTaskFixture) {
  submit("bad", {makeStep(4, SmallSize, 700)});
  for (int Round = 0; Round < 30; ++Round) {
    runFor(milliseconds(1700));
    takeOver();
  }
  BOOST_CHECK(stageOf("bad") == JobStage::Failed);
  BOOST_CHECK_LE(mostStarts(), MaxStartsOfDeadlyTask);
}

// Load: a busy pool, one job in ten has a task that crashes VMs. Guards against
// giving up the jobs that lose runs beside such a task.
BOOST_FIXTURE_TEST_CASE(neighboursOfCrashingTasksAreNotGivenUp, CrashingPool) {
  IsDeadly = [](const TaskName &Task) { return isFirstTaskOf(Task, "bad"); };
  addVms(35);
  std::vector<std::string> Good;
  for (int Number = 0; Number < 400; ++Number) {
    const bool Bad = Number % 10 == 3;
    const std::string Job = fmt::format("{}{}", Bad ? "bad" : "good", Number);
    StepPlan Second = makeStep(3, {1500, 100, 0}, 700);
    Second.DependsOn = {0};
    submit(Job, {makeStep(6, {1500, 100, 0}, 700), Second});
    if (!Bad)
      Good.push_back(Job);
    runFor(milliseconds(70));
  }
  runFor(milliseconds(60000));
  for (const std::string &Job : Good)
    BOOST_CHECK_MESSAGE(stageOf(Job) == JobStage::Completed, Job);
  for (int Number = 3; Number < 400; Number += 10)
    BOOST_CHECK(stageOf(fmt::format("bad{}", Number)) == JobStage::Failed);
  BOOST_CHECK_LE(mostStarts(), MaxStartsOfDeadlyTask);
  // Two crashes show that it is the task.
  BOOST_CHECK_LE(Crashes, 40 * 3);
}

// Guards against giving up jobs because their VM crashes again and again for
// reasons of its own.
BOOST_FIXTURE_TEST_CASE(crashingHostGivesUpNoJob, CrashingPool) {
  addVms(3);
  StepPlan Service = makeStep(6, {4000, 100, 0});
  Service.LongRunning = true;
  submit("service", {Service});
  for (int Round = 0; Round < 20; ++Round) {
    submit(fmt::format("good{}", Round), {makeStep(12, SmallSize, 2000)});
    runFor(milliseconds(4500));
    crash("host0");
  }
  runFor(milliseconds(30000));
  BOOST_CHECK(stageOf("service") == JobStage::Running);
  for (int Round = 0; Round < 20; ++Round)
    BOOST_CHECK(stageOf(fmt::format("good{}", Round)) == JobStage::Completed);
}

// Guards against giving up jobs that lose runs in several racks' power
// failures.
BOOST_FIXTURE_TEST_CASE(rackThatLosesPowerGivesUpNoJob, CrashingPool) {
  addVms(20, 4);
  StepPlan Service = makeStep(30, {4000, 100, 0});
  Service.LongRunning = true;
  submit("service", {Service});
  for (int Round = 0; Round < 10; ++Round) {
    submit(fmt::format("good{}", Round), {makeStep(40, SmallSize, 2000)});
    runFor(milliseconds(300));
    for (int Vm = Round % 4; Vm < 20; Vm += 4)
      crash(fmt::format("host{}", Vm));
    runFor(milliseconds(4000));
  }
  runFor(milliseconds(30000));
  BOOST_CHECK(stageOf("service") == JobStage::Running);
  for (int Round = 0; Round < 10; ++Round)
    BOOST_CHECK(stageOf(fmt::format("good{}", Round)) == JobStage::Completed);
}

// Guards against taking a VM behind a network partition for a crashed one.
BOOST_FIXTURE_TEST_CASE(unreachableVmIsNoCrash, LossFixture) {
  loseUnchangedVm(RunsEndedCause::LeaseExpired);
  BOOST_CHECK(stageOf("j") == JobStage::Running);
}

// Guards against taking a partition that rejects connections for a crash: the
// VM answers again, and its incarnation has not changed.
BOOST_FIXTURE_TEST_CASE(crashIsWithdrawnIfTheVmAnswersUnchanged, LossFixture) {
  loseUnchangedVm(RunsEndedCause::ConnectionsRefused);
  BOOST_CHECK(stageOf("j") == JobStage::Running);
  BOOST_CHECK_EQUAL(Scheduler->progress("j")
                        .Occurrences.at(0)
                        .Steps.at(0)
                        .Tasks.at(0)
                        .Crashes,
                    0);
}

// Guards against a silent VM of which only its restart tells that it crashed.
BOOST_FIXTURE_TEST_CASE(restartAfterAnExpiredLeaseIsACrash, CrashingPool) {
  PoolVm Vm = makeVm("a", SmallSize);
  addVm(Vm);
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), Queue,
                    MonotonicClock.now());
  int StartCount = 0;
  for (int Round = 0; Round < 12; ++Round) {
    runPass();
    StartCount += static_cast<int>(Starts.size());
    if (!Starts.empty())
      acceptStart(Starts[0]);
    Scheduler->vmUnreachable("a");
    MonotonicClock.advance(DownTime);
    Scheduler->vmTasksEnded("a", RunsEndedCause::LeaseExpired);
    ++Vm.Incarnation;
    Scheduler->vmListed(Vm);
    Scheduler->vmReported("a", Vm.Incarnation, RunReport::complete({}),
                          MonotonicClock.now());
  }
  BOOST_CHECK(stageOf("j") == JobStage::Failed);
  BOOST_CHECK_LE(StartCount, MaxStartsOfDeadlyTask);
}

// Guards against taking the planned end of a VM for a crash.
BOOST_FIXTURE_TEST_CASE(endOfALeavingVmIsNoCrash, CrashingPool) {
  addVm(makeVm("a", SmallSize));
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), Queue,
                    MonotonicClock.now());
  runPass();
  acceptStart(Starts.at(0));
  PoolVm Leaving = makeVm("a", SmallSize);
  Leaving.Leaving = true;
  Scheduler->vmListed(Leaving);
  Scheduler->vmUnreachable("a");
  Scheduler->vmTasksEnded("a", RunsEndedCause::ConnectionsRefused);
  BOOST_CHECK(Scheduler->takeDiagnostics().Crashes.empty());
}

// Guards against giving up a job for crashes before which its starts may not
// have reached the VM: the job was shown as failed after a single crash.
BOOST_FIXTURE_TEST_CASE(unconfirmedStartsGiveUpNoJob, LossFixture) {
  BOOST_REQUIRE_EQUAL(startAndCrash(true), 1);
  BOOST_REQUIRE_EQUAL(startAndCrash(false), 1);
  BOOST_CHECK(stageOf("j") == JobStage::Running);
  BOOST_REQUIRE_EQUAL(startAndCrash(true), 1);
  BOOST_CHECK(stageOf("j") == JobStage::Failed);
}

// Guards against tasks whose starts are never confirmed, because the VM is gone
// before its answer arrives.
BOOST_FIXTURE_TEST_CASE(taskWithoutConfirmedStartsIsGivenUp, LossFixture) {
  int StartCount = 0;
  for (int Round = 0; Round < 12; ++Round)
    StartCount += startAndCrash(false);
  BOOST_CHECK(stageOf("j") == JobStage::Failed);
  BOOST_CHECK_LE(StartCount, MaxStartsOfDeadlyTask);
}

// Guards against a failed job that doesn't say why.
BOOST_FIXTURE_TEST_CASE(failedJobTellsItsReason, DeadlyTaskFixture) {
  submit("bad", {makeStep(4, SmallSize, 700)});
  runFor(milliseconds(40000));
  BOOST_CHECK(Scheduler->failure("bad") == JobFailure::CrashedVms);
  takeOver();
  BOOST_CHECK(stageOf("bad") == JobStage::Failed);
  BOOST_CHECK(Scheduler->failure("bad") == JobFailure::CrashedVms);
}
