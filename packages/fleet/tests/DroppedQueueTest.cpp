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
    Vms.PlanRun = [this](const TaskRun &) {
      return std::pair{milliseconds(300), ++Runs <= FailedRuns
                                              ? RunOutcome::Failed
                                              : RunOutcome::Done};
    };
  }

  static void listVm(TestDaemon &Daemon) {
    Daemon.listVms({StoredRow{RowName{"vms", "", "vm0"}, "3", 1, false}});
  }
  std::vector<std::string> movedQueues() const {
    const StoredRow *Row = Rows.find(ownerRow(TestService));
    const auto Owner = decodeOwner(Row->Value);
    return Owner ? Owner->MovedQueues : std::vector<std::string>();
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
  listVm(Owner);
  submit("0a");
  ControlLoop.runFor(milliseconds(20000));
  BOOST_CHECK_EQUAL(Runs, 4);
  BOOST_CHECK(stage("0a") == std::optional(std::optional(JobStage::Completed)));
}

BOOST_FIXTURE_TEST_CASE(jobOfADroppedQueueFailsAfterItsLastAttempt,
                        DroppedQueueFixture) {
  Queue.MaxAttempts = 2;
  FailedRuns = 9;
  listVm(Owner);
  submit("0a");
  ControlLoop.runFor(milliseconds(20000));
  BOOST_CHECK_EQUAL(Runs, 2);
  BOOST_CHECK(stage("0a") == std::optional(std::optional(JobStage::Failed)));
}

// Guards against daemons that don't learn of jobs which wait in a pool that
// their queue has left.
BOOST_FIXTURE_TEST_CASE(rowOfTheOwnerNamesQueuesWithWaitingJobs,
                        DroppedQueueFixture) {
  const std::vector<std::string> WithQueue{Queue.Name};
  ControlLoop.runFor(milliseconds(3000));
  BOOST_CHECK(movedQueues().empty());
  submit("0a");
  ControlLoop.runFor(milliseconds(1000));
  BOOST_CHECK(movedQueues() == WithQueue);
  // The next owner's row names the queue before the jobs are loaded.
  TestDaemon Next("c", ControlLoop, Rows, Vms, makeOtherQueue());
  Owner.kill();
  for (int Step = 0; Step < 1000; ++Step) {
    ControlLoop.runFor(milliseconds(10));
    BOOST_REQUIRE(movedQueues() == WithQueue);
  }
  BOOST_REQUIRE(Next.owns());
  listVm(Next);
  ControlLoop.runFor(milliseconds(15000));
  BOOST_CHECK_EQUAL(Runs, 1);
  BOOST_CHECK(movedQueues().empty());
}
