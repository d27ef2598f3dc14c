#ifndef CUMINROAD_STANDINS_BACKEND_BACKENDVM_H
#define CUMINROAD_STANDINS_BACKEND_BACKENDVM_H

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "StandinServer.h"

namespace cuminroad::standin {

/// One VM: it runs tasks under a lease, answers service requests in slots, and
/// can be told to fail.
class BackendVm {
public:
  BackendVm(const nlohmann::json &Spec, Loop &ControlLoop,
            HistoryFile &History);

  /// Handles a call whose path below the VM is \p Path.
  void handle(const std::string &Path, const HttpRequest &Request,
              const HttpResponder &Respond);

private:
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
    bool HangRequests = false;
    bool Unreachable = false;
    int SlowMs = 0;
    int MemoryGrowthMb = 0;
  };

  static TaskKey parseTaskKey(const nlohmann::json &Input);
  static nlohmann::json taskKeyJson(const TaskKey &Key);
  bool checkFencingToken(const nlohmann::json &Body,
                         const HttpResponder &Respond);
  void rejectFencingToken(const HttpResponder &Respond);
  void stopTasksIfLeaseExpired();
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
  /// Takes a copy: the key may be the one of the entry that it erases.
  void endTask(TaskKey Key, bool Failed, bool Stopped);
  /// \returns all ends that are not acknowledged.
  nlohmann::json reportTaskEnds();
  void respondToRenewal();
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
  /// Customers of the requests in flight, by request.
  std::map<std::string, std::string> RequestCustomers_;
  Faults Faults_;
  std::int64_t FencingToken_ = 0;
  std::string LeaseHolder_;
  TimePoint LeaseExpiry_{};
  TimePoint RenewedAt_{};
  bool LeavingReported_ = false;
  std::map<TaskKey, Task> Tasks_;
  std::map<TaskKey, EndedTask> Ended_;
  HttpResponder PendingRenewal_;
  std::uint64_t RenewalNumber_ = 0;
};

} // namespace cuminroad::standin

#endif
