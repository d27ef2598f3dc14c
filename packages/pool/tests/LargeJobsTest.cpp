// Tests that the memory and the stored progress of a job follow its text and
// what is at work, not the number of its tasks and occurrences.

#include <malloc.h>

#include <map>
#include <span>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "SchedulerFixture.h"

using namespace cuminroad;

namespace {

/// A task that no VM can host.
constexpr Capacity HugeSize{64000, 100, 0};
/// What the numbers of a job may change in its memory, in bytes.
constexpr std::size_t MemoryTolerance = 1024;
/// Largest row of the store, in bytes.
constexpr std::size_t RowBytes = 49152;
/// A daemon's memory on the platform, in bytes.
constexpr std::size_t DaemonMemory = 160'000'000;

std::size_t heapBytes() {
  const auto Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

/// \returns the memory of a pool with one VM and the job, after a pass.
std::size_t memoryOf(const JobPlan &Plan) {
  SchedulerFixture Fixture;
  Fixture.addVm(makeVm("a", BigSize));
  const std::size_t Before = heapBytes();
  Fixture.Scheduler->addJob(Plan, makeQueue(), Fixture.MonotonicClock.now());
  Fixture.runPass();
  return heapBytes() - Before;
}

JobPlan makeTimedJob(int Occurrences, const StepPlan &Step) {
  JobPlan Out = makeJob("j", {Step});
  Out.Occurrences = Occurrences;
  Out.Interval = milliseconds(0);
  return Out;
}

struct LargeJobFixture : SchedulerFixture {
  /// Starts and ends what can be started until \p Runs runs have ended, and
  /// counts them. \returns the runs of the last pass, which go on.
  std::vector<StartRun> runTasks(int Runs) {
    int EndedRuns = 0;
    while (EndedRuns < Runs) {
      runPass();
      for (const StartRun &Start : Starts) {
        ++Counts[Start.Run.Task];
        acceptStart(Start);
      }
      if (Starts.empty() || EndedRuns + static_cast<int>(Starts.size()) > Runs)
        return Starts;
      for (const StartRun &Start : Starts)
        endRun(Start, RunOutcome::Done);
      EndedRuns += static_cast<int>(Starts.size());
      MonotonicClock.advance(milliseconds(15));
    }
    return {};
  }

  /// A new owner reads the stored progress of the job, whose current runs are
  /// \p Running, and completes it in at most \p Runs runs, which are added to
  /// Counts.
  void completeByNewOwner(const JobPlan &Plan,
                          std::span<const StartRun> Running, int Runs) {
    const std::string Stored = encodeProgress(Scheduler->progress("j"));
    BOOST_CHECK_LE(Stored.size(), RowBytes);
    const auto Progress = decodeProgress(Stored);
    BOOST_REQUIRE(Progress);
    LargeJobFixture Next;
    Next.addVm(makeVm("a", {20'000, 10'000, 0}));
    Next.Scheduler->restoreJob(Plan, makeQueue(), Next.MonotonicClock.now(),
                               *Progress);
    for (const StartRun &Start : Running)
      Next.endRun(Start, RunOutcome::Done);
    Next.runTasks(Runs);
    BOOST_CHECK(Next.Scheduler->stage("j") == JobStage::Completed);
    for (const auto &[Task, Count] : Next.Counts)
      Counts[Task] += Count;
  }

  std::map<TaskName, int> Counts;
};

} // namespace

// Guards against one submission that takes all of a daemon's memory, and so
// ends each owner of its pool in turn.
BOOST_AUTO_TEST_CASE(memoryDoesNotFollowTheNumberOfTasks) {
  const std::size_t Few = memoryOf(makeJob("j", {makeStep(1, HugeSize)}));
  const std::size_t Many =
      memoryOf(makeJob("j", {makeStep(2'500'000, HugeSize)}));
  BOOST_CHECK_LE(Many, Few + MemoryTolerance);
}

// Guards against the same where the tasks fit a VM.
BOOST_AUTO_TEST_CASE(memoryDoesNotFollowTheNumberOfTasksThatFit) {
  const std::size_t Few = memoryOf(makeJob("j", {makeStep(100, SmallSize)}));
  const std::size_t Many =
      memoryOf(makeJob("j", {makeStep(2'500'000, SmallSize)}));
  BOOST_CHECK_LE(Many, Few + MemoryTolerance);
}

// Guards against a scheduled job whose occurrences are all due at once.
BOOST_AUTO_TEST_CASE(memoryDoesNotFollowTheNumberOfDueOccurrences) {
  const std::size_t Few =
      memoryOf(makeTimedJob(1'000, makeStep(1000, HugeSize)));
  const std::size_t Many =
      memoryOf(makeTimedJob(1'000'000, makeStep(1000, HugeSize)));
  BOOST_CHECK_LE(Many, Few + MemoryTolerance);
}

// Guards against many submissions that are each within any limit.
BOOST_FIXTURE_TEST_CASE(manyLargeJobsFitIntoADaemon, SchedulerFixture) {
  constexpr int Jobs = 100;
  constexpr int Steps = 500;
  addVm(makeVm("a", BigSize));
  const std::size_t Before = heapBytes();
  for (int Number = 0; Number < Jobs; ++Number)
    Scheduler->addJob(
        makeJob("j" + std::to_string(Number),
                std::vector<StepPlan>(Steps, makeStep(5000, HugeSize))),
        makeQueue(), MonotonicClock.now());
  runPass();
  BOOST_CHECK_LT(heapBytes() - Before, DaemonMemory / 2);
}

// Guards against tasks of a large step that are left out or run twice, also by
// a new owner, and against stored progress that is larger than a row.
BOOST_FIXTURE_TEST_CASE(largeStepIsContinuedByANewOwner, LargeJobFixture) {
  constexpr int Tasks = 20'000;
  const JobPlan Plan = makeJob("j", {makeStep(Tasks, {100, 10, 0})});
  addVm(makeVm("a", {20'000, 10'000, 0}));
  Scheduler->addJob(Plan, makeQueue(), MonotonicClock.now());
  const std::vector<StartRun> Running = runTasks(Tasks / 2 + 50);
  BOOST_REQUIRE(!Running.empty());
  endRun(Running[1], RunOutcome::Done);
  endRun(Running[3], RunOutcome::Failed);
  std::vector<StartRun> StillRunning;
  for (std::size_t Index = 0; Index < Running.size(); ++Index)
    if (Index != 1 && Index != 3)
      StillRunning.push_back(Running[Index]);
  completeByNewOwner(Plan, StillRunning, Tasks);
  BOOST_CHECK_EQUAL(Counts.size(), Tasks);
  for (const auto &[Task, Count] : Counts)
    BOOST_CHECK_EQUAL(Count, Task == Running[3].Run.Task ? 2 : 1);
}

// Guards against stored progress that is larger than a row where many steps of
// a job are done in part, so that the job fails.
BOOST_FIXTURE_TEST_CASE(manyStepsInPartFitIntoARow, LargeJobFixture) {
  constexpr int Steps = 40;
  constexpr int TasksPerStep = 1000;
  constexpr int Tasks = Steps * TasksPerStep;
  StepPlan Step = makeStep(TasksPerStep, {100, 10, 0});
  Step.MaxPerVm = 5;
  const JobPlan Plan = makeJob("j", std::vector<StepPlan>(Steps, Step));
  addVm(makeVm("a", {20'000, 10'000, 0}));
  Scheduler->addJob(Plan, makeQueue(), MonotonicClock.now());
  completeByNewOwner(Plan, runTasks(Tasks / 4 * 3 + 50), Tasks);
  BOOST_CHECK_EQUAL(Counts.size(), Tasks);
  for (const auto &[Task, Count] : Counts)
    BOOST_CHECK_EQUAL(Count, 1);
}

// Guards against occurrences that are left out or run twice where more are due
// than are open at a time, also by a new owner, and against stored progress
// that is larger than a row.
BOOST_FIXTURE_TEST_CASE(dueOccurrencesAreContinuedByANewOwner,
                        LargeJobFixture) {
  constexpr int Occurrences = 20'000;
  const JobPlan Plan = makeTimedJob(Occurrences, makeStep(1, {100, 10, 0}));
  addVm(makeVm("a", {20'000, 10'000, 0}));
  Scheduler->addJob(Plan, makeQueue(), MonotonicClock.now());
  const std::vector<StartRun> Running = runTasks(Occurrences / 2 + 50);
  completeByNewOwner(Plan, Running, Occurrences);
  BOOST_CHECK_EQUAL(Counts.size(), Occurrences);
  for (const auto &[Task, Count] : Counts)
    BOOST_CHECK_EQUAL(Count, 1);
}

// Guards against an owner that ends over a stored range that its job doesn't
// have.
BOOST_FIXTURE_TEST_CASE(rangesBeyondTheJobAreCut, LargeJobFixture) {
  constexpr int Huge = 2'147'483'647;
  TaskProgress Tasks;
  Tasks.Index = 1;
  Tasks.Done = true;
  Tasks.Count = Huge;
  JobProgress Progress;
  Progress.Stage = JobStage::Running;
  Progress.Occurrences = {OccurrenceProgress{0, true, {}, 2},
                          OccurrenceProgress{3, true, {}, Huge},
                          OccurrenceProgress{Huge, true, {}, 1},
                          OccurrenceProgress{-1, true, {}, -1},
                          OccurrenceProgress{2, false, {}, 1}};
  Progress.Occurrences.back().Steps = {StepProgress{0, false, 0, {Tasks}, 0}};
  addVm(makeVm("a", BigSize));
  Scheduler->restoreJob(makeTimedJob(5, makeStep(3, SmallSize)), makeQueue(),
                        MonotonicClock.now(), Progress);
  runTasks(1);
  BOOST_CHECK_EQUAL(Counts.size(), 1);
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Completed);
}

// Guards against a gang that is placed though no row can hold its progress.
BOOST_FIXTURE_TEST_CASE(gangBeyondARecordFailsBeforeItStarts,
                        SchedulerFixture) {
  addVm(makeVm("a", BigSize));
  StepPlan Gang = makeStep(2'500'000, {0, 0, 0});
  Gang.Gang = true;
  Scheduler->addJob(makeJob("j", {Gang}), makeQueue(), MonotonicClock.now());
  runPass();
  BOOST_CHECK(Starts.empty());
  BOOST_CHECK(Scheduler->stage("j") == JobStage::Failed);
  BOOST_CHECK(Scheduler->failure("j") == JobFailure::RecordTooLarge);
}

// Guards against a submission that is rejected for numbers that the scheduler
// can handle.
BOOST_AUTO_TEST_CASE(planWithLargeNumbersIsAccepted) {
  BOOST_CHECK(checkPlan(
      makeJob("j", std::vector<StepPlan>(3000, makeStep(1, SmallSize)))));
  BOOST_CHECK(checkPlan(makeJob("j", {makeStep(2'500'000, SmallSize)})));
  BOOST_CHECK(checkPlan(makeTimedJob(2'500'000, makeStep(1, SmallSize))));
}
