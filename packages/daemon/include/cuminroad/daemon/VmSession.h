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

/// A task that ended on a VM, with how it ended.
struct EndedTask {
  TaskAttempt Task;
  bool Failed = false;
  bool Stopped = false;
};

/// Receives the events of a VmSession, on the control thread.
class VmSessionListener {
public:
  virtual ~VmSessionListener() = default;
  /// The claim succeeded; \p Running is the complete list of running tasks.
  virtual void onVmClaimed(const std::string &Vm,
                           const std::vector<InventoryTask> &Running) = 0;
  /// Reported repeatedly for each task, until its end is acknowledged.
  virtual void onTasksEnded(const std::string &Vm,
                            const std::vector<EndedTask> &Tasks) = 0;
  virtual void onUsageReported(const std::string &Vm, const TaskAttempt &Task,
                               const Capacity &Used) = 0;
  virtual void onTaskStarted(const std::string &Vm,
                             const TaskAttempt &Task) = 0;
  virtual void onStartRefused(const std::string &Vm, const TaskAttempt &Task,
                              const std::string &Reason) = 0;
  /// The VM accepts no new work.
  virtual void onVmLeaving(const std::string &Vm) = 0;
  /// The leases of all tasks on the VM have certainly lapsed.
  virtual void onLeasesLapsed(const std::string &Vm) = 0;
  /// Another daemon holds the VM under a newer epoch.
  virtual void onClaimSuperseded(const std::string &Vm, std::int64_t Epoch,
                                 const std::string &Holder) = 0;
};

/// A service request that a VM is processing.
struct InFlightRequest {
  /// "DAEMON-DIGITS-CALL-ATTEMPT", where DIGITS are the first
  /// IncarnationDigits of the daemon's incarnation. RequestFrontend sets it.
  std::string Id;
  std::string Customer;
};

/// Low bits of a fencing token, which count the claims within one epoch; the
/// epoch is in the bits above them.
inline constexpr int ClaimCounterBits = 20;
/// \returns the epoch that a fencing token carries.
constexpr std::int64_t epochOfFencingToken(std::int64_t FencingToken) {
  return FencingToken >> ClaimCounterBits;
}

/// The VM that a session claims, and the owner that claims it.
struct VmClaim {
  std::string Vm;
  std::string Url;
  std::int64_t Epoch = 0;
  /// The claiming daemon, "NAME/INCARNATION".
  std::string Holder;
};

/// The owner's session with one VM: claims the VM, renews the leases of its
/// tasks by a long poll, to which the VM responds when it has an event to
/// report or the wait is over, and sends start, stop and throttle commands.
/// Runs on the control thread.
///
/// Invariant: onLeasesLapsed() is called only when the time since the last
/// claim or renewal that may have reached the VM exceeds the lease plus the
/// margin for clock drift, and none is sent in between.
class VmSession : public std::enable_shared_from_this<VmSession> {
public:
  /// All references must outlive the session.
  VmSession(VmClaim Claim, const Settings &Config, const Clock &MonotonicClock,
            HttpClient &Client, Loop &ControlLoop, VmSessionListener &Listener);

  void start();
  /// Ends the session; no event is reported afterwards.
  void close() { Closed_ = true; }
  void startTask(const StartTask &Command);
  void stopTask(const StopTask &Command);
  void throttleTask(const ThrottleTask &Command);
  /// Lets the VM discard the end of \p Task, which is stored in the table.
  void acknowledgeEnd(const TaskAttempt &Task);
  /// Reads the requests in flight; passes std::nullopt if the VM doesn't
  /// respond successfully.
  void fetchInFlightRequests(
      std::function<void(std::optional<std::vector<InFlightRequest>>)> Done);
  /// Whether the last claim is in force.
  bool held() const { return Held_; }
  const std::string &vm() const { return Claim_.Vm; }

private:
  void sendClaim();
  void handleClaimResponse(const HttpResult &Response);
  void sendRenewal();
  void handleRenewalResponse(std::int64_t FencingToken,
                             const HttpResult &Response);
  void handleLeaseCallFailure();
  void awaitLeaseLapse();
  void scheduleCommandBatch();
  void sendStarts();
  void handleStartsResponse(std::int64_t FencingToken,
                            std::vector<StartTask> SentStarts,
                            const HttpResult &Response);
  void sendStops();
  void handleStaleFencingToken(const HttpResult &Response);
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
  /// When the last claim or renewal that may have reached the VM was sent.
  TimePoint LastRenewalSentAt_{};
  /// When the last successful response to a claim or renewal arrived.
  TimePoint LastResponseAt_{};
  std::vector<StartTask> PendingStarts_;
  std::vector<StopTask> PendingStops_;
  /// Stops that were sent for tasks whose end is not yet reported.
  std::set<TaskAttempt> UnconfirmedStops_;
  std::vector<TaskAttempt> PendingAcks_;
};

} // namespace cuminroad

#endif
