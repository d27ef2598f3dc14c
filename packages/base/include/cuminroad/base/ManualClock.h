#ifndef CUMINROAD_BASE_MANUALCLOCK_H
#define CUMINROAD_BASE_MANUALCLOCK_H

#include "cuminroad/base/Clock.h"

namespace cuminroad {

/// A clock that moves only in advance(); for tests and benchmarks.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return Now_; }
  /// Moves the clock forward by \p Step, in milliseconds.
  void advance(milliseconds Step) { Now_ += Step; }

private:
  TimePoint Now_ = TimePoint(std::chrono::hours(1));
};

} // namespace cuminroad

#endif
