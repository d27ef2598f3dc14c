// Which jobs may still turn out to be accepted.

#include <boost/test/unit_test.hpp>

#include "cuminroad/fakes/FakeLoop.h"
#include "cuminroad/fleet/UnsettledJobs.h"

using namespace cuminroad;

// Guards against a refusal of one of two copies of a submission while the other
// one is still being written.
BOOST_AUTO_TEST_CASE(jobIsUnsettledUntilItsLastSubmissionEnds) {
  const ManualClock Clock;
  UnsettledJobs Jobs(Clock);
  BOOST_CHECK(!Jobs.contains("j"));
  Jobs.add("j");
  Jobs.add("j");
  Jobs.settle("j", false);
  BOOST_CHECK(Jobs.contains("j"));
  BOOST_CHECK(!Jobs.contains("k"));
  Jobs.settle("j", false);
  BOOST_CHECK(!Jobs.contains("j"));
}

BOOST_AUTO_TEST_CASE(unknownOutcomeIsKeptUntilTheJobIsAccepted) {
  const ManualClock Clock;
  UnsettledJobs Jobs(Clock);
  Jobs.add("j");
  Jobs.giveUp("j");
  BOOST_CHECK(Jobs.contains("j"));
  Jobs.add("j");
  Jobs.settle("j", false);
  BOOST_CHECK(Jobs.contains("j"));
  Jobs.add("j");
  Jobs.settle("j", true);
  BOOST_CHECK(!Jobs.contains("j"));
}

// Guards against a set that grows without end.
BOOST_AUTO_TEST_CASE(unknownOutcomeExpires) {
  ManualClock Clock;
  UnsettledJobs Jobs(Clock);
  Jobs.add("j");
  Jobs.giveUp("j");
  Clock.advance(UnsettledJobs::UnknownLifetime / 2);
  Jobs.add("j");
  Jobs.giveUp("j");
  Clock.advance(UnsettledJobs::UnknownLifetime / 2);
  Jobs.add("k");
  BOOST_CHECK(Jobs.contains("j"));
  Clock.advance(UnsettledJobs::UnknownLifetime);
  BOOST_CHECK(!Jobs.contains("j"));
  Jobs.add("j");
  BOOST_CHECK_EQUAL(Jobs.size(), 2);
  Jobs.settle("j", false);
  Jobs.settle("k", false);
  BOOST_CHECK_EQUAL(Jobs.size(), 0);
}
