#include "cuminroad/fleet/FleetDaemon.h"

#include <algorithm>
#include <map>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "DrainTimer.h"
#include "cuminroad/base/Ids.h"
#include "cuminroad/fleet/DaemonRow.h"
#include "cuminroad/fleet/HttpLimitReporter.h"
#include "cuminroad/fleet/PeerAddresses.h"
#include "cuminroad/fleet/PoolLease.h"
#include "cuminroad/fleet/PoolOwner.h"
#include "cuminroad/fleet/RelayedStore.h"
#include "cuminroad/net/LoopHttp.h"
#include "cuminroad/store/TableReader.h"

namespace cuminroad {

namespace {

/// A daemon that has not reached the store for this long can't accept jobs. It
/// reports itself as not ready, so that the load balancer sends clients to
/// others.
constexpr milliseconds StoreOutageUntilUnready{2500};
/// A daemon that released a pool takes it over again no earlier than after this
/// time, so that other daemons come first.
constexpr milliseconds PauseAfterRelease{10000};
constexpr milliseconds CheckInterval{500};
/// How often the recorded pools are read.
constexpr milliseconds PoolListInterval{30000};
/// VMs rewrite their entries often; changes are batched for this long.
constexpr milliseconds VmBatchDelay{300};
/// When all daemons start together, each receives a change for each other one;
/// changes are batched for this long.
constexpr milliseconds DaemonBatchDelay{200};
/// A stopping daemon keeps its frontend open until the load balancer has
/// noticed that it is not ready, which takes two checks one second apart.
constexpr milliseconds BalancerNoticeTime{2600};
/// How often a stopping daemon checks whether all requests are answered.
constexpr milliseconds DrainPollInterval{50};
/// A stopping daemon ends once it has had no request for this long.
constexpr milliseconds IdleTimeBeforeStop{300};
/// Part of StopGracePeriod that is kept in reserve for the end of the shutdown.
constexpr milliseconds StopMargin{700};
constexpr const char *MetricsContentType = "text/plain; version=0.0.4";
constexpr milliseconds WriteTimeout{1500};
constexpr milliseconds WriteRetryDelay{300};

HttpResponse plainResponse(int Status) {
  return HttpResponse{Status, {}, "", "text/plain"};
}

/// Keeps the values of a table's rows by key and calls back after each change.
class RowMap final : public RowSink {
public:
  explicit RowMap(
      std::function<void()> Changed, std::function<void()> Confirmed = [] {})
      : Changed_(std::move(Changed)), Confirmed_(std::move(Confirmed)) {}

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
  void confirmed() override { Confirmed_(); }
  const std::map<std::string, std::string> &rows() const { return Rows_; }

private:
  std::function<void()> Changed_;
  std::function<void()> Confirmed_;
  std::map<std::string, std::string> Rows_;
};

class FleetDaemonImpl final : public FleetDaemon,
                              public OwnedPools,
                              public OwnerLookup {
public:
  FleetDaemonImpl(FleetDependencies Dependencies,
                  RequestHandlerFactory MakeRequestHandler)
      : Dependencies_(std::move(Dependencies)),
        MakeRequestHandler_(std::move(MakeRequestHandler)),
        Self_{Dependencies_.Settings.Name, randomId(),
              Dependencies_.Settings.Domain,
              Dependencies_.Settings.PeerAddress.text(),
              Dependencies_.Settings.CpuShare},
        HttpLimits_(Dependencies_.MonotonicClock, Dependencies_.Events,
                    Metrics_),
        Peers_(Dependencies_.Client),
        Store_(Dependencies_.Store, Dependencies_.Client,
               Dependencies_.ControlLoop, Dependencies_.MonotonicClock,
               Dependencies_.Events, Metrics_,
               [this] { return PeerAddresses_.all(); }),
        Directory_(Dependencies_.Formats, Dependencies_.Events),
        ConfigRows_(
            [this] { configChanged(); },
            [this] { Queues_.confirm(Dependencies_.MonotonicClock.now()); }),
        DaemonTableRows_([this] { daemonsChanged(); }),
        Context_{Dependencies_.Settings,
                 Self_,
                 Dependencies_.MonotonicClock,
                 Dependencies_.SystemClock,
                 Dependencies_.Events,
                 Dependencies_.ControlLoop,
                 Store_,
                 Dependencies_.Vms,
                 Dependencies_.Advisor,
                 Peers_,
                 Queues_,
                 Directory_,
                 Metrics_},
        Frontend_(Context_, *this, *this) {}

  void start() override;
  void stop() override;

  bool owns(std::string_view Service) const override;
  std::optional<OwnedJob> status(std::string_view Service,
                                 std::string_view Job) const override;
  int pending(std::string_view Service, std::string_view Queue) const override;
  const OwnerRow *ownerOf(std::string_view Service) const override;
  std::optional<std::vector<std::string>> pools() const override;

private:
  std::unique_ptr<HttpServer>
  listen(ServerRole Role, const ListenAddress &Endpoint, HttpHandler Handler);
  /// Applies the limits on requests of the contracts in force.
  void updateHttpLimits();
  std::shared_ptr<TableFollower> followTable(FollowOptions Options,
                                             RowSink &Sink);
  void configChanged();
  void daemonsChanged();
  void startLease(const std::string &Service);
  void startOwner(const PoolTerm &Term);
  void dropOwner(const std::string &Service, milliseconds StandbyPause);
  void registerSelf();
  /// Records the pool, so that daemons own it after its service has left the
  /// contracts.
  void registerPool(const std::string &Service);
  /// Writes a row, repeatedly if need be, while \p IsWanted returns true.
  void writeRow(RowPut Row, std::function<bool()> IsWanted);
  /// Starts the leases of all recorded pools, now and at intervals.
  void readPools();
  void checkStore();
  /// Logs when the contracts in force become stale, and when they no longer
  /// are.
  void checkConfigAge();
  bool ready() const;
  void drain(DrainTimer Timer);
  void finishStop();

  FleetDependencies Dependencies_;
  RequestHandlerFactory MakeRequestHandler_;
  DaemonIdentity Self_;
  FleetMetrics Metrics_;
  HttpLimitReporter HttpLimits_;
  PeerCalls Peers_;
  RelayedStore Store_;
  QueueRegistry Queues_;
  VmDirectory Directory_;
  RowMap ConfigRows_;
  RowMap DaemonTableRows_;
  /// The other daemons that have registered.
  DaemonRows OtherDaemons_;
  PeerAddresses PeerAddresses_;
  FleetContext Context_;
  JobFrontend Frontend_;
  std::unique_ptr<HttpServer> FrontendServer_;
  std::unique_ptr<HttpServer> ReadinessServer_;
  std::unique_ptr<HttpServer> PeerServer_;
  std::unique_ptr<HttpServer> MetricsServer_;
  std::shared_ptr<TableFollower> ConfigFollower_;
  std::shared_ptr<TableFollower> DaemonFollower_;
  /// Exists only while this daemon owns a pool; the directory is not needed
  /// otherwise.
  std::shared_ptr<TableFollower> VmFollower_;
  std::map<std::string, std::shared_ptr<PoolLease>, std::less<>> Leases_;
  std::map<std::string, std::shared_ptr<PoolOwner>, std::less<>> Owners_;
  std::shared_ptr<TableReader> PoolReader_;
  bool PoolsRead_ = false;
  bool Stopping_ = false;
  bool StoreUnreachable_ = false;
  bool ConfigStale_ = false;
};

std::unique_ptr<HttpServer>
FleetDaemonImpl::listen(ServerRole Role, const ListenAddress &Endpoint,
                        HttpHandler Handler) {
  const HttpBudget Budget =
      makeHttpBudget(Role, Dependencies_.Settings, Queues_.config());
  if (Budget.Raised)
    Dependencies_.Events.record(EventId::HttpLimitRaised, serverRoleName(Role),
                                fmt::format("bytes {} connections {}",
                                            Budget.Limits.MaxHeldBytes,
                                            Budget.Limits.MaxConnections));
  HttpServerOptions Options;
  Options.Address = Endpoint.Address;
  Options.Port = Endpoint.Port;
  Options.Limits = Budget.Limits;
  Options.OnLimit = [this, Role](LimitCause Cause, const std::string &Peer) {
    HttpLimits_.report(Role, Cause, Peer);
  };
  return startLoopHttpServer(Dependencies_.ControlLoop, Options,
                             std::move(Handler));
}

std::shared_ptr<TableFollower>
FleetDaemonImpl::followTable(FollowOptions Options, RowSink &Sink) {
  auto Out = std::make_shared<TableFollower>(Store_, Dependencies_.ControlLoop,
                                             std::move(Options), Sink);
  Out->start();
  return Out;
}

void FleetDaemonImpl::start() {
  PeerServer_ =
      listen(ServerRole::Peers, Dependencies_.Settings.PeerAddress,
             makePeerHandler(*this, Dependencies_.Advisor, Dependencies_.Store,
                             Dependencies_.MonotonicClock));
  ReadinessServer_ =
      listen(ServerRole::Readiness, Dependencies_.Settings.ReadinessAddress,
             [this](const HttpRequest &, const HttpResponder &Respond) {
               Respond(plainResponse(ready() ? 200 : 503));
             });
  MetricsServer_ = listen(
      ServerRole::Metrics, Dependencies_.Settings.MetricsAddress,
      [this](const HttpRequest &, const HttpResponder &Respond) {
        Metrics_.setHttpTraffic(Dependencies_.Client.traffic());
        Metrics_.setConfig(Queues_.config().Version,
                           Queues_.age(Dependencies_.MonotonicClock.now()));
        Respond(HttpResponse{200, {}, Metrics_.render(), MetricsContentType});
      });
  FrontendServer_ =
      listen(ServerRole::Frontend, Dependencies_.Settings.FrontendAddress,
             MakeRequestHandler_(Queues_, Frontend_));
  Dependencies_.Events.record(EventId::DaemonStarted, Self_.Name,
                              Self_.Incarnation);
  ConfigFollower_ =
      followTable({.Table = Dependencies_.Formats.configTable(),
                   .Partitions = {""},
                   .MaxLag = Dependencies_.Settings.ConfigApplyTime},
                  ConfigRows_);
  DaemonFollower_ = followTable({.Table = std::string(DaemonTable),
                                 .Partitions = {""},
                                 .BatchDelay = DaemonBatchDelay,
                                 .MaxLag = Dependencies_.Settings.ContactTime},
                                DaemonTableRows_);
  registerSelf();
  checkStore();
}

void FleetDaemonImpl::writeRow(RowPut Row, std::function<bool()> IsWanted) {
  if (!IsWanted())
    return;
  RowTransaction Change;
  Change.Puts.push_back(Row);
  Store_.commit(std::move(Change), WriteTimeout,
                [this, Row, IsWanted](const Result<RowCommit> &Outcome) {
                  if (Outcome && Outcome->committed())
                    return;
                  Dependencies_.ControlLoop.after(
                      WriteRetryDelay,
                      [this, Row, IsWanted] { writeRow(Row, IsWanted); });
                });
}

void FleetDaemonImpl::registerSelf() {
  writeRow(RowPut{RowName{std::string(DaemonTable), "", Self_.Name},
                  encodeDaemon(DaemonRow{Self_.PeerAddress, Self_.Incarnation,
                                         Self_.CpuShare})},
           [this] { return !Stopping_; });
}

void FleetDaemonImpl::registerPool(const std::string &Service) {
  writeRow(RowPut{RowName{std::string(PoolTable), "", Service}, ""},
           [this, Service] { return Owners_.contains(Service); });
}

void FleetDaemonImpl::readPools() {
  if (Stopping_)
    return;
  PoolReader_ = std::make_shared<TableReader>(Store_, Dependencies_.ControlLoop,
                                              std::string(PoolTable),
                                              std::vector<std::string>{""});
  PoolReader_->start([this](const TableReader::Contents &Table) {
    PoolsRead_ = true;
    for (const StoredRow &Row : Table.Rows)
      startLease(Row.Name.Key);
    Dependencies_.ControlLoop.after(PoolListInterval, [this] { readPools(); });
  });
}

void FleetDaemonImpl::configChanged() {
  const auto Row = ConfigRows_.rows().find(Dependencies_.Formats.configKey());
  if (Row == ConfigRows_.rows().end())
    return;
  auto Config = Dependencies_.Formats.decodeConfig(Row->second);
  if (!Config) {
    Dependencies_.Events.record(EventId::RowUnreadable, Row->first,
                                Config.error().text());
    return;
  }
  const bool First = !Queues_.loaded();
  if (!Queues_.apply(std::move(*Config)))
    return;
  Dependencies_.Events.record(EventId::ConfigApplied, Self_.Name,
                              fmt::format("version {} queues {}",
                                          Queues_.config().Version,
                                          Queues_.config().Routes.size()));
  updateHttpLimits();
  for (const std::string &Service : Queues_.config().Services)
    startLease(Service);
  if (First) {
    Dependencies_.Events.record(EventId::DaemonReady, Self_.Name);
    readPools();
  }
  Frontend_.queuesChanged();
  for (const auto &[Service, Owner] : Owners_)
    Owner->queuesChanged();
}

void FleetDaemonImpl::updateHttpLimits() {
  for (const auto &[Role, Server] :
       {std::pair(ServerRole::Frontend, FrontendServer_.get()),
        std::pair(ServerRole::Readiness, ReadinessServer_.get())})
    Server->setLimits(
        makeHttpBudget(Role, Dependencies_.Settings, Queues_.config()).Limits);
}

void FleetDaemonImpl::daemonsChanged() {
  OtherDaemons_.clear();
  for (const auto &[Name, Bytes] : DaemonTableRows_.rows()) {
    auto Row = decodeDaemon(Bytes);
    if (!Row)
      Dependencies_.Events.record(EventId::RowUnreadable, Name,
                                  Row.error().text());
    else if (Name != Self_.Name)
      OtherDaemons_[Name] = std::move(*Row);
  }
  std::vector<std::string> Addresses;
  for (const auto &[Name, Row] : OtherDaemons_)
    Addresses.push_back(Row.PeerAddress);
  PeerAddresses_.update(std::move(Addresses));
  for (const auto &[Service, Owner] : Owners_)
    Owner->setPeers(OtherDaemons_);
}

void FleetDaemonImpl::startLease(const std::string &Service) {
  if (Leases_.contains(Service) || Stopping_)
    return;
  auto Lease = std::make_shared<PoolLease>(
      Dependencies_.Store, Dependencies_.ControlLoop,
      Dependencies_.MonotonicClock, Dependencies_.Events, Self_, Service);
  Lease->OwnedPoolCount = [this] { return static_cast<int>(Owners_.size()); };
  Lease->OnAcquired = [this](const PoolTerm &Term) { startOwner(Term); };
  Leases_[Service] = Lease;
  Lease->start();
}

void FleetDaemonImpl::startOwner(const PoolTerm &Term) {
  auto Owner = std::make_shared<PoolOwner>(Context_, Term);
  Owner->OnReplaced = [this, Service = Term.Service] {
    dropOwner(Service, milliseconds(0));
  };
  Owner->OnReleased = [this, Service = Term.Service] {
    dropOwner(Service, PauseAfterRelease);
  };
  Owners_[Term.Service] = Owner;
  if (!VmFollower_)
    VmFollower_ = followTable({.Table = Dependencies_.Formats.vmTable(),
                               .Partitions = {""},
                               .BatchDelay = VmBatchDelay},
                              Directory_);
  Owner->start();
  Owner->setPeers(OtherDaemons_);
  registerPool(Term.Service);
}

void FleetDaemonImpl::dropOwner(const std::string &Service,
                                milliseconds StandbyPause) {
  Owners_.erase(Service);
  if (Owners_.empty() && VmFollower_) {
    VmFollower_->close();
    VmFollower_.reset();
    Directory_.clear();
  }
  Leases_[Service]->resumeStandby(StandbyPause);
}

bool FleetDaemonImpl::owns(std::string_view Service) const {
  const auto Found = Owners_.find(Service);
  return Found != Owners_.end() && Found->second->loaded();
}

std::optional<OwnedJob> FleetDaemonImpl::status(std::string_view Service,
                                                std::string_view Job) const {
  return Owners_.find(Service)->second->status(Job);
}

int FleetDaemonImpl::pending(std::string_view Service,
                             std::string_view Queue) const {
  return Owners_.find(Service)->second->pending(Queue);
}

const OwnerRow *FleetDaemonImpl::ownerOf(std::string_view Service) const {
  const auto Found = Leases_.find(Service);
  return Found == Leases_.end() ? nullptr : Found->second->owner();
}

std::optional<std::vector<std::string>> FleetDaemonImpl::pools() const {
  if (!PoolsRead_)
    return std::nullopt;
  std::vector<std::string> Out;
  for (const auto &[Service, Lease] : Leases_)
    Out.push_back(Service);
  return Out;
}

bool FleetDaemonImpl::ready() const {
  return Queues_.loaded() && !Stopping_ && !StoreUnreachable_;
}

void FleetDaemonImpl::checkStore() {
  const bool Unreachable =
      Dependencies_.MonotonicClock.now() - Store_.lastContact() >
      StoreOutageUntilUnready;
  if (Unreachable != StoreUnreachable_ && Queues_.loaded())
    Dependencies_.Events.record(
        Unreachable ? EventId::StoreLost : EventId::StoreBack, Self_.Name);
  StoreUnreachable_ = Unreachable;
  checkConfigAge();
  Dependencies_.ControlLoop.after(CheckInterval, [this] { checkStore(); });
}

void FleetDaemonImpl::checkConfigAge() {
  if (!Queues_.loaded())
    return;
  const milliseconds Age = Queues_.age(Dependencies_.MonotonicClock.now());
  const bool Stale = Age > Dependencies_.Settings.ConfigApplyTime;
  if (Stale != ConfigStale_)
    Dependencies_.Events.record(
        Stale ? EventId::ConfigStale : EventId::ConfigCurrent, Self_.Name,
        Stale ? fmt::format("version {} age_ms {} last_failure {}",
                            Queues_.config().Version, Age.count(),
                            ConfigFollower_->lastFailure())
              : fmt::format("version {}", Queues_.config().Version));
  ConfigStale_ = Stale;
}

void FleetDaemonImpl::stop() {
  if (Stopping_)
    return;
  Stopping_ = true;
  Dependencies_.Events.record(EventId::DaemonStopping, Self_.Name);
  const TimePoint Deadline = Dependencies_.MonotonicClock.now() +
                             Dependencies_.Settings.StopGracePeriod -
                             StopMargin;
  for (const auto &[Service, Lease] : Leases_)
    Lease->stop();
  for (const auto &[Service, Owner] : Owners_)
    Owner->release();
  RowTransaction Change;
  Change.Removals.push_back(RowName{std::string(DaemonTable), "", Self_.Name});
  Store_.commit(std::move(Change), WriteTimeout, [](const Result<RowCommit> &) {
    // A row that remains costs other daemons only a failed call.
  });
  FrontendServer_->announceClose();
  Dependencies_.ControlLoop.after(BalancerNoticeTime, [this, Deadline] {
    FrontendServer_->drain();
    drain(DrainTimer(IdleTimeBeforeStop, Deadline));
  });
}

void FleetDaemonImpl::drain(DrainTimer Timer) {
  if (Timer.isOver(FrontendServer_->inFlight(),
                   Dependencies_.MonotonicClock.now()))
    return finishStop();
  Dependencies_.ControlLoop.after(DrainPollInterval,
                                  [this, Timer] { drain(Timer); });
}

void FleetDaemonImpl::finishStop() {
  for (const auto &[Service, Owner] : Owners_)
    Owner->close();
  Dependencies_.Events.record(EventId::DaemonStopped, Self_.Name);
  // Leaves time to send the last answers.
  Dependencies_.ControlLoop.after(DrainPollInterval,
                                  [this] { Dependencies_.ControlLoop.stop(); });
}

} // namespace

std::unique_ptr<FleetDaemon>
makeFleetDaemon(FleetDependencies Dependencies,
                RequestHandlerFactory MakeRequestHandler) {
  return std::make_unique<FleetDaemonImpl>(std::move(Dependencies),
                                           std::move(MakeRequestHandler));
}

} // namespace cuminroad
