#include "cuminroad/fleet/FleetDaemon.h"

#include <algorithm>
#include <map>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cuminroad/base/Ids.h"
#include "cuminroad/fleet/DaemonRow.h"
#include "cuminroad/fleet/PoolLease.h"
#include "cuminroad/fleet/PoolOwner.h"
#include "cuminroad/fleet/RelayedStore.h"
#include "cuminroad/net/LoopHttp.h"

namespace cuminroad {

namespace {

/// A daemon that has not reached the store for this long can't accept jobs; the
/// balancer sends callers to others.
constexpr milliseconds StoreAwayUnready{2500};
constexpr milliseconds CheckInterval{500};
/// VMs rewrite their entries often; changes are gathered for this long.
constexpr milliseconds VmGather{300};
/// A stopping daemon keeps its front door open until the balancer has noticed
/// that it is not ready: two checks a second apart.
constexpr milliseconds LeaveRotation{2600};
/// How often a stopping daemon looks whether all requests are answered.
constexpr milliseconds DrainPoll{50};
/// Kept back from the time that a stopping daemon has.
constexpr milliseconds StopMargin{700};
constexpr const char *MetricsType = "text/plain; version=0.0.4";
constexpr milliseconds WriteTimeout{1500};
constexpr milliseconds WriteRetry{300};

HttpResponse plain(int Status) {
  return HttpResponse{Status, {}, "", "text/plain"};
}

/// Keeps a table's rows by key and tells of changes.
class RowMap final : public RowSink {
public:
  explicit RowMap(std::function<void()> Changed)
      : Changed_(std::move(Changed)) {}

  void tableRead(std::vector<StoredRow> Rows) override {
    Rows_.clear();
    rowsChanged(std::move(Rows));
  }
  void rowsChanged(std::vector<StoredRow> Rows) override {
    for (StoredRow &Row : Rows) {
      if (Row.Removed)
        Rows_.erase(Row.Name.Key);
      else
        Rows_[Row.Name.Key] = std::move(Row.Value);
    }
    Changed_();
  }
  const std::map<std::string, std::string> &rows() const { return Rows_; }

private:
  std::function<void()> Changed_;
  std::map<std::string, std::string> Rows_;
};

class FleetDaemonImpl final : public FleetDaemon,
                              public OwnedPools,
                              public OwnerFinder {
public:
  FleetDaemonImpl(FleetParts Parts, FrontHandlerMaker MakeFront)
      : Parts_(std::move(Parts)),
        MakeFront_(std::move(MakeFront)), Self_{Parts_.Settings.Name,
                                                randomId(),
                                                Parts_.Settings.Domain,
                                                Parts_.Settings.Peer.text(),
                                                Parts_.Settings.CpuShare},
        Peers_(Parts_.Client),
        Store_(Parts_.Store, Parts_.Client, Parts_.Home, Parts_.Time,
               Parts_.Events, Metrics_, [this] { return relayPeers(); }),
        Directory_(Parts_.Formats, Parts_.Events),
        Config_([this] { configChanged(); }),
        Daemons_([this] { daemonsChanged(); }),
        Context_{Parts_.Settings, Self_,       Parts_.Time, Parts_.Wall,
                 Parts_.Events,   Parts_.Home, Store_,      Parts_.Vms,
                 Parts_.Advisor,  Peers_,      Queues_,     Directory_,
                 Metrics_},
        Door_(Context_, *this, *this) {}

  void start() override;
  void stop() override;

  bool owns(std::string_view Service) const override;
  std::optional<JobStage> stage(std::string_view Service,
                                std::string_view Job) const override;
  int pending(std::string_view Service, std::string_view Queue) const override;
  const OwnerRow *ownerOf(std::string_view Service) const override;

private:
  std::unique_ptr<HttpServer> listen(const ListenAddress &At,
                                     HttpHandler Handler);
  std::shared_ptr<TableFollower> follow(std::string Table, RowSink &Sink,
                                        milliseconds Gather = {});
  void configChanged();
  void daemonsChanged();
  void watchPool(const std::string &Service);
  void poolTaken(const PoolTerm &Term);
  void poolLost(const std::string &Service);
  void registerSelf();
  void check();
  bool ready() const;
  void drain(TimePoint Until);
  void finish();
  std::vector<std::string> relayPeers() const;

  FleetParts Parts_;
  FrontHandlerMaker MakeFront_;
  DaemonIdentity Self_;
  FleetMetrics Metrics_;
  PeerCalls Peers_;
  RelayedStore Store_;
  QueueBook Queues_;
  VmDirectory Directory_;
  RowMap Config_;
  RowMap Daemons_;
  /// The other daemons that have registered.
  DaemonRows Others_;
  FleetContext Context_;
  JobDoor Door_;
  std::unique_ptr<HttpServer> Front_;
  std::unique_ptr<HttpServer> Ready_;
  std::unique_ptr<HttpServer> PeerServer_;
  std::unique_ptr<HttpServer> MetricsServer_;
  std::vector<std::shared_ptr<TableFollower>> Followers_;
  /// Only a pool's owner needs to know the VMs.
  std::shared_ptr<TableFollower> VmFollower_;
  std::map<std::string, std::shared_ptr<PoolLease>, std::less<>> Leases_;
  std::map<std::string, std::shared_ptr<PoolOwner>, std::less<>> Owners_;
  bool Stopping_ = false;
  bool StoreAway_ = false;
};

std::unique_ptr<HttpServer> FleetDaemonImpl::listen(const ListenAddress &At,
                                                    HttpHandler Handler) {
  HttpServerOptions Options;
  Options.Address = At.Address;
  Options.Port = At.Port;
  return startLoopHttpServer(Parts_.Home, Options, std::move(Handler));
}

std::shared_ptr<TableFollower>
FleetDaemonImpl::follow(std::string Table, RowSink &Sink, milliseconds Gather) {
  auto Out = std::make_shared<TableFollower>(
      Store_, Parts_.Home,
      FollowOptions{
          .Table = std::move(Table), .Partitions = {""}, .BatchDelay = Gather},
      Sink);
  Out->start();
  return Out;
}

void FleetDaemonImpl::start() {
  PeerServer_ =
      listen(Parts_.Settings.Peer,
             makePeerHandler(*this, Parts_.Advisor, Parts_.Store, Parts_.Time));
  Ready_ = listen(Parts_.Settings.Ready,
                  [this](const HttpRequest &, const HttpResponder &Respond) {
                    Respond(plain(ready() ? 200 : 503));
                  });
  MetricsServer_ =
      listen(Parts_.Settings.Metrics,
             [this](const HttpRequest &, const HttpResponder &Respond) {
               Respond(HttpResponse{200, {}, Metrics_.render(), MetricsType});
             });
  Front_ = listen(Parts_.Settings.Front, MakeFront_(Queues_, Door_));
  Parts_.Events.record(EventId::DaemonStarted, Self_.Name, Self_.Incarnation);
  Followers_ = {follow(Parts_.Formats.configTable(), Config_),
                follow(std::string(DaemonTable), Daemons_)};
  registerSelf();
  check();
}

void FleetDaemonImpl::registerSelf() {
  if (Stopping_)
    return;
  RowTransaction Change;
  Change.Puts.push_back(
      RowPut{RowName{std::string(DaemonTable), "", Self_.Name},
             encodeDaemon(DaemonRow{Self_.Peer, Self_.Incarnation})});
  Store_.commit(std::move(Change), WriteTimeout,
                [this](const Result<RowCommit> &Outcome) {
                  if (Outcome && Outcome->committed())
                    return;
                  Parts_.Home.after(WriteRetry, [this] { registerSelf(); });
                });
}

void FleetDaemonImpl::configChanged() {
  const auto Row = Config_.rows().find(Parts_.Formats.configKey());
  if (Row == Config_.rows().end())
    return;
  auto Config = Parts_.Formats.decodeConfig(Row->second);
  if (!Config) {
    Parts_.Events.record(EventId::RowUnreadable, Row->first,
                         Config.error().text());
    return;
  }
  const bool First = !Queues_.known();
  if (!Queues_.apply(std::move(*Config)))
    return;
  Parts_.Events.record(EventId::ConfigApplied, Self_.Name,
                       fmt::format("version {} queues {}",
                                   Queues_.config().Version,
                                   Queues_.config().Routes.size()));
  if (First)
    Parts_.Events.record(EventId::DaemonReady, Self_.Name);
  for (const std::string &Service : Queues_.config().Services)
    watchPool(Service);
  for (const auto &[Service, Owner] : Owners_)
    Owner->queuesChanged();
}

std::vector<std::string> FleetDaemonImpl::relayPeers() const {
  std::vector<std::string> Out;
  for (const auto &[Name, Row] : Others_)
    Out.push_back(Row.Peer);
  return Out;
}

void FleetDaemonImpl::daemonsChanged() {
  Others_.clear();
  for (const auto &[Name, Bytes] : Daemons_.rows()) {
    auto Row = decodeDaemon(Bytes);
    if (!Row)
      Parts_.Events.record(EventId::RowUnreadable, Name, Row.error().text());
    else if (Name != Self_.Name)
      Others_[Name] = std::move(*Row);
  }
  for (const auto &[Service, Owner] : Owners_)
    Owner->setPeers(Others_);
}

void FleetDaemonImpl::watchPool(const std::string &Service) {
  if (Leases_.contains(Service) || Stopping_)
    return;
  auto Lease = std::make_shared<PoolLease>(
      Parts_.Store, Parts_.Home, Parts_.Time, Parts_.Events, Self_, Service);
  Lease->PoolsOwned = [this] { return static_cast<int>(Owners_.size()); };
  Lease->OnTaken = [this](const PoolTerm &Term) { poolTaken(Term); };
  Leases_[Service] = Lease;
  Lease->start();
}

void FleetDaemonImpl::poolTaken(const PoolTerm &Term) {
  auto Owner = std::make_shared<PoolOwner>(Context_, Term);
  Owner->OnReplaced = [this, Service = Term.Service] { poolLost(Service); };
  Owners_[Term.Service] = Owner;
  if (!VmFollower_)
    VmFollower_ = follow(Parts_.Formats.vmTable(), Directory_, VmGather);
  Owner->start();
  Owner->setPeers(Others_);
}

void FleetDaemonImpl::poolLost(const std::string &Service) {
  Owners_.erase(Service);
  if (Owners_.empty() && VmFollower_) {
    VmFollower_->close();
    VmFollower_.reset();
    Directory_.forget();
  }
  Leases_[Service]->lost();
}

bool FleetDaemonImpl::owns(std::string_view Service) const {
  const auto Found = Owners_.find(Service);
  return Found != Owners_.end() && Found->second->loaded();
}

std::optional<JobStage> FleetDaemonImpl::stage(std::string_view Service,
                                               std::string_view Job) const {
  return Owners_.find(Service)->second->stage(Job);
}

int FleetDaemonImpl::pending(std::string_view Service,
                             std::string_view Queue) const {
  return Owners_.find(Service)->second->pending(Queue);
}

const OwnerRow *FleetDaemonImpl::ownerOf(std::string_view Service) const {
  const auto Found = Leases_.find(Service);
  return Found == Leases_.end() ? nullptr : &Found->second->owner();
}

bool FleetDaemonImpl::ready() const {
  return Queues_.known() && !Stopping_ && !StoreAway_;
}

void FleetDaemonImpl::check() {
  const bool Away = Parts_.Time.now() - Store_.lastContact() > StoreAwayUnready;
  if (Away != StoreAway_ && Queues_.known())
    Parts_.Events.record(Away ? EventId::StoreLost : EventId::StoreBack,
                         Self_.Name);
  StoreAway_ = Away;
  Parts_.Home.after(CheckInterval, [this] { check(); });
}

void FleetDaemonImpl::stop() {
  if (Stopping_)
    return;
  Stopping_ = true;
  Parts_.Events.record(EventId::DaemonStopping, Self_.Name);
  const TimePoint Until =
      Parts_.Time.now() + Parts_.Settings.StopGrace - StopMargin;
  for (const auto &[Service, Lease] : Leases_)
    Lease->stop();
  for (const auto &[Service, Owner] : Owners_)
    Owner->release();
  RowTransaction Change;
  Change.Removals.push_back(RowName{std::string(DaemonTable), "", Self_.Name});
  Store_.commit(std::move(Change), WriteTimeout, [](const Result<RowCommit> &) {
    // A row that stays only costs others a failed call.
  });
  Front_->announceClose();
  Parts_.Home.after(LeaveRotation, [this, Until] {
    Front_->drain();
    drain(Until);
  });
}

void FleetDaemonImpl::drain(TimePoint Until) {
  if (Front_->inFlight() == 0 || Parts_.Time.now() >= Until)
    return finish();
  Parts_.Home.after(DrainPoll, [this, Until] { drain(Until); });
}

void FleetDaemonImpl::finish() {
  for (const auto &[Service, Owner] : Owners_)
    Owner->close();
  Parts_.Events.record(EventId::DaemonStopped, Self_.Name);
  // The last answers still have to leave the sockets.
  Parts_.Home.after(DrainPoll, [this] { Parts_.Home.stop(); });
}

} // namespace

std::unique_ptr<FleetDaemon> makeFleetDaemon(FleetParts Parts,
                                             FrontHandlerMaker MakeFront) {
  return std::make_unique<FleetDaemonImpl>(std::move(Parts),
                                           std::move(MakeFront));
}

} // namespace cuminroad
