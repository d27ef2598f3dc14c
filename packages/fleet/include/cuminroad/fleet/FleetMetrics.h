#ifndef CUMINROAD_FLEET_FLEETMETRICS_H
#define CUMINROAD_FLEET_FLEETMETRICS_H

#include <map>
#include <string>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "cuminroad/base/Clock.h"
#include "cuminroad/pool/PoolScheduler.h"

namespace cuminroad {

struct HttpTraffic;

/// Metrics of a fleet daemon, named by the Prometheus conventions. Runs on the
/// control thread.
class FleetMetrics {
public:
  FleetMetrics();

  /// Counts a client's submission that was answered.
  void recordSubmission(const std::string &Queue, std::string_view Outcome,
                        milliseconds Duration);
  /// Counts a client's request that was refused.
  void recordRefusal(std::string_view Cause);
  /// Counts a call of the store that ended.
  void recordStoreCall(std::string_view Kind, std::string_view Outcome,
                       milliseconds Duration);
  void recordRunStart(std::string_view Outcome);
  void recordRunEnd(std::string_view How);
  void recordAdvice(std::string_view Outcome);
  /// Counts a VM that crashed, by what may have caused it.
  void recordVmCrash(const std::string &Service, std::string_view Cause);
  /// Counts a job that failed because a task crashed VMs.
  void recordAbandonedJob(const std::string &Service);
  /// Counts a limit of an HTTP server that was hit.
  void recordHttpLimit(std::string_view Server, std::string_view Cause);
  /// Sets the gauges of an owned pool. A default PoolLoad resets them once the
  /// pool is no longer owned.
  void setPoolLoad(const std::string &Service, const PoolLoad &Load);
  /// Sets the gauges of the accounts with jobs in an owned pool. The accounts
  /// that use most have gauges of their own, the others have one together.
  void setAccountLoads(const std::string &Service,
                       std::vector<AccountLoad> Loads);
  /// Sets the gauges of the contracts in force. \p Age is the time since the
  /// store confirmed them.
  void setConfig(std::int64_t Version, milliseconds Age);
  /// Sets the counters of the HTTP client to its present \p Traffic.
  void setHttpTraffic(const HttpTraffic &Traffic);
  /// \returns all metrics in the Prometheus text format.
  std::string render() const;

private:
  void addAccount(const std::string &Service, const std::string &Account,
                  const Capacity &Used, const Capacity &Limit);

  prometheus::Registry Registry_;
  prometheus::Family<prometheus::Counter> &Submissions_;
  prometheus::Family<prometheus::Histogram> &SubmissionSeconds_;
  prometheus::Family<prometheus::Counter> &Refusals_;
  prometheus::Family<prometheus::Counter> &StoreCalls_;
  prometheus::Family<prometheus::Histogram> &StoreSeconds_;
  prometheus::Family<prometheus::Counter> &Starts_;
  prometheus::Family<prometheus::Counter> &Ends_;
  prometheus::Family<prometheus::Counter> &Advice_;
  prometheus::Family<prometheus::Counter> &VmCrashes_;
  prometheus::Family<prometheus::Counter> &AbandonedJobs_;
  prometheus::Family<prometheus::Counter> &HttpResends_;
  prometheus::Family<prometheus::Counter> &HttpLimits_;
  prometheus::Family<prometheus::Gauge> &ConfigVersion_;
  prometheus::Family<prometheus::Gauge> &ConfigAge_;
  prometheus::Family<prometheus::Gauge> &PoolTasks_;
  prometheus::Family<prometheus::Gauge> &PoolVms_;
  prometheus::Family<prometheus::Gauge> &PoolCores_;
  prometheus::Family<prometheus::Gauge> &AccountUsed_;
  prometheus::Family<prometheus::Gauge> &AccountLimit_;
  /// The gauges of accounts, by pool.
  std::map<std::string, std::vector<prometheus::Gauge *>> AccountsUsed_;
  std::map<std::string, std::vector<prometheus::Gauge *>> AccountLimits_;
};

} // namespace cuminroad

#endif
