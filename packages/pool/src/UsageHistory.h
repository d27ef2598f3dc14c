#ifndef CUMINROAD_POOL_SRC_USAGEHISTORY_H
#define CUMINROAD_POOL_SRC_USAGEHISTORY_H

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>

#include "cuminroad/base/Clock.h"
#include "cuminroad/contract/Capacity.h"

namespace cuminroad {

/// Remembers how much capacity was in use for a bounded time.
class UsageHistory {
public:
  /// Longest time that is remembered.
  static constexpr milliseconds MaxWindow{30000};

  void record(TimePoint Now, const Capacity &Used) {
    Interval &Current = at(numberOf(Now));
    if (Current.Number != numberOf(Now))
      Current = Interval{numberOf(Now), {}};
    Current.Peak = componentwiseMax(Current.Peak, Used);
  }
  /// \returns the most of each component that was recorded since \p Window
  /// before \p Now, or up to one interval earlier.
  Capacity peak(TimePoint Now, milliseconds Window) const {
    Capacity Out;
    const std::int64_t First = numberOf(Now - std::min(Window, MaxWindow));
    for (const Interval &Each : Intervals_)
      if (Each.Number >= First)
        Out = componentwiseMax(Out, Each.Peak);
    return Out;
  }

private:
  static constexpr milliseconds IntervalLength{250};

  struct Interval {
    std::int64_t Number = std::numeric_limits<std::int64_t>::min();
    Capacity Peak;
  };

  static std::int64_t numberOf(TimePoint When) {
    return When.time_since_epoch() / IntervalLength;
  }
  Interval &at(std::int64_t Number) {
    return Intervals_[static_cast<std::size_t>(Number) % Intervals_.size()];
  }

  std::array<Interval, MaxWindow / IntervalLength + 2> Intervals_;
};

} // namespace cuminroad

#endif
