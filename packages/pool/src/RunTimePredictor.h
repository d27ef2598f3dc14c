#ifndef CUMINROAD_POOL_SRC_RUNTIMEPREDICTOR_H
#define CUMINROAD_POOL_SRC_RUNTIMEPREDICTOR_H

#include <cstdint>

#include "cuminroad/base/Clock.h"

namespace cuminroad {

/// Logarithms of the run times of tasks of one step, measured or derived from
/// their progress.
class RunTimeSamples {
public:
  void add(double LogMs) {
    ++Count_;
    Sum_ += LogMs;
  }
  void remove(double LogMs) {
    --Count_;
    Sum_ -= LogMs;
  }
  int count() const { return Count_; }
  double sum() const { return Sum_; }

private:
  int Count_ = 0;
  double Sum_ = 0;
};

/// Predicts run times of the tasks of one queue from its history and from the
/// estimates of its steps. Both are weighted by their accuracy until now, in
/// the logarithm, since both are off by factors.
class RunTimePredictor {
public:
  /// A task has ended after \p Actual. \p Weight is at most 1: tasks of a step
  /// are alike, so together they count as one.
  void record(milliseconds Estimate, milliseconds Actual, double Weight);
  /// \returns the expected run time of a task of a step.
  milliseconds predict(milliseconds Estimate) const;
  /// \returns the expected run time of a task of a step of which some run times
  /// are known.
  milliseconds predict(milliseconds Estimate,
                       const RunTimeSamples &OfStep) const;
  /// \returns a number that changes when predictions may have changed much.
  std::int64_t version() const { return Version_; }

private:
  double predictLog(milliseconds Estimate) const;

  /// Mean and variance of a quantity, the recent past weighted most.
  struct Moments {
    double Mean = 0;
    double Variance = 0;
    void add(double Value, double Weight);
  };

  double Weight_ = 0;
  /// Of the logarithm of the run times in milliseconds.
  Moments RunTime_;
  /// Of the logarithm of the ratio of run time to estimate.
  Moments Ratio_;
  std::int64_t Version_ = 0;
  double NextVersionAt_ = 1;
};

/// \returns the logarithm of \p Time in milliseconds, of at least 1 ms.
double logMs(milliseconds Time);
/// The inverse of logMs().
milliseconds fromLogMs(double Log);

} // namespace cuminroad

#endif
