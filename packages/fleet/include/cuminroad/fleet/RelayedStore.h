#ifndef CUMINROAD_FLEET_RELAYEDSTORE_H
#define CUMINROAD_FLEET_RELAYEDSTORE_H

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cuminroad/base/EventLog.h"
#include "cuminroad/fleet/FleetMetrics.h"
#include "cuminroad/net/HttpClient.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/store/RowStore.h"

namespace cuminroad {

/// The store, reached through another daemon while it turns this one away. A
/// call that certainly did nothing is repeated through a peer at once; while
/// calls keep failing they go to peers first, and one in a while is tried
/// directly. Peers never pass a relayed call on.
///
/// Only peers that have lately said that they reach the store are used. So
/// where the store is away for all, calls fail at once and for certain, and
/// none is lost on its way to a peer that is cut off as well.
///
/// Outcomes mean the same as without relay: a commit whose answer was lost
/// anywhere on the way is WriteOutcomeUnknown.
class RelayedStore final : public RowStore {
public:
  /// Addresses of the peers to try, the best first.
  using PeerList = std::function<std::vector<std::string>()>;

  RelayedStore(RowStore &Direct, HttpClient &Client, Loop &ControlLoop,
               const Clock &MonotonicClock, EventLog &Events,
               FleetMetrics &Metrics, PeerList Peers);

  void commit(RowTransaction Change, milliseconds Timeout,
              CommitDone Done) override;
  void read(RowRange Range, milliseconds Timeout, PageDone Done) override;
  void changes(RowChanges Request, PageDone Done) override;
  milliseconds storeTime() const override;
  TimePoint lastContact() const override;

private:
  /// What both kinds of calls need to be passed on.
  struct RelayedCall {
    std::string Body;
    milliseconds Timeout{0};
    std::vector<std::string> Peers;
  };

  bool shouldRelayFirst();
  /// Notes how a direct call ended; \returns whether to try a peer.
  bool recordDirectOutcome(bool Failed);
  void relayPage(RelayedCall Call, PageDone Done);
  void relayCommit(RelayedCall Call, CommitDone Done);
  void send(const RelayedCall &Call, HttpCallback Done);
  /// \returns \p Done, which first counts the call.
  template <typename T>
  std::function<void(Result<T>)>
  withMetrics(std::string_view Kind, std::function<void(Result<T>)> Done);
  void recordRelayedContact(milliseconds StoreTime);
  std::vector<std::string> selectPeers();
  /// Asks peers whether they reach the store, for as long as this daemon is
  /// turned away.
  void probePeers();
  void probe(const std::string &Peer);

  RowStore &Direct_;
  HttpClient &Client_;
  Loop &ControlLoop_;
  const Clock &MonotonicClock_;
  EventLog &Events_;
  FleetMetrics &Metrics_;
  PeerList Peers_;
  std::size_t NextPeer_ = 0;
  std::size_t NextProbe_ = 0;
  bool Probing_ = false;
  /// Until when a peer counts as one that reaches the store.
  std::map<std::string, TimePoint> ReachableUntil_;
  int DirectFailures_ = 0;
  TimePoint NextDirectCall_{};
  TimePoint RelayedContact_{};
  milliseconds RelayedStoreTime_{0};
};

} // namespace cuminroad

#endif
