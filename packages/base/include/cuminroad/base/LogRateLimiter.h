#ifndef CUMINROAD_BASE_LOGRATELIMITER_H
#define CUMINROAD_BASE_LOGRATELIMITER_H

#include <cstdint>
#include <map>

#include "cuminroad/base/Clock.h"
#include "cuminroad/base/EventId.h"

namespace cuminroad {

/// Limits the log lines of each event id per second, so that load can't make
/// logging slow the process down. Warnings and errors have a higher limit than
/// informational events: lines about refusals, stops and losses are the last to
/// be dropped. Not thread-safe.
class LogRateLimiter {
public:
  /// Counts a line of this event. \returns whether it may be written; if not,
  /// it is counted as dropped.
  bool tryAcquire(EventId Id, TimePoint Now);
  /// Resets the count of dropped lines. \returns its previous value.
  std::uint64_t takeDropCount();
  /// Counts a line as dropped.
  void recordDrop() { ++DropCount_; }

private:
  TimePoint WindowStart_{};
  std::map<EventId, int> LinesInWindow_;
  std::uint64_t DropCount_ = 0;
};

} // namespace cuminroad

#endif
