// Tests the prediction of run times from history, estimates and progress.

#include <cmath>
#include <random>

#include <boost/test/unit_test.hpp>

#include "../src/RunTimePredictor.h"
#include "SchedulerFixture.h"

using namespace cuminroad;

namespace {

/// \returns the mean factor by which predictions are off after a history, and
/// that of the estimates.
std::pair<double, double> meanFactors(double EstimateSigma, double Bias) {
  std::mt19937 Random(1);
  std::normal_distribution<double> Normal(0, 1);
  RunTimePredictor Predictor;
  double Predicted = 0, Estimated = 0;
  constexpr int Warmup = 50, Measured = 2000;
  for (int Number = 0; Number < Warmup + Measured; ++Number) {
    const double Log = std::log(2000) + 0.5 * Normal(Random);
    const milliseconds Actual = fromLogMs(Log);
    const milliseconds Estimate =
        fromLogMs(Log + Bias + EstimateSigma * Normal(Random));
    if (Number >= Warmup) {
      Predicted += std::abs(logMs(Predictor.predict(Estimate)) - Log);
      Estimated += std::abs(logMs(Estimate) - Log);
    }
    Predictor.record(Estimate, Actual, 1);
  }
  return {std::exp(Predicted / Measured), std::exp(Estimated / Measured)};
}

struct PredictingFixture : SchedulerFixture {
  PredictingFixture() {
    Options.PredictRunTimes = true;
    Scheduler = makePoolScheduler(MonotonicClock, SystemClock, Options);
    MonotonicClock.advance(milliseconds(100000));
  }
  void submit(const std::string &Job, const StepPlan &Step, int Priority = 0) {
    Scheduler->addJob(makeJob(Job, {Step}), makeQueue(Priority),
                      MonotonicClock.now());
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(predictionsAreBetterThanBothSources) {
  // The load: estimates with errors of 0.5 to 0.9 in the logarithm, also ones
  // that are too low throughout.
  for (const double Sigma : {0.5, 0.9})
    for (const double Bias : {0.0, -0.7}) {
      const auto [Predicted, Estimated] = meanFactors(Sigma, Bias);
      BOOST_TEST_MESSAGE(Sigma << " " << Bias << ": " << Predicted << " "
                               << Estimated);
      BOOST_CHECK_LT(Predicted, Estimated);
      // The mean factor of the history alone.
      BOOST_CHECK_LT(Predicted, std::exp(0.5 * std::sqrt(2 / M_PI)));
    }
  // Right estimates are not made worse.
  BOOST_CHECK_LT(meanFactors(0, 0).first, 1.05);
}

BOOST_AUTO_TEST_CASE(nothingKnownLeavesTheEstimate) {
  const RunTimePredictor Predictor;
  BOOST_CHECK(Predictor.predict(milliseconds(1234)) == milliseconds(1234));
}

BOOST_AUTO_TEST_CASE(tasksOfTheStepOutweighHistory) {
  RunTimePredictor Predictor;
  for (int Number = 0; Number < 50; ++Number)
    Predictor.record(milliseconds(1000), milliseconds(1000), 1);
  RunTimeSamples OfStep;
  OfStep.add(logMs(milliseconds(4000)));
  BOOST_CHECK_GT(Predictor.predict(milliseconds(1000), OfStep).count(), 3000);
  OfStep.remove(logMs(milliseconds(4000)));
  BOOST_CHECK_EQUAL(Predictor.predict(milliseconds(1000), OfStep).count(),
                    1000);
}

BOOST_FIXTURE_TEST_CASE(progressTellsWhenCapacityIsFree, PredictingFixture) {
  // Estimates that are far too low made a task overrun the reservation of a
  // gang: the backfilled task must not start if progress shows that the VM will
  // be free before it ends.
  addVm(makeVm("a", BigSize));
  submit("running", makeStep(1, Capacity{3000, 100, 0}, 10000));
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  acceptStart(Starts[0]);
  MonotonicClock.advance(milliseconds(1000));
  RunningTask Running;
  Running.Run = Starts[0].Run;
  Running.ProgressPercent = 50;
  reportRuns("a", {Running});
  StepPlan Gang = makeStep(4, SmallSize);
  Gang.Gang = true;
  submit("gang", Gang);
  submit("backfill", makeStep(1, SmallSize, 5000), 2);
  runPass();
  BOOST_CHECK(Starts.empty());
}

BOOST_FIXTURE_TEST_CASE(restoredRunTellsNoRunTime, PredictingFixture) {
  // After a takeover the start of a run is not known: 90 % after 100 ms would
  // make all tasks of the step look short, and a gang would be reserved VMs
  // that are not free in time.
  addVm(makeVm("a", BigSize));
  JobProgress Progress;
  Progress.Stage = JobStage::Running;
  TaskProgress Task;
  Task.Run = 1;
  Task.Vm = "a";
  Task.VmIncarnation = 1;
  Progress.Occurrences = {
      OccurrenceProgress{0, false, {StepProgress{0, false, 0, {Task}, 0}}, 1}};
  Scheduler->restoreJob(
      makeJob("running", {makeStep(1, Capacity{3000, 100, 0}, 60000)}),
      makeQueue(), MonotonicClock.now(), Progress);
  MonotonicClock.advance(milliseconds(100));
  RunningTask Running;
  Running.Run = TaskRun{TaskName{StepName{"running", 0, 0}, 0}, 1};
  Running.ProgressPercent = 90;
  reportRuns("a", {Running});
  StepPlan Gang = makeStep(4, SmallSize);
  Gang.Gang = true;
  submit("gang", Gang);
  submit("backfill", makeStep(1, SmallSize, 5000), 2);
  runPass();
  BOOST_CHECK_EQUAL(Starts.size(), 1);
}

BOOST_FIXTURE_TEST_CASE(wrongEstimatesDoNotMakeVmsSlow, PredictingFixture) {
  // Estimates that are three times too low made all VMs look slow, so that the
  // tasks of a queue with right estimates avoided the VMs used before.
  addVm(makeVm("a", BigSize));
  for (int Number = 0; Number < 30; ++Number) {
    submit("low" + std::to_string(Number), makeStep(1, SmallSize, 300));
    runPass();
    BOOST_REQUIRE_EQUAL(Starts.size(), 1);
    acceptStart(Starts[0]);
    MonotonicClock.advance(milliseconds(900));
    endRun(Starts[0], RunOutcome::Done);
  }
  // "a" is the better fit unless it counts as slow.
  addVm(makeVm("b", Capacity{8000, 1000, 0}));
  submit("next", makeStep(1, SmallSize, 300), 1);
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Vm, "a");
}
