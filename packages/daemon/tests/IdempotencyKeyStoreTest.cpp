// Guards against a request that ran under its idempotency key while the caller
// of another copy of it is told "not run".

#include <optional>

#include <boost/test/unit_test.hpp>

#include "ReadableTable.h"
#include "cuminroad/daemon/IdempotencyKeyStore.h"
#include "cuminroad/fakes/FakeLoop.h"

using namespace cuminroad;

namespace {

/// Answers each commit with the outcome that the test has set.
class SetTable final : public ReadableTable {
public:
  void commit(Transaction, CommitDone Done) override { Done(Answer); }
  Result<CommitOutcome> Answer = failure(ErrorCode::WriteOutcomeUnknown);
};

struct Fixture {
  FakeLoop ControlLoop;
  SetTable Rows;
  IdempotencyKeyStore Keys{Rows, ControlLoop,
                           Identity{"d1-a", "1", "d1", "h:1", "p:1"}};
  bool NewlyClaimed = true;

  Result<IdempotencyKeyClaim> claim() {
    std::optional<Result<IdempotencyKeyClaim>> Received;
    Keys.claim("k", [&](Result<IdempotencyKeyClaim> Claim, bool IsNew) {
      Received = std::move(Claim);
      NewlyClaimed = IsNew;
    });
    ControlLoop.runFor(milliseconds(1000));
    BOOST_REQUIRE(Received);
    return *Received;
  }
  void addClaim(const std::string &Daemon) {
    Rows.Rows["reqkey/k"] =
        TableRow{"reqkey/k", 1, {{"daemon", Daemon}, {"incarnation", "1"}}, ""};
  }
};

} // namespace

// Guards against "not run" about a request that another daemon has claimed.
BOOST_FIXTURE_TEST_CASE(unknownWriteFindsTheClaimOfAnotherDaemon, Fixture) {
  addClaim("d1-b");
  const auto Claim = claim();
  BOOST_REQUIRE(Claim);
  BOOST_CHECK_EQUAL(Claim->Daemon, "d1-b");
  BOOST_CHECK(!NewlyClaimed);
}

// Guards against a request that runs twice: the claim in the table may be the
// one of an earlier copy at this daemon.
BOOST_FIXTURE_TEST_CASE(unknownWriteDoesNotCountAsNewClaim, Fixture) {
  addClaim("d1-a");
  const auto Claim = claim();
  BOOST_REQUIRE(Claim);
  BOOST_CHECK(!NewlyClaimed);
}

// Guards against unknown outcomes of requests that no daemon has claimed.
BOOST_FIXTURE_TEST_CASE(unknownWriteWithoutClaimIsNotRun, Fixture) {
  const auto Claim = claim();
  BOOST_REQUIRE(!Claim);
  BOOST_CHECK(Claim.error().Code == ErrorCode::PlatformUnavailable);
  BOOST_CHECK(outcomeOfFailedClaim(Claim.error().Code) == Outcome::NotRun);
}

// Guards against "not run" where nothing is known about other copies.
BOOST_FIXTURE_TEST_CASE(unknownWriteWithoutReadIsUnknown, Fixture) {
  Rows.ReadsFail = true;
  const auto Claim = claim();
  BOOST_REQUIRE(!Claim);
  BOOST_CHECK(outcomeOfFailedClaim(Claim.error().Code) == Outcome::Unknown);
}

// Guards against "not run" about a key that is known to be claimed.
BOOST_FIXTURE_TEST_CASE(unreadableClaimIsUnknown, Fixture) {
  Rows.Answer = CommitOutcome{0, {"reqkey/k"}};
  Rows.ReadsFail = true;
  const auto Claim = claim();
  BOOST_REQUIRE(!Claim);
  BOOST_CHECK(Claim.error().Code == ErrorCode::KeyAlreadyClaimed);
  BOOST_CHECK(outcomeOfFailedClaim(Claim.error().Code) == Outcome::Unknown);
}
