#ifndef CUMINROAD_BASE_BOOTCLOCK_H
#define CUMINROAD_BASE_BOOTCLOCK_H

#include <ctime>

#include "cuminroad/base/Clock.h"

namespace cuminroad {

/// The machine's monotonic clock, which goes on while the machine is suspended.
/// Leases that others count must be counted by it.
class BootClock final : public Clock {
public:
  TimePoint now() const override {
    timespec Now{};
    clock_gettime(CLOCK_BOOTTIME, &Now);
    return TimePoint(std::chrono::seconds(Now.tv_sec) +
                     std::chrono::nanoseconds(Now.tv_nsec));
  }
};

} // namespace cuminroad

#endif
