#ifndef CUMINROAD_POOL_WALLCLOCK_H
#define CUMINROAD_POOL_WALLCLOCK_H

#include "cuminroad/base/Clock.h"

namespace cuminroad {

/// Source of the time of day, which may jump. Only due times are counted in it.
class WallClock {
public:
  virtual ~WallClock() = default;
  /// \returns milliseconds since 1970.
  virtual milliseconds sinceEpoch() const = 0;
};

} // namespace cuminroad

#endif
