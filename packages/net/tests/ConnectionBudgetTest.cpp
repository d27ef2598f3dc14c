// Which connections a server closes when its memory or connections run out.

#include <boost/test/unit_test.hpp>

#include "cuminroad/net/ConnectionBudget.h"

using namespace cuminroad;

namespace {

constexpr std::size_t Cost = ConnectionBudget::ConnectionCost;
const std::string Get = "GET / HTTP/1.1\r\n\r\n";
const std::string HalfHead = "GET / HTTP/1.1\r\nHo";

std::string makeBodyStart(std::size_t Bytes) {
  return "POST / HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" +
         std::string(Bytes, ' ');
}

struct Fixture {
  Fixture() {
    Limits.MaxConnections = 3;
    Limits.MaxHeldBytes = 1 << 20;
    Limits.MaxHeadBytes = 16384;
    Limits.MaxBodyBytes = 262144;
    Limits.HeadTimeout = milliseconds(3000);
    Limits.IdleTimeout = milliseconds(15000);
    Budget.setLimits(Limits);
  }

  /// Opens a connection, which must cause no closing.
  void open(ConnectionBudget::Id Connection) {
    BOOST_REQUIRE(Budget.opened(Connection, Now).empty());
  }
  ConnectionBudget::Closings receive(ConnectionBudget::Id Connection,
                                     std::string_view Bytes) {
    return Budget.received(Connection, Bytes, Now);
  }
  void serve(ConnectionBudget::Id Connection) {
    BOOST_REQUIRE(receive(Connection, Get).empty());
    Budget.requestBegan(Connection, Get.size());
    Budget.requestEnded(Connection, Get.size(), Now);
  }
  void checkOnly(const ConnectionBudget::Closings &Closings,
                 ConnectionBudget::Id Connection, LimitCause Cause,
                 int Status) {
    BOOST_REQUIRE_EQUAL(Closings.size(), 1);
    BOOST_CHECK_EQUAL(Closings[0].Connection, Connection);
    BOOST_CHECK(Closings[0].Cause == Cause);
    BOOST_CHECK_EQUAL(Closings[0].Status, Status);
  }

  ConnectionLimits Limits;
  ConnectionBudget Budget{ConnectionLimits()};
  TimePoint Now = TimePoint(seconds(1000));
};

} // namespace

// Guards against a flood of silent connections that shuts out new ones.
BOOST_FIXTURE_TEST_CASE(oldestSilentConnectionMakesRoom, Fixture) {
  for (ConnectionBudget::Id Connection : {1, 2, 3}) {
    open(Connection);
    Now += milliseconds(100);
  }
  checkOnly(Budget.opened(4, Now), 1, LimitCause::Connections, 0);
}

// A connection that was served goes after one that has been silent for a
// comparable time.
BOOST_FIXTURE_TEST_CASE(servedConnectionIsPreferredToASilentOne, Fixture) {
  open(1);
  serve(1);
  Now += milliseconds(500);
  open(2);
  Now += milliseconds(500);
  open(3);
  checkOnly(Budget.opened(4, Now), 2, LimitCause::Connections, 0);
}

// Guards against clients that send a byte now and then to look busy.
BOOST_FIXTURE_TEST_CASE(drippingHeadIsLate, Fixture) {
  open(1);
  receive(1, HalfHead);
  for (int Second = 0; Second < 2; ++Second) {
    Now += milliseconds(1000);
    receive(1, "x");
  }
  open(2);
  open(3);
  checkOnly(Budget.opened(4, Now), 1, LimitCause::Connections, 503);
}

// Guards against an overload that cuts off requests which are being handled;
// their outcome would be unknown to the client.
BOOST_FIXTURE_TEST_CASE(handledRequestIsNeverCutOff, Fixture) {
  for (ConnectionBudget::Id Connection : {1, 2, 3}) {
    open(Connection);
    receive(Connection, Get);
    Budget.requestBegan(Connection, Get.size());
  }
  Now += std::chrono::hours(1);
  checkOnly(Budget.opened(4, Now), 4, LimitCause::Connections, 0);
  BOOST_CHECK(Budget.expired(Now + milliseconds(1)).size() == 0);
}

// Guards against memory that is freed at the expense of small requests.
BOOST_FIXTURE_TEST_CASE(largestAndMostStalledConnectionFreesMemory, Fixture) {
  Limits.MaxHeldBytes = 3 * Cost + 250000;
  Budget.setLimits(Limits);
  open(1);
  open(2);
  open(3);
  receive(1, makeBodyStart(100000));
  Now += milliseconds(200);
  receive(2, makeBodyStart(100000));
  Now += milliseconds(200);
  BOOST_CHECK(receive(3, Get).empty());
  checkOnly(receive(3, makeBodyStart(60000)), 1, LimitCause::Memory, 503);
}

// A newcomer that alone is too large is refused, not the others.
BOOST_FIXTURE_TEST_CASE(largestConnectionMayBeTheNewest, Fixture) {
  Limits.MaxHeldBytes = 2 * Cost + 50000;
  Budget.setLimits(Limits);
  open(1);
  open(2);
  receive(1, HalfHead);
  checkOnly(receive(2, makeBodyStart(100000)), 2, LimitCause::Memory, 503);
}

// Requests whose handler has not answered count, and new ones are refused.
BOOST_FIXTURE_TEST_CASE(requestsInTheirHandlersAreWeighed, Fixture) {
  Limits.MaxHeldBytes = 2 * Cost + 50000;
  Budget.setLimits(Limits);
  open(1);
  receive(1, Get);
  Budget.requestBegan(1, 50000);
  open(2);
  checkOnly(receive(2, HalfHead), 2, LimitCause::Memory, 503);
  Budget.requestEnded(1, 50000, Now);
  BOOST_CHECK_EQUAL(Budget.heldBytes(), 2 * Cost + HalfHead.size());
}

// Guards against a leak in the sum over all connections.
BOOST_FIXTURE_TEST_CASE(closedConnectionsHoldNothing, Fixture) {
  open(1);
  receive(1, makeBodyStart(1000));
  open(2);
  receive(2, Get);
  Budget.requestBegan(2, 1000);
  Budget.responseBegan(2, 5000, Now);
  Budget.closed(1);
  Budget.closed(2);
  Budget.closed(2);
  BOOST_CHECK_EQUAL(Budget.heldBytes(), 0);
  BOOST_CHECK_EQUAL(Budget.connections(), 0);
}

// The library has seen a request that the meter has not: the connection counts
// as its configured maximum.
BOOST_FIXTURE_TEST_CASE(unknownWeightCountsAsTheMaximum, Fixture) {
  open(1);
  receive(1, HalfHead);
  Budget.requestBegan(1, 100);
  BOOST_CHECK_GT(Budget.heldBytes(), Limits.MaxBodyBytes);
}

// Guards against heads that are never completed, and against an end of slow
// clients that make progress.
BOOST_FIXTURE_TEST_CASE(headTimeIsByProgress, Fixture) {
  open(1);
  receive(1, HalfHead);
  open(2);
  receive(2, "GET / HTTP/1.1\r\n");
  for (int Second = 0; Second < 5; ++Second) {
    Now += milliseconds(1000);
    receive(2, "Field: " + std::string(2000, 'x') + "\r\n");
  }
  checkOnly(Budget.expired(Now), 1, LimitCause::HeadTime, 408);
}

// Guards against bodies and responses that stop half-way.
BOOST_FIXTURE_TEST_CASE(transfersWithoutProgressEnd, Fixture) {
  open(1);
  receive(1, makeBodyStart(10));
  open(2);
  receive(2, Get);
  Budget.requestBegan(2, 100);
  Budget.responseBegan(2, 5000, Now);
  Now += milliseconds(15000);
  BOOST_CHECK(Budget.expired(Now).empty());
  receive(1, " ");
  Now += milliseconds(1);
  checkOnly(Budget.expired(Now), 2, LimitCause::IdleTime, 0);
}

// The end of an idle connection that was served is not reported as a limit.
BOOST_FIXTURE_TEST_CASE(idleServedConnectionEndsUnreported, Fixture) {
  open(1);
  serve(1);
  Now += milliseconds(15001);
  const auto Closings = Budget.expired(Now);
  checkOnly(Closings, 1, LimitCause::IdleTime, 0);
  BOOST_CHECK(!Closings[0].Reported);
}

// Guards against a refusal that is written into the response to the request
// before, or taken for it.
BOOST_FIXTURE_TEST_CASE(refusalWaitsForNoOtherResponse, Fixture) {
  open(1);
  receive(1, Get);
  Budget.requestBegan(1, Get.size());
  Budget.responseBegan(1, 5000, Now);
  checkOnly(receive(1, "POST / HTTP/1.1\r\nContent-Length: 262145\r\n\r\n"), 1,
            LimitCause::BodySize, 0);
}

// A refused client gets a moment to read the response, and no second one.
BOOST_FIXTURE_TEST_CASE(refusedConnectionEndsSoon, Fixture) {
  open(1);
  checkOnly(receive(1, "POST / HTTP/1.1\r\nContent-Length: 262145\r\n\r\n"), 1,
            LimitCause::BodySize, 413);
  Budget.refused(1, Now);
  BOOST_CHECK(Budget.expired(Now + milliseconds(900)).empty());
  checkOnly(Budget.expired(Now + milliseconds(1100)), 1, LimitCause::IdleTime,
            0);
}
