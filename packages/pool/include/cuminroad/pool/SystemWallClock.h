#ifndef CUMINROAD_POOL_SYSTEMWALLCLOCK_H
#define CUMINROAD_POOL_SYSTEMWALLCLOCK_H

#include "cuminroad/pool/WallClock.h"

namespace cuminroad {

/// Wall clock of the operating system.
class SystemWallClock final : public WallClock {
public:
  milliseconds sinceEpoch() const override {
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
  }
};

} // namespace cuminroad

#endif
