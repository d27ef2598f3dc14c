// What becomes of runs that an earlier owner recorded.

#include <boost/test/unit_test.hpp>

#include "SchedulerFixture.h"

using namespace cuminroad;

namespace {

/// The progress of a job with one task, whose first run is on VM "a".
JobProgress progressOnVm(std::int64_t Incarnation) {
  TaskProgress Task;
  Task.Run = 1;
  Task.Vm = "a";
  Task.VmIncarnation = Incarnation;
  JobProgress Out;
  Out.Stage = JobStage::Running;
  Out.Occurrences = {
      OccurrenceProgress{0, false, {StepProgress{0, false, 0, {Task}, 0}}}};
  return Out;
}

} // namespace

// Guards against a second run of a task after a takeover: the records of two
// jobs name different incarnations of a VM, and the newer one runs a task.
BOOST_FIXTURE_TEST_CASE(recordsOfTwoIncarnationsLoseNoRun, SchedulerFixture) {
  addVm(makeVm("b", BigSize));
  for (const auto &[Job, Incarnation] :
       {std::pair{"j1", 1}, std::pair{"j2", 2}, std::pair{"j3", 1}})
    Scheduler->restoreJob(makeJob(Job, {makeStep(1, SmallSize)}), makeQueue(),
                          MonotonicClock.now(), progressOnVm(Incarnation));
  runPass();
  BOOST_CHECK(Starts.empty());
  PoolVm Vm = makeVm("a", BigSize);
  Vm.Incarnation = 2;
  Scheduler->vmListed(Vm);
  MonotonicClock.advance(milliseconds(10));
  const TaskRun Left{{{"j2", 0, 0}, 0}, 1};
  Scheduler->vmReported(
      "a", 2, RunReport::complete(std::vector{RunningTask{Left, "", 10, 0}}),
      MonotonicClock.now());
  BOOST_CHECK(Scheduler->isCurrentRun("a", Left));
  runPass();
  BOOST_CHECK_EQUAL(Starts.size(), 2);
  for (const StartRun &Start : Starts)
    BOOST_CHECK(Start.Run.Task.Step.Job != "j2");
}

// Guards against records that name an incarnation on which the run never was:
// an older entry of its VM has been read since.
BOOST_FIXTURE_TEST_CASE(recordNamesTheIncarnationOfTheRun, SchedulerFixture) {
  PoolVm Vm = makeVm("a", BigSize);
  Vm.Incarnation = 2;
  addVm(Vm);
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  acceptStart(Starts.at(0));
  Vm.Incarnation = 1;
  Scheduler->vmListed(Vm);
  const JobProgress Progress = Scheduler->progress("j");
  BOOST_CHECK_EQUAL(
      Progress.Occurrences.at(0).Steps.at(0).Tasks.at(0).VmIncarnation, 2);
}

// Guards against a run that a takeover counts as lost, and starts again, though
// it is on its VM: it was recorded while the VM had reported its restart, but
// the list still had the earlier incarnation.
BOOST_FIXTURE_TEST_CASE(restoredRunOnARestartedVmIsNotStartedAgain,
                        SchedulerFixture) {
  const QueueTerms Queue = makeQueue();
  const JobPlan Earlier = makeJob("k", {makeStep(2, SmallSize)});
  const JobPlan Later = makeJob("j", {makeStep(1, SmallSize)});
  addVm(makeVm("a", SmallSize));
  addVm(makeVm("b", SmallSize));
  Scheduler->addJob(Earlier, Queue, MonotonicClock.now());
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  const StartRun Kept = Starts[0];
  const StartRun Ended = Starts[1];
  acceptStart(Ended);
  Scheduler->vmUnreachable(Kept.Vm);
  Scheduler->vmReported(Kept.Vm, 2, RunReport::complete({}),
                        MonotonicClock.now());
  // Another VM's entry has changed.
  Scheduler->vmListed(makeVm(Kept.Vm, SmallSize));
  endRun(Ended, RunOutcome::Done);
  const JobProgress EarlierRecord = Scheduler->progress("k");
  Scheduler->takeChangedJobs();
  PoolVm Restarted = makeVm(Kept.Vm, SmallSize * 4);
  Restarted.Incarnation = 2;
  Scheduler->vmListed(Restarted);
  Scheduler->vmReported(Kept.Vm, 2, RunReport::complete({}),
                        MonotonicClock.now());
  acceptStart(Kept);
  BOOST_REQUIRE(Scheduler->isCurrentRun(Kept.Vm, Kept.Run));
  Scheduler->vmUnreachable(Ended.Vm);
  Scheduler->addJob(Later, Queue, MonotonicClock.now());
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  const StartRun Other = Starts[0];
  BOOST_REQUIRE_EQUAL(Other.Vm, Kept.Vm);
  const std::vector<std::string> Changed = Scheduler->takeChangedJobs();
  BOOST_REQUIRE(Changed == std::vector<std::string>{"j"});
  const JobProgress LaterRecord = Scheduler->progress("j");

  Scheduler = makePoolScheduler(MonotonicClock, SystemClock, Options);
  Scheduler->restoreJob(Later, Queue, MonotonicClock.now(), LaterRecord);
  Scheduler->restoreJob(Earlier, Queue, MonotonicClock.now(), EarlierRecord);
  addVm(makeVm("c", SmallSize * 4));
  runPass();
  BOOST_CHECK(Starts.empty());
  Scheduler->vmListed(Restarted);
  MonotonicClock.advance(milliseconds(1));
  const std::vector<RunningTask> Running{RunningTask{Kept.Run, "", 10, 0},
                                         RunningTask{Other.Run, "", 10, 0}};
  Scheduler->vmReported(Kept.Vm, 2, RunReport::complete(Running),
                        MonotonicClock.now());
  runPass();
  BOOST_CHECK(Starts.empty());
  BOOST_CHECK(Scheduler->isCurrentRun(Kept.Vm, Kept.Run));
}

// Guards against a best-effort task that is paused for good: the earlier owner
// had paused it, and the speed of a run is not recorded.
BOOST_FIXTURE_TEST_CASE(speedOfARestoredRunIsOrderedAnew, SchedulerFixture) {
  StepPlan BestEffort = makeStep(1, SmallSize, 60000);
  BestEffort.BestEffort = true;
  Scheduler->restoreJob(makeJob("j", {BestEffort}), makeQueue(),
                        MonotonicClock.now(), progressOnVm(1));
  Scheduler->vmListed(makeVm("a", BigSize));
  reportRuns("a", {RunningTask{TaskRun{{{"j", 0, 0}, 0}, 1}, "", 10, 0}});
  runPass();
  BOOST_REQUIRE_EQUAL(Throttles.size(), 1);
  BOOST_CHECK_EQUAL(Throttles[0].SpeedPercent, 100);
}
