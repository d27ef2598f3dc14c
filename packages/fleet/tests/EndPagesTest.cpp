// A VM lists a limited number of ends in an answer, so that a run that an
// answer lists neither as running nor as ended may have ended all the same.

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "PoolTestSupport.h"
#include "VmLinkFixture.h"

using namespace cuminroad;

namespace {

constexpr int Tasks = 23;
constexpr std::size_t PageSize = 5;
/// The first runs end while the VM is cut off.
constexpr milliseconds FirstRunTime{1500};
constexpr milliseconds CutAfter{1000};
/// Below the lease of the runs.
constexpr milliseconds CutDuration{2500};
/// Time in which an owner reads and records a page.
constexpr milliseconds PageTime{200};
constexpr milliseconds PagesTime = PageTime * (Tasks / PageSize + 1);

struct EndPagesFixture {
  explicit EndPagesFixture(int MaxAttempts = 3) {
    QueueTerms Queue = makeTestQueue();
    Queue.MaxAttempts = MaxAttempts;
    Vms.add("vm0", 1);
    Vms.MaxListedEnds = PageSize;
    Vms.PlanRun = [this](const TaskRun &) {
      return std::pair{FirstRunTime, Outcome};
    };
    for (const char *Name : {"a", "b"}) {
      auto &Daemon = Daemons.emplace_back(
          std::make_unique<TestDaemon>(Name, ControlLoop, Rows, Vms, Queue));
      Daemon->listVms({StoredRow{RowName{"vms", "", "vm0"},
                                 fmt::format("{} 1", Tasks + 10), 1, false}});
      Daemon->Calls.NextFault = [this](const std::string &) {
        return VmCallFault{Cut ? VmCallFault::RequestLost : VmCallFault::None,
                           milliseconds(0)};
      };
    }
    ControlLoop.runFor(milliseconds(3000));
  }

  TestDaemon &owner() {
    for (const auto &Daemon : Daemons)
      if (Daemon->owns())
        return *Daemon;
    BOOST_FAIL("no daemon owns the pool");
    return *Daemons.front();
  }
  /// Submits a job with a second step that depends on the first one.
  void submitJobOfTwoSteps() {
    JobRequest Request;
    Request.Queue = "q";
    Request.Service = TestService;
    Request.Plan.Id = "00000000000000aa";
    StepPlan Step;
    Step.Tasks = Tasks;
    Step.PerTask = TestTaskSize;
    Step.Estimate = FirstRunTime;
    Request.Plan.Steps.push_back(Step);
    Step.Tasks = 1;
    Step.DependsOn = {0};
    Request.Plan.Steps.push_back(Step);
    RowTransaction Change;
    Change.Puts.push_back(
        RowPut{requestRow(Request.Plan.Id), encodeRequest(Request)});
    Rows.apply(Change);
  }
  /// Runs until all runs have started and ended, the last part of it without a
  /// connection to the VM.
  void runWithCut() {
    ControlLoop.runFor(CutAfter);
    Cut = true;
    ControlLoop.runFor(CutDuration);
    Cut = false;
  }
  /// \returns the number of starts of each task.
  std::map<TaskName, int> starts() const {
    std::map<TaskName, int> Out;
    for (const RunEvent &Event : Vms.RunHistory)
      Out[Event.Run.Task] += Event.IsStart;
    return Out;
  }
  void checkOneStartPerTask(std::size_t TaskCount) const {
    BOOST_CHECK_EQUAL(starts().size(), TaskCount);
    for (const auto &[Task, Count] : starts())
      BOOST_CHECK_MESSAGE(Count == 1, "task " << Task.Step.Job << " "
                                              << Task.Index << " started "
                                              << Count << " times");
  }

  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeVms Vms{ControlLoop};
  RunOutcome Outcome = RunOutcome::Done;
  bool Cut = false;
  std::vector<std::unique_ptr<TestDaemon>> Daemons;
};

struct SingleAttemptFixture : EndPagesFixture {
  SingleAttemptFixture() : EndPagesFixture(1) {}
};

} // namespace

// Guards against a second run of a task whose end `done` is behind the listed
// ones, and against a later step that starts before or long after the last end.
BOOST_FIXTURE_TEST_CASE(doneRunsBehindThePageAreNotStartedAgain,
                        EndPagesFixture) {
  submitJobOfTwoSteps();
  runWithCut();
  ControlLoop.runFor(PagesTime);
  checkOneStartPerTask(Tasks + 1);
}

// Guards against an end `failed` behind the listed ones that is not counted as
// an attempt.
BOOST_FIXTURE_TEST_CASE(failedRunsBehindThePageCountAsAttempts,
                        SingleAttemptFixture) {
  Outcome = RunOutcome::Failed;
  for (int Number = 0; Number < Tasks; ++Number) {
    StepPlan Step;
    Step.PerTask = TestTaskSize;
    Step.Estimate = FirstRunTime;
    submitTestJob(Rows, fmt::format("{:016x}", Number + 1), Step);
  }
  runWithCut();
  ControlLoop.runFor(PagesTime + milliseconds(3000));
  checkOneStartPerTask(Tasks);
}

// Guards against a new owner that takes the first page for all ends of a VM.
BOOST_FIXTURE_TEST_CASE(newOwnerReadsAllPages, EndPagesFixture) {
  submitJobOfTwoSteps();
  ControlLoop.runFor(CutAfter);
  owner().kill();
  ControlLoop.runFor(milliseconds(3000) + PagesTime);
  checkOneStartPerTask(Tasks + 1);
}

// Guards against runs whose end is not listed yet that are taken for stuck
// while the store is slow to record the pages before.
BOOST_FIXTURE_TEST_CASE(runsBehindThePageAreNotStuck, EndPagesFixture) {
  submitJobOfTwoSteps();
  TestDaemon &Owner = owner();
  runWithCut();
  Owner.Store.NextFault = [] {
    return StoreFault{StoreFault::Delayed, milliseconds(700)};
  };
  ControlLoop.runFor(milliseconds(6000));
  Owner.Store.NextFault = nullptr;
  ControlLoop.runFor(milliseconds(3000));
  checkOneStartPerTask(Tasks + 1);
  for (const Event &Each : Owner.events())
    BOOST_CHECK(Each.Id != EventId::RunStopped);
}

// Guards against jobs that look unfinished while a VM has ends to list: each
// page is asked for as soon as the one before is recorded.
BOOST_FIXTURE_TEST_CASE(pagesAreReadOneAfterTheOther, VmLinkFixture) {
  constexpr int Pages = 10;
  constexpr int PageEnds = 500;
  // The time of a page, with room for a hold that is on its way.
  constexpr milliseconds Slack{10};
  RecordingDelay = milliseconds(30);
  Vms.PlanRun = [](const TaskRun &) {
    return std::pair{milliseconds(1000), RunOutcome::Done};
  };
  connect();
  ControlLoop.runFor(milliseconds(500));
  Calls.NextFault = [](const std::string &) {
    return VmCallFault{VmCallFault::ResponseLost, {}};
  };
  for (int Index = 0; Index < Pages * PageEnds; ++Index)
    Vms.start(VmTarget{"a", "a:1", Link->fencingToken(), false},
              StartOrder{{{{"j", 0, 0}, Index}, 1},
                         "spec",
                         vmTime() + milliseconds(4000),
                         "",
                         ""});
  ControlLoop.runFor(milliseconds(1500));
  Calls.NextFault = nullptr;
  for (int Waited = 0; Waited < 2000 && EndedRuns.empty(); ++Waited)
    ControlLoop.runFor(milliseconds(1));
  BOOST_REQUIRE(!EndedRuns.empty());
  const milliseconds PageDuration = RecordingDelay + Calls.Latency * 2 + Slack;
  ControlLoop.runFor(PageDuration * Pages);
  BOOST_CHECK_EQUAL(EndedRuns.size(), Pages * PageEnds);
}
