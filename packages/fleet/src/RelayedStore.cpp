#include "cuminroad/fleet/RelayedStore.h"

#include <algorithm>

#include <fmt/format.h>

#include "StoreMessages.h"

namespace cuminroad {

namespace {

/// Failures in a row after which calls go to peers first.
constexpr int FailuresToRelay = 2;
/// While calls go to peers, one is tried directly this often.
constexpr milliseconds DirectRetry{700};
/// Peers tried for one call.
constexpr std::size_t PeersTried = 2;
constexpr milliseconds ConnectTimeout{250};
/// Longest wait for a peer; it may be cut off itself.
constexpr milliseconds RelayTimeoutMax{700};
/// How often some peers are asked whether they reach the store, how many of
/// them, and how long the answer may take.
constexpr milliseconds ProbeInterval{200};
constexpr std::size_t ProbedPeers = 4;
constexpr milliseconds ProbeTimeout{250};
/// How long a peer's word that it reaches the store is believed.
constexpr milliseconds GoodFor{700};
constexpr int StatusOk = 200;
/// Time for the peer's own call beyond its timeout.
constexpr milliseconds RelayMargin{100};
/// Time for the store's answer beyond what it was asked to wait.
constexpr milliseconds AnswerTime{500};
/// Longest wait for a change through a peer. The peer may end meanwhile, and a
/// change of contracts must be in force within seconds.
constexpr milliseconds RelayedWaitMax{400};

bool turnedAway(const Error &Fault) {
  return Fault.Code == ErrorCode::PlatformUnavailable;
}

} // namespace

RelayedStore::RelayedStore(RowStore &Direct, HttpClient &Client, Loop &Home,
                           const Clock &Time, EventLog &Events,
                           FleetMetrics &Metrics, PeerList Peers)
    : Direct_(Direct), Client_(Client), Home_(Home), Time_(Time),
      Events_(Events), Metrics_(Metrics), Peers_(std::move(Peers)) {}

template <typename T>
std::function<void(Result<T>)>
RelayedStore::counted(std::string_view Kind,
                      std::function<void(Result<T>)> Done) {
  return [this, Kind, Done = std::move(Done),
          Begin = Time_.now()](Result<T> Outcome) {
    Metrics_.recordStoreCall(
        Kind, Outcome ? "answered" : errorInfo(Outcome.error().Code).Name,
        std::chrono::duration_cast<milliseconds>(Time_.now() - Begin));
    Done(std::move(Outcome));
  };
}

bool RelayedStore::preferRelay() {
  if (DirectFailures_ < FailuresToRelay)
    return false;
  const TimePoint Now = Time_.now();
  if (Now < NextDirect_)
    return true;
  NextDirect_ = Now + DirectRetry;
  return false;
}

bool RelayedStore::noteDirect(bool Failed) {
  if (!Failed) {
    if (DirectFailures_ >= FailuresToRelay)
      Events_.record(EventId::StoreRelayEnded, "store");
    DirectFailures_ = 0;
    return false;
  }
  if (!Probing_)
    probePeers();
  if (++DirectFailures_ == FailuresToRelay) {
    NextDirect_ = Time_.now() + DirectRetry;
    Events_.record(EventId::StoreRelayed, "store");
  }
  return true;
}

void RelayedStore::probePeers() {
  const std::vector<std::string> Peers = Peers_();
  Probing_ = !Peers.empty();
  if (!Probing_)
    return;
  for (std::size_t Each = 0; Each < std::min(ProbedPeers, Peers.size()); ++Each)
    probe(Peers[NextProbe_++ % Peers.size()]);
  Home_.after(ProbeInterval, [this] {
    Probing_ = false;
    if (DirectFailures_ > 0)
      probePeers();
  });
}

void RelayedStore::probe(const std::string &Peer) {
  HttpCall Call;
  Call.Url = fmt::format("http://{}{}", Peer, ReachPath);
  Call.ConnectTimeout = ProbeTimeout;
  Call.Timeout = ProbeTimeout;
  Client_.send(std::move(Call), [this, Peer](const HttpResult &Answer) {
    if (Answer && Answer->Status == StatusOk)
      GoodUntil_[Peer] = Time_.now() + GoodFor;
    else
      GoodUntil_.erase(Peer);
  });
}

std::vector<std::string> RelayedStore::peersToTry() {
  const TimePoint Now = Time_.now();
  std::vector<std::string> Out;
  for (const auto &[Peer, Until] : GoodUntil_)
    if (Until > Now)
      Out.push_back(Peer);
  if (Out.empty())
    return Out;
  std::rotate(Out.begin(),
              Out.begin() + static_cast<std::ptrdiff_t>(NextPeer_ % Out.size()),
              Out.end());
  Out.resize(std::min(Out.size(), PeersTried));
  return Out;
}

void RelayedStore::noteRelayed(milliseconds StoreTime) {
  RelayedContact_ = Time_.now();
  RelayedStoreTime_ = StoreTime;
}

milliseconds RelayedStore::storeTime() const {
  if (RelayedContact_ <= Direct_.lastContact())
    return Direct_.storeTime();
  return RelayedStoreTime_ + std::chrono::duration_cast<milliseconds>(
                                 Time_.now() - RelayedContact_);
}

TimePoint RelayedStore::lastContact() const {
  return std::max(Direct_.lastContact(), RelayedContact_);
}

void RelayedStore::send(const Relayed &Call, HttpCallback Done) {
  HttpCall Out;
  Out.Method = "POST";
  Out.Url = fmt::format("http://{}{}", Call.Peers.front(), StorePath);
  Out.Headers = {{"Content-Type", "application/msgpack"}};
  Out.Body = Call.Body;
  Out.ConnectTimeout = std::min(ConnectTimeout, Call.Timeout);
  Out.Timeout = Call.Timeout + RelayMargin;
  Client_.send(std::move(Out), [this, Peer = Call.Peers.front(),
                                Done = std::move(Done)](HttpResult Answer) {
    if (!Answer)
      GoodUntil_.erase(Peer);
    Done(std::move(Answer));
  });
}

void RelayedStore::relayCommit(Relayed Call, CommitDone Done) {
  if (Call.Peers.empty())
    return Done(failure(ErrorCode::PlatformUnavailable, "no peer"));
  send(Call,
       [this, Call, Done = std::move(Done)](const HttpResult &Answer) mutable {
         if (!Answer && Answer.error().Code != ErrorCode::ConnectFailed)
           return Done(failure(ErrorCode::WriteOutcomeUnknown, "relay"));
         auto Decoded = Answer && Answer->Status == StatusOk
                            ? decodeCommitAnswer(Answer->Body)
                            : failure(ErrorCode::PlatformUnavailable, "relay");
         const bool Certain =
             !Decoded ? Decoded.error().Code == ErrorCode::PlatformUnavailable
                      : !Decoded->Value && turnedAway(Decoded->Value.error());
         if (Certain) {
           ++NextPeer_;
           Call.Peers.erase(Call.Peers.begin());
           return relayCommit(std::move(Call), std::move(Done));
         }
         if (!Decoded)
           return Done(failure(ErrorCode::WriteOutcomeUnknown, "relay"));
         if (Decoded->Value)
           noteRelayed(Decoded->StoreTime);
         Done(std::move(Decoded->Value));
       });
}

void RelayedStore::relayPage(Relayed Call, PageDone Done) {
  if (Call.Peers.empty())
    return Done(failure(ErrorCode::PlatformUnavailable, "no peer"));
  send(Call, [this, Call,
              Done = std::move(Done)](const HttpResult &Answer) mutable {
    auto Decoded = Answer && Answer->Status == StatusOk
                       ? decodePageAnswer(Answer->Body)
                       : failure(ErrorCode::PlatformUnavailable, "relay");
    if (!Decoded || (!Decoded->Value && turnedAway(Decoded->Value.error()))) {
      ++NextPeer_;
      Call.Peers.erase(Call.Peers.begin());
      return relayPage(std::move(Call), std::move(Done));
    }
    if (Decoded->Value)
      noteRelayed(Decoded->StoreTime);
    Done(std::move(Decoded->Value));
  });
}

void RelayedStore::commit(RowTransaction Change, milliseconds Timeout,
                          CommitDone Done) {
  Done = counted("commit", std::move(Done));
  const auto Relay = [this, Timeout](const RowTransaction &What) {
    const milliseconds Each = std::min(Timeout, RelayTimeoutMax);
    return Relayed{encode(StoreCall(CommitCall{What, Each})), Each,
                   peersToTry()};
  };
  if (preferRelay())
    return relayCommit(Relay(Change), std::move(Done));
  Direct_.commit(Change, Timeout,
                 [this, Change, Relay,
                  Done = std::move(Done)](Result<RowCommit> Outcome) mutable {
                   const bool Failed = !Outcome;
                   if (!noteDirect(Failed) || !turnedAway(Outcome.error()))
                     return Done(std::move(Outcome));
                   relayCommit(Relay(Change), std::move(Done));
                 });
}

void RelayedStore::read(RowRange Range, milliseconds Timeout, PageDone Done) {
  Done = counted("read", std::move(Done));
  const auto Relay = [this, Range, Timeout] {
    const milliseconds Each = std::min(Timeout, RelayTimeoutMax);
    return Relayed{encode(StoreCall(ReadCall{Range, Each})), Each,
                   peersToTry()};
  };
  if (preferRelay())
    return relayPage(Relay(), std::move(Done));
  Direct_.read(
      Range, Timeout,
      [this, Relay, Done = std::move(Done)](Result<RowPage> Page) mutable {
        if (!noteDirect(!Page))
          return Done(std::move(Page));
        relayPage(Relay(), std::move(Done));
      });
}

void RelayedStore::changes(RowChanges Wanted, PageDone Done) {
  Done = counted("changes", std::move(Done));
  const auto Relay = [this, Wanted] {
    RowChanges Short = Wanted;
    Short.Wait = std::min(Wanted.Wait, RelayedWaitMax);
    return Relayed{encode(StoreCall(ChangesCall{Short})),
                   Short.Wait + AnswerTime, peersToTry()};
  };
  if (preferRelay())
    return relayPage(Relay(), std::move(Done));
  Direct_.changes(Wanted, [this, Relay, Done = std::move(Done)](
                              Result<RowPage> Page) mutable {
    const bool Gone = !Page && Page.error().Code == ErrorCode::HistoryGone;
    if (Gone || !noteDirect(!Page))
      return Done(std::move(Page));
    relayPage(Relay(), std::move(Done));
  });
}

} // namespace cuminroad
