#include "cuminroad/fleet/HttpLimitReporter.h"

#include <fmt/format.h>

namespace cuminroad {

namespace {

constexpr seconds LogInterval{1};

} // namespace

void HttpLimitReporter::report(ServerRole Server, LimitCause Cause,
                               const std::string &Peer) {
  Metrics_.recordHttpLimit(serverRoleName(Server), limitCauseName(Cause));
  Count &Of = Counts_[{Server, Cause}];
  ++Of.Unlogged;
  const TimePoint Now = MonotonicClock_.now();
  if (Of.Logged && Now - Of.LoggedAt < LogInterval)
    return;
  Events_.record(EventId::HttpLimitHit, serverRoleName(Server),
                 fmt::format("cause {} peer {} count {}", limitCauseName(Cause),
                             Peer, Of.Unlogged));
  Of = Count{0, Now, true};
}

} // namespace cuminroad
