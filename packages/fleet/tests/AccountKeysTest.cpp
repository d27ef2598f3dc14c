// API keys of client accounts, as contracts and contact with the store come and
// go.

#include <boost/test/unit_test.hpp>

#include "FrontendFixture.h"
#include "cuminroad/fleet/PeerService.h"
#include "cuminroad/fleet/RelayedStore.h"
#include "cuminroad/store/TableFollower.h"

using namespace cuminroad;

namespace {

using OptionalName = std::optional<std::string>;

QueueConfig makeConfig(std::int64_t Version, std::vector<std::string> KeysOfA) {
  QueueConfig Config;
  Config.Version = Version;
  Config.Accounts = {
      AccountEntry{ClientAccount{.Name = "a"}, std::move(KeysOfA)},
      AccountEntry{ClientAccount{.Name = "b"}, {"key-of-b"}}};
  return Config;
}

/// \returns the account that a request is from, "" for none, or nothing if it
/// is refused.
OptionalName accountOf(const QueueRegistry &Queues, const QueueRoute &Route,
                       std::string_view Key) {
  const auto Client = Queues.authenticate(Route, Key);
  return Client ? OptionalName(Client->Account) : std::nullopt;
}

/// The value of a configuration's row in these tests: its version, and a key of
/// account "a".
QueueConfig decodeTestConfig(const std::string &Value) {
  const std::size_t Space = Value.find(' ');
  return makeConfig(std::stoll(Value), {Value.substr(Space + 1)});
}

/// Follows the configuration's row as a daemon does.
class ConfigSink final : public RowSink {
public:
  ConfigSink(QueueRegistry &Queues, const Clock &MonotonicClock)
      : Queues_(Queues), MonotonicClock_(MonotonicClock) {}
  void tableRead(std::vector<StoredRow> Rows) override {
    rowsChanged(std::move(Rows));
  }
  void rowsChanged(std::vector<StoredRow> Rows) override {
    for (const StoredRow &Row : Rows)
      Queues_.apply(decodeTestConfig(Row.Value));
  }
  void confirmed() override { Queues_.confirm(MonotonicClock_.now()); }

private:
  QueueRegistry &Queues_;
  const Clock &MonotonicClock_;
};

/// A daemon whose own calls to the store are refused from the time that the
/// test sets on, and a peer that reaches the store.
struct CutOffDaemon {
  CutOffDaemon()
      : Direct(Rows, ControlLoop), PeerStore(Rows, ControlLoop),
        Events("t", 10, nullptr), Advisor(ControlLoop),
        Http(makePeerHandler(Pools, Advisor, PeerStore,
                             ControlLoop.MonotonicClock),
             ControlLoop),
        Store(Direct, Http, ControlLoop, ControlLoop.MonotonicClock, Events,
              Metrics, [] { return std::vector<std::string>{"peer:1"}; }),
        Sink(Queues, ControlLoop.MonotonicClock),
        Follower(std::make_shared<TableFollower>(
            Store, ControlLoop,
            FollowOptions{
                .Table = "op", .Partitions = {""}, .MaxLag = ApplyTime},
            Sink)) {
    writeConfig("1 old");
    Follower->start();
    keepPeerInContact();
  }
  ~CutOffDaemon() { Follower->close(); }

  void writeConfig(const std::string &Value) {
    RowTransaction Change;
    Change.Puts.push_back(RowPut{RowName{"op", "", "config"}, Value});
    Rows.apply(Change);
  }
  void keepPeerInContact() {
    PeerStore.read(RowRange{"t", "p", "", ""}, milliseconds(500),
                   [](const Result<RowPage> &) {});
    ControlLoop.after(milliseconds(500), [this] { keepPeerInContact(); });
  }
  bool accepts(std::string_view Key) const {
    return Queues.authenticate(QueueRoute{}, Key).has_value();
  }

  static constexpr milliseconds ApplyTime{3000};
  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeRowStore Direct;
  FakeRowStore PeerStore;
  EventLog Events;
  FleetMetrics Metrics;
  NoOwnedPools Pools;
  AllowAllAdvisor Advisor;
  PeerHttpClient Http;
  RelayedStore Store;
  QueueRegistry Queues;
  ConfigSink Sink;
  std::shared_ptr<TableFollower> Follower;
};

} // namespace

// Guards against a key that works without being in the contracts, or doesn't
// although it is.
BOOST_AUTO_TEST_CASE(keysFollowTheContracts) {
  QueueRegistry Queues;
  const QueueRoute Closed;
  BOOST_CHECK(Queues.apply(makeConfig(1, {"old", "both"})));
  BOOST_CHECK(accountOf(Queues, Closed, "old") == OptionalName("a"));
  BOOST_CHECK(accountOf(Queues, Closed, "key-of-b") == OptionalName("b"));
  BOOST_CHECK(!Queues.authenticate(Closed, "new"));
  BOOST_CHECK(!Queues.authenticate(Closed, ""));
  BOOST_CHECK(!Queues.authenticate(Closed, "ol"));
  BOOST_CHECK(!Queues.authenticate(Closed, "old1"));
  BOOST_CHECK(Queues.apply(makeConfig(2, {"both", "new"})));
  BOOST_CHECK(!Queues.authenticate(Closed, "old"));
  BOOST_CHECK(accountOf(Queues, Closed, "both") == OptionalName("a"));
  BOOST_CHECK(accountOf(Queues, Closed, "new") == OptionalName("a"));
}

// Guards against a removed key that an older version brings back.
BOOST_AUTO_TEST_CASE(olderContractsDoNotBringAKeyBack) {
  QueueRegistry Queues;
  Queues.apply(makeConfig(5, {"new"}));
  BOOST_CHECK(!Queues.apply(makeConfig(4, {"old"})));
  BOOST_CHECK(!Queues.apply(makeConfig(5, {"old"})));
  BOOST_CHECK(!Queues.authenticate(QueueRoute{}, "old"));
  BOOST_CHECK(accountOf(Queues, QueueRoute{}, "new") == OptionalName("a"));
}

// Guards against an open route that refuses a call, or that takes a call with
// an unknown key for an account's.
BOOST_AUTO_TEST_CASE(openRouteTakesCallsWithoutAKey) {
  QueueRegistry Queues;
  QueueRoute Open;
  Open.AllowAnonymous = true;
  Queues.apply(makeConfig(1, {"key"}));
  BOOST_CHECK(accountOf(Queues, Open, "key") == OptionalName("a"));
  BOOST_CHECK(accountOf(Queues, Open, "other") == OptionalName(""));
  BOOST_CHECK(accountOf(Queues, Open, "") == OptionalName(""));
}

// Guards against deployments without accounts that refuse calls, and against
// calls that are open although the list of accounts is empty.
BOOST_AUTO_TEST_CASE(keysAreNeededOnlyWithAccounts) {
  QueueRegistry Queues;
  QueueConfig Config;
  Config.Version = 1;
  Queues.apply(Config);
  BOOST_CHECK(accountOf(Queues, QueueRoute{}, "key") == OptionalName(""));
  Config.Version = 2;
  Config.Accounts.emplace();
  Queues.apply(Config);
  BOOST_CHECK(!Queues.authenticate(QueueRoute{}, "key"));
  Config.Version = 3;
  Config.Accounts.reset();
  Queues.apply(Config);
  BOOST_CHECK(accountOf(Queues, QueueRoute{}, "") == OptionalName(""));
}

// Load: 210 accounts with 10,000 keys. Guards against a key that the index
// loses or takes for another one.
BOOST_AUTO_TEST_CASE(everyKeyOfManyIsFound) {
  QueueConfig Config;
  Config.Version = 1;
  Config.Accounts.emplace(210);
  for (int Index = 0; Index < 10'000; ++Index)
    (*Config.Accounts)[static_cast<std::size_t>(Index % 210)].Keys.push_back(
        "key-" + std::to_string(Index));
  for (std::size_t Index = 0; Index < 210; ++Index)
    (*Config.Accounts)[Index].Account.Name = std::to_string(Index);
  QueueRegistry Queues;
  Queues.apply(std::move(Config));
  for (int Index = 0; Index < 10'000; ++Index) {
    const std::string Key = "key-" + std::to_string(Index);
    BOOST_REQUIRE(accountOf(Queues, QueueRoute{}, Key) ==
                  OptionalName(std::to_string(Index % 210)));
    BOOST_REQUIRE(!Queues.authenticate(QueueRoute{}, "k" + Key));
  }
}

// Guards against a daemon that accepts jobs by keys that may have been removed
// long ago, and against one that refuses them earlier than it must.
BOOST_FIXTURE_TEST_CASE(staleContractsAcceptNoJob, FrontendFixture) {
  Settings.ConfigApplyTime = milliseconds(3000);
  Settings.ConfigStaleTolerance = milliseconds(6000);
  Queues.apply(makeConfig(1, {"key"}));
  Queues.confirm(ControlLoop.MonotonicClock.now());
  ControlLoop.runFor(milliseconds(8500));
  submit("i");
  ControlLoop.runFor(milliseconds(400));
  BOOST_CHECK(LastReply.Outcome == SubmitOutcome::Accepted);
  ControlLoop.runFor(milliseconds(200));
  const int Commits = Store.CommitCalls;
  submit("j");
  BOOST_REQUIRE_EQUAL(Replies, 2);
  BOOST_CHECK(LastReply.Outcome == SubmitOutcome::NotAccepted);
  BOOST_CHECK(LastReply.RetryAfter > milliseconds(0));
  ControlLoop.runFor(CallerTimeout);
  BOOST_CHECK_EQUAL(Store.CommitCalls, Commits);
  BOOST_CHECK_NE(Metrics.render().find(
                     "cuminroad_refusals_total{cause=\"stale_config\"} 1"),
                 std::string::npos);
  Queues.confirm(ControlLoop.MonotonicClock.now());
  submit("j");
  ControlLoop.runFor(CallerTimeout);
  BOOST_CHECK(LastReply.Outcome == SubmitOutcome::Accepted);
}

// Guards against deployments without accounts that refuse jobs when their
// contracts are old.
BOOST_FIXTURE_TEST_CASE(staleContractsWithoutAccountsAcceptJobs,
                        FrontendFixture) {
  QueueConfig Config;
  Config.Version = 1;
  Queues.apply(std::move(Config));
  ControlLoop.runFor(milliseconds(60'000));
  submit("j");
  ControlLoop.runFor(CallerTimeout);
  BOOST_CHECK(LastReply.Outcome == SubmitOutcome::Accepted);
}

// Guards against a job that runs although its caller was told that it never
// does: an earlier copy may have been written before the contracts were stale.
BOOST_FIXTURE_TEST_CASE(possiblyWrittenJobIsNotRefusedAsStale,
                        FrontendFixture) {
  Queues.apply(makeConfig(1, {"key"}));
  Queues.confirm(ControlLoop.MonotonicClock.now());
  setStoreFate({StoreFault::ResponseLost, {}});
  submit("j");
  ControlLoop.runFor(CallerTimeout);
  BOOST_REQUIRE(LastReply.Outcome == SubmitOutcome::Unknown);
  ControlLoop.runFor(milliseconds(6000));
  submit("j");
  BOOST_REQUIRE_EQUAL(Replies, 2);
  BOOST_CHECK(LastReply.Outcome == SubmitOutcome::Unknown);
}

// Guards against a key in the log or the metrics, and against refusals that
// neither shows.
BOOST_FIXTURE_TEST_CASE(unknownKeysAreCountedAndLogged, FrontendFixture) {
  Queues.apply(makeConfig(7, {"key"}));
  Queues.confirm(ControlLoop.MonotonicClock.now());
  BOOST_CHECK(!Frontend.refuseKey(Queue, "POST", true));
  BOOST_CHECK(!Frontend.refuseKey(Queue, "GET", false));
  const auto Lines = Events.since(0);
  BOOST_REQUIRE(!Lines.empty());
  BOOST_CHECK(Lines.back().Id == EventId::KeyUnknown);
  BOOST_CHECK_EQUAL(Lines.back().Subject, "q");
  BOOST_CHECK(Lines.back().Detail.starts_with("GET key missing version 7"));
  BOOST_CHECK_NE(Metrics.render().find(
                     "cuminroad_refusals_total{cause=\"unknown_key\"} 2"),
                 std::string::npos);
}

// Load: the store refuses the daemon's own calls at any moment of its wait for
// changes, and a key is replaced right after. Guards against the old key
// working longer, or the new one starting to work later, than contracts may
// take to come into force.
BOOST_AUTO_TEST_CASE(removedKeyStopsWorkingThroughAPeer) {
  for (int CutOffAt = 2000; CutOffAt < 4000; CutOffAt += 100) {
    CutOffDaemon Daemon;
    Daemon.ControlLoop.runFor(milliseconds(CutOffAt));
    BOOST_REQUIRE(Daemon.accepts("old"));
    Daemon.Direct.Silent = true;
    Daemon.Direct.NextFault = [] {
      return StoreFault{StoreFault::Refused, {}};
    };
    Daemon.writeConfig("2 new");
    Daemon.ControlLoop.runFor(CutOffDaemon::ApplyTime);
    BOOST_CHECK_MESSAGE(!Daemon.accepts("old"), "cut off at " << CutOffAt);
    BOOST_CHECK_MESSAGE(Daemon.accepts("new"), "cut off at " << CutOffAt);
    // An older version that is written again has no effect.
    Daemon.writeConfig("1 old");
    Daemon.ControlLoop.runFor(CutOffDaemon::ApplyTime);
    BOOST_CHECK_MESSAGE(!Daemon.accepts("old"), "cut off at " << CutOffAt);
    BOOST_CHECK_LT(
        Daemon.Queues.age(Daemon.ControlLoop.MonotonicClock.now()).count(),
        CutOffDaemon::ApplyTime.count());
  }
}
