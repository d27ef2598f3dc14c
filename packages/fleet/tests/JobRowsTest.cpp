// Rows of accepted jobs, as this and earlier versions write them.

#include <boost/test/unit_test.hpp>

#include "cuminroad/base/MessagePack.h"
#include "cuminroad/fleet/JobRows.h"

using namespace cuminroad;

namespace {

JobRequest makeRequest() {
  JobRequest Out;
  Out.Queue = "q";
  Out.Service = "s";
  Out.AcceptedAt = milliseconds(5);
  Out.Plan.Id = "0a";
  Out.Plan.Steps.resize(1);
  Out.Plan.Steps[0].Tasks = 1;
  return Out;
}

} // namespace

BOOST_AUTO_TEST_CASE(rowKeepsTheTermsOfItsQueue) {
  for (const bool Advised : {false, true}) {
    JobRequest Request = makeRequest();
    QueueTerms Terms;
    Terms.Priority = 2;
    Terms.MaxAttempts = 4;
    Terms.Stretch = 1.5;
    Terms.LatencyTarget = milliseconds(300);
    if (Advised)
      Terms.Advice = AdviceTerms{milliseconds(20), 0.1, milliseconds(2000)};
    Request.Terms = Terms;
    const auto Row = decodeRequest("0a", encodeRequest(Request));
    BOOST_REQUIRE(Row);
    BOOST_REQUIRE(Row->Terms);
    BOOST_CHECK(Row->Terms->Known);
    BOOST_CHECK_EQUAL(Row->Terms->Name, "q");
    BOOST_CHECK_EQUAL(Row->Terms->Service, "s");
    BOOST_CHECK_EQUAL(Row->Terms->Priority, 2);
    BOOST_CHECK_EQUAL(Row->Terms->MaxAttempts, 4);
    BOOST_CHECK_EQUAL(Row->Terms->Stretch, 1.5);
    BOOST_CHECK(Row->Terms->LatencyTarget == milliseconds(300));
    BOOST_REQUIRE_EQUAL(Row->Terms->Advice.has_value(), Advised);
    if (!Advised)
      continue;
    BOOST_CHECK(Row->Terms->Advice->DecisionTime == milliseconds(20));
    BOOST_CHECK_EQUAL(Row->Terms->Advice->PerVmMs, 0.1);
    BOOST_CHECK(Row->Terms->Advice->ValidFor == milliseconds(2000));
  }
}

// Guards against jobs that are lost in an upgrade: earlier versions write rows
// without terms.
BOOST_AUTO_TEST_CASE(rowOfAnEarlierVersionIsRead) {
  const std::string Bytes = packMessage({{"queue", "q"},
                                         {"service", "s"},
                                         {"at", 5},
                                         {"plan", toJson(makeRequest().Plan)}});
  const auto Row = decodeRequest("0a", Bytes);
  BOOST_REQUIRE(Row);
  BOOST_CHECK(!Row->Terms);
  BOOST_CHECK_EQUAL(Row->Queue, "q");
}
