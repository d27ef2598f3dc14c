// The shares of the HTTP servers in a daemon's memory and descriptors, and the
// reports of limits that are hit.

#include <boost/test/unit_test.hpp>

#include "cuminroad/fakes/FakeLoop.h"
#include "cuminroad/fleet/HttpLimitReporter.h"

using namespace cuminroad;

namespace {

/// For the daemon's own state, its calls, and files.
constexpr double MinRemainingShare = 0.5;
constexpr std::size_t ReservedForFiles = 200;

} // namespace

// Guards against servers that together use up the daemon, in particular on the
// smallest VM, and on the one of http_limits_test.
BOOST_AUTO_TEST_CASE(serversLeaveRoomForTheDaemon) {
  for (const auto &[MemoryMb, Descriptors] :
       {std::pair(48, 400), std::pair(120, 3075), std::pair(512, 20000)}) {
    FleetSettings Settings;
    Settings.MemoryMb = MemoryMb;
    Settings.MaxDescriptors = Descriptors;
    std::size_t Bytes = 0;
    std::size_t Connections = 0;
    for (const ServerRole Role : ServerRoles) {
      const HttpBudget Budget = makeHttpBudget(Role, Settings, QueueConfig());
      BOOST_CHECK(!Budget.Raised);
      Bytes += Budget.Limits.MaxHeldBytes;
      Connections += Budget.Limits.MaxConnections;
    }
    BOOST_CHECK_LE(static_cast<double>(Bytes),
                   (1 - MinRemainingShare) * MemoryMb * (1 << 20));
    BOOST_CHECK_LE(Connections + ReservedForFiles, Descriptors);
  }
}

// The smallest VM serves a few hundred clients.
BOOST_AUTO_TEST_CASE(smallestVmServesItsClients) {
  FleetSettings Settings;
  Settings.MemoryMb = 120;
  Settings.MaxDescriptors = 3075;
  const ConnectionLimits Limits =
      makeHttpBudget(ServerRole::Frontend, Settings, QueueConfig()).Limits;
  BOOST_CHECK_GE(Limits.MaxConnections, 700);
  BOOST_CHECK_GE(Limits.MaxHeldBytes,
                 700 * (ConnectionBudget::ConnectionCost + 8192));
}

// Guards against settings with which a daemon could serve nobody.
BOOST_AUTO_TEST_CASE(unusableLimitsAreRaised) {
  FleetSettings Settings;
  Settings.MemoryMb = 1;
  Settings.MaxDescriptors = 1;
  for (const ServerRole Role : ServerRoles) {
    const HttpBudget Budget = makeHttpBudget(Role, Settings, QueueConfig());
    BOOST_CHECK(Budget.Raised);
    BOOST_CHECK_GE(Budget.Limits.MaxHeldBytes, 2 << 20);
    BOOST_CHECK_GE(Budget.Limits.MaxConnections, 8);
  }
}

// The contracts apply to clients, and not to other daemons.
BOOST_AUTO_TEST_CASE(contractsLimitClientsOnly) {
  QueueConfig Config;
  Config.MaxBodyBytes = 1000;
  Config.MaxHeaderBytes = 2000;
  Config.HeaderTimeout = milliseconds(3);
  Config.IdleTimeout = milliseconds(4);
  for (const ServerRole Role : {ServerRole::Frontend, ServerRole::Readiness}) {
    const ConnectionLimits Limits =
        makeHttpBudget(Role, FleetSettings(), Config).Limits;
    BOOST_CHECK_EQUAL(Limits.MaxBodyBytes, 1000);
    BOOST_CHECK_EQUAL(Limits.MaxHeadBytes, 2000);
    BOOST_CHECK_EQUAL(Limits.HeadTimeout.count(), 3);
    BOOST_CHECK_EQUAL(Limits.IdleTimeout.count(), 4);
  }
  const ConnectionLimits Limits =
      makeHttpBudget(ServerRole::Peers, FleetSettings(), Config).Limits;
  BOOST_CHECK_GE(Limits.MaxBodyBytes, 1500000);
  BOOST_CHECK_GE(Limits.IdleTimeout.count(), 60000);
}

// Guards against a flood of log lines.
BOOST_AUTO_TEST_CASE(hitsAreCountedAndLoggedOnceASecond) {
  FakeLoop Loop;
  EventLog Events("a", 100, nullptr);
  FleetMetrics Metrics;
  HttpLimitReporter Reporter(Loop.MonotonicClock, Events, Metrics);
  for (int Number = 0; Number < 50; ++Number)
    Reporter.report(ServerRole::Frontend, LimitCause::Memory, "1.2.3.4:5");
  Loop.runFor(milliseconds(1000));
  Reporter.report(ServerRole::Frontend, LimitCause::Memory, "1.2.3.4:6");
  Reporter.report(ServerRole::Readiness, LimitCause::Memory, "1.2.3.4:7");
  const auto Logged = Events.since(0);
  BOOST_REQUIRE_EQUAL(Logged.size(), 3);
  BOOST_CHECK_EQUAL(Logged[1].Detail, "cause memory peer 1.2.3.4:6 count 50");
  BOOST_CHECK(Metrics.render().find("cuminroad_http_limits_total{cause="
                                    "\"memory\",server=\"front\"} 51") !=
              std::string::npos);
}
