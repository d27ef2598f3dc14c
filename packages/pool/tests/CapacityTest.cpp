// The capacities of VMs shrink and grow again while tasks run on them.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "SchedulerFixture.h"

using namespace cuminroad;

namespace {

struct CapacityFixture : SchedulerFixture {
  void list(const std::string &Vm, int Tasks, std::int64_t Incarnation = 1) {
    PoolVm Listed = makeVm(Vm, SmallSize * Tasks);
    Listed.Incarnation = Incarnation;
    Scheduler->vmListed(Listed);
  }
  void submit(const std::string &Job, int Tasks, bool Gang = false) {
    StepPlan Step = makeStep(Tasks, SmallSize);
    Step.Gang = Gang;
    Scheduler->addJob(makeJob(Job, {Step}), Queue, MonotonicClock.now());
  }
  int startCount() {
    runPass();
    return static_cast<int>(Starts.size());
  }
  int wantedStarts(const std::vector<StartRun> &Sent) const {
    return static_cast<int>(
        std::count_if(Sent.begin(), Sent.end(), [this](const StartRun &Start) {
          return Scheduler->isCurrentRun(Start.Vm, Start.Run);
        }));
  }

  QueueTerms Queue = makeQueue();
};

} // namespace

BOOST_FIXTURE_TEST_CASE(shrunkVmGetsNoTasksUntilItHasRoom, CapacityFixture) {
  addVm(makeVm("a", SmallSize * 3));
  submit("j", 3);
  BOOST_REQUIRE_EQUAL(startCount(), 3);
  const std::vector<StartRun> Running = Starts;
  for (const StartRun &Start : Running)
    acceptStart(Start);
  list("a", 1);
  submit("k", 3);
  BOOST_CHECK_EQUAL(startCount(), 0);
  BOOST_CHECK(Stops.empty());
  endRun(Running[0], RunOutcome::Done);
  endRun(Running[1], RunOutcome::Done);
  BOOST_CHECK_EQUAL(startCount(), 0);
  endRun(Running[2], RunOutcome::Done);
  BOOST_CHECK_EQUAL(startCount(), 1);
  list("a", 3);
  BOOST_CHECK_EQUAL(startCount(), 2);
}

// Guards against starts that are sent, or repeated, after their VM's capacity
// has shrunk: their record took long, or they were not answered.
BOOST_FIXTURE_TEST_CASE(unconfirmedStartsOnAShrunkVmAreWithdrawn,
                        CapacityFixture) {
  addVm(makeVm("a", SmallSize * 3));
  submit("j", 3);
  BOOST_REQUIRE_EQUAL(startCount(), 3);
  const std::vector<StartRun> Sent = Starts;
  acceptStart(Sent[0]);
  list("a", 2);
  BOOST_CHECK_EQUAL(wantedStarts(Sent), 2);
  list("a", 0);
  BOOST_CHECK_EQUAL(wantedStarts(Sent), 1);
  runPass();
  // The VM rejects orders that still reach it.
  BOOST_CHECK_EQUAL(Stops.size(), 2);
  BOOST_CHECK(Scheduler->isCurrentRun("a", Sent[0].Run));
  addVm(makeVm("b", SmallSize * 3));
  for (const StartRun &Start : Sent)
    Scheduler->startAnswered("a", Start.Run, StartOutcome::NotSent);
  MonotonicClock.advance(Options.RefusedStartDelay);
  BOOST_CHECK_EQUAL(startCount(), 2);
  for (const StartRun &Start : Starts)
    BOOST_CHECK_EQUAL(Start.Vm, "b");
}

// Guards against a gang of which a part is withdrawn: the other members would
// wait on their VMs.
BOOST_FIXTURE_TEST_CASE(gangOnAShrunkVmIsWithdrawnWhole, CapacityFixture) {
  addVm(makeVm("a", SmallSize * 2));
  addVm(makeVm("b", SmallSize * 2));
  submit("j", 4, true);
  BOOST_REQUIRE_EQUAL(startCount(), 4);
  const std::vector<StartRun> Sent = Starts;
  list("a", 1);
  BOOST_CHECK_EQUAL(wantedStarts(Sent), 0);
}

// Guards against a gang on a VM that is over its capacity in a dimension which
// the gang doesn't need.
BOOST_FIXTURE_TEST_CASE(gangAvoidsVmThatIsOverItsCapacity, CapacityFixture) {
  constexpr Capacity Accelerated{1000, 100, 2};
  constexpr Capacity Shrunk{8000, 800, 1};
  addVm(makeVm("a", {8000, 800, 2}));
  Scheduler->addJob(makeJob("j", {makeStep(1, Accelerated)}), Queue,
                    MonotonicClock.now());
  BOOST_REQUIRE_EQUAL(startCount(), 1);
  acceptStart(Starts[0]);
  Scheduler->vmListed(makeVm("a", Shrunk));
  submit("k", 2, true);
  BOOST_CHECK_EQUAL(startCount(), 0);
}

// Guards against the use of the capacity of an earlier incarnation, which may
// have been of another kind.
BOOST_FIXTURE_TEST_CASE(restartedVmGetsNoTasksBeforeItIsListed,
                        CapacityFixture) {
  addVm(makeVm("a", SmallSize * 3));
  submit("j", 3);
  Scheduler->vmReported("a", 2, RunReport::complete({}), MonotonicClock.now());
  BOOST_CHECK_EQUAL(startCount(), 0);
  list("a", 1, 2);
  Scheduler->vmReported("a", 2, RunReport::complete({}), MonotonicClock.now());
  BOOST_CHECK_EQUAL(startCount(), 1);
}

// Guards against capacity that is used again while a start may still be carried
// out: its task ended in an earlier run, and the start is not answered yet.
BOOST_FIXTURE_TEST_CASE(givenUpStartCountsUntilItIsSettled, CapacityFixture) {
  addVm(makeVm("a", SmallSize));
  submit("j", 1);
  BOOST_REQUIRE_EQUAL(startCount(), 1);
  const StartRun First = Starts[0];
  acceptStart(First);
  Scheduler->vmUnreachable("a");
  Scheduler->vmTasksEnded("a", RunsEndedCause::LeaseExpired);
  addVm(makeVm("b", SmallSize));
  BOOST_REQUIRE_EQUAL(startCount(), 1);
  const StartRun Second = Starts[0];
  BOOST_REQUIRE_EQUAL(Second.Vm, "b");
  endRun(First, RunOutcome::Done);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Completed);
  // The report was requested before the start could reach the VM.
  reportRuns("b", {});
  submit("k", 1);
  BOOST_CHECK_EQUAL(startCount(), 0);
  // From now on the VM rejects the start.
  Scheduler->stopAnswered("b", Second.Run);
  reportRuns("b", {});
  BOOST_CHECK_EQUAL(startCount(), 1);
}

// Guards against starts by a capacity that the VM listed before it was cut off
// from the store, and may have reduced since.
BOOST_FIXTURE_TEST_CASE(vmWithAnOldCapacityGetsNoTasks, CapacityFixture) {
  Scheduler->setStartDelay(milliseconds(0));
  addVm(makeVm("a", SmallSize * 4));
  Scheduler->vmCapacityAge("a", Options.MaxCapacityAge);
  submit("j", 1);
  BOOST_CHECK_EQUAL(startCount(), 1);
  MonotonicClock.advance(milliseconds(1));
  submit("k", 1);
  submit("gang", 2, true);
  BOOST_CHECK_EQUAL(startCount(), 0);
  Scheduler->vmCapacityAge("a", milliseconds(0));
  BOOST_CHECK_EQUAL(startCount(), 3);
}

// Guards against starts that are sent in time, but reach the VM too late.
BOOST_FIXTURE_TEST_CASE(capacityMustBeValidWhenTheStartArrives,
                        CapacityFixture) {
  Scheduler->setStartDelay(milliseconds(500));
  addVm(makeVm("a", SmallSize));
  submit("j", 1);
  Scheduler->vmCapacityAge("a", Options.MaxCapacityAge - milliseconds(400));
  BOOST_CHECK_EQUAL(startCount(), 0);
  Scheduler->vmCapacityAge("a", Options.MaxCapacityAge - milliseconds(500));
  BOOST_CHECK_EQUAL(startCount(), 1);
}

// Guards against a step that waits without end for a VM that may not be used,
// while small tasks keep taking the room that it needs on another.
BOOST_FIXTURE_TEST_CASE(noStepWaitsForAVmWithAnOldCapacity, CapacityFixture) {
  Scheduler->setStartDelay(milliseconds(0));
  addVm(makeVm("a", SmallSize * 2));
  addVm(makeVm("b", SmallSize * 2));
  Scheduler->vmCapacityAge("a", Options.MaxCapacityAge + milliseconds(1));
  Scheduler->vmCapacityAge("b", milliseconds(0));
  submit("j", 2);
  BOOST_REQUIRE_EQUAL(startCount(), 2);
  const std::vector<StartRun> Running = Starts;
  for (const StartRun &Start : Running)
    acceptStart(Start);
  Scheduler->addJob(makeJob("large", {makeStep(1, SmallSize * 2)}), Queue,
                    MonotonicClock.now());
  BOOST_CHECK_EQUAL(startCount(), 0);
  submit("small", 4);
  endRun(Running[0], RunOutcome::Done);
  BOOST_CHECK_EQUAL(startCount(), 0);
  endRun(Running[1], RunOutcome::Done);
  runPass();
  BOOST_REQUIRE(!Starts.empty());
  BOOST_CHECK_EQUAL(Starts[0].Run.Task.Step.Job, "large");
}

// Guards against a start that is sent to a VM that has restarted as one of
// another kind since the start was decided.
BOOST_FIXTURE_TEST_CASE(startsThatARestartedVmCannotHostAreWithdrawn,
                        CapacityFixture) {
  PoolVm Vm = makeVm("a", SmallSize * 2, {"kind1"});
  addVm(Vm);
  StepPlan Step = makeStep(1, SmallSize);
  Step.RequiredLabel = "kind1";
  Scheduler->addJob(makeJob("j", {Step}), Queue, MonotonicClock.now());
  BOOST_REQUIRE_EQUAL(startCount(), 1);
  const std::vector<StartRun> Sent = Starts;
  Vm.Incarnation = 2;
  Vm.Labels = {"kind2"};
  Scheduler->vmReported("a", 2, RunReport::complete({}), MonotonicClock.now());
  Scheduler->vmListed(Vm);
  Scheduler->vmReported("a", 2, RunReport::complete({}), MonotonicClock.now());
  BOOST_CHECK_EQUAL(wantedStarts(Sent), 0);
}

// Guards against starts that are withheld for as long as the store is slow,
// though VMs list their capacity again before the starts are sent.
BOOST_FIXTURE_TEST_CASE(slowRecordsDoNotWithholdAllStarts, CapacityFixture) {
  Scheduler->setStartDelay(Options.MaxCapacityAge + milliseconds(1));
  addVm(makeVm("a", SmallSize));
  Scheduler->vmCapacityAge("a", milliseconds(0));
  submit("j", 1);
  BOOST_CHECK_EQUAL(startCount(), 1);
}
