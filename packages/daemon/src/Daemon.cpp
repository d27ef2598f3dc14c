#include "cuminroad/daemon/Daemon.h"

#include <atomic>
#include <thread>

#include <nlohmann/json.hpp>

#include "Api.h"
#include "DaemonComponents.h"
#include "Metrics.h"
#include "TablelessTakeover.h"
#include "cuminroad/net/PeerSocket.h"

namespace cuminroad {

namespace {

/// Interval of ending waiting requests that can no longer start in time.
constexpr milliseconds RequestExpiryInterval{10};
/// Interval of dropping expired tickets, keys and cached responses.
constexpr milliseconds ResponseExpiryInterval{1000};
/// Delay of a grant request after its cause, so that several causes share one.
constexpr milliseconds GrantRequestDelay{5};
/// Shortest time from a grant request to the next one that isn't periodic;
/// limits the control traffic during an overload.
constexpr milliseconds MinGrantRequestInterval{100};
/// Interval of reading the VM list that a later owner starts from.
constexpr milliseconds VmListPollInterval{10000};
/// Time for the last message to a peer to be sent before the process exits.
constexpr milliseconds FinalMessageDelay{200};

class EntryDaemon final : public Daemon {
public:
  explicit EntryDaemon(const Settings &Config);
  ~EntryDaemon() override;
  void run() override { Components_.ControlLoop->run(); }
  void stop() override {
    Components_.ControlLoop->post([this] { beginShutdown(); });
  }

private:
  void startComponents();
  void startOwner(bool Inherited);
  void stopOwner();
  void scheduleGrantRequest();
  void requestGrants();
  void requestGrantsPeriodically();
  void endExpiredRequestsPeriodically();
  void dropExpiredResponsesPeriodically();
  void pollVmListPeriodically();
  void handlePeerMessage(const std::string &Bytes);
  void handle(const GrantRequest &Message);
  void handle(const GrantReply &Message);
  void handle(const GrantNotice &Message);
  void sendToPeer(const std::string &Address, const PeerMessage &Message);
  void sendGrantNotices();
  void sendGrantNotice(const std::string &Name);
  void beginShutdown();
  void finishShutdown();

  DaemonComponents Components_;
  Metrics Metrics_;
  RequestFrontend Frontend_;
  Api Api_;
  TablelessTakeover Takeover_;
  std::unique_ptr<PeerSocket> PeerSocket_;
  std::unique_ptr<HttpServer> Server_;
  std::thread DrainThread_;
  std::atomic<bool> ShuttingDown_{false};
  std::atomic<bool> GrantRequestScheduled_{false};
  TimePoint LastGrantRequestAt_{};
  std::uint64_t PeerBytesReceived_ = 0;
  bool ReadyReported_ = false;
};

EntryDaemon::EntryDaemon(const Settings &Config)
    : Components_(Config),
      Frontend_(
          RequestFrontendContext{
              Components_.Config, Components_.Self, Components_.MonotonicClock,
              Components_.Events, *Components_.ControlLoop,
              *Components_.TrafficClient, Components_.Contracts,
              Components_.Members, Components_.IdempotencyKeys},
          [this] { scheduleGrantRequest(); }),
      Api_(Components_, Frontend_, Metrics_), Takeover_(Components_) {
  Frontend_.OnStartWait = [this](double WaitMs) {
    Metrics_.observeStartWait(WaitMs);
  };
  Api_.IsReady = [this] {
    return Components_.SharedConfig.ready() && !ShuttingDown_;
  };
  Api_.GetPeerTraffic = [this] {
    return PeerTraffic{PeerSocket_->bytesSent(), PeerBytesReceived_};
  };
  PeerSocket_ = openPeerSocket(Config.Peer.text(), [this](std::string Bytes) {
    Components_.ControlLoop->post(
        [this, Bytes = std::move(Bytes)] { handlePeerMessage(Bytes); });
  });
  HttpServerOptions Options;
  Options.Address = Config.Http.Address;
  Options.Port = Config.Http.Port;
  Options.Limits.MaxBodyBytes = static_cast<std::size_t>(Config.MaxBodyBytes);
  Server_ = startHttpServer(
      Options, [this](HttpRequest Request, HttpResponder Respond) {
        Api_.handle(std::move(Request), std::move(Respond));
      });
  Components_.Events.record(EventId::DaemonStarted, Components_.Self.Name,
                            Components_.Self.Http);
  startComponents();
}

EntryDaemon::~EntryDaemon() {
  if (DrainThread_.joinable())
    DrainThread_.join();
  // Destroy everything that calls the frontend before the frontend itself.
  Server_.reset();
  PeerSocket_.reset();
  Components_.TrafficClient.reset();
  Components_.ControlClient.reset();
}

void EntryDaemon::startComponents() {
  Components_.RetryingTable.OnReachabilityChange = [this](bool Reachable) {
    Components_.Events.record(Reachable ? EventId::PlatformBack
                                        : EventId::PlatformLost,
                              Components_.Self.Name);
  };
  Components_.SharedConfig.OnChanged = [this] {
    if (!std::exchange(ReadyReported_, true))
      Components_.Events.record(EventId::DaemonReady, Components_.Self.Name);
    if (Components_.LocalOwner)
      Components_.LocalOwner->configChanged();
  };
  Components_.SharedConfig.OnReplaced = [this] { beginShutdown(); };
  Components_.DomainOwnership.OnTaken = [this](bool Inherited) {
    startOwner(Inherited);
  };
  Components_.DomainOwnership.OnLost = [this] { stopOwner(); };
  Components_.ControlLoop->post([this] {
    Components_.SharedConfig.start();
    Components_.DomainOwnership.start();
    requestGrantsPeriodically();
    endExpiredRequestsPeriodically();
    dropExpiredResponsesPeriodically();
    pollVmListPeriodically();
    Takeover_.start();
  });
}

void EntryDaemon::startOwner(bool Inherited) {
  OwnerTerm Term{Components_.DomainOwnership.owner().Epoch,
                 Components_.DomainOwnership.epochKey(),
                 Components_.DomainOwnership.epochRowVersion(), Inherited};
  Components_.LocalOwner = std::make_shared<DomainOwner>(
      OwnerContext{Components_.Config, Components_.Self,
                   Components_.MonotonicClock, Components_.Events,
                   *Components_.ControlLoop, *Components_.ControlClient,
                   Components_.UnlimitedRetryTable, *Components_.VmListSource,
                   Components_.SharedConfig, Components_.LastListing},
      Term);
  Components_.LocalOwner->OnSuperseded = [this](std::int64_t Epoch) {
    // Posted, because it destroys the owner that makes this call.
    Components_.ControlLoop->post(
        [this, Epoch] { Components_.DomainOwnership.stepDown(Epoch); });
  };
  Components_.LocalOwner->OnGrantsChanged = [this] { sendGrantNotices(); };
  Components_.LocalOwner->OnGrantRenewalWanted =
      [this](const std::vector<std::string> &Names) {
        for (const std::string &Name : Names)
          sendGrantNotice(Name);
      };
  Components_.LocalOwner->OnEntryVmsGone =
      [this](const std::vector<std::string> &Names) {
        Components_.SharedConfig.removeMembers(Names);
      };
  Components_.LocalOwner->start();
  sendGrantNotices();
}

void EntryDaemon::stopOwner() {
  if (!Components_.LocalOwner)
    return;
  Components_.LocalOwner->close();
  Components_.LocalOwner.reset();
}

void EntryDaemon::sendGrantNotices() {
  for (const Identity &Member :
       Components_.Members.inDomain(Components_.Self.Domain))
    sendGrantNotice(Member.Name);
}

void EntryDaemon::sendGrantNotice(const std::string &Name) {
  if (Name == Components_.Self.Name)
    return scheduleGrantRequest();
  const auto Member = Components_.Members.find(Name);
  if (!Member)
    return;
  sendToPeer(Member->Peer,
             GrantNotice{Components_.Self.Name,
                         Components_.DomainOwnership.owner().Epoch,
                         Components_.Self.Peer, Components_.Self.Http,
                         Components_.Events.logicalClock().next()});
}

void EntryDaemon::sendToPeer(const std::string &Address,
                             const PeerMessage &Message) {
  PeerSocket_->send(Components_.Config.translateUrl(Address), encode(Message));
}

void EntryDaemon::scheduleGrantRequest() {
  if (GrantRequestScheduled_.exchange(true))
    return;
  Components_.ControlLoop->post([this] {
    const auto Elapsed = std::chrono::duration_cast<milliseconds>(
        Components_.MonotonicClock.now() - LastGrantRequestAt_);
    Components_.ControlLoop->after(
        std::max(MinGrantRequestInterval - Elapsed, GrantRequestDelay), [this] {
          GrantRequestScheduled_ = false;
          requestGrants();
        });
  });
}

void EntryDaemon::requestGrants() {
  const OwnerInfo &Owner = Components_.DomainOwnership.owner();
  if (!Components_.LocalOwner && Owner.Peer.empty())
    return;
  LastGrantRequestAt_ = Components_.MonotonicClock.now();
  GrantRequest Request;
  Request.From = Components_.Self.Name;
  Request.Incarnation = Components_.Self.Incarnation;
  Request.ReplyTo = Components_.Self.Peer;
  Request.Stamp = Components_.Events.logicalClock().next();
  Frontend_.fillGrantRequest(Request);
  if (Components_.LocalOwner)
    handle(Components_.LocalOwner->handleGrantRequest(Request));
  else
    sendToPeer(Owner.Peer, Request);
}

void EntryDaemon::requestGrantsPeriodically() {
  requestGrants();
  Components_.ControlLoop->after(Components_.Config.Times.GrantRenewal,
                                 [this] { requestGrantsPeriodically(); });
}

void EntryDaemon::endExpiredRequestsPeriodically() {
  Frontend_.endExpiredRequests();
  Components_.ControlLoop->after(RequestExpiryInterval,
                                 [this] { endExpiredRequestsPeriodically(); });
}

void EntryDaemon::dropExpiredResponsesPeriodically() {
  Frontend_.dropExpiredResponses();
  Components_.ControlLoop->after(
      ResponseExpiryInterval, [this] { dropExpiredResponsesPeriodically(); });
}

void EntryDaemon::pollVmListPeriodically() {
  Components_.VmListSource->read(
      Components_.Self.Domain, [this](Result<VmListing> Listing) {
        if (Listing)
          Components_.LastListing = std::move(*Listing);
        Components_.ControlLoop->after(VmListPollInterval,
                                       [this] { pollVmListPeriodically(); });
      });
}

void EntryDaemon::handlePeerMessage(const std::string &Bytes) {
  PeerBytesReceived_ += Bytes.size();
  const auto Message = decodePeerMessage(Bytes);
  if (!Message) {
    Components_.Events.record(EventId::PeerMessageRejected,
                              Components_.Self.Name, Message.error().text());
    return;
  }
  std::visit(
      [this](const auto &TypedMessage) {
        Components_.Events.logicalClock().observe(TypedMessage.Stamp);
        handle(TypedMessage);
      },
      *Message);
}

void EntryDaemon::handle(const GrantRequest &Message) {
  if (!Components_.LocalOwner)
    return;
  GrantReply Reply = Components_.LocalOwner->handleGrantRequest(Message);
  if (Reply.Seq == 0)
    return;
  Reply.Stamp = Components_.Events.logicalClock().next();
  sendToPeer(Message.ReplyTo, Reply);
}

void EntryDaemon::handle(const GrantReply &Message) {
  if (Message.Epoch < Components_.DomainOwnership.owner().Epoch)
    return;
  Takeover_.recordOwnerContact();
  Frontend_.applyGrantReply(Message);
}

void EntryDaemon::handle(const GrantNotice &Message) {
  Takeover_.recordOwnerContact();
  Components_.DomainOwnership.observe(OwnerInfo{
      Message.Owner, "", Message.Http, Message.Address, Message.Epoch});
  scheduleGrantRequest();
}

void EntryDaemon::beginShutdown() {
  if (ShuttingDown_.exchange(true))
    return;
  Components_.Events.record(EventId::DaemonStopping, Components_.Self.Name);
  Components_.DomainOwnership.release([] {});
  Server_->announceClose();
  Components_.ControlLoop->after(
      Components_.Config.Times.ShutdownLinger, [this] {
        DrainThread_ = std::thread([this] {
          Server_->drain();
          Components_.ControlLoop->post([this] { finishShutdown(); });
        });
      });
}

void EntryDaemon::finishShutdown() {
  // No request is in flight any more, so this grant request releases all
  // grants.
  requestGrants();
  Components_.SharedConfig.deregister([this] {
    Components_.ControlLoop->after(FinalMessageDelay, [this] {
      Components_.Events.record(EventId::DaemonStopped, Components_.Self.Name);
      Components_.ControlLoop->stop();
    });
  });
}

} // namespace

std::unique_ptr<Daemon> makeDaemon(const Settings &Config) {
  return std::make_unique<EntryDaemon>(Config);
}

} // namespace cuminroad
