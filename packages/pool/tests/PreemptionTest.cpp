// Urgent work takes room from work that can go on later where it left off.

#include <boost/test/unit_test.hpp>

#include "SchedulerTrial.h"

using namespace cuminroad;

namespace {

struct PreemptionTrial : SchedulerTrial {
  /// Fills one VM with four tasks that have run for a while.
  void fill(StepPlan Step, int Priority = 2) {
    addVm(makeVm("a", Big));
    Scheduler->addJob(makeJob("low", {Step}), makeQueue(Priority), Time.now());
    pass();
    BOOST_REQUIRE_EQUAL(Starts.size(), 4);
    Low = Starts;
    for (const StartRun &Start : Low)
      accept(Start);
    Time.advance(milliseconds(1500));
    showProgress();
  }
  /// So that the tasks do not count as stuck.
  void showProgress() {
    std::vector<RunningTask> Running;
    for (const StartRun &Start : Low)
      Running.push_back(RunningTask{Start.Run, "", ++Percent, 0});
    report("a", Running);
  }
  /// Stops asked for within a second, in which an urgent job waits.
  int stopsFor(StepPlan Urgent, int Priority = 0) {
    Scheduler->addJob(makeJob("urgent", {Urgent}), makeQueue(Priority),
                      Time.now());
    int Out = 0;
    for (int Round = 0; Round < 20; ++Round) {
      pass();
      Out += static_cast<int>(Stops.size());
      Stopped.insert(Stopped.end(), Stops.begin(), Stops.end());
      Time.advance(milliseconds(50));
    }
    return Out;
  }

  std::vector<StartRun> Low;
  std::vector<StopRun> Stopped;
  int Percent = 0;
};

StepPlan saving(int Tasks, int EstimateMs = 10000) {
  StepPlan Out = makeStep(Tasks, Small, EstimateMs);
  Out.Checkpointing = true;
  return Out;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(urgentTasksTakeTheRoomOfTasksThatSave,
                        PreemptionTrial) {
  // Pattern: a burst of short urgent jobs on a pool full of long ones.
  fill(saving(4));
  BOOST_REQUIRE_EQUAL(stopsFor(makeStep(2, Small)), 2);
  const PoolNotes Notes = Scheduler->takeNotes();
  BOOST_REQUIRE_EQUAL(Notes.Preemptions.size(), 2);
  BOOST_CHECK_EQUAL(Notes.Preemptions[0].Vm, "a");
  BOOST_CHECK_EQUAL(Notes.Preemptions[0].For.Job, "urgent");
  for (const StopRun &Stop : Stopped)
    Scheduler->taskEnded("a",
                         TaskEnd{++EndNumber, Stop.Run, RunEnd::Stopped, "s"});
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  for (const StartRun &Start : Starts)
    BOOST_CHECK_EQUAL(Start.Run.Task.Step.Job, "urgent");
  const auto Urgent = Starts;
  for (const StartRun &Start : Urgent)
    end(Start, RunEnd::Done);
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 2);
  for (const StartRun &Start : Starts) {
    BOOST_CHECK_EQUAL(Start.Run.Task.Step.Job, "low");
    BOOST_CHECK_EQUAL(Start.Checkpoint, "s");
  }
}

BOOST_FIXTURE_TEST_CASE(workThatSavesNothingIsNotPreempted, PreemptionTrial) {
  fill(makeStep(4, Small, 10000));
  BOOST_CHECK_EQUAL(stopsFor(makeStep(2, Small)), 0);
}

BOOST_FIXTURE_TEST_CASE(workOfTheSamePriorityIsNotPreempted, PreemptionTrial) {
  fill(saving(4));
  BOOST_CHECK_EQUAL(stopsFor(makeStep(2, Small), 2), 0);
}

BOOST_FIXTURE_TEST_CASE(workThatEndsSoonIsNotPreempted, PreemptionTrial) {
  fill(saving(4, 2000));
  BOOST_CHECK_EQUAL(stopsFor(makeStep(2, Small)), 0);
}

BOOST_FIXTURE_TEST_CASE(workThatHasJustBegunIsNotPreempted, PreemptionTrial) {
  // It would be stopped again and again, and get nowhere.
  addVm(makeVm("a", Big));
  Scheduler->addJob(makeJob("low", {saving(4)}), makeQueue(2), Time.now());
  pass();
  for (const StartRun &Start : Starts)
    accept(Start);
  Scheduler->addJob(makeJob("urgent", {makeStep(2, Small)}), makeQueue(0),
                    Time.now());
  for (TimePoint End = Time.now() + Options.LeastRun; Time.now() < End;
       Time.advance(milliseconds(50))) {
    pass();
    BOOST_CHECK(Stops.empty());
  }
}

BOOST_FIXTURE_TEST_CASE(lateWorkDoesNotPreempt, PreemptionTrial) {
  fill(saving(4, 30000));
  Scheduler->addJob(makeJob("late", {makeStep(2, Small, 100)}), makeQueue(0),
                    Time.now() - milliseconds(1500));
  for (int Round = 0; Round < 10; ++Round) {
    pass();
    BOOST_CHECK(Stops.empty());
    Time.advance(milliseconds(50));
  }
}

BOOST_FIXTURE_TEST_CASE(nothingIsPreemptedWhereItWouldNotDo, PreemptionTrial) {
  // Half of the VM is held by work that can't be preempted.
  addVm(makeVm("a", Big));
  Scheduler->addJob(makeJob("fixed", {makeStep(2, Small, 10000)}), makeQueue(2),
                    Time.now());
  Scheduler->addJob(makeJob("low", {saving(2)}), makeQueue(2), Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 4);
  Low = Starts;
  for (const StartRun &Start : Low)
    accept(Start);
  Time.advance(milliseconds(1500));
  showProgress();
  BOOST_CHECK_EQUAL(stopsFor(makeStep(1, {3000, 100, 0})), 0);
}
