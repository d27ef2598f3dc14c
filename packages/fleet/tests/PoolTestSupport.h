#ifndef CUMINROAD_FLEET_TESTS_POOLTESTSUPPORT_H
#define CUMINROAD_FLEET_TESTS_POOLTESTSUPPORT_H

#include <memory>
#include <string>
#include <vector>

#include "ProcessGate.h"
#include "cuminroad/fakes/FakeRowStore.h"
#include "cuminroad/fakes/FakeVms.h"
#include "cuminroad/fleet/PeerService.h"
#include "cuminroad/fleet/PoolLease.h"
#include "cuminroad/fleet/PoolOwner.h"
#include "cuminroad/pool/SystemWallClock.h"

namespace cuminroad {

/// An HTTP client whose calls all fail at once.
class FailingHttpClient final : public HttpClient {
public:
  void send(HttpCall, HttpCallback Done) override {
    Done(failure(ErrorCode::ConnectFailed));
  }
  HttpTraffic traffic() const override { return {}; }
};

/// Passes calls to the peer's handler, fails them with Failure, answers them
/// with Status, or lets them time out.
class PeerHttpClient final : public HttpClient {
public:
  PeerHttpClient(HttpHandler Peer, FakeLoop &ControlLoop)
      : Peer_(std::move(Peer)), ControlLoop_(ControlLoop) {}
  void send(HttpCall Call, HttpCallback Done) override {
    ++CallCount;
    if (Call.Method == "POST")
      Posts.push_back(Call);
    if (Hang)
      return ControlLoop_.after(Call.Timeout,
                                [Done] { Done(failure(ErrorCode::Timeout)); });
    if (Failure)
      return ControlLoop_.post(
          [Done, Code = *Failure] { Done(failure(Code)); });
    if (Status && Call.Method == "POST")
      return ControlLoop_.post([Done, Code = *Status] {
        Done(HttpResponse{Code, {}, ""});
      });
    HttpRequest Request;
    Request.Method = Call.Method;
    Request.Path = Call.Url.substr(Call.Url.find("/peer/"));
    Request.Body = Call.Body;
    Peer_(Request, [this, Done](HttpResponse Response) {
      if (Latency.count() == 0)
        return Done(std::move(Response));
      ControlLoop_.after(
          Latency, [Done, Response = std::move(Response)] { Done(Response); });
    });
  }
  HttpTraffic traffic() const override { return {}; }
  std::optional<ErrorCode> Failure;
  /// POST calls are answered with this status.
  std::optional<int> Status;
  /// Calls get no response until they time out.
  bool Hang = false;
  /// How long responses take to arrive.
  milliseconds Latency{0};
  int CallCount = 0;
  std::vector<HttpCall> Posts;

private:
  HttpHandler Peer_;
  FakeLoop &ControlLoop_;
};

/// A daemon that owns no pool.
class NoOwnedPools final : public OwnedPools {
public:
  bool owns(std::string_view) const override { return false; }
  std::optional<JobStatus> status(std::string_view,
                                  std::string_view) const override {
    return std::nullopt;
  }
  int pending(std::string_view, std::string_view) const override { return 0; }
};

/// Allows every VM, after a delay.
class AllowAllAdvisor final : public PlacementAdvisor {
public:
  explicit AllowAllAdvisor(FakeLoop &ControlLoop) : ControlLoop_(ControlLoop) {}
  void advise(const StepName &, std::span<const std::string> Vms, milliseconds,
              Done Done) override;

private:
  FakeLoop &ControlLoop_;
  int Calls_ = 0;
};

/// Test formats of rows: the value of a VM's row is the number of tasks that
/// fit on it, and optionally its incarnation, its address, its clock in
/// milliseconds, and a label.
class TestFormats final : public PlatformFormats {
public:
  std::string configTable() const override { return "op"; }
  std::string configKey() const override { return "config"; }
  std::string vmTable() const override { return "vms"; }
  Result<QueueConfig> decodeConfig(std::string_view) const override {
    return QueueConfig{};
  }
  Result<VmEntry> decodeVm(std::string_view Key,
                           std::string_view Bytes) const override;
};

inline constexpr std::string_view TestService = "pool";
/// Size of the tests' tasks; a few of them fit on a VM.
inline constexpr Capacity TestTaskSize{1000, 100, 0};

/// \returns the terms of the test's queue "q".
QueueTerms makeTestQueue();

/// Writes the row of an accepted job of the test's queue.
void submitTestJob(FakeRows &Rows, const std::string &Job, StepPlan Step);

/// A daemon that may own the test's pool, without ports and peers.
class TestDaemon {
public:
  TestDaemon(std::string Name, FakeLoop &ControlLoop, FakeRows &Rows,
             FakeVms &Vms, const QueueTerms &Queue, double CpuShare = 1.0);
  ~TestDaemon();

  /// Ends the process without a graceful shutdown and starts a new one.
  void restart();
  /// Ends the process without a graceful shutdown.
  void kill();
  bool owns() const { return Owner_ && Owner_->loaded(); }
  const PoolOwner *owner() const { return Owner_.get(); }
  /// \returns the last events of all owners that the daemon has been.
  std::vector<Event> events() const { return Events_.since(0); }
  void listVms(const std::vector<StoredRow> &Rows);
  /// Puts contracts with these accounts in force.
  void setAccounts(const std::vector<ClientAccount> &Accounts);

  FakeRowStore Store;
  FakeVmCalls Calls;
  /// Freezes the daemon: none of its callbacks run.
  ProcessGate Process;
  /// The other daemons that an owner knows when it starts.
  DaemonRows Peers;

private:
  void start();

  std::string Name_;
  double CpuShare_;
  GatedLoop ControlLoop_;
  GatedRowStore GatedStore_;
  GatedVmCalls GatedCalls_;
  const Clock &MonotonicClock_;
  int IncarnationCount_ = 0;
  DaemonIdentity Self_;
  FleetSettings Settings_;
  EventLog Events_;
  SystemWallClock SystemClock_;
  FailingHttpClient Http_;
  PeerCalls Peers_;
  AllowAllAdvisor Advisor_;
  TestFormats Formats_;
  QueueRegistry Queues_;
  VmDirectory Directory_;
  FleetMetrics Metrics_;
  FleetContext Context_;
  std::shared_ptr<PoolLease> Lease_;
  std::shared_ptr<PoolOwner> Owner_;
};

} // namespace cuminroad

#endif
