// Tests when a stopping daemon ends.

#include <boost/test/unit_test.hpp>

#include "../src/DrainTimer.h"

using namespace cuminroad;

namespace {

constexpr milliseconds IdleTime{300};
const TimePoint Begin{};
const TimePoint Deadline = Begin + milliseconds(5000);

} // namespace

// Guards against a daemon that ends while a request that has arrived is still
// to be read: its connection closed without a response.
BOOST_AUTO_TEST_CASE(requestThatIsReadLateIsAnswered) {
  DrainTimer Timer(IdleTime, Deadline);
  BOOST_CHECK(!Timer.isOver(0, Begin));
  BOOST_CHECK(!Timer.isOver(0, Begin + milliseconds(150)));
  BOOST_CHECK(!Timer.isOver(1, Begin + milliseconds(200)));
  BOOST_CHECK(!Timer.isOver(1, Begin + milliseconds(900)));
  BOOST_CHECK(!Timer.isOver(0, Begin + milliseconds(950)));
  BOOST_CHECK(!Timer.isOver(0, Begin + milliseconds(1200)));
  BOOST_CHECK(Timer.isOver(0, Begin + milliseconds(1250)));
}

BOOST_AUTO_TEST_CASE(drainEndsAtItsDeadline) {
  DrainTimer Timer(IdleTime, Deadline);
  BOOST_CHECK(!Timer.isOver(1, Deadline - milliseconds(50)));
  BOOST_CHECK(Timer.isOver(1, Deadline));
}
