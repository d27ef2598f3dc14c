// Tests calls to the store through other daemons.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "../src/StoreMessages.h"
#include "PoolTestSupport.h"
#include "cuminroad/fakes/FakeRowStore.h"
#include "cuminroad/fleet/PeerService.h"
#include "cuminroad/fleet/RelayedStore.h"

using namespace cuminroad;

namespace {

class NoAdvisor final : public PlacementAdvisor {
public:
  void advise(const StepName &, std::span<const std::string>, milliseconds,
              Done Done) override {
    Done(failure(ErrorCode::ConnectFailed));
  }
};

struct RelayedStoreFixture {
  RelayedStoreFixture()
      : Direct(Rows, ControlLoop), PeerStore(Rows, ControlLoop),
        Events("t", 10, nullptr),
        Http(makePeerHandler(Pools, Advisor, PeerStore,
                             ControlLoop.MonotonicClock),
             ControlLoop),
        Store(Direct, Http, ControlLoop, ControlLoop.MonotonicClock, Events,
              Metrics, [] { return std::vector<std::string>{"peer:1"}; }) {}

  /// Makes a call on each daemon, so that the peer knows whether it reaches the
  /// store, and this daemon probes the peer if its own call fails.
  void makeFirstCalls() {
    PeerStore.read(RowRange{"t", "p", "", ""}, milliseconds(500),
                   [](const Result<RowPage> &) {});
    ControlLoop.runFor(milliseconds(50));
    Store.read(RowRange{"t", "p", "", ""}, milliseconds(500),
               [](const Result<RowPage> &) {});
    ControlLoop.runFor(milliseconds(50));
  }

  Result<RowCommit> commit(const std::string &Value) {
    Result<RowCommit> Commit = failure(ErrorCode::NotReady);
    RowTransaction Change;
    Change.Puts.push_back(RowPut{RowName{"t", "p", "k"}, Value});
    Store.commit(Change, milliseconds(500), [&](Result<RowCommit> Outcome) {
      Commit = std::move(Outcome);
    });
    ControlLoop.runFor(milliseconds(600));
    return Commit;
  }

  static bool isWrite(const HttpCall &Post) {
    const auto Call = decodeStoreCall(Post.Body);
    return Call && std::holds_alternative<CommitCall>(*Call);
  }
  std::ptrdiff_t relayedWrites() const {
    return std::count_if(Http.Posts.begin(), Http.Posts.end(), isWrite);
  }

  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeRowStore Direct;
  FakeRowStore PeerStore;
  EventLog Events;
  FleetMetrics Metrics;
  NoOwnedPools Pools;
  NoAdvisor Advisor;
  PeerHttpClient Http;
  RelayedStore Store;
};

StoreFault refuseCall() { return StoreFault{StoreFault::Refused, {}}; }

} // namespace

BOOST_FIXTURE_TEST_CASE(refusedCallIsRelayed, RelayedStoreFixture) {
  Direct.NextFault = refuseCall;
  makeFirstCalls();
  BOOST_REQUIRE(commit("a"));
  BOOST_CHECK_EQUAL(Rows.find(RowName{"t", "p", "k"})->Value, "a");
  Result<RowPage> Page = RowPage{};
  Store.read(RowRange{"t", "p", "", ""}, milliseconds(500),
             [&](Result<RowPage> Response) { Page = std::move(Response); });
  ControlLoop.runFor(milliseconds(1000));
  BOOST_REQUIRE(Page);
  BOOST_CHECK_EQUAL(Page->Rows.size(), 1);
}

// Guards against a write that a peer performs before the connection is lost: a
// refusal of its second copy would count for both.
BOOST_FIXTURE_TEST_CASE(relayedWritesAreNotSentAgain, RelayedStoreFixture) {
  Direct.NextFault = refuseCall;
  makeFirstCalls();
  BOOST_REQUIRE(commit("a"));
  Store.read(RowRange{"t", "p", "", ""}, milliseconds(500),
             [](const Result<RowPage> &) {});
  ControlLoop.runFor(milliseconds(100));
  for (const HttpCall &Post : Http.Posts)
    BOOST_CHECK_EQUAL(Post.AllowResend, !isWrite(Post));
  BOOST_CHECK_GT(relayedWrites(), 0);
  BOOST_CHECK_GT(std::ssize(Http.Posts), relayedWrites());
}

BOOST_FIXTURE_TEST_CASE(directCallsResumeWhenStoreIsReachable,
                        RelayedStoreFixture) {
  Direct.NextFault = refuseCall;
  makeFirstCalls();
  for (int Count = 0; Count < 3; ++Count)
    BOOST_REQUIRE(commit("x"));
  Direct.NextFault = nullptr;
  for (int Count = 0; Count < 3; ++Count)
    BOOST_REQUIRE(commit("y"));
  const int CallCount = Http.CallCount;
  BOOST_REQUIRE(commit("z"));
  BOOST_CHECK_EQUAL(Http.CallCount, CallCount);
}

BOOST_FIXTURE_TEST_CASE(commitWithUnknownOutcomeIsNotRelayed,
                        RelayedStoreFixture) {
  Direct.NextFault = [] { return StoreFault{StoreFault::ResponseLost, {}}; };
  const auto Outcome = commit("x");
  BOOST_REQUIRE(!Outcome);
  BOOST_CHECK(Outcome.error().Code == ErrorCode::WriteOutcomeUnknown);
  BOOST_CHECK_EQUAL(PeerStore.CommitCalls, 0);
}

BOOST_FIXTURE_TEST_CASE(lostPeerResponseGivesUnknownOutcome,
                        RelayedStoreFixture) {
  Direct.NextFault = refuseCall;
  makeFirstCalls();
  // The peer's commit is applied, but the store's response to it is lost.
  PeerStore.NextFault = [] { return StoreFault{StoreFault::ResponseLost, {}}; };
  const auto Outcome = commit("x");
  BOOST_REQUIRE(!Outcome);
  BOOST_CHECK(Outcome.error().Code == ErrorCode::WriteOutcomeUnknown);
}

// Guards against a relayed write that is refused and takes effect: only
// statuses by which a daemon refuses a message say that nothing was done.
BOOST_FIXTURE_TEST_CASE(unexpectedStatusOfAPeerGivesUnknownOutcome,
                        RelayedStoreFixture) {
  Direct.NextFault = refuseCall;
  for (const auto &[Status, Expected] :
       {std::pair(400, ErrorCode::PlatformUnavailable),
        std::pair(404, ErrorCode::PlatformUnavailable),
        std::pair(500, ErrorCode::WriteOutcomeUnknown),
        std::pair(502, ErrorCode::WriteOutcomeUnknown),
        std::pair(503, ErrorCode::WriteOutcomeUnknown)}) {
    Http.Status = Status;
    makeFirstCalls();
    const auto WritesBefore = relayedWrites();
    const auto Outcome = commit("x");
    BOOST_REQUIRE(!Outcome);
    BOOST_CHECK_EQUAL(relayedWrites() - WritesBefore, 1);
    BOOST_CHECK_MESSAGE(Outcome.error().Code == Expected, "status " << Status);
  }
}

BOOST_FIXTURE_TEST_CASE(refusalByAllIsPlatformUnavailable,
                        RelayedStoreFixture) {
  Direct.NextFault = refuseCall;
  PeerStore.NextFault = refuseCall;
  makeFirstCalls();
  const auto Outcome = commit("x");
  BOOST_REQUIRE(!Outcome);
  BOOST_CHECK(Outcome.error().Code == ErrorCode::PlatformUnavailable);
}

BOOST_FIXTURE_TEST_CASE(peerThatFailsProbeIsNotUsed, RelayedStoreFixture) {
  // A commit lost on its way to such a peer would have an unknown outcome.
  Direct.NextFault = refuseCall;
  Http.Failure = ErrorCode::Timeout;
  makeFirstCalls();
  const auto Outcome = commit("x");
  BOOST_REQUIRE(!Outcome);
  BOOST_CHECK(Outcome.error().Code == ErrorCode::PlatformUnavailable);
}

BOOST_FIXTURE_TEST_CASE(unresponsivePeerDelaysChangesOnlyBriefly,
                        RelayedStoreFixture) {
  // A wait for changes through a daemon that loses power must time out early.
  // Otherwise contracts come into force late, once by 2.7 s.
  Direct.NextFault = refuseCall;
  makeFirstCalls();
  Http.Hang = true;
  std::optional<TimePoint> Failed;
  Store.changes(ChangesQuery{"t", 0, milliseconds(1500)},
                [&](const Result<RowPage> &) {
                  Failed = ControlLoop.MonotonicClock.now();
                });
  const TimePoint Begin = ControlLoop.MonotonicClock.now();
  ControlLoop.runFor(milliseconds(1500));
  BOOST_REQUIRE(Failed);
  BOOST_CHECK(*Failed - Begin <= milliseconds(1200));
}

BOOST_FIXTURE_TEST_CASE(slowReadsAreNotRelayed, RelayedStoreFixture) {
  // A response that is slow to arrive shows that the store is reachable, and
  // takes the same link through a peer.
  makeFirstCalls();
  RowTransaction Change;
  Change.Puts.push_back(RowPut{RowName{"t", "p", "k"}, std::string(1000, 'v')});
  Rows.apply(Change);
  Direct.LinkBytesPerSecond = 100;
  for (int Count = 0; Count < 3; ++Count) {
    std::optional<ErrorCode> Failure;
    Store.read(RowRange{"t", "p", "", ""}, milliseconds(500),
               [&](const Result<RowPage> &Page) {
                 if (!Page)
                   Failure = Page.error().Code;
               });
    ControlLoop.runFor(milliseconds(1000));
    BOOST_REQUIRE(Failure);
    BOOST_CHECK(*Failure == ErrorCode::AnswerTooSlow);
  }
  BOOST_CHECK_EQUAL(Http.CallCount, 0);
  BOOST_CHECK(commit("x"));
  BOOST_CHECK_EQUAL(Http.CallCount, 0);
}

BOOST_AUTO_TEST_CASE(messagesPreserveBinaryValues) {
  const std::string Value("\0\xff\x01z", 4);
  RowTransaction Change;
  Change.Checks.push_back(RowCheck{RowName{"t", "p", "k"}, 7});
  Change.Puts.push_back(RowPut{RowName{"t", "p", "k"}, Value});
  const auto Call =
      decodeStoreCall(encode(StoreCall(CommitCall{Change, milliseconds(9)})));
  BOOST_REQUIRE(Call);
  const auto &Commit = std::get<CommitCall>(*Call);
  BOOST_CHECK_EQUAL(Commit.Change.Puts.at(0).Value, Value);
  BOOST_CHECK_EQUAL(Commit.Change.Checks.at(0).Version, 7);
  BOOST_CHECK(!decodeStoreCall("garbage"));
  BOOST_CHECK(!decodePageResponse("\x93"));
}
