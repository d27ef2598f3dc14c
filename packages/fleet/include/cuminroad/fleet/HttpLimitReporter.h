#ifndef CUMINROAD_FLEET_HTTPLIMITREPORTER_H
#define CUMINROAD_FLEET_HTTPLIMITREPORTER_H

#include <map>
#include <string>
#include <utility>

#include "cuminroad/base/Clock.h"
#include "cuminroad/base/EventLog.h"
#include "cuminroad/fleet/FleetMetrics.h"
#include "cuminroad/fleet/HttpBudgets.h"

namespace cuminroad {

/// Counts the limits of HTTP servers that are hit, and logs at most one line a
/// second for each server and cause.
class HttpLimitReporter {
public:
  HttpLimitReporter(const Clock &MonotonicClock, EventLog &Events,
                    FleetMetrics &Metrics)
      : MonotonicClock_(MonotonicClock), Events_(Events), Metrics_(Metrics) {}

  void report(ServerRole Server, LimitCause Cause, const std::string &Peer);

private:
  struct Count {
    std::uint64_t Unlogged = 0;
    TimePoint LoggedAt{};
    bool Logged = false;
  };

  const Clock &MonotonicClock_;
  EventLog &Events_;
  FleetMetrics &Metrics_;
  std::map<std::pair<ServerRole, LimitCause>, Count> Counts_;
};

} // namespace cuminroad

#endif
