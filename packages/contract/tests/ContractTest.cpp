// Checks the JSON form of contracts, and the terms that apply while a change is
// pending.

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "cuminroad/contract/ContractRecord.h"

using namespace cuminroad;

namespace {

ContractTerms makeTerms(std::int64_t MilliCores, std::int64_t Requests) {
  ContractTerms Terms;
  Terms.MaxCapacity = Capacity{MilliCores, 1000, 1};
  Terms.MaxRequests = Requests;
  Terms.TaskStartWithin = milliseconds(1000);
  Terms.RequestStartWithin = milliseconds(100);
  return Terms;
}

} // namespace

BOOST_AUTO_TEST_CASE(recordRoundTripsThroughJson) {
  ContractRecord Record;
  Record.Customer = "refuge";
  Record.Version = 3;
  Record.Terms = makeTerms(1000, 4);
  Record.Pending = PendingChange{"c1", "ana", makeTerms(2000, 2)};
  Record.History = {AcceptedChange{3, "c0", "ion"}};
  const auto Decoded = parseContractRecord(toJson(Record));
  BOOST_REQUIRE(Decoded);
  BOOST_CHECK(Decoded->Terms == Record.Terms);
  BOOST_CHECK(Decoded->Pending->Terms == Record.Pending->Terms);
  BOOST_CHECK_EQUAL(Decoded->History.front().Operator, "ion");
}

BOOST_AUTO_TEST_CASE(pendingChangeAppliesTheStricterTerms) {
  ContractRecord Record;
  Record.Terms = makeTerms(1000, 4);
  Record.Pending = PendingChange{"c1", "ana", makeTerms(2000, 2)};
  BOOST_CHECK_EQUAL(Record.effectiveTerms()->MaxCapacity.MilliCores, 1000);
  BOOST_CHECK_EQUAL(Record.effectiveTerms()->MaxRequests, 2);
  Record.acceptPending();
  BOOST_CHECK_EQUAL(Record.effectiveTerms()->MaxCapacity.MilliCores, 2000);
  BOOST_CHECK_EQUAL(Record.Version, 1);
}

BOOST_AUTO_TEST_CASE(newOrRetiringContractHasNoTerms) {
  ContractRecord Record;
  Record.Pending = PendingChange{"c1", "ana", makeTerms(2000, 2)};
  BOOST_CHECK(!Record.effectiveTerms());
  Record.acceptPending();
  Record.Pending = PendingChange{"c2", "ana", std::nullopt};
  BOOST_CHECK(!Record.effectiveTerms());
}

BOOST_AUTO_TEST_CASE(rejectsInvalidTerms) {
  const nlohmann::json Valid = toJson(makeTerms(1000, 4));
  for (const auto &[Name, Value] :
       std::initializer_list<std::pair<const char *, nlohmann::json>>{
           {"requests", -1},
           {"requests", 1.5},
           {"milli_cores", UINT64_MAX},
           {"memory_mb", "many"},
           {"urgent", 1},
           {"never_repeat", {1}},
           {"colour", "red"}}) {
    nlohmann::json Invalid = Valid;
    Invalid[Name] = Value;
    BOOST_CHECK_MESSAGE(!parseContractTerms(Invalid), Invalid.dump());
  }
  BOOST_CHECK(!parseContractTerms(nlohmann::json::array()));
  BOOST_CHECK(parseContractTerms(Valid));
}
