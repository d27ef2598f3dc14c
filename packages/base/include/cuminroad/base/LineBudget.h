#ifndef CUMINROAD_BASE_LINEBUDGET_H
#define CUMINROAD_BASE_LINEBUDGET_H

#include <cstdint>
#include <map>

#include "cuminroad/base/Clock.h"
#include "cuminroad/base/EventId.h"

namespace cuminroad {

/// Bounds the log lines of each kind of event in a second, so that load costs
/// lines and not service. Warnings and errors have a larger share: decisions
/// that refuse, stop or lose something are kept longest.
class LineBudget {
public:
  /// \returns whether one more line of this kind may be written now.
  bool take(EventId Id, TimePoint Now);
  /// \returns the lines left out since the last call.
  std::uint64_t takeDropped();
  /// Counts a line that could not be written.
  void drop() { ++Dropped_; }

private:
  TimePoint SecondBegan_{};
  std::map<EventId, int> Used_;
  std::uint64_t Dropped_ = 0;
};

} // namespace cuminroad

#endif
