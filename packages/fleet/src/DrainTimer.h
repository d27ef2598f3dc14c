#ifndef CUMINROAD_FLEET_SRC_DRAINTIMER_H
#define CUMINROAD_FLEET_SRC_DRAINTIMER_H

#include <cstddef>
#include <optional>

#include "cuminroad/base/Clock.h"

namespace cuminroad {

/// Decides when a stopping daemon may end: once no request has been in flight
/// for some time, or at its deadline. A request that has arrived is not in
/// flight before it has been read, which takes a while on a busy daemon.
class DrainTimer {
public:
  DrainTimer(milliseconds IdleTime, TimePoint Deadline)
      : IdleTime_(IdleTime), Deadline_(Deadline) {}

  /// To be called at intervals, with the number of requests in flight.
  bool isOver(std::size_t InFlight, TimePoint Now) {
    if (InFlight > 0)
      IdleSince_.reset();
    else if (!IdleSince_)
      IdleSince_ = Now;
    return (IdleSince_ && Now - *IdleSince_ >= IdleTime_) || Now >= Deadline_;
  }

private:
  milliseconds IdleTime_;
  TimePoint Deadline_;
  std::optional<TimePoint> IdleSince_;
};

} // namespace cuminroad

#endif
