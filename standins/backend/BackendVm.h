#ifndef CUMINROAD_STANDINS_BACKEND_BACKENDVM_H
#define CUMINROAD_STANDINS_BACKEND_BACKENDVM_H

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "StandinServer.h"

namespace cuminroad::standin {

/// A simulated backend server's VM. It runs tasks while its lease is valid,
/// handles as many service requests at once as it has slots, and injects faults
/// that a test sets with the call "control".
class BackendVm {
public:
  BackendVm(const nlohmann::json &Spec, Loop &ControlLoop,
            HistoryFile &History);

  /// Handles a call. \p Path is the part of the URL's path after the VM's id.
  void handle(const std::string &Path, const HttpRequest &Request,
              const HttpResponder &Respond);

private:
  /// Job id, index of the task in the job, and attempt.
  using TaskKey = std::tuple<std::string, int, std::int64_t>;
  struct Task {
    std::int64_t MilliCores = 0;
    std::int64_t MemoryMb = 0;
    std::int64_t Accelerators = 0;
    std::int64_t UsedMemoryMb = 0;
    bool UsageReported = false;
    bool Stopping = false;
  };
  struct EndedTask {
    bool Failed = false;
    bool Stopped = false;
    bool Reported = false;
  };
  struct Faults {
    bool RefuseStarts = false;
    bool FailTasks = false;
    bool Leaving = false;
    /// Requests run, but their responses are never sent.
    bool HangRequests = false;
    /// Calls other than holder and control are not handled and get no response.
    bool Unreachable = false;
    /// Added to the run time of each request, in milliseconds.
    int SlowMs = 0;
    /// Tasks that start from now on report to use this much more memory than
    /// they requested, if it is above 0.
    int MemoryGrowthMb = 0;
  };

  static TaskKey parseTaskKey(const nlohmann::json &Input);
  static nlohmann::json taskKeyJson(const TaskKey &Key);
  bool checkFencingToken(const nlohmann::json &Body,
                         const HttpResponder &Respond);
  void rejectFencingToken(const HttpResponder &Respond);
  void stopTasksIfLeaseExpired();
  /// Ends the tasks on time if the lease expires while no calls arrive.
  void checkLeasePeriodically();
  void handleServiceRequest(const HttpRequest &Request,
                            const HttpResponder &Respond);
  void claimLease(const nlohmann::json &Body, const HttpResponder &Respond);
  void renewLease(const nlohmann::json &Body, const HttpResponder &Respond);
  void startTasks(const nlohmann::json &Body, const HttpResponder &Respond);
  std::string startTask(const nlohmann::json &Input);
  void stopTasks(const nlohmann::json &Body, const HttpResponder &Respond);
  void listRequestsInFlight(const HttpResponder &Respond) const;
  void throttleTasks(const nlohmann::json &Body, const HttpResponder &Respond);
  void setFaults(const nlohmann::json &Body, const HttpResponder &Respond);
  /// Takes the key by value, since a reference could point into the entry that
  /// is erased.
  void endTask(TaskKey Key, bool Failed, bool Stopped);
  /// \returns all unacknowledged ends as JSON, and marks them as reported.
  nlohmann::json reportTaskEnds();
  /// Responds to the pending renewal with all changes.
  void respondToRenewal();
  /// \returns whether a task end, memory usage or the VM's leaving has not been
  /// reported to the lease holder yet.
  bool hasUnreportedChanges() const;
  void recordTaskEvent(const char *EventName, const TaskKey &Key,
                       const Task &Entry);

  Loop &ControlLoop_;
  HistoryFile &History_;
  SteadyClock Clock_;
  std::string Id_;
  std::int64_t MilliCores_;
  std::int64_t MemoryMb_;
  std::int64_t Accelerators_;
  int Slots_;
  int BusySlots_ = 0;
  /// The customer of each request in flight, by request id.
  std::map<std::string, std::string> RequestCustomers_;
  Faults Faults_;
  std::int64_t FencingToken_ = 0;
  std::string LeaseHolder_;
  TimePoint LeaseExpiry_{};
  TimePoint RenewedAt_{};
  bool LeavingReported_ = false;
  std::map<TaskKey, Task> Tasks_;
  std::map<TaskKey, EndedTask> Ended_;
  /// The renewal that waits for changes (long poll); empty if there is none.
  HttpResponder PendingRenewal_;
  /// Number of the latest renewal, to recognize an outdated timeout.
  std::uint64_t RenewalNumber_ = 0;
};

} // namespace cuminroad::standin

#endif
