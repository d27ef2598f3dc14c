#include "cuminroad/fleet/FleetMetrics.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include <prometheus/text_serializer.h>

#include "cuminroad/net/HttpClient.h"

namespace cuminroad {

namespace {

/// Milliseconds per second, and thousandths of a core per core.
constexpr double ThousandthsPerUnit = 1000.0;

/// Accounts of a pool with gauges of their own.
constexpr std::size_t MaxNamedAccounts = 10;

const prometheus::Histogram::BucketBoundaries LatencyBuckets{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5};

double toSeconds(milliseconds Duration) {
  return static_cast<double>(Duration.count()) / ThousandthsPerUnit;
}

prometheus::Family<prometheus::Counter> &
counters(prometheus::Registry &Registry, const char *Name, const char *Help) {
  return prometheus::BuildCounter().Name(Name).Help(Help).Register(Registry);
}

prometheus::Family<prometheus::Histogram> &
histograms(prometheus::Registry &Registry, const char *Name, const char *Help) {
  return prometheus::BuildHistogram().Name(Name).Help(Help).Register(Registry);
}

prometheus::Family<prometheus::Gauge> &
gauges(prometheus::Registry &Registry, const char *Name, const char *Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry);
}

} // namespace

FleetMetrics::FleetMetrics()
    : Submissions_(counters(Registry_, "cuminroad_submissions_total",
                            "Submissions answered, by queue and outcome.")),
      SubmissionSeconds_(histograms(Registry_, "cuminroad_submission_seconds",
                                    "Time until a submission was answered.")),
      Refusals_(counters(Registry_, "cuminroad_refusals_total",
                         "Requests of clients that were refused, by cause.")),
      StoreCalls_(counters(Registry_, "cuminroad_store_calls_total",
                           "Calls of the store, by kind and outcome.")),
      StoreSeconds_(histograms(Registry_, "cuminroad_store_call_seconds",
                               "Time until the store answered.")),
      Starts_(counters(Registry_, "cuminroad_run_starts_total",
                       "Starts of runs, by outcome.")),
      Ends_(counters(Registry_, "cuminroad_run_ends_total",
                     "Ends of runs, by how they ended.")),
      Advice_(counters(Registry_, "cuminroad_advice_total",
                       "Questions to the placement advisor, by outcome.")),
      VmCrashes_(counters(Registry_, "cuminroad_vm_crashes_total",
                          "VMs that crashed under runs, by possible cause.")),
      AbandonedJobs_(counters(Registry_, "cuminroad_jobs_given_up_total",
                              "Jobs failed because a task crashed VMs.")),
      HttpResends_(counters(Registry_, "cuminroad_http_resends_total",
                            "Requests whose connection was lost without a "
                            "response, by whether they were sent again.")),
      HttpLimits_(counters(Registry_, "cuminroad_http_limits_total",
                           "Limits of the HTTP servers that were hit, by "
                           "server and cause.")),
      ConfigVersion_(gauges(Registry_, "cuminroad_config_version",
                            "Version of the contracts in force.")),
      ConfigAge_(gauges(Registry_, "cuminroad_config_age_seconds",
                        "Time since the store confirmed the contracts.")),
      PoolTasks_(gauges(Registry_, "cuminroad_pool_tasks",
                        "Tasks of an owned pool, by state.")),
      PoolVms_(gauges(Registry_, "cuminroad_pool_vms",
                      "VMs of an owned pool, listed and held.")),
      PoolCores_(gauges(Registry_, "cuminroad_pool_cores",
                        "Cores of an owned pool, in use and in all.")),
      AccountUsed_(gauges(Registry_, "cuminroad_account_used",
                          "What accounts use in an owned pool, by resource: "
                          "thousandths of cores, megabytes, accelerators.")),
      AccountLimit_(gauges(Registry_, "cuminroad_account_limit",
                           "Most that accounts may use in an owned pool.")) {}

void FleetMetrics::recordSubmission(const std::string &Queue,
                                    std::string_view Outcome,
                                    milliseconds Duration) {
  Submissions_.Add({{"queue", Queue}, {"outcome", std::string(Outcome)}})
      .Increment();
  SubmissionSeconds_.Add({{"queue", Queue}}, LatencyBuckets)
      .Observe(toSeconds(Duration));
}

void FleetMetrics::recordRefusal(std::string_view Cause) {
  Refusals_.Add({{"cause", std::string(Cause)}}).Increment();
}

void FleetMetrics::recordStoreCall(std::string_view Kind,
                                   std::string_view Outcome,
                                   milliseconds Duration) {
  StoreCalls_
      .Add({{"kind", std::string(Kind)}, {"outcome", std::string(Outcome)}})
      .Increment();
  StoreSeconds_.Add({{"kind", std::string(Kind)}}, LatencyBuckets)
      .Observe(toSeconds(Duration));
}

void FleetMetrics::recordRunStart(std::string_view Outcome) {
  Starts_.Add({{"outcome", std::string(Outcome)}}).Increment();
}

void FleetMetrics::recordRunEnd(std::string_view How) {
  Ends_.Add({{"how", std::string(How)}}).Increment();
}

void FleetMetrics::recordAdvice(std::string_view Outcome) {
  Advice_.Add({{"outcome", std::string(Outcome)}}).Increment();
}

void FleetMetrics::recordVmCrash(const std::string &Service,
                                 std::string_view Cause) {
  VmCrashes_.Add({{"pool", Service}, {"cause", std::string(Cause)}})
      .Increment();
}

void FleetMetrics::recordAbandonedJob(const std::string &Service) {
  AbandonedJobs_.Add({{"pool", Service}}).Increment();
}

void FleetMetrics::recordHttpLimit(std::string_view Server,
                                   std::string_view Cause) {
  HttpLimits_
      .Add({{"server", std::string(Server)}, {"cause", std::string(Cause)}})
      .Increment();
}

void FleetMetrics::setPoolLoad(const std::string &Service,
                               const PoolLoad &Load) {
  const std::pair<const char *, int> Tasks[] = {
      {"waiting", Load.WaitingTasks},
      {"placed", Load.PlacedTasks},
      {"running", Load.RunningTasks},
      {"stopping", Load.StoppingTasks},
      {"strange", Load.UnknownRuns}};
  for (const auto &[State, Count] : Tasks)
    PoolTasks_.Add({{"pool", Service}, {"state", State}}).Set(Count);
  PoolVms_.Add({{"pool", Service}, {"state", "listed"}}).Set(Load.Vms);
  PoolVms_.Add({{"pool", Service}, {"state", "held"}}).Set(Load.LeasedVms);
  PoolCores_.Add({{"pool", Service}, {"state", "used"}})
      .Set(static_cast<double>(Load.UsedMilliCores) / ThousandthsPerUnit);
  PoolCores_.Add({{"pool", Service}, {"state", "total"}})
      .Set(static_cast<double>(Load.TotalMilliCores) / ThousandthsPerUnit);
}

void FleetMetrics::addAccount(const std::string &Service,
                              const std::string &Account, const Capacity &Used,
                              const Capacity &Limit) {
  const std::tuple<const char *, std::int64_t, std::int64_t> Resources[] = {
      {"cpu", Used.MilliCores, Limit.MilliCores},
      {"mem_mb", Used.MemoryMb, Limit.MemoryMb},
      {"gpu", Used.Accelerators, Limit.Accelerators}};
  for (const auto &[Resource, Amount, Most] : Resources) {
    const prometheus::Labels Labels{
        {"pool", Service}, {"account", Account}, {"resource", Resource}};
    prometheus::Gauge &UsedGauge = AccountUsed_.Add(Labels);
    UsedGauge.Set(static_cast<double>(Amount));
    AccountsUsed_[Service].push_back(&UsedGauge);
    prometheus::Gauge &LimitGauge = AccountLimit_.Add(Labels);
    LimitGauge.Set(Most >= UnlimitedAmount
                       ? std::numeric_limits<double>::infinity()
                       : static_cast<double>(Most));
    AccountLimits_[Service].push_back(&LimitGauge);
  }
}

void FleetMetrics::setAccountLoads(const std::string &Service,
                                   std::vector<AccountLoad> Loads) {
  // Gauges of accounts that are no longer among the largest would stay.
  for (prometheus::Gauge *Each : std::exchange(AccountsUsed_[Service], {}))
    AccountUsed_.Remove(Each);
  for (prometheus::Gauge *Each : std::exchange(AccountLimits_[Service], {}))
    AccountLimit_.Remove(Each);
  const auto Named = std::min(Loads.size(), MaxNamedAccounts);
  std::partial_sort(
      Loads.begin(), Loads.begin() + static_cast<std::ptrdiff_t>(Named),
      Loads.end(), [](const AccountLoad &Left, const AccountLoad &Right) {
        return std::tie(Right.Used.MilliCores, Right.Used.MemoryMb, Left.Name) <
               std::tie(Left.Used.MilliCores, Left.Used.MemoryMb, Right.Name);
      });
  Capacity Used;
  Capacity Limit;
  for (std::size_t Index = 0; Index < Loads.size(); ++Index) {
    if (Index < Named) {
      addAccount(Service, Loads[Index].Name, Loads[Index].Used,
                 Loads[Index].Limit);
      continue;
    }
    // Bounds the sum, which is unlimited if one of them is.
    Used += Loads[Index].Used;
    Limit = componentwiseMin(Limit + Loads[Index].Limit, UnlimitedCapacity);
  }
  if (Named < Loads.size())
    addAccount(Service, "other", Used, Limit);
}

void FleetMetrics::setConfig(std::int64_t Version, milliseconds Age) {
  ConfigVersion_.Add({}).Set(static_cast<double>(Version));
  ConfigAge_.Add({}).Set(toSeconds(Age));
}

void FleetMetrics::setHttpTraffic(const HttpTraffic &Traffic) {
  const std::pair<const char *, std::uint64_t> Resends[] = {
      {"sent", Traffic.Resends}, {"prevented", Traffic.PreventedResends}};
  for (const auto &[Outcome, Count] : Resends) {
    prometheus::Counter &Counter = HttpResends_.Add({{"outcome", Outcome}});
    Counter.Increment(static_cast<double>(Count) - Counter.Value());
  }
}

std::string FleetMetrics::render() const {
  return prometheus::TextSerializer().Serialize(Registry_.Collect());
}

} // namespace cuminroad
