#ifndef CUMINROAD_POOL_WALLCLOCK_H
#define CUMINROAD_POOL_WALLCLOCK_H

#include "cuminroad/base/Clock.h"

namespace cuminroad {

/// Wall-clock time, which may jump. It is only used to decide when occurrences
/// of jobs are due.
class WallClock {
public:
  virtual ~WallClock() = default;
  /// \returns the time since the Unix epoch.
  virtual milliseconds sinceEpoch() const = 0;
};

} // namespace cuminroad

#endif
