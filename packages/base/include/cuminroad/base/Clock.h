#ifndef CUMINROAD_BASE_CLOCK_H
#define CUMINROAD_BASE_CLOCK_H

#include <chrono>

namespace cuminroad {

/// A point of monotonic time. Leases and timeouts are measured only in
/// monotonic time, so that an adjustment of the system clock can't lengthen a
/// lease.
using TimePoint = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Source of monotonic time, injected so that tests can control it.
class Clock {
public:
  virtual ~Clock() = default;
  /// \returns the current monotonic time, never less than a value returned
  /// before.
  virtual TimePoint now() const = 0;
};

} // namespace cuminroad

#endif
