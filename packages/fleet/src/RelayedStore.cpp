#include "cuminroad/fleet/RelayedStore.h"

#include <algorithm>

#include <fmt/format.h>

#include "StoreMessages.h"

namespace cuminroad {

namespace {

/// Consecutive failures of direct calls after which calls go to peers first.
constexpr int FailuresBeforeRelay = 2;
/// Interval of direct calls while calls go to peers first.
constexpr milliseconds DirectRetryInterval{700};
/// Peers tried for one call, at most.
constexpr std::size_t MaxPeersPerCall = 2;
constexpr milliseconds ConnectTimeout{250};
/// Longest timeout of a relayed call; the peer may be disconnected from the
/// store itself.
constexpr milliseconds RelayTimeoutMax{700};
/// Interval at which peers are asked whether they reach the store, the number
/// of peers asked each time, and the timeout of a probe.
constexpr milliseconds ProbeInterval{200};
constexpr std::size_t PeersPerProbeRound = 4;
constexpr milliseconds ProbeTimeout{250};
/// How long a peer counts as reaching the store after it reported that it does.
constexpr milliseconds ProbeResultLifetime{700};
constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
/// Added to a relayed call's timeout, so that the peer's own call to the store
/// times out first and its response arrives in time.
constexpr milliseconds RelayTimeoutMargin{100};
/// Time for the store's response beyond the time that it was asked to wait.
constexpr milliseconds ResponseAllowance{500};
/// Longest wait for changes through a peer. The peer may fail meanwhile, and a
/// changed contract must come into force within seconds.
constexpr milliseconds RelayedWaitMax{400};

/// Whether a call failed only because its response is slow to arrive: the store
/// is reachable, and through a peer the response would take the same link.
bool isTooSlow(const Result<RowPage> &Page) {
  return !Page && Page.error().Code == ErrorCode::AnswerTooSlow;
}

/// Whether a call that failed with \p Failure certainly had no effect.
bool isUnavailable(const Error &Failure) {
  return Failure.Code == ErrorCode::PlatformUnavailable;
}

/// Whether a peer that answered a call with \p Status has not made it, since it
/// can't decode the message or doesn't know the path.
bool isRejectedMessage(int Status) {
  return Status == StatusBadRequest || Status == StatusNotFound;
}

/// The EarlierFailures of a call that goes to peers first.
constexpr const char *DirectNotTried = "direct not tried";

std::string directFailure(const Error &Failure) {
  return "direct " + Failure.Detail;
}

/// \returns how the store failed to answer a peer, which says so in \p
/// Response.
std::string reportedFailure(const HttpResponse &Response,
                            const Error &Failure) {
  return fmt::format("sends {}: {}", Response.Sends, Failure.Detail);
}

} // namespace

RelayedStore::RelayedStore(RowStore &Direct, HttpClient &Client,
                           Loop &ControlLoop, const Clock &MonotonicClock,
                           EventLog &Events, FleetMetrics &Metrics,
                           PeerList Peers)
    : Direct_(Direct), Client_(Client), ControlLoop_(ControlLoop),
      MonotonicClock_(MonotonicClock), Events_(Events), Metrics_(Metrics),
      Peers_(std::move(Peers)) {}

template <typename T>
std::function<void(Result<T>)>
RelayedStore::recordingOutcome(std::string_view Kind,
                               std::function<void(Result<T>)> Done) {
  return [this, Kind, Done = std::move(Done),
          Begin = MonotonicClock_.now()](Result<T> Outcome) {
    Metrics_.recordStoreCall(
        Kind, Outcome ? "answered" : errorInfo(Outcome.error().Code).Name,
        std::chrono::duration_cast<milliseconds>(MonotonicClock_.now() -
                                                 Begin));
    if (!Outcome && (Outcome.error().Code == ErrorCode::PlatformUnavailable ||
                     Outcome.error().Code == ErrorCode::WriteOutcomeUnknown))
      LastFailure_ = MonotonicClock_.now();
    Done(std::move(Outcome));
  };
}

RowStore::CommitDone
RelayedStore::recordingUnknownWrite(const RowTransaction &Change,
                                    CommitDone Done) {
  RowName Row;
  if (!Change.Puts.empty())
    Row = Change.Puts.front().Name;
  else if (!Change.Removals.empty())
    Row = Change.Removals.front();
  return [this, Row = std::move(Row),
          Done = std::move(Done)](Result<RowCommit> Outcome) {
    if (!Outcome && Outcome.error().Code == ErrorCode::WriteOutcomeUnknown)
      Events_.record(
          EventId::StoreWriteUnknown, Row.Key,
          fmt::format("table {} {}", Row.Table, Outcome.error().Detail));
    Done(std::move(Outcome));
  };
}

bool RelayedStore::shouldRelayFirst() {
  if (DirectFailures_ < FailuresBeforeRelay)
    return false;
  const TimePoint Now = MonotonicClock_.now();
  if (Now < NextDirectCall_)
    return true;
  NextDirectCall_ = Now + DirectRetryInterval;
  return false;
}

bool RelayedStore::shouldRelayChangesFirst() {
  if (DirectFailures_ == 0 || DirectFailures_ >= FailuresBeforeRelay)
    return shouldRelayFirst();
  return MonotonicClock_.now() < NextDirectCall_ && !selectPeers().empty();
}

bool RelayedStore::recordDirectOutcome(bool Failed) {
  if (!Failed) {
    if (DirectFailures_ >= FailuresBeforeRelay)
      Events_.record(EventId::StoreRelayEnded, "store");
    DirectFailures_ = 0;
    return false;
  }
  if (!Probing_)
    probePeers();
  if (++DirectFailures_ <= FailuresBeforeRelay)
    NextDirectCall_ = MonotonicClock_.now() + DirectRetryInterval;
  if (DirectFailures_ == FailuresBeforeRelay)
    Events_.record(EventId::StoreRelayed, "store");
  return true;
}

void RelayedStore::probePeers() {
  const std::vector<std::string> Peers = Peers_();
  Probing_ = !Peers.empty();
  if (!Probing_)
    return;
  for (std::size_t Count = 0;
       Count < std::min(PeersPerProbeRound, Peers.size()); ++Count)
    probe(Peers[NextProbe_++ % Peers.size()]);
  ControlLoop_.after(ProbeInterval, [this] {
    Probing_ = false;
    if (DirectFailures_ > 0)
      probePeers();
  });
}

void RelayedStore::probe(const std::string &Peer) {
  HttpCall Call;
  Call.Url = fmt::format("http://{}{}", Peer, StoreReachablePath);
  Call.ConnectTimeout = ProbeTimeout;
  Call.Timeout = ProbeTimeout;
  Client_.send(std::move(Call), [this, Peer](const HttpResult &Response) {
    if (Response && Response->Status == StatusOk)
      ReachableUntil_[Peer] = MonotonicClock_.now() + ProbeResultLifetime;
    else
      ReachableUntil_.erase(Peer);
  });
}

std::vector<std::string> RelayedStore::selectPeers() {
  const TimePoint Now = MonotonicClock_.now();
  std::vector<std::string> Peers;
  for (const auto &[Peer, Until] : ReachableUntil_)
    if (Until > Now)
      Peers.push_back(Peer);
  if (Peers.empty())
    return Peers;
  std::rotate(Peers.begin(),
              Peers.begin() +
                  static_cast<std::ptrdiff_t>(NextPeer_ % Peers.size()),
              Peers.end());
  Peers.resize(std::min(Peers.size(), MaxPeersPerCall));
  return Peers;
}

void RelayedStore::recordRelayedContact(milliseconds StoreTime) {
  RelayedContact_ = MonotonicClock_.now();
  RelayedStoreTime_ = StoreTime;
}

milliseconds RelayedStore::storeTime() const {
  if (RelayedContact_ <= Direct_.lastContact())
    return Direct_.storeTime();
  return RelayedStoreTime_ + std::chrono::duration_cast<milliseconds>(
                                 MonotonicClock_.now() - RelayedContact_);
}

TimePoint RelayedStore::lastContact() const {
  return std::max(Direct_.lastContact(), RelayedContact_);
}

void RelayedStore::send(const RelayedCall &Call, HttpCallback Done) {
  HttpCall Http;
  Http.Method = "POST";
  Http.Url = fmt::format("http://{}{}", Call.Peers.front(), StoreCallPath);
  Http.Headers = {{"Content-Type", "application/msgpack"}};
  Http.Body = Call.Body;
  Http.AllowResend = Call.IsRead;
  Http.ConnectTimeout = std::min(ConnectTimeout, Call.Timeout);
  Http.Timeout = Call.Timeout + RelayTimeoutMargin;
  Client_.send(std::move(Http), [this, Peer = Call.Peers.front(),
                                 Done = std::move(Done)](HttpResult Response) {
    if (!Response)
      ReachableUntil_.erase(Peer);
    Done(std::move(Response));
  });
}

tl::unexpected<Error> RelayedStore::noPeerFailure(const RelayedCall &Call) {
  return failure(
      ErrorCode::PlatformUnavailable,
      fmt::format("no peer reaches the store; {}", Call.EarlierFailures));
}

void RelayedStore::skipPeer(RelayedCall &Call, std::string_view Failure) {
  Call.EarlierFailures +=
      fmt::format("; peer {} {}", Call.Peers.front(), Failure);
  ++NextPeer_;
  Call.Peers.erase(Call.Peers.begin());
}

void RelayedStore::relayCommit(RelayedCall Call, CommitDone Done) {
  if (Call.Peers.empty())
    return Done(noPeerFailure(Call));
  send(Call, [this, Call,
              Done = std::move(Done)](const HttpResult &Response) mutable {
    const auto Unknown = [&Call](std::string_view Reason) {
      return failure(ErrorCode::WriteOutcomeUnknown,
                     fmt::format("{}; peer {} {}", Call.EarlierFailures,
                                 Call.Peers.front(), Reason));
    };
    const bool NotPassedOn = Response ? isRejectedMessage(Response->Status)
                                      : isNotSent(Response.error().Code);
    if (NotPassedOn) {
      skipPeer(Call, describeResult(Response));
      return relayCommit(std::move(Call), std::move(Done));
    }
    if (!Response || Response->Status != StatusOk)
      return Done(Unknown(describeResult(Response)));
    auto Decoded = decodeCommitResponse(Response->Body);
    if (!Decoded)
      return Done(Unknown("unreadable response"));
    if (!Decoded->Value && isUnavailable(Decoded->Value.error())) {
      skipPeer(Call, reportedFailure(*Response, Decoded->Value.error()));
      return relayCommit(std::move(Call), std::move(Done));
    }
    if (Decoded->Value)
      recordRelayedContact(Decoded->StoreTime);
    Done(std::move(Decoded->Value));
  });
}

void RelayedStore::relayPage(RelayedCall Call, PageDone Done) {
  if (Call.Peers.empty())
    return Done(noPeerFailure(Call));
  send(Call, [this, Call,
              Done = std::move(Done)](const HttpResult &Response) mutable {
    if (!Response && Response.error().Code == ErrorCode::AnswerTooSlow)
      return Done(tl::unexpected(Response.error()));
    auto Decoded =
        Response && Response->Status == StatusOk
            ? decodePageResponse(Response->Body)
            : failure(ErrorCode::PlatformUnavailable, describeResult(Response));
    if (!Decoded ||
        (!Decoded->Value && isUnavailable(Decoded->Value.error()))) {
      skipPeer(Call, Decoded
                         ? reportedFailure(*Response, Decoded->Value.error())
                         : Decoded.error().Detail);
      return relayPage(std::move(Call), std::move(Done));
    }
    if (Decoded->Value)
      recordRelayedContact(Decoded->StoreTime);
    Done(std::move(Decoded->Value));
  });
}

void RelayedStore::commit(RowTransaction Change, milliseconds Timeout,
                          CommitDone Done) {
  Done = recordingUnknownWrite(Change,
                               recordingOutcome("commit", std::move(Done)));
  const auto MakeRelayedCall = [this,
                                Timeout](const RowTransaction &Transaction,
                                         std::string EarlierFailures) {
    const milliseconds RelayTimeout = std::min(Timeout, RelayTimeoutMax);
    return RelayedCall{
        .Body = encode(StoreCall(CommitCall{Transaction, RelayTimeout})),
        .Timeout = RelayTimeout,
        .Peers = selectPeers(),
        .EarlierFailures = std::move(EarlierFailures)};
  };
  if (shouldRelayFirst())
    return relayCommit(MakeRelayedCall(Change, DirectNotTried),
                       std::move(Done));
  Direct_.commit(
      Change, Timeout,
      [this, Change, MakeRelayedCall,
       Done = std::move(Done)](Result<RowCommit> Outcome) mutable {
        const bool Failed = !Outcome;
        if (!recordDirectOutcome(Failed) || !isUnavailable(Outcome.error()))
          return Done(std::move(Outcome));
        relayCommit(MakeRelayedCall(Change, directFailure(Outcome.error())),
                    std::move(Done));
      });
}

void RelayedStore::read(RowRange Range, milliseconds Timeout, PageDone Done) {
  Done = recordingOutcome("read", std::move(Done));
  const auto MakeRelayedCall = [this, Range,
                                Timeout](std::string EarlierFailures) {
    const milliseconds RelayTimeout = std::min(Timeout, RelayTimeoutMax);
    return RelayedCall{.Body = encode(StoreCall(ReadCall{Range, RelayTimeout})),
                       .IsRead = true,
                       .Timeout = RelayTimeout,
                       .Peers = selectPeers(),
                       .EarlierFailures = std::move(EarlierFailures)};
  };
  if (shouldRelayFirst())
    return relayPage(MakeRelayedCall(DirectNotTried), std::move(Done));
  Direct_.read(Range, Timeout,
               [this, MakeRelayedCall,
                Done = std::move(Done)](Result<RowPage> Page) mutable {
                 if (isTooSlow(Page) || !recordDirectOutcome(!Page))
                   return Done(std::move(Page));
                 relayPage(MakeRelayedCall(directFailure(Page.error())),
                           std::move(Done));
               });
}

void RelayedStore::changes(ChangesQuery Request, PageDone Done) {
  Done = recordingOutcome("changes", std::move(Done));
  const auto MakeRelayedCall = [this, Request](std::string EarlierFailures) {
    ChangesQuery Relayed = Request;
    Relayed.Wait = std::min(Request.Wait, RelayedWaitMax);
    return RelayedCall{.Body = encode(StoreCall(ChangesCall{Relayed})),
                       .IsRead = true,
                       .Timeout = Relayed.Wait + ResponseAllowance,
                       .Peers = selectPeers(),
                       .EarlierFailures = std::move(EarlierFailures)};
  };
  if (shouldRelayChangesFirst())
    return relayPage(MakeRelayedCall(DirectNotTried), std::move(Done));
  // A response that is due at once soon shows whether the store is back.
  if (DirectFailures_ > 0)
    Request.Wait = milliseconds(0);
  Direct_.changes(Request, [this, MakeRelayedCall, Done = std::move(Done)](
                               Result<RowPage> Page) mutable {
    const bool HistoryGone =
        !Page && Page.error().Code == ErrorCode::HistoryGone;
    if (HistoryGone || isTooSlow(Page) || !recordDirectOutcome(!Page))
      return Done(std::move(Page));
    relayPage(MakeRelayedCall(directFailure(Page.error())), std::move(Done));
  });
}

} // namespace cuminroad
