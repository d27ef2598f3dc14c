#ifndef CUMINROAD_BASE_CLOCK_H
#define CUMINROAD_BASE_CLOCK_H

#include <chrono>

namespace cuminroad {

/// A point of monotonic time. Leases and timeouts are counted in it alone, so
/// that a step of the wall clock can't lengthen a lease.
using TimePoint = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Source of monotonic time, passed in so that tests can drive it.
class Clock {
public:
  virtual ~Clock() = default;
  /// \returns the present monotonic time; never smaller than a value that it
  /// returned before.
  virtual TimePoint now() const = 0;
};

} // namespace cuminroad

#endif
