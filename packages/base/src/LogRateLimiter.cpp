#include "cuminroad/base/LogRateLimiter.h"

#include <utility>

namespace cuminroad {

namespace {

/// Lines of one event id per second. The owner of a pool writes about 300 lines
/// of starts and ends a second at 150 starts a second, the peak of two years.
constexpr int MaxInfoLinesPerSecond = 400;
constexpr int MaxWarningLinesPerSecond = 800;

} // namespace

bool LogRateLimiter::tryAcquire(EventId Id, TimePoint Now) {
  if (Now - WindowStart_ >= seconds(1)) {
    WindowStart_ = Now;
    LinesInWindow_.clear();
  }
  const bool IsWarning = eventInfo(Id).Level != Severity::Info;
  if (++LinesInWindow_[Id] <=
      (IsWarning ? MaxWarningLinesPerSecond : MaxInfoLinesPerSecond))
    return true;
  recordDrop();
  return false;
}

std::uint64_t LogRateLimiter::takeDropCount() {
  return std::exchange(DropCount_, 0);
}

} // namespace cuminroad
