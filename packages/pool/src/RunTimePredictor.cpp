#include "RunTimePredictor.h"

#include <algorithm>
#include <cmath>

namespace cuminroad {

namespace {

/// Weight of what is assumed before anything is known, in ended steps.
constexpr double PriorWeight = 2;
/// Variances that are assumed at first: estimates and the run times of a queue
/// are both off by a factor of about 2.
constexpr double PriorVariance = 0.5;
/// A known run time of the same step weighs as much as this many times the
/// prediction without any: tasks of a step differ by 15 to 30 %, predictions
/// are off by 40 to 50 %.
constexpr double PredictionWeight = 0.2;
/// The history follows changes within about this many steps.
constexpr double MaxHistory = 100;
/// Predictions change little until so many more steps have ended.
constexpr double VersionInterval = 16;
constexpr double MinVariance = 0.01;

} // namespace

double logMs(milliseconds Time) {
  return std::log(static_cast<double>(std::max(Time, milliseconds(1)).count()));
}

milliseconds fromLogMs(double Log) {
  return milliseconds(std::llround(std::exp(std::min(Log, 30.0))));
}

void RunTimePredictor::Moments::add(double Value, double Weight) {
  const double Delta = Value - Mean;
  Mean += Delta * Weight;
  Variance = (1 - Weight) * (Variance + Weight * Delta * Delta);
}

void RunTimePredictor::record(milliseconds Estimate, milliseconds Actual,
                              double Weight) {
  Weight_ = std::min(Weight_ + Weight, MaxHistory);
  const double Part = Weight / Weight_;
  RunTime_.add(logMs(Actual), Part);
  if (Estimate.count() > 0)
    Ratio_.add(logMs(Actual) - logMs(Estimate), Part);
  NextVersionAt_ -= Weight;
  if (NextVersionAt_ > 0)
    return;
  ++Version_;
  NextVersionAt_ = std::min(Weight_, VersionInterval);
}

double RunTimePredictor::predictLog(milliseconds Estimate) const {
  const auto Accuracy = [this](const Moments &Of) {
    const double Variance =
        (Of.Variance * Weight_ + PriorVariance * PriorWeight) /
        (Weight_ + PriorWeight);
    return 1 / std::max(Variance, MinVariance);
  };
  // Few samples say little about the mean either.
  const double Known = Weight_ / (Weight_ + PriorWeight);
  if (Estimate.count() <= 0)
    return RunTime_.Mean;
  const double FromEstimate = logMs(Estimate) + Known * Ratio_.Mean;
  const double HistoryAccuracy = Known * Accuracy(RunTime_);
  const double EstimateAccuracy = Accuracy(Ratio_);
  return (HistoryAccuracy * RunTime_.Mean + EstimateAccuracy * FromEstimate) /
         (HistoryAccuracy + EstimateAccuracy);
}

milliseconds RunTimePredictor::predict(milliseconds Estimate) const {
  if (Weight_ <= 0)
    return Estimate;
  return fromLogMs(predictLog(Estimate));
}

milliseconds RunTimePredictor::predict(milliseconds Estimate,
                                       const RunTimeSamples &OfStep) const {
  if (OfStep.count() == 0)
    return predict(Estimate);
  const double Prior = Weight_ > 0 ? predictLog(Estimate) : logMs(Estimate);
  return fromLogMs((OfStep.sum() + PredictionWeight * Prior) /
                   (OfStep.count() + PredictionWeight));
}

} // namespace cuminroad
