#ifndef CUMINROAD_DAEMON_VMSESSION_H
#define CUMINROAD_DAEMON_VMSESSION_H

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "cuminroad/contract/Settings.h"
#include "cuminroad/net/HttpClient.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/scheduling/Command.h"
#include "cuminroad/scheduling/Scheduler.h"

namespace cuminroad {

/// A task that ended on a VM.
struct EndedTask {
  TaskAttempt Task;
  bool Failed = false;
  bool Stopped = false;
};

/// What a VM tells its owner. Called on the control thread.
class VmSessionListener {
public:
  virtual ~VmSessionListener() = default;
  /// The VM is held; \p Running is all that runs there.
  virtual void onVmClaimed(const std::string &Vm,
                           const std::vector<InventoryTask> &Running) = 0;
  /// Each end is told again until it is acknowledged.
  virtual void onTasksEnded(const std::string &Vm,
                            const std::vector<EndedTask> &Tasks) = 0;
  virtual void onUsageReported(const std::string &Vm, const TaskAttempt &Task,
                               const Capacity &Used) = 0;
  virtual void onTaskStarted(const std::string &Vm,
                             const TaskAttempt &Task) = 0;
  virtual void onStartRefused(const std::string &Vm, const TaskAttempt &Task,
                              const std::string &Reason) = 0;
  virtual void onVmLeaving(const std::string &Vm) = 0;
  /// The leases of all tasks on the VM have certainly lapsed.
  virtual void onLeasesLapsed(const std::string &Vm) = 0;
  /// Another daemon holds the VM under a newer epoch.
  virtual void onClaimSuperseded(const std::string &Vm, std::int64_t Epoch,
                                 const std::string &Holder) = 0;
};

/// A service request that a VM is working on.
struct InFlightRequest {
  /// "DAEMON-INCARNATION-...", see RequestFrontend.
  std::string Id;
  std::string Customer;
};

/// Claims of one epoch that can be told apart.
inline constexpr int ClaimCounterBits = 20;
/// \returns the epoch that a VM's fence was made from.
constexpr std::int64_t epochOfFencingToken(std::int64_t FencingToken) {
  return FencingToken >> ClaimCounterBits;
}

/// Who claims, and where.
struct VmClaim {
  std::string Vm;
  std::string Url;
  std::int64_t Epoch = 0;
  std::string Holder;
};

/// The owner's conversation with one VM: claims it, renews its lease by a call
/// that the VM holds back until it has something to tell, and sends starts and
/// stops. Runs on the control thread.
///
/// Invariant: lapsed() is called only when the last renewal that may have
/// reached the VM was sent longer ago than the lease and the margin for clocks
/// that run apart, and no renewal is sent meanwhile.
class VmSession : public std::enable_shared_from_this<VmSession> {
public:
  /// All references must outlive the session.
  VmSession(VmClaim Claim, const Settings &Config, const Clock &MonotonicClock,
            HttpClient &Client, Loop &ControlLoop, VmSessionListener &Listener);

  void start();
  /// Ends the session; no event comes after this.
  void close() { Closed_ = true; }
  void startTask(const StartTask &Command);
  void stopTask(const StopTask &Command);
  void throttleTask(const ThrottleTask &Command);
  /// The end of \p Task is in the table; the VM may forget it.
  void acknowledgeEnd(const TaskAttempt &Task);
  /// Asks for the requests in flight; nothing where the VM does not answer.
  void fetchInFlightRequests(
      std::function<void(std::optional<std::vector<InFlightRequest>>)> Done);
  bool held() const { return Held_; }
  const std::string &vm() const { return Claim_.Vm; }

private:
  void sendClaim();
  void handleClaimReply(const HttpResult &Reply);
  void sendRenewal();
  void handleRenewalReply(std::int64_t FencingToken, const HttpResult &Reply);
  void handleLeaseCallFailure();
  void awaitLeaseLapse();
  void scheduleCommandBatch();
  void sendStarts();
  void handleStartsReply(std::int64_t FencingToken, std::vector<StartTask> Sent,
                         const HttpResult &Reply);
  void sendStops();
  void handleStaleFencingToken(const HttpResult &Reply);
  void reportEndedTasks(const nlohmann::json &EndedItems);
  void postToVm(const std::string &Path, const nlohmann::json &Body,
                milliseconds Timeout, std::function<void(HttpResult)> Done);
  nlohmann::json bodyWithFencingToken() const;

  VmClaim Claim_;
  const Settings &Config_;
  const Clock &MonotonicClock_;
  HttpClient &Client_;
  Loop &ControlLoop_;
  VmSessionListener &Listener_;
  std::minstd_rand Random_;
  std::int64_t FencingToken_ = 0;
  int ClaimCount_ = 0;
  bool Held_ = false;
  bool Closed_ = false;
  bool MayRunTasks_ = true;
  bool LeavingReported_ = false;
  bool CommandBatchScheduled_ = false;
  int ConsecutiveFailures_ = 0;
  /// When the last call that may have renewed the VM's lease was sent.
  TimePoint LastRenewalSentAt_{};
  TimePoint LastReplyAt_{};
  std::vector<StartTask> PendingStarts_;
  std::vector<StopTask> PendingStops_;
  std::set<TaskAttempt> UnconfirmedStops_;
  std::vector<TaskAttempt> PendingAcks_;
};

} // namespace cuminroad

#endif
