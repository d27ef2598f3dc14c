// The pool scheduler's decisions, one pattern of load or failure a test.

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include <boost/test/unit_test.hpp>

#include "cuminroad/base/ManualClock.h"
#include "cuminroad/pool/PoolScheduler.h"
#include "cuminroad/pool/WallClock.h"

using namespace cuminroad;

namespace {

class ManualWall final : public WallClock {
public:
  milliseconds sinceEpoch() const override { return Now; }
  milliseconds Now{1000000};
};

PoolVm makeVm(const std::string &Id, Capacity Total,
              std::vector<std::string> Labels = {}) {
  PoolVm Out;
  Out.Id = Id;
  Out.Total = Total;
  Out.Labels = std::move(Labels);
  Out.Born = 1;
  return Out;
}

StepPlan makeStep(int Tasks, Capacity Size, int EstimateMs = 1000) {
  StepPlan Out;
  Out.Tasks = Tasks;
  Out.PerTask = Size;
  Out.Estimate = milliseconds(EstimateMs);
  return Out;
}

JobPlan makeJob(const std::string &Id, std::vector<StepPlan> Steps) {
  JobPlan Out;
  Out.Id = Id;
  Out.Steps = std::move(Steps);
  return Out;
}

QueueTerms makeQueue(int Priority = 0) {
  QueueTerms Out;
  Out.Name = "q" + std::to_string(Priority);
  Out.Service = "s";
  Out.Priority = Priority;
  Out.Attempts = 2;
  Out.Stretch = 2;
  Out.LatencyTarget = milliseconds(1000);
  return Out;
}

/// A scheduler with its clocks, and what its commands asked for.
struct Fixture {
  Fixture() : Scheduler(makePoolScheduler(Time, Wall, Options)) {}

  void addVm(const PoolVm &Vm) {
    Scheduler->vmListed(Vm);
    Scheduler->vmReported(Vm.Id, Vm.Born, {}, Time.now());
  }
  /// Runs a pass and sorts its commands.
  void pass() {
    Starts.clear();
    Stops.clear();
    Paces.clear();
    Asks.clear();
    Scheduler->schedule();
    for (const PoolCommand &Command : Scheduler->takeCommands()) {
      if (const auto *Start = std::get_if<StartRun>(&Command))
        Starts.push_back(*Start);
      else if (const auto *Stop = std::get_if<StopRun>(&Command))
        Stops.push_back(*Stop);
      else if (const auto *Pace = std::get_if<PaceRun>(&Command))
        Paces.push_back(*Pace);
      else
        Asks.push_back(std::get<AskAdvice>(Command));
    }
  }
  void accept(const StartRun &Start) {
    Scheduler->startAnswered(Start.Vm, Start.Run, StartOutcome::Accepted);
  }
  void end(const StartRun &Start, RunEnd How, const std::string &Saved = "") {
    Scheduler->taskEnded(Start.Vm, TaskEnd{++EndNumber, Start.Run, How, Saved});
  }
  /// A report of the VM that lists these runs.
  void report(const std::string &Vm, std::vector<RunningTask> Running) {
    Time.advance(milliseconds(1));
    Scheduler->vmReported(Vm, 1, Running, Time.now());
  }

  ManualClock Time;
  ManualWall Wall;
  PoolOptions Options;
  std::unique_ptr<PoolScheduler> Scheduler;
  std::vector<StartRun> Starts;
  std::vector<StopRun> Stops;
  std::vector<PaceRun> Paces;
  std::vector<AskAdvice> Asks;
  std::int64_t EndNumber = 0;
};

constexpr Capacity Small{1000, 100, 0};
constexpr Capacity Big{4000, 1000, 0};

} // namespace

BOOST_FIXTURE_TEST_CASE(startsWhatFitsAndNoMore, Fixture) {
  addVm(makeVm("a", Big));
  Scheduler->addJob(makeJob("j", {makeStep(6, Small)}), makeQueue(),
                    Time.now());
  pass();
  BOOST_CHECK_EQUAL(Starts.size(), 4);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Running);
  end(Starts[0], RunEnd::Done);
  pass();
  BOOST_CHECK_EQUAL(Starts.size(), 1);
}

BOOST_FIXTURE_TEST_CASE(laterStepWaitsForTheOneBefore, Fixture) {
  addVm(makeVm("a", Big));
  StepPlan Second = makeStep(1, Small);
  Second.After = {0};
  Scheduler->addJob(makeJob("j", {makeStep(2, Small), Second}), makeQueue(),
                    Time.now());
  pass();
  const auto First = Starts;
  BOOST_REQUIRE_EQUAL(First.size(), 2);
  end(First[0], RunEnd::Done);
  pass();
  BOOST_CHECK(Starts.empty());
  end(First[1], RunEnd::Done);
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Task.Step.Step, 1);
  end(Starts[0], RunEnd::Done);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Completed);
}

BOOST_FIXTURE_TEST_CASE(urgentQueueGoesFirst, Fixture) {
  addVm(makeVm("a", Small));
  Scheduler->addJob(makeJob("low", {makeStep(1, Small)}), makeQueue(2),
                    Time.now());
  Scheduler->addJob(makeJob("high", {makeStep(1, Small)}), makeQueue(0),
                    Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Task.Step.Job, "high");
}

BOOST_FIXTURE_TEST_CASE(newWorkGoesBeforeLateWorkOfItsQueue, Fixture) {
  // Overload: first come, first served would make every job late.
  addVm(makeVm("a", Small));
  Scheduler->addJob(makeJob("old", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  Time.advance(milliseconds(4000)); // past 2 * 1 s + 1 s
  Scheduler->addJob(makeJob("new", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Task.Step.Job, "new");
}

BOOST_FIXTURE_TEST_CASE(hopelessWorkComesLastOfAll, Fixture) {
  addVm(makeVm("a", Small));
  Scheduler->addJob(makeJob("urgent", {makeStep(1, Small)}), makeQueue(0),
                    Time.now());
  Time.advance(milliseconds(10000)); // past three objectives
  Scheduler->addJob(makeJob("low", {makeStep(1, Small)}), makeQueue(2),
                    Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Task.Step.Job, "low");
}

BOOST_FIXTURE_TEST_CASE(wideGangGetsRoomThoughSmallTasksKeepComing, Fixture) {
  // Backfill alone would starve a gang that needs two whole VMs.
  const Capacity Whole{4000, 1000, 4};
  addVm(makeVm("a", Whole));
  addVm(makeVm("b", Whole));
  std::vector<StartRun> Running;
  for (int Each = 0; Each < 8; ++Each)
    Scheduler->addJob(makeJob("small" + std::to_string(Each),
                              {makeStep(1, {1000, 100, 1}, 1000)}),
                      makeQueue(2), Time.now());
  pass();
  Running = Starts;
  BOOST_REQUIRE_EQUAL(Running.size(), 8);
  StepPlan Gang = makeStep(2, Whole, 1000);
  Gang.Gang = true;
  Scheduler->addJob(makeJob("gang", {Gang}), makeQueue(1), Time.now());
  bool Started = false;
  for (int Round = 0; Round < 8 && !Started; ++Round) {
    Scheduler->addJob(makeJob("more" + std::to_string(Round),
                              {makeStep(1, {1000, 100, 1}, 1000)}),
                      makeQueue(2), Time.now());
    Time.advance(milliseconds(300));
    end(Running.back(), RunEnd::Done);
    Running.pop_back();
    pass();
    for (const StartRun &Start : Starts)
      Started = Started || Start.Run.Task.Step.Job == "gang";
  }
  BOOST_CHECK(Started);
}

BOOST_FIXTURE_TEST_CASE(gangStartsWholeUnderOneRun, Fixture) {
  addVm(makeVm("a", Small));
  StepPlan Gang = makeStep(2, Small);
  Gang.Gang = true;
  Scheduler->addJob(makeJob("g", {Gang}), makeQueue(), Time.now());
  pass();
  BOOST_CHECK(Starts.empty());
  addVm(makeVm("b", Small));
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  BOOST_CHECK_EQUAL(Starts[0].Run.Number, Starts[1].Run.Number);
  // One refused member takes the other with it; both start again, higher.
  accept(Starts[1]);
  const auto First = Starts;
  Scheduler->startAnswered(First[0].Vm, First[0].Run, StartOutcome::Refused);
  pass();
  BOOST_REQUIRE_EQUAL(Stops.size(), 1);
  end(First[1], RunEnd::Stopped);
  Time.advance(milliseconds(500));
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  BOOST_CHECK_EQUAL(Starts[0].Run.Number, 2);
  BOOST_CHECK_EQUAL(Starts[1].Run.Number, 2);
  // One end as done stands for all.
  end(Starts[0], RunEnd::Done);
  BOOST_CHECK(Scheduler->stage("g") == JobStage::Completed);
}

BOOST_FIXTURE_TEST_CASE(gangMembersShareOneCheckpoint, Fixture) {
  addVm(makeVm("a", Big));
  StepPlan Gang = makeStep(2, Small);
  Gang.Gang = true;
  Gang.Checkpointing = true;
  Scheduler->addJob(makeJob("g", {Gang}), makeQueue(), Time.now());
  pass();
  const auto First = Starts;
  for (const StartRun &Start : First)
    accept(Start);
  report("a", {RunningTask{First[0].Run, "save1", 50, 0},
               RunningTask{First[1].Run, "", 50, 0}});
  end(First[0], RunEnd::Broken);
  end(First[1], RunEnd::Failed);
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  BOOST_CHECK_EQUAL(Starts[0].Checkpoint, "save1");
  BOOST_CHECK_EQUAL(Starts[1].Checkpoint, "save1");
}

BOOST_FIXTURE_TEST_CASE(jobFailsAfterItsAttempts, Fixture) {
  addVm(makeVm("a", Big));
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  end(Starts.at(0), RunEnd::Failed);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Running);
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Number, 2);
  end(Starts[0], RunEnd::Failed);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Failed);
  pass();
  BOOST_CHECK(Starts.empty());
}

BOOST_FIXTURE_TEST_CASE(lapsedRunsAreNoAttempts, Fixture) {
  addVm(makeVm("a", Big));
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  for (int Round = 0; Round < 5; ++Round) {
    pass();
    BOOST_REQUIRE_EQUAL(Starts.size(), 1);
    end(Starts[0], RunEnd::Lapsed);
  }
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Running);
}

BOOST_FIXTURE_TEST_CASE(refusalOfARepeatLeavesTheRunToTheLists, Fixture) {
  // The first try was carried out, its answer was lost, and the run is over.
  addVm(makeVm("a", Big));
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  const StartRun First = Starts.at(0);
  Scheduler->startAnswered(First.Vm, First.Run, StartOutcome::OldRun);
  pass();
  BOOST_CHECK(Starts.empty());
  end(First, RunEnd::Done);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Completed);
}

BOOST_FIXTURE_TEST_CASE(runThatNoListHasIsPlacedAgain, Fixture) {
  addVm(makeVm("a", Big));
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  // Not answered yet: the start may be on its way.
  report("a", {});
  pass();
  BOOST_CHECK(Starts.empty());
  Scheduler->startAnswered("a", TaskRun{{{"j", 0, 0}, 0}, 1},
                           StartOutcome::Accepted);
  report("a", {});
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Number, 2);
}

BOOST_FIXTURE_TEST_CASE(stoppingTaskKeepsItsRoom, Fixture) {
  addVm(makeVm("a", Small));
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  const StartRun First = Starts.at(0);
  accept(First);
  Scheduler->cancelJob("j");
  Scheduler->addJob(makeJob("k", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  BOOST_CHECK_EQUAL(Stops.size(), 1);
  BOOST_CHECK(Starts.empty());
  end(First, RunEnd::Stopped);
  pass();
  BOOST_CHECK_EQUAL(Starts.size(), 1);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Cancelled);
}

BOOST_FIXTURE_TEST_CASE(stopIsRepeatedWhileTheVmListsTheRun, Fixture) {
  addVm(makeVm("a", Big));
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  const StartRun Started = Starts[0];
  accept(Started);
  Scheduler->cancelJob("j");
  pass();
  BOOST_CHECK_EQUAL(Stops.size(), 1);
  report("a", {RunningTask{Started.Run, "", 50, 0}});
  pass();
  BOOST_REQUIRE_EQUAL(Stops.size(), 1);
  BOOST_CHECK(Stops[0].Run == Started.Run);
  report("a", {});
  pass();
  BOOST_CHECK(Stops.empty());
}

BOOST_FIXTURE_TEST_CASE(cancelledBeforeItWasSentGivesItsRoomBack, Fixture) {
  addVm(makeVm("a", Small));
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  const StartRun First = Starts.at(0);
  Scheduler->cancelJob("j");
  BOOST_CHECK(!Scheduler->wants(First.Vm, First.Run));
  Scheduler->startAnswered(First.Vm, First.Run, StartOutcome::NotSent);
  Scheduler->addJob(makeJob("k", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  BOOST_CHECK_EQUAL(Starts.size(), 1);
}

BOOST_FIXTURE_TEST_CASE(unknownRunOnAVmIsStoppedAndTakesRoom, Fixture) {
  Scheduler->vmListed(makeVm("a", Small));
  const TaskRun Stranger{{{"gone", 0, 0}, 0}, 3};
  const RunningTask Running{Stranger, "", 10, 0};
  Scheduler->vmReported("a", 1, std::span(&Running, 1), Time.now());
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  BOOST_CHECK_EQUAL(Stops.size(), 1);
  BOOST_CHECK(Starts.empty());
  Scheduler->taskEnded("a", TaskEnd{1, Stranger, RunEnd::Stopped, ""});
  pass();
  BOOST_CHECK_EQUAL(Starts.size(), 1);
}

BOOST_FIXTURE_TEST_CASE(newOwnerKeepsWhatRunsAndRestartsWhatDoesNot, Fixture) {
  addVm(makeVm("a", Big));
  Scheduler->addJob(makeJob("j", {makeStep(3, Small)}), makeQueue(),
                    Time.now());
  pass();
  const auto Sent = Starts;
  BOOST_REQUIRE_EQUAL(Sent.size(), 3);
  accept(Sent[0]);
  end(Sent[1], RunEnd::Done);
  const auto Bytes = encodeProgress(Scheduler->progress("j"));
  const auto Known = decodeProgress(Bytes);
  BOOST_REQUIRE(Known);

  Fixture Next;
  Next.Scheduler->restoreJob(makeJob("j", {makeStep(3, Small)}), makeQueue(),
                             Next.Time.now(), *Known);
  Next.pass();
  BOOST_CHECK(Next.Starts.empty());
  Next.Scheduler->vmListed(makeVm("a", Big));
  const RunningTask Running{Sent[0].Run, "", 10, 0};
  Next.Scheduler->vmReported("a", 1, std::span(&Running, 1), Next.Time.now());
  Next.pass();
  BOOST_REQUIRE_EQUAL(Next.Starts.size(), 1);
  BOOST_CHECK(Next.Starts[0].Run.Task == Sent[2].Run.Task);
  BOOST_CHECK_EQUAL(Next.Starts[0].Run.Number, 2);
}

BOOST_FIXTURE_TEST_CASE(silentVmOfAnEarlierOwnerHoldsItsTasks, Fixture) {
  JobProgress Known;
  Known.Stage = JobStage::Running;
  Known.Occurrences = {
      {0, false, {{0, false, 0, {{0, false, 0, 1, "a", 1, ""}}}}}};
  Scheduler->restoreJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                        Time.now(), Known);
  addVm(makeVm("b", Big));
  pass();
  BOOST_CHECK(Starts.empty());
  BOOST_CHECK_EQUAL(Scheduler->occupiedVms().size(), 1);
  Scheduler->vmEmptied("a");
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Vm, "b");
  BOOST_CHECK_EQUAL(Starts[0].Run.Number, 2);
}

BOOST_FIXTURE_TEST_CASE(restartedVmHasNothingOfBefore, Fixture) {
  addVm(makeVm("a", Big));
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  pass();
  accept(Starts.at(0));
  Scheduler->vmReported("a", 2, {}, Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Number, 2);
}

BOOST_FIXTURE_TEST_CASE(labelsRacksAndSpreadAreKept, Fixture) {
  addVm(makeVm("a", Big, {"x", "r1"}));
  addVm(makeVm("b", Big, {"y", "r2"}));
  addVm(makeVm("c", Big, {"y", "r1"}));
  StepPlan Step = makeStep(4, Small);
  Step.RequiredLabel = "y";
  Step.MaxPerVm = 1;
  Scheduler->addJob(makeJob("j", {Step}), makeQueue(), Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  BOOST_CHECK(Starts[0].Vm != Starts[1].Vm);
  for (const StartRun &Start : Starts)
    BOOST_CHECK(Start.Vm != "a");
}

BOOST_FIXTURE_TEST_CASE(workGoesNearItsData, Fixture) {
  Options.RemoteFactor = 2;
  Scheduler = makePoolScheduler(Time, Wall, Options);
  addVm(makeVm("a", Big, {"r1"}));
  addVm(makeVm("b", Big, {"r2"}));
  StepPlan Step = makeStep(2, Small);
  Step.DataRack = "r2";
  Scheduler->addJob(makeJob("j", {Step}), makeQueue(), Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  for (const StartRun &Start : Starts)
    BOOST_CHECK_EQUAL(Start.Vm, "b");
}

BOOST_FIXTURE_TEST_CASE(badVmGetsNothingForAWhile, Fixture) {
  // A VM that fails all that it starts would draw all work to itself.
  addVm(makeVm("a", Small));
  QueueTerms Queue = makeQueue();
  Queue.Attempts = 100;
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), Queue, Time.now());
  for (int Round = 0; Round < 3; ++Round) {
    pass();
    BOOST_REQUIRE_EQUAL(Starts.size(), 1);
    end(Starts[0], RunEnd::Failed);
  }
  pass();
  BOOST_CHECK(Starts.empty());
  Time.advance(Options.QuarantineMin);
  pass();
  BOOST_CHECK_EQUAL(Starts.size(), 1);
}

BOOST_FIXTURE_TEST_CASE(stuckTaskIsMovedElsewhere, Fixture) {
  addVm(makeVm("a", Small));
  Scheduler->addJob(makeJob("j", {makeStep(1, Small, 500)}), makeQueue(),
                    Time.now());
  pass();
  const StartRun First = Starts.at(0);
  accept(First);
  report("a", {RunningTask{First.Run, "", 10, 0}});
  addVm(makeVm("b", Small));
  Time.advance(Options.StuckAfter);
  report("a", {RunningTask{First.Run, "", 10, 0}});
  pass();
  BOOST_REQUIRE_EQUAL(Stops.size(), 1);
  end(First, RunEnd::Stopped);
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
}

BOOST_FIXTURE_TEST_CASE(longRunningTaskIsRestartedHoweverItEnds, Fixture) {
  addVm(makeVm("a", Small));
  StepPlan Step = makeStep(1, Small);
  Step.LongRunning = true;
  Scheduler->addJob(makeJob("j", {Step}), makeQueue(), Time.now());
  for (const RunEnd How : {RunEnd::Failed, RunEnd::Failed, RunEnd::Failed,
                           RunEnd::Lapsed, RunEnd::Done}) {
    Time.advance(milliseconds(60000));
    pass();
    BOOST_REQUIRE_EQUAL(Starts.size(), 1);
    end(Starts[0], How);
  }
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Running);
}

BOOST_FIXTURE_TEST_CASE(fillersGiveWayToServingTasksOverTarget, Fixture) {
  addVm(makeVm("a", Big));
  StepPlan Serves = makeStep(1, Small);
  Serves.LongRunning = true;
  Serves.LatencyTarget = milliseconds(100);
  StepPlan Fills = makeStep(1, Small, 60000);
  Fills.Fills = true;
  Scheduler->addJob(makeJob("s", {Serves}), makeQueue(), Time.now());
  Scheduler->addJob(makeJob("f", {Fills}), makeQueue(2), Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  const auto Sent = Starts;
  for (const StartRun &Start : Sent)
    accept(Start);
  const auto Tail = [&](double Ms) {
    std::vector<RunningTask> Rows;
    Rows.reserve(Sent.size());
    for (const StartRun &Start : Sent)
      Rows.push_back(RunningTask{Start.Run, "", 100,
                                 Start.Run.Task.Step.Job == "s" ? Ms : 500});
    report("a", Rows);
    pass();
  };
  Tail(50);
  BOOST_CHECK(Paces.empty());
  Tail(150);
  BOOST_REQUIRE_EQUAL(Paces.size(), 1);
  BOOST_CHECK_EQUAL(Paces[0].Run.Task.Step.Job, "f");
  BOOST_CHECK_EQUAL(Paces[0].Percent, 0);
  Time.advance(milliseconds(20000));
  Tail(50);
  BOOST_REQUIRE_EQUAL(Paces.size(), 1);
  BOOST_CHECK_EQUAL(Paces[0].Percent, 100);
}

BOOST_FIXTURE_TEST_CASE(occurrencesStartWhenTheyAreDue, Fixture) {
  addVm(makeVm("a", Big));
  JobPlan Plan = makeJob("j", {makeStep(1, Small)});
  Plan.Occurrences = 2;
  Plan.FirstDue = Wall.Now + milliseconds(1000);
  Plan.Interval = milliseconds(500);
  Scheduler->addJob(Plan, makeQueue(), Time.now());
  pass();
  BOOST_CHECK(Starts.empty());
  Wall.Now += milliseconds(1000);
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  end(Starts[0], RunEnd::Done);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Running);
  Wall.Now += milliseconds(500);
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Run.Task.Step.Occurrence, 1);
  end(Starts[0], RunEnd::Done);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Completed);
}

BOOST_FIXTURE_TEST_CASE(adviceIsAskedOnceForAllAndThenForAFew, Fixture) {
  for (int Number = 0; Number < 20; ++Number)
    addVm(makeVm("v" + std::to_string(Number), Small));
  QueueTerms Queue = makeQueue();
  Queue.Advice = AdviceTerms{milliseconds(100), 1.0, milliseconds(2000)};
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), Queue, Time.now());
  pass();
  BOOST_CHECK(Starts.empty());
  BOOST_REQUIRE_EQUAL(Asks.size(), 1);
  BOOST_CHECK_EQUAL(Asks[0].Vms.size(), 20);
  const std::vector<AdviceTicket> Good{{"v3", "t"}, {"v4", "t"}};
  Scheduler->adviceCame(Asks[0].Step, Asks[0].Vms, Good,
                        Time.now() + milliseconds(100));
  // The ticket would expire on the way: a new one is asked for first.
  pass();
  BOOST_CHECK(Starts.empty());
  BOOST_REQUIRE_EQUAL(Asks.size(), 1);
  BOOST_CHECK_EQUAL(Asks[0].Vms.size(), 2);
  Scheduler->adviceCame(Asks[0].Step, Asks[0].Vms, Good,
                        Time.now() + milliseconds(2000));
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Ticket, "t");
}

BOOST_FIXTURE_TEST_CASE(questionThatWasDroppedIsAskedAgain, Fixture) {
  addVm(makeVm("a", Small));
  QueueTerms Queue = makeQueue();
  Queue.Advice = AdviceTerms{milliseconds(100), 1.0, milliseconds(2000)};
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), Queue, Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Asks.size(), 1);
  Scheduler->adviceCame(Asks[0].Step, {}, {}, Time.now());
  pass();
  BOOST_CHECK_EQUAL(Asks.size(), 1);
}

BOOST_AUTO_TEST_CASE(invariantsHoldOverRandomEvents) {
  for (unsigned Seed = 1; Seed <= 40; ++Seed) {
    std::mt19937 Random(Seed);
    Fixture Each;
    std::map<std::string, std::vector<StartRun>> OnVm;
    for (int Number = 0; Number < 5; ++Number)
      Each.addVm(makeVm("v" + std::to_string(Number), Big));
    for (int Step = 0; Step < 400; ++Step) {
      if (Random() % 4 == 0)
        Each.Scheduler->addJob(
            makeJob(
                "j" + std::to_string(Step),
                {makeStep(1 + static_cast<int>(Random() % 6),
                          {500 + static_cast<int>(Random() % 3000), 100, 0})}),
            makeQueue(static_cast<int>(Random() % 3)), Each.Time.now());
      if (Random() % 15 == 0)
        Each.Scheduler->cancelJob("j" + std::to_string(Random() % 400));
      Each.Time.advance(milliseconds(Random() % 100));
      Each.pass();
      for (const StartRun &Start : Each.Starts) {
        Each.accept(Start);
        OnVm[Start.Vm].push_back(Start);
      }
      for (auto &[Vm, Runs] : OnVm) {
        std::set<TaskName> Names;
        std::int64_t Cores = 0;
        for (const StartRun &Run : Runs) {
          BOOST_CHECK(Names.insert(Run.Run.Task).second);
          if (const JobPlan *Plan = Each.Scheduler->plan(Run.Run.Task.Step.Job))
            Cores += Plan->Steps[0].PerTask.MilliCores;
        }
        BOOST_CHECK_LE(Cores, Big.MilliCores);
        while (!Runs.empty() && Random() % 3 == 0) {
          constexpr RunEnd Ends[] = {RunEnd::Done, RunEnd::Done, RunEnd::Failed,
                                     RunEnd::Stopped};
          Each.end(Runs.back(), Ends[Random() % 4]);
          Runs.pop_back();
        }
      }
    }
  }
}
