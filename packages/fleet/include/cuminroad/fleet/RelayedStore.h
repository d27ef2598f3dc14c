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

/// Makes calls to the store through another daemon while this one can't reach
/// it. A call that certainly had no effect is repeated through a peer at once.
/// While direct calls keep failing, calls go to peers first, and one is tried
/// directly from time to time. Peers never relay a relayed call again.
///
/// Only peers that recently reported that they reach the store are used. So if
/// the store is unreachable for all daemons, calls fail at once and certainly
/// had no effect, and none is lost on its way to a peer that is disconnected as
/// well.
///
/// Errors have the same meaning as without relay: a commit whose response was
/// lost anywhere on the way fails with WriteOutcomeUnknown.
class RelayedStore final : public RowStore {
public:
  /// \returns the addresses of the peers to try, the best first.
  using PeerList = std::function<std::vector<std::string>()>;

  RelayedStore(RowStore &Direct, HttpClient &Client, Loop &ControlLoop,
               const Clock &MonotonicClock, EventLog &Events,
               FleetMetrics &Metrics, PeerList Peers);

  void commit(RowTransaction Change, milliseconds Timeout,
              CommitDone Done) override;
  void read(RowRange Range, milliseconds Timeout, PageDone Done) override;
  void changes(ChangesQuery Request, PageDone Done) override;
  milliseconds storeTime() const override;
  TimePoint lastContact() const override;
  TimePoint lastFailure() const override { return LastFailure_; }

private:
  /// An encoded call and the peers through which it may still be made.
  struct RelayedCall {
    std::string Body;
    bool IsRead = false;
    milliseconds Timeout{0};
    std::vector<std::string> Peers;
    /// How the tries before failed, for the event log.
    std::string EarlierFailures;
  };

  /// Whether the next call goes to peers first.
  bool shouldRelayFirst();
  /// Whether the next request for changes does. It may after a single failure,
  /// if a peer reaches the store: a second timeout would make the changes late.
  bool shouldRelayChangesFirst();
  /// Records whether a direct call failed.
  /// \returns whether to try a peer.
  bool recordDirectOutcome(bool Failed);
  /// Goes on to the next peer after the present one failed as \p Failure says.
  void skipPeer(RelayedCall &Call, std::string_view Failure);
  static tl::unexpected<Error> noPeerFailure(const RelayedCall &Call);
  void relayPage(RelayedCall Call, PageDone Done);
  void relayCommit(RelayedCall Call, CommitDone Done);
  void send(const RelayedCall &Call, HttpCallback Done);
  /// \returns a callback that records the call's outcome and duration and then
  /// calls \p Done.
  template <typename T>
  std::function<void(Result<T>)>
  recordingOutcome(std::string_view Kind, std::function<void(Result<T>)> Done);
  /// \returns a callback that records that the outcome of \p Change is unknown,
  /// if so, and then calls \p Done.
  CommitDone recordingUnknownWrite(const RowTransaction &Change,
                                   CommitDone Done);
  /// Records the store's time, as reported by a peer that has just reached it.
  void recordRelayedContact(milliseconds StoreTime);
  /// \returns the peers for one call: some that reach the store, starting with
  /// the next in turn.
  std::vector<std::string> selectPeers();
  /// Periodically asks peers whether they reach the store, as long as direct
  /// calls fail.
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
  /// The time until which each peer counts as reaching the store.
  std::map<std::string, TimePoint> ReachableUntil_;
  /// When a call last failed, directly and through peers.
  TimePoint LastFailure_{};
  /// Consecutive failures of direct calls.
  int DirectFailures_ = 0;
  /// While calls go to peers first, the time of the next direct call.
  TimePoint NextDirectCall_{};
  /// Time of the last successful relayed call, and the store's time then.
  TimePoint RelayedContact_{};
  milliseconds RelayedStoreTime_{0};
};

} // namespace cuminroad

#endif
