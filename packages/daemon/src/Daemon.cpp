#include "cuminroad/daemon/Daemon.h"

#include <atomic>
#include <thread>

#include <nlohmann/json.hpp>

#include "Api.h"
#include "DaemonParts.h"
#include "Metrics.h"
#include "TablelessTakeover.h"
#include "cuminroad/net/PeerSocket.h"

namespace cuminroad {

namespace {

constexpr milliseconds SweepInterval{10};
constexpr milliseconds ExpireInterval{1000};
/// Delay of a request for grants, which lets several causes share it, and the
/// least time between two: it bounds the control traffic of an overload.
constexpr milliseconds AskDelay{5};
constexpr milliseconds AskInterval{100};
constexpr milliseconds StandbyListPoll{10000};
/// Time for the last message to a peer to leave.
constexpr milliseconds PartingTime{200};

class EntryDaemon final : public Daemon {
public:
  explicit EntryDaemon(const Settings &Config);
  ~EntryDaemon() override;
  void run() override { Parts_.Control->run(); }
  void stop() override {
    Parts_.Control->post([this] { beginStop(); });
  }

private:
  void follow();
  void ownershipTaken(bool Inherited);
  void ownershipLost();
  void askOwnerSoon();
  void askOwner();
  void askRegularly();
  void sweepRegularly();
  void expireRegularly();
  void readListRegularly();
  void received(const std::string &Bytes);
  void take(const GrantRequest &Message);
  void take(const GrantReply &Message);
  void take(const GrantNotice &Message);
  void sendTo(const std::string &Address, const PeerMessage &Message);
  void sendNotices();
  void sendNotice(const std::string &Name);
  void beginStop();
  void finishStop();

  DaemonParts Parts_;
  Metrics Metrics_;
  FrontDoor Door_;
  Api Api_;
  TablelessTakeover Takeover_;
  std::unique_ptr<PeerSocket> Peers_;
  std::unique_ptr<HttpServer> Server_;
  std::thread Drainer_;
  std::atomic<bool> Stopping_{false};
  std::atomic<bool> AskPlanned_{false};
  TimePoint AskedAt_{};
  std::uint64_t PeerBytesReceived_ = 0;
  bool ReadyTold_ = false;
};

EntryDaemon::EntryDaemon(const Settings &Config)
    : Parts_(Config),
      Door_(FrontDoorContext{Parts_.Config, Parts_.Self, Parts_.Time,
                             Parts_.Events, *Parts_.Control,
                             *Parts_.TrafficClient, Parts_.Contracts,
                             Parts_.Members, Parts_.Claims},
            [this] { askOwnerSoon(); }),
      Api_(Parts_, Door_, Metrics_), Takeover_(Parts_) {
  Door_.OnStartWait = [this](double Wait) { Metrics_.observeStartWait(Wait); };
  Api_.IsReady = [this] { return Parts_.Keeper.ready() && !Stopping_; };
  Api_.Peers = [this] {
    return PeerTraffic{Peers_->bytesSent(), PeerBytesReceived_};
  };
  Peers_ = openPeerSocket(Config.Peer.text(), [this](std::string Bytes) {
    Parts_.Control->post([this, Bytes = std::move(Bytes)] { received(Bytes); });
  });
  HttpServerOptions Options;
  Options.Address = Config.Http.Address;
  Options.Port = Config.Http.Port;
  Options.MaxBodyBytes = static_cast<std::size_t>(Config.MaxBodyBytes);
  Server_ = startHttpServer(
      Options, [this](HttpRequest Request, HttpResponder Respond) {
        Api_.handle(std::move(Request), std::move(Respond));
      });
  Parts_.Events.record(EventId::DaemonStarted, Parts_.Self.Name,
                       Parts_.Self.Http);
  follow();
}

EntryDaemon::~EntryDaemon() {
  if (Drainer_.joinable())
    Drainer_.join();
  // Whoever calls into the front door ends first.
  Server_.reset();
  Peers_.reset();
  Parts_.TrafficClient.reset();
  Parts_.ControlClient.reset();
}

void EntryDaemon::follow() {
  Parts_.Rows.OnReachabilityChange = [this](bool Reachable) {
    Parts_.Events.record(Reachable ? EventId::PlatformBack
                                   : EventId::PlatformLost,
                         Parts_.Self.Name);
  };
  Parts_.Keeper.OnChanged = [this] {
    if (!std::exchange(ReadyTold_, true))
      Parts_.Events.record(EventId::DaemonReady, Parts_.Self.Name);
    if (Parts_.Domain)
      Parts_.Domain->configChanged();
  };
  Parts_.Keeper.OnReplaced = [this] { beginStop(); };
  Parts_.Owners.OnTaken = [this](bool Inherited) { ownershipTaken(Inherited); };
  Parts_.Owners.OnLost = [this] { ownershipLost(); };
  Parts_.Control->post([this] {
    Parts_.Keeper.start();
    Parts_.Owners.start();
    askRegularly();
    sweepRegularly();
    expireRegularly();
    readListRegularly();
    Takeover_.start();
  });
}

void EntryDaemon::ownershipTaken(bool Inherited) {
  OwnerTerm Term{Parts_.Owners.owner().Epoch, Parts_.Owners.epochKey(),
                 Parts_.Owners.epochRowVersion(), Inherited};
  Parts_.Domain = std::make_shared<DomainOwner>(
      OwnerContext{Parts_.Config, Parts_.Self, Parts_.Time, Parts_.Events,
                   *Parts_.Control, *Parts_.ControlClient, Parts_.EndlessRows,
                   *Parts_.List, Parts_.Keeper, Parts_.LastListing},
      Term);
  Parts_.Domain->OnStale = [this](std::int64_t Epoch) {
    // Later, since the owner that calls is ended by it.
    Parts_.Control->post([this, Epoch] { Parts_.Owners.stepDown(Epoch); });
  };
  Parts_.Domain->OnGrantsChanged = [this] { sendNotices(); };
  Parts_.Domain->OnNudge = [this](const std::vector<std::string> &Names) {
    for (const std::string &Name : Names)
      sendNotice(Name);
  };
  Parts_.Domain->OnGoneEntries = [this](const std::vector<std::string> &Names) {
    Parts_.Keeper.removeMembers(Names);
  };
  Parts_.Domain->start();
  sendNotices();
}

void EntryDaemon::ownershipLost() {
  if (!Parts_.Domain)
    return;
  Parts_.Domain->close();
  Parts_.Domain.reset();
}

void EntryDaemon::sendNotices() {
  for (const Identity &Member : Parts_.Members.inDomain(Parts_.Self.Domain))
    sendNotice(Member.Name);
}

void EntryDaemon::sendNotice(const std::string &Name) {
  if (Name == Parts_.Self.Name)
    return askOwnerSoon();
  const auto Member = Parts_.Members.find(Name);
  if (!Member)
    return;
  sendTo(Member->Peer,
         GrantNotice{Parts_.Self.Name, Parts_.Owners.owner().Epoch,
                     Parts_.Self.Peer, Parts_.Self.Http,
                     Parts_.Events.logicalClock().next()});
}

void EntryDaemon::sendTo(const std::string &Address,
                         const PeerMessage &Message) {
  Peers_->send(Parts_.Config.translateUrl(Address), encode(Message));
}

void EntryDaemon::askOwnerSoon() {
  if (AskPlanned_.exchange(true))
    return;
  Parts_.Control->post([this] {
    const auto Since =
        std::chrono::duration_cast<milliseconds>(Parts_.Time.now() - AskedAt_);
    Parts_.Control->after(std::max(AskInterval - Since, AskDelay), [this] {
      AskPlanned_ = false;
      askOwner();
    });
  });
}

void EntryDaemon::askOwner() {
  const OwnerInfo &Owner = Parts_.Owners.owner();
  if (!Parts_.Domain && Owner.Peer.empty())
    return;
  AskedAt_ = Parts_.Time.now();
  GrantRequest Request;
  Request.From = Parts_.Self.Name;
  Request.Incarnation = Parts_.Self.Incarnation;
  Request.ReplyTo = Parts_.Self.Peer;
  Request.Stamp = Parts_.Events.logicalClock().next();
  Door_.reportGrants(Request);
  if (Parts_.Domain)
    take(Parts_.Domain->answerGrants(Request));
  else
    sendTo(Owner.Peer, Request);
}

void EntryDaemon::askRegularly() {
  askOwner();
  Parts_.Control->after(Parts_.Config.Times.GrantRenewal,
                        [this] { askRegularly(); });
}

void EntryDaemon::sweepRegularly() {
  Door_.sweep();
  Parts_.Control->after(SweepInterval, [this] { sweepRegularly(); });
}

void EntryDaemon::expireRegularly() {
  Door_.expire();
  Parts_.Control->after(ExpireInterval, [this] { expireRegularly(); });
}

void EntryDaemon::readListRegularly() {
  Parts_.List->read(Parts_.Self.Domain, [this](Result<VmListing> Listing) {
    if (Listing)
      Parts_.LastListing = std::move(*Listing);
    Parts_.Control->after(StandbyListPoll, [this] { readListRegularly(); });
  });
}

void EntryDaemon::received(const std::string &Bytes) {
  PeerBytesReceived_ += Bytes.size();
  const auto Message = decodePeerMessage(Bytes);
  if (!Message) {
    Parts_.Events.record(EventId::PeerMessageRejected, Parts_.Self.Name,
                         Message.error().text());
    return;
  }
  std::visit(
      [this](const auto &Typed) {
        Parts_.Events.logicalClock().observe(Typed.Stamp);
        take(Typed);
      },
      *Message);
}

void EntryDaemon::take(const GrantRequest &Message) {
  if (!Parts_.Domain)
    return;
  GrantReply Reply = Parts_.Domain->answerGrants(Message);
  if (Reply.Seq == 0)
    return;
  Reply.Stamp = Parts_.Events.logicalClock().next();
  sendTo(Message.ReplyTo, Reply);
}

void EntryDaemon::take(const GrantReply &Message) {
  if (Message.Epoch < Parts_.Owners.owner().Epoch)
    return;
  Takeover_.recordOwnerContact();
  Door_.applyGrants(Message);
}

void EntryDaemon::take(const GrantNotice &Message) {
  Takeover_.recordOwnerContact();
  Parts_.Owners.observe(OwnerInfo{Message.Owner, "", Message.Http,
                                  Message.Address, Message.Epoch});
  askOwnerSoon();
}

void EntryDaemon::beginStop() {
  if (Stopping_.exchange(true))
    return;
  Parts_.Events.record(EventId::DaemonStopping, Parts_.Self.Name);
  Parts_.Owners.release([] {});
  Server_->announceClose();
  Parts_.Control->after(Parts_.Config.Times.ShutdownLinger, [this] {
    Drainer_ = std::thread([this] {
      Server_->drain();
      Parts_.Control->post([this] { finishStop(); });
    });
  });
}

void EntryDaemon::finishStop() {
  // Nothing is in flight any more: the report gives all grants back.
  askOwner();
  Parts_.Keeper.deregister([this] {
    Parts_.Control->after(PartingTime, [this] {
      Parts_.Events.record(EventId::DaemonStopped, Parts_.Self.Name);
      Parts_.Control->stop();
    });
  });
}

} // namespace

std::unique_ptr<Daemon> makeDaemon(const Settings &Config) {
  return std::make_unique<EntryDaemon>(Config);
}

} // namespace cuminroad
