// How long after a change of a table a daemon learns of it, while its own way
// to the store fails.

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "PoolTestSupport.h"
#include "cuminroad/fakes/FakeRowStore.h"
#include "cuminroad/fleet/FleetSettings.h"
#include "cuminroad/fleet/PeerAddresses.h"
#include "cuminroad/fleet/PeerService.h"
#include "cuminroad/fleet/RelayedStore.h"
#include "cuminroad/store/TableFollower.h"

using namespace cuminroad;

namespace {

constexpr milliseconds PeerLatency{10};
constexpr milliseconds OffsetStep{50};
/// Covers the phases of a request for changes.
constexpr milliseconds MaxOffset{2500};

/// Notes when a daemon learns of a row.
class ChangeRecorder final : public RowSink {
public:
  explicit ChangeRecorder(const Clock &MonotonicClock)
      : MonotonicClock_(MonotonicClock) {}
  void tableRead(std::vector<StoredRow> Rows) override {
    rowsChanged(std::move(Rows));
  }
  void rowsChanged(std::vector<StoredRow> Rows) override {
    for (const StoredRow &Row : Rows)
      if (Row.Name.Key == "new")
        LearnedAt = MonotonicClock_.now();
  }
  std::optional<TimePoint> LearnedAt;

private:
  const Clock &MonotonicClock_;
};

constexpr const char *PeerAddress = "peer:1";

/// Keeps the addresses of the daemons that have registered.
class RegisteredDaemons final : public RowSink {
public:
  void tableRead(std::vector<StoredRow> Rows) override {
    Registered_.clear();
    rowsChanged(std::move(Rows));
  }
  void rowsChanged(std::vector<StoredRow> Rows) override {
    for (const StoredRow &Row : Rows) {
      std::erase(Registered_, Row.Name.Key);
      if (!Row.Removed)
        Registered_.push_back(Row.Name.Key);
    }
    Addresses.update(Registered_);
  }
  PeerAddresses Addresses;

private:
  std::vector<std::string> Registered_;
};

/// A daemon that follows a table, and a peer that reaches the store.
struct FollowingDaemon {
  FollowingDaemon()
      : Direct(Rows, ControlLoop), PeerStore(Rows, ControlLoop),
        Events("t", 10, nullptr),
        Http(makePeerHandler(Pools, Advisor, PeerStore,
                             ControlLoop.MonotonicClock),
             ControlLoop),
        Store(Direct, Http, ControlLoop, ControlLoop.MonotonicClock, Events,
              Metrics, [this] { return Daemons.Addresses.all(); }),
        Changes(ControlLoop.MonotonicClock),
        Follower(std::make_shared<TableFollower>(
            Store, ControlLoop, FollowOptions{.Table = "t", .Partitions = {""}},
            Changes)),
        DaemonFollower(std::make_shared<TableFollower>(
            Store, ControlLoop,
            FollowOptions{.Table = "daemons", .Partitions = {""}}, Daemons)) {
    Http.Latency = PeerLatency;
    registerPeer();
    Follower->start();
    DaemonFollower->start();
    readAsPeer();
    ControlLoop.runFor(milliseconds(100));
  }
  ~FollowingDaemon() {
    Follower->close();
    DaemonFollower->close();
  }

  void registerPeer() {
    RowTransaction Change;
    Change.Puts.push_back(RowPut{RowName{"daemons", "", PeerAddress}, ""});
    Rows.apply(Change);
  }
  void deregisterPeer() {
    RowTransaction Change;
    Change.Removals.push_back(RowName{"daemons", "", PeerAddress});
    Rows.apply(Change);
  }

  /// The peer calls the store often, as standbys do.
  void readAsPeer() {
    PeerStore.read(RowRange{"t", "", "", ""}, milliseconds(500),
                   [](const Result<RowPage> &) {});
    ControlLoop.after(milliseconds(300), [this] { readAsPeer(); });
  }
  void write() {
    RowTransaction Change;
    Change.Puts.push_back(RowPut{RowName{"t", "", "new"}, "1"});
    Rows.apply(Change);
  }
  /// \returns how long after \p Begin the daemon learned of the write; a long
  /// time if it didn't.
  milliseconds lagSince(TimePoint Begin) const {
    return Changes.LearnedAt ? std::chrono::duration_cast<milliseconds>(
                                   *Changes.LearnedAt - Begin)
                             : milliseconds::max();
  }

  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeRowStore Direct;
  FakeRowStore PeerStore;
  EventLog Events;
  FleetMetrics Metrics;
  NoOwnedPools Pools;
  AllowAllAdvisor Advisor{ControlLoop};
  PeerHttpClient Http;
  RelayedStore Store;
  RegisteredDaemons Daemons;
  ChangeRecorder Changes;
  std::shared_ptr<TableFollower> Follower;
  std::shared_ptr<TableFollower> DaemonFollower;
};

/// \returns the longest lag of a change that is written after \p Disrupt, over
/// all phases of a request for changes.
milliseconds longestLag(
    const std::function<void(FollowingDaemon &, milliseconds)> &Disrupt) {
  milliseconds Longest{0};
  for (milliseconds Offset{0}; Offset <= MaxOffset; Offset += OffsetStep) {
    FollowingDaemon Daemon;
    Disrupt(Daemon, Offset);
    Daemon.write();
    const TimePoint Begin = Daemon.ControlLoop.MonotonicClock.now();
    Daemon.ControlLoop.runFor(milliseconds(10000));
    Longest = std::max(Longest, Daemon.lagSince(Begin));
  }
  BOOST_TEST_MESSAGE("longest lag: " << Longest.count() << " ms");
  return Longest;
}

} // namespace

// Guards against timeouts on the way to the store whose sum exceeds the time in
// which changed contracts must be in force.
BOOST_AUTO_TEST_CASE(changesArriveInTimeWhenTheStoreFallsSilent) {
  const milliseconds Longest =
      longestLag([](FollowingDaemon &Daemon, milliseconds Offset) {
        Daemon.ControlLoop.runFor(Offset);
        Daemon.Direct.Silent = true;
      });
  BOOST_CHECK_LE(Longest.count(), FleetSettings().ConfigApplyTime.count());
}

// Guards against a request for changes that a daemon sends shortly before the
// store is back, and that delays the next one.
BOOST_AUTO_TEST_CASE(changesArriveInTimeOnceTheStoreIsBack) {
  const milliseconds Longest =
      longestLag([](FollowingDaemon &Daemon, milliseconds Offset) {
        Daemon.Direct.Silent = true;
        Daemon.PeerStore.Silent = true;
        Daemon.ControlLoop.runFor(milliseconds(5000) + Offset);
        Daemon.Direct.Silent = false;
      });
  BOOST_CHECK_LE(Longest.count(), FleetSettings().ContactTime.count());
}

// Guards against a daemon that forgets its last peer, which deregisters and
// restarts while the store turns the daemon away.
BOOST_AUTO_TEST_CASE(changesArriveInTimeOnceThePeerHasRestarted) {
  const milliseconds Bound = FleetSettings().ContactTime;
  FollowingDaemon Daemon;
  Daemon.Direct.Silent = true;
  Daemon.ControlLoop.runFor(2 * Bound);
  Daemon.deregisterPeer();
  Daemon.ControlLoop.runFor(Bound);
  Daemon.Http.Hang = true;
  Daemon.ControlLoop.runFor(Bound);
  Daemon.write();
  Daemon.Http.Hang = false;
  Daemon.registerPeer();
  const TimePoint Begin = Daemon.ControlLoop.MonotonicClock.now();
  Daemon.ControlLoop.runFor(3 * Bound);
  BOOST_CHECK_LE(Daemon.lagSince(Begin).count(), Bound.count());
}

// Guards against a daemon without clients that goes on asking its peers after a
// single refused request, since no other call shows that the store responds.
BOOST_AUTO_TEST_CASE(daemonsAskTheStoreAgainAfterOneFailure) {
  FollowingDaemon Daemon;
  Daemon.DaemonFollower->close();
  Daemon.ControlLoop.runFor(milliseconds(3000));
  bool Refused = false;
  Daemon.Direct.NextFault = [&Refused] {
    return std::exchange(Refused, true) ? StoreFault{}
                                        : StoreFault{StoreFault::Refused, {}};
  };
  Daemon.ControlLoop.runFor(milliseconds(5000));
  BOOST_REQUIRE(Refused);
  const int Calls = Daemon.Http.CallCount;
  Daemon.ControlLoop.runFor(milliseconds(5000));
  BOOST_CHECK_EQUAL(Daemon.Http.CallCount, Calls);
}
