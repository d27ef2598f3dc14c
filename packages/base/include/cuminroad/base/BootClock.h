#ifndef CUMINROAD_BASE_BOOTCLOCK_H
#define CUMINROAD_BASE_BOOTCLOCK_H

#include <ctime>

#include "cuminroad/base/Clock.h"

namespace cuminroad {

/// The machine's boot-time clock: monotonic, and it also advances while the
/// machine is suspended. A lease that another machine also times must be
/// measured by this clock, or it would outlast the other side's lease after a
/// suspension.
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
