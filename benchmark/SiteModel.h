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

/// The size of a site.
struct SiteParameters {
  int SmallVms;
  int LargeVms;
  int Customers;
  /// Share of the processors asked for, in percent, once in equilibrium.
  int LoadPercent;
};

/// How long work of one class waited, in milliseconds of the model's time.
struct WaitStatistics {
  std::size_t Count = 0;
  double P50 = 0;
  double P99 = 0;
  double Max = 0;
};

/// What one run measured.
struct SiteResults {
  std::size_t Decisions = 0;
  double DecisionsPerSecond = 0;
  double P50Micros = 0;
  double P99Micros = 0;
  /// Share of the processors in use, in percent, at the end of the run.
  double UsedPercent = 0;
  WaitStatistics Urgent;
  WaitStatistics Batch;
  WaitStatistics Gang;
  std::size_t NeverStarted = 0;
};

/// Feeds a scheduler with the arrivals and ends of a site, from a fixed seed.
/// Sizes follow the users' VMs: 16 cores and 32 GB, or 128 cores, 256 GB and 8
/// accelerators. A fifth of the tasks are services that do not end; declared
/// run times are off by up to four times.
class SiteModel {
public:
  SiteModel(const SiteParameters &Parameters, std::uint32_t Seed);

  /// Makes the scheduler's VMs and customers.
  void addVmsAndCustomers(Scheduler &TestedScheduler);
  /// Fills the site, then lets work come and go for \p Time.
  SiteResults run(Scheduler &TestedScheduler, milliseconds Duration);
  /// Submits work until a task has to wait.
  /// \returns the share of the scarcest resource in use then, in percent.
  double fillUntilFirstWait(Scheduler &TestedScheduler);
  ManualClock &clock() { return Clock_; }

private:
  struct PlannedEnd {
    TimePoint Time;
    TaskAttempt Task;
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
  void runPass(Scheduler &TestedScheduler);
  void endDueTasks(Scheduler &TestedScheduler);
  double usedProcessorPercent() const;
  /// \returns the share in use of what is scarcest, in percent.
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
