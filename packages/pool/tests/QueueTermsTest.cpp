// Which terms apply to a job: those in force of its queue, or else those under
// which it was accepted.

#include <boost/test/unit_test.hpp>

#include "SchedulerFixture.h"

using namespace cuminroad;

namespace {

QueueTerms makeTerms(int MaxAttempts) {
  QueueTerms Out = makeQueue();
  Out.MaxAttempts = MaxAttempts;
  return Out;
}

/// What is known of a queue whose jobs were stored without its terms.
QueueTerms makeUnknownTerms() {
  QueueTerms Out;
  Out.Name = makeQueue().Name;
  Out.Service = makeQueue().Service;
  Out.Known = false;
  return Out;
}

struct QueueTermsFixture : SchedulerFixture {
  QueueTermsFixture() { addVm(makeVm("a", BigSize)); }

  void setQueue(const QueueTerms &Terms) {
    Scheduler->setQueues(std::vector{Terms});
  }
  void dropQueues() { Scheduler->setQueues({}); }
  void addJob(const QueueTerms &Accepted) {
    Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), Accepted,
                      MonotonicClock.now());
  }
  /// Adds the job of an earlier owner, after some failures of its task.
  void restoreJob(const QueueTerms &Accepted, int Failures) {
    TaskProgress Task;
    Task.Run = Failures;
    Task.Failures = Failures;
    JobProgress Progress;
    Progress.Stage = JobStage::Running;
    Progress.Occurrences = {
        OccurrenceProgress{0, false, {StepProgress{0, false, 0, {Task}, 0}}}};
    Scheduler->restoreJob(makeJob("j", {makeStep(1, SmallSize)}), Accepted,
                          MonotonicClock.now(), Progress);
  }
  /// Lets the task start and fail until it is not started any more.
  /// \returns the number of starts.
  int failRuns() {
    constexpr int MostRuns = 10;
    constexpr milliseconds LongestQuarantine{31000};
    for (int Run = 0; Run < MostRuns; ++Run) {
      MonotonicClock.advance(LongestQuarantine);
      reportRuns("a", {});
      runPass();
      if (Starts.empty())
        return Run;
      acceptStart(Starts.at(0));
      endRun(Starts.at(0), RunOutcome::Failed);
    }
    return MostRuns;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(termsInForceGoBeforeTheAcceptedOnes,
                        QueueTermsFixture) {
  addJob(makeTerms(2));
  setQueue(makeTerms(4));
  BOOST_CHECK_EQUAL(failRuns(), 4);
  BOOST_CHECK(Scheduler->failure("j") == JobFailure::AttemptsUsed);
}

BOOST_FIXTURE_TEST_CASE(termsInForceApplyToJobsAddedLater, QueueTermsFixture) {
  setQueue(makeTerms(4));
  addJob(makeTerms(2));
  BOOST_CHECK_EQUAL(failRuns(), 4);
}

// Guards against a job that fails after one run when its queue is dropped and
// its pool changes its owner.
BOOST_FIXTURE_TEST_CASE(restoredJobOfADroppedQueueKeepsItsAttempts,
                        QueueTermsFixture) {
  dropQueues();
  restoreJob(makeTerms(4), 1);
  BOOST_CHECK_EQUAL(failRuns(), 3);
  BOOST_CHECK(Scheduler->failure("j") == JobFailure::AttemptsUsed);
}

// Guards against terms that differ between an owner that knew a queue before it
// was dropped and one that did not.
BOOST_FIXTURE_TEST_CASE(droppedQueueLeavesTheAcceptedTerms, QueueTermsFixture) {
  setQueue(makeTerms(2));
  addJob(makeTerms(4));
  dropQueues();
  BOOST_CHECK_EQUAL(failRuns(), 4);
}

// Guards against starts without tickets after a queue with advice was dropped.
BOOST_FIXTURE_TEST_CASE(jobOfADroppedQueueStillNeedsAdvice, QueueTermsFixture) {
  QueueTerms Advised = makeTerms(4);
  Advised.Advice = AdviceTerms{milliseconds(20), 0.1, milliseconds(2000)};
  dropQueues();
  addJob(Advised);
  runPass();
  BOOST_CHECK(Starts.empty());
  BOOST_CHECK_EQUAL(AdviceRequests.size(), 1);
}

// Guards against a job that fails for good by an assumed number of attempts,
// and against runs beyond the real one.
BOOST_FIXTURE_TEST_CASE(jobOfUnknownTermsWaitsAfterAFailure,
                        QueueTermsFixture) {
  addJob(makeUnknownTerms());
  BOOST_CHECK_EQUAL(failRuns(), 1);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Running ||
              Scheduler->stage("j") == JobStage::Queued);
  setQueue(makeTerms(3));
  BOOST_CHECK_EQUAL(failRuns(), 2);
  BOOST_CHECK(Scheduler->failure("j") == JobFailure::AttemptsUsed);
}

BOOST_FIXTURE_TEST_CASE(jobFailsOnceItsTermsShowThatItsAttemptsAreUsed,
                        QueueTermsFixture) {
  restoreJob(makeUnknownTerms(), 2);
  BOOST_CHECK_EQUAL(failRuns(), 0);
  setQueue(makeTerms(2));
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Failed);
  BOOST_CHECK(Scheduler->failure("j") == JobFailure::AttemptsUsed);
}
