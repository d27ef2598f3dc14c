// Tests the ends of runs of gangs, and which failures count as attempts.

#include <boost/test/unit_test.hpp>

#include "SchedulerFixture.h"

using namespace cuminroad;

namespace {

/// A gang of two members, and two VMs with room for one member each.
struct GangFixture : SchedulerFixture {
  GangFixture() {
    Gang.Gang = true;
    addVm(makeVm("a", SmallSize));
    addVm(makeVm("b", SmallSize));
    Scheduler->addJob(makeJob("g", {Gang}), makeQueue(), MonotonicClock.now());
  }
  std::vector<StartRun> startGang() {
    runPass();
    BOOST_REQUIRE_EQUAL(Starts.size(), 2);
    return Starts;
  }

  StepPlan Gang = makeStep(2, SmallSize);
};

} // namespace

BOOST_FIXTURE_TEST_CASE(gangFailureOnAllVmsCountsOnce, GangFixture) {
  for (int Round = 0; Round < 2; ++Round) {
    BOOST_CHECK(Scheduler->stage("g") != JobStage::Failed);
    const auto Members = startGang();
    for (const StartRun &Start : Members)
      endRun(Start, RunOutcome::Failed);
    MonotonicClock.advance(milliseconds(500));
  }
  BOOST_CHECK(Scheduler->stage("g") == JobStage::Failed);
}

BOOST_FIXTURE_TEST_CASE(completionOfAnAbandonedGangRunCounts, GangFixture) {
  const auto First = startGang();
  Scheduler->vmTasksEnded("a", RunsEndedCause::LeaseExpired);
  Scheduler->vmTasksEnded("b", RunsEndedCause::LeaseExpired);
  reportRuns("a", {});
  reportRuns("b", {});
  startGang();
  endRun(First[0], RunOutcome::Done);
  runPass();
  BOOST_CHECK_EQUAL(Stops.size(), 2);
  BOOST_CHECK(Scheduler->stage("g") == JobStage::Completed);
}

BOOST_FIXTURE_TEST_CASE(gangFailureCountsInAnyOrderOfMemberEnds, GangFixture) {
  for (int Round = 0; Round < 2; ++Round) {
    const auto Members = startGang();
    endRun(Members[0], RunOutcome::GangBroken);
    endRun(Members[1], RunOutcome::Failed);
    MonotonicClock.advance(milliseconds(500));
  }
  BOOST_CHECK(Scheduler->stage("g") == JobStage::Failed);
}

BOOST_FIXTURE_TEST_CASE(failedGangRunIsKnownAfterOwnerChange, GangFixture) {
  startGang();
  endRun(Starts[0], RunOutcome::Failed);
  const auto Restored =
      decodeProgress(encodeProgress(Scheduler->progress("g")));
  BOOST_REQUIRE(Restored);
  SchedulerFixture NextOwner;
  NextOwner.Scheduler->restoreJob(makeJob("g", {Gang}), makeQueue(),
                                  NextOwner.MonotonicClock.now(), *Restored);
  NextOwner.endRun(Starts[1], RunOutcome::Failed);
  BOOST_CHECK(NextOwner.Scheduler->stage("g") != JobStage::Failed);
}
