#ifndef CUMINROAD_POOL_TESTS_OVERLOADEDPOOL_H
#define CUMINROAD_POOL_TESTS_OVERLOADEDPOOL_H

#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "SchedulerFixture.h"

namespace cuminroad {

/// Jobs of one kind: their queue, shape and run times.
struct JobKind {
  std::string Name;
  int Priority = 0;
  /// Objective: Stretch times the critical path plus Target.
  double Stretch = 1;
  milliseconds Target{0};
  int Steps = 1;
  int Tasks = 1;
  Capacity Size;
  /// Median run time of a task.
  milliseconds RunTime{1000};
  bool Gang = false;
  bool LongRunning = false;
  /// Of the logarithm of a job's run time, of its estimate against that, and of
  /// its tasks' run times against each other.
  double RunSigma = 0.5;
  double EstimateSigma = 0;
  double TaskSigma = 0.2;
};

/// What became of a simulated job.
struct JobOutcome {
  std::string Kind;
  std::string Account;
  TimePoint AcceptedAt{};
  /// By the true run time of a typical task.
  milliseconds Objective{0};
  /// The shortest time in which it can complete.
  milliseconds Path{0};
  double MilliCoreSeconds = 0;
  std::optional<TimePoint> StartedAt;
  std::optional<TimePoint> CompletedAt;

  /// \returns the time until the first task started.
  milliseconds waited(TimePoint Now) const {
    return std::chrono::duration_cast<milliseconds>(StartedAt.value_or(Now) -
                                                    AcceptedAt);
  }
  /// \returns the number of objectives within which the job completed; 0 if it
  /// did not.
  int objectives() const;
};

/// A pool of simulated VMs under generated load. Runs take their true time,
/// which the scheduler doesn't know, and report their progress.
class OverloadedPool {
public:
  explicit OverloadedPool(const PoolOptions &Options, unsigned Seed = 1);

  void addVms(int Count, const Capacity &Size);
  void setAccounts(std::vector<ClientAccount> Accounts) {
    Scheduler->setAccounts(Accounts);
  }
  /// Submits jobs at random times for \p Duration from \p After now on.
  void submitAtRate(const JobKind &Kind, const std::string &Account,
                    double PerSecond, milliseconds After,
                    milliseconds Duration);
  /// Until \p After from now, no pass is run: the store is away.
  void stopPasses(milliseconds After) { NoPassBefore_ = Clock.now() + After; }
  void runFor(milliseconds Duration);
  /// \returns the outcomes of the jobs of a kind and account, "" for any.
  std::vector<const JobOutcome *> outcomes(const std::string &Kind,
                                           const std::string &Account = "",
                                           milliseconds From = {},
                                           milliseconds To = days()) const;
  /// \returns a quantile of the waiting times of these jobs.
  milliseconds waitQuantile(const std::vector<const JobOutcome *> &Jobs,
                            double Quantile) const;
  /// \returns the share of these jobs that completed within their objective.
  static double inTime(const std::vector<const JobOutcome *> &Jobs);
  static constexpr milliseconds days() { return std::chrono::hours(48); }

  ManualClock Clock;
  ManualWallClock SystemClock;
  std::unique_ptr<PoolScheduler> Scheduler;
  /// Time that passes took, and their number.
  std::chrono::nanoseconds PassTime{0};
  std::int64_t Passes = 0;

private:
  struct Job {
    JobPlan Plan;
    QueueTerms Terms;
    /// Run time of each task of each step.
    std::vector<std::vector<milliseconds>> RunTimes;
    JobOutcome Outcome;
  };
  struct SimulatedRun {
    StartRun Start;
    TimePoint StartedAt{};
    TimePoint EndsAt{};
  };

  double lognormal(double Sigma);
  void submit(const JobKind &Kind, const std::string &Account, TimePoint At);
  void startRuns();
  void endRuns();
  void reportProgress();

  std::mt19937 Random_;
  std::map<std::string, std::vector<SimulatedRun>> Vms_;
  std::map<std::string, Job> Jobs_;
  /// Jobs that have not been accepted yet.
  std::multimap<TimePoint, std::string> Arrivals_;
  TimePoint Begin_;
  TimePoint NoPassBefore_{};
  TimePoint NextReport_{};
  std::int64_t LastEnd_ = 0;
};

} // namespace cuminroad

#endif
