// How the runs of a gang end, and what counts against its attempts.

#include <boost/test/unit_test.hpp>

#include "SchedulerTrial.h"

using namespace cuminroad;

namespace {

/// A gang of two, and two VMs with room for one member each.
struct GangTrial : SchedulerTrial {
  GangTrial() {
    Gang.Gang = true;
    addVm(makeVm("a", Small));
    addVm(makeVm("b", Small));
    Scheduler->addJob(makeJob("g", {Gang}), makeQueue(), Time.now());
  }
  std::vector<StartRun> startGang() {
    pass();
    BOOST_REQUIRE_EQUAL(Starts.size(), 2);
    return Starts;
  }

  StepPlan Gang = makeStep(2, Small);
};

} // namespace

BOOST_FIXTURE_TEST_CASE(gangThatFailsOnAllItsVmsHasFailedOnce, GangTrial) {
  for (int Round = 0; Round < 2; ++Round) {
    BOOST_CHECK(Scheduler->stage("g") != JobStage::Failed);
    const auto Members = startGang();
    for (const StartRun &Start : Members)
      end(Start, RunOutcome::Failed);
    Time.advance(milliseconds(500));
  }
  BOOST_CHECK(Scheduler->stage("g") == JobStage::Failed);
}

BOOST_FIXTURE_TEST_CASE(gangRunThatEndedBeforeItWasGivenUpCounts, GangTrial) {
  const auto First = startGang();
  Scheduler->vmEmptied("a");
  Scheduler->vmEmptied("b");
  report("a", {});
  report("b", {});
  startGang();
  end(First[0], RunOutcome::Done);
  pass();
  BOOST_CHECK_EQUAL(Stops.size(), 2);
  BOOST_CHECK(Scheduler->stage("g") == JobStage::Completed);
}

BOOST_FIXTURE_TEST_CASE(gangCountsAFailureInWhateverOrderItsMembersEnd,
                        GangTrial) {
  for (int Round = 0; Round < 2; ++Round) {
    const auto Members = startGang();
    end(Members[0], RunOutcome::GangBroken);
    end(Members[1], RunOutcome::Failed);
    Time.advance(milliseconds(500));
  }
  BOOST_CHECK(Scheduler->stage("g") == JobStage::Failed);
}

BOOST_FIXTURE_TEST_CASE(laterOwnerKnowsWhichRunOfAGangHasFailed, GangTrial) {
  startGang();
  end(Starts[0], RunOutcome::Failed);
  const auto Known = decodeProgress(encodeProgress(Scheduler->progress("g")));
  BOOST_REQUIRE(Known);
  SchedulerTrial Next;
  Next.Scheduler->restoreJob(makeJob("g", {Gang}), makeQueue(), Next.Time.now(),
                             *Known);
  Next.end(Starts[1], RunOutcome::Failed);
  BOOST_CHECK(Next.Scheduler->stage("g") != JobStage::Failed);
}
