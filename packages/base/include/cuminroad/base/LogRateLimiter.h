#ifndef CUMINROAD_BASE_LOGRATELIMITER_H
#define CUMINROAD_BASE_LOGRATELIMITER_H

#include <cstdint>
#include <map>

#include "cuminroad/base/Clock.h"
#include "cuminroad/base/EventId.h"

namespace cuminroad {

/// Bounds the log lines of each kind of event in a second, so that load costs
/// lines and not service. Warnings and errors have a larger share: decisions
/// that refuse, stop or lose something are kept longest.
class LogRateLimiter {
public:
  /// \returns whether one more line of this kind may be written now.
  bool tryAcquire(EventId Id, TimePoint Now);
  /// \returns the lines left out since the last call.
  std::uint64_t takeDropCount();
  /// Counts a line that could not be written.
  void recordDrop() { ++DropCount_; }

private:
  TimePoint WindowStart_{};
  std::map<EventId, int> LinesInWindow_;
  std::uint64_t DropCount_ = 0;
};

} // namespace cuminroad

#endif
