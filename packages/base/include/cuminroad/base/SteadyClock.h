#ifndef CUMINROAD_BASE_STEADYCLOCK_H
#define CUMINROAD_BASE_STEADYCLOCK_H

#include "cuminroad/base/Clock.h"

namespace cuminroad {

/// The machine's monotonic clock; it may stop while the machine is suspended.
class SteadyClock final : public Clock {
public:
  TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

} // namespace cuminroad

#endif
