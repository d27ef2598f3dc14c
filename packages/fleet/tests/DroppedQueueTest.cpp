// A pool's owner runs jobs of queues that its contracts lack: dropped ones, and
// those of a contract that it has not read yet.

#include <boost/test/unit_test.hpp>

#include "FrontendFixture.h"

using namespace cuminroad;

namespace {

/// The contracts of the owner, which lack the frontend's queue.
QueueTerms makeOtherQueue() {
  QueueTerms Out = makeTestQueue();
  Out.Name = "other";
  return Out;
}

struct DroppedQueueFixture : FrontendFixture {
  DroppedQueueFixture() : Owner("b", ControlLoop, Rows, Vms, makeOtherQueue()) {
    Vms.add("vm0", 1);
    Owner.listVms({StoredRow{RowName{"vms", "", "vm0"}, "3", 1, false}});
    Vms.PlanRun = [this](const TaskRun &) {
      return std::pair{milliseconds(300), ++Runs <= FailedRuns
                                              ? RunOutcome::Failed
                                              : RunOutcome::Done};
    };
  }

  TestDaemon Owner;
  int Runs = 0;
  int FailedRuns = 0;
};

} // namespace

// Guards against a job that is shown as failed after one of its attempts since
// its owner's contracts lack its queue.
BOOST_FIXTURE_TEST_CASE(jobOfADroppedQueueHasAllItsAttempts,
                        DroppedQueueFixture) {
  Queue.MaxAttempts = 4;
  FailedRuns = 3;
  submit("0a");
  ControlLoop.runFor(milliseconds(20000));
  BOOST_CHECK_EQUAL(Runs, 4);
  BOOST_CHECK(stage("0a") == std::optional(std::optional(JobStage::Completed)));
}

BOOST_FIXTURE_TEST_CASE(jobOfADroppedQueueFailsAfterItsLastAttempt,
                        DroppedQueueFixture) {
  Queue.MaxAttempts = 2;
  FailedRuns = 9;
  submit("0a");
  ControlLoop.runFor(milliseconds(20000));
  BOOST_CHECK_EQUAL(Runs, 2);
  BOOST_CHECK(stage("0a") == std::optional(std::optional(JobStage::Failed)));
}
