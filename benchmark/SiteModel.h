#ifndef CUMINROAD_BENCHMARK_SITEMODEL_H
#define CUMINROAD_BENCHMARK_SITEMODEL_H

#include <cstdint>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "cuminroad/base/ManualClock.h"
#include "cuminroad/scheduling/Scheduler.h"

namespace cuminroad {

/// Size and load of a simulated site.
struct SiteParameters {
  int SmallVms;
  int LargeVms;
  int Customers;
  /// Share of the processors that the running work requests in equilibrium, in
  /// percent.
  int LoadPercent;
};

/// How long the jobs of one class waited for their first start, in milliseconds
/// of simulated time.
struct WaitStatistics {
  std::size_t Count = 0;
  double P50 = 0;
  double P99 = 0;
  double Max = 0;
};

/// The results of one run.
struct SiteResults {
  /// Started tasks.
  std::size_t Decisions = 0;
  double DecisionsPerSecond = 0;
  double P50Micros = 0;
  double P99Micros = 0;
  /// Share of the processors in use at the end of the run, in percent.
  double UsedPercent = 0;
  WaitStatistics Urgent;
  WaitStatistics Batch;
  WaitStatistics Gang;
  std::size_t NeverStarted = 0;
};

/// Simulates the arrivals and ends of jobs at a site, reproducibly from a seed,
/// and passes them to a scheduler. VMs have the sizes of the users' VMs: 16
/// cores and 32 GB, or 128 cores, 256 GB and 8 accelerators. A fifth of the
/// load are services that do not end. Estimated run times are wrong by a factor
/// of up to four.
class SiteModel {
public:
  SiteModel(const SiteParameters &Parameters, std::uint32_t Seed);

  /// Adds the site's VMs and customers to the scheduler.
  void addVmsAndCustomers(Scheduler &TestedScheduler);
  /// Starts the services, then simulates arriving and ending jobs for
  /// \p Duration.
  SiteResults run(Scheduler &TestedScheduler, milliseconds Duration);
  /// Submits jobs until a task has to wait.
  /// \returns the share of the scarcest resource that is in use then, in
  /// percent.
  double fillUntilFirstWait(Scheduler &TestedScheduler);
  ManualClock &clock() { return Clock_; }

private:
  struct PlannedEnd {
    TimePoint Time;
    TaskAttempt Task;
    /// Reversed, so that the queue's top is the earliest end.
    bool operator<(const PlannedEnd &Other) const { return Time > Other.Time; }
  };
  struct Arrival {
    TimePoint Time;
    JobKind Kind;
    bool Urgent;
    bool Started = false;
  };

  JobSpec randomJob(bool Service);
  Capacity randomTaskSize(bool Urgent);
  void submit(Scheduler &TestedScheduler, const JobSpec &Spec);
  /// Runs a scheduling pass, measures it and carries out its commands.
  void runPass(Scheduler &TestedScheduler);
  /// Ends the tasks whose run time has passed, with a pass after each.
  void endDueTasks(Scheduler &TestedScheduler);
  double usedProcessorPercent() const;
  /// \returns the share of the scarcest resource that is in use, in percent.
  static double scarcestResourcePercent(const Scheduler &TestedScheduler);
  WaitStatistics waitStatistics(std::vector<double> Waits) const;

  SiteParameters Parameters_;
  ManualClock Clock_;
  std::mt19937 Random_;
  std::int64_t TotalMilliCores_ = 0;
  std::int64_t UsedMilliCores_ = 0;
  int NextJobNumber_ = 0;
  std::priority_queue<PlannedEnd> PlannedEnds_;
  std::map<std::string, Arrival> Arrivals_;
  std::map<std::string, JobSpec> Specs_;
  std::map<std::string, milliseconds> RunTimes_;
  std::map<TaskRef, Capacity> Running_;
  std::vector<double> PassMicros_;
  std::size_t Decisions_ = 0;
  double TotalPassMicros_ = 0;
  std::vector<double> UrgentWaits_;
  std::vector<double> BatchWaits_;
  std::vector<double> GangWaits_;
};

} // namespace cuminroad

#endif
