#ifndef CUMINROAD_POOL_TESTS_SCHEDULERFIXTURE_H
#define CUMINROAD_POOL_TESTS_SCHEDULERFIXTURE_H

#include <memory>
#include <string>
#include <vector>

#include "cuminroad/base/ManualClock.h"
#include "cuminroad/pool/PoolScheduler.h"
#include "cuminroad/pool/WallClock.h"

namespace cuminroad {

/// A wall clock that tests set.
class ManualWallClock final : public WallClock {
public:
  milliseconds sinceEpoch() const override { return Now; }
  milliseconds Now{1000000};
};

inline PoolVm makeVm(const std::string &Id, Capacity Total,
                     std::vector<std::string> Labels = {}) {
  PoolVm Out;
  Out.Id = Id;
  Out.Total = Total;
  Out.Labels = std::move(Labels);
  Out.Incarnation = 1;
  return Out;
}

inline StepPlan makeStep(int Tasks, Capacity Size, int EstimateMs = 1000) {
  StepPlan Out;
  Out.Tasks = Tasks;
  Out.PerTask = Size;
  Out.Estimate = milliseconds(EstimateMs);
  return Out;
}

inline JobPlan makeJob(const std::string &Id, std::vector<StepPlan> Steps) {
  JobPlan Out;
  Out.Id = Id;
  Out.Steps = std::move(Steps);
  return Out;
}

inline QueueTerms makeQueue(int Priority = 0) {
  QueueTerms Out;
  Out.Name = "q" + std::to_string(Priority);
  Out.Service = "s";
  Out.Priority = Priority;
  Out.MaxAttempts = 2;
  Out.Stretch = 2;
  Out.LatencyTarget = milliseconds(1000);
  return Out;
}

/// A scheduler with manual clocks, and the commands of its last pass.
struct SchedulerFixture {
  SchedulerFixture()
      : Scheduler(makePoolScheduler(MonotonicClock, SystemClock, Options)) {}

  /// Lists a VM and reports it without runs.
  void addVm(const PoolVm &Vm) {
    Scheduler->vmListed(Vm);
    Scheduler->vmReported(Vm.Id, Vm.Incarnation, RunReport::complete({}),
                          MonotonicClock.now());
  }
  /// Runs a scheduling pass and sorts its commands by type.
  void runPass() {
    Starts.clear();
    Stops.clear();
    Throttles.clear();
    AdviceRequests.clear();
    Scheduler->schedule();
    for (const PoolCommand &Command : Scheduler->takeCommands()) {
      if (const auto *Start = std::get_if<StartRun>(&Command))
        Starts.push_back(*Start);
      else if (const auto *Stop = std::get_if<StopRun>(&Command))
        Stops.push_back(*Stop);
      else if (const auto *Throttle = std::get_if<ThrottleRun>(&Command))
        Throttles.push_back(*Throttle);
      else
        AdviceRequests.push_back(std::get<RequestAdvice>(Command));
    }
  }
  void acceptStart(const StartRun &Start) {
    Scheduler->startAnswered(Start.Vm, Start.Run, StartOutcome::Accepted);
  }
  void endRun(const StartRun &Start, RunOutcome Outcome,
              const std::string &Saved = "") {
    Scheduler->taskEnded(Start.Vm,
                         TaskEnd{++LastEndNumber, Start.Run, Outcome, Saved});
  }
  /// Reports that exactly \p Running run on the VM.
  void reportRuns(const std::string &Vm, std::vector<RunningTask> Running) {
    MonotonicClock.advance(milliseconds(1));
    Scheduler->vmReported(Vm, 1, RunReport::complete(Running),
                          MonotonicClock.now());
  }

  ManualClock MonotonicClock;
  ManualWallClock SystemClock;
  PoolOptions Options;
  std::unique_ptr<PoolScheduler> Scheduler;
  std::vector<StartRun> Starts;
  std::vector<StopRun> Stops;
  std::vector<ThrottleRun> Throttles;
  std::vector<RequestAdvice> AdviceRequests;
  std::int64_t LastEndNumber = 0;
};

inline constexpr Capacity SmallSize{1000, 100, 0};
inline constexpr Capacity BigSize{4000, 1000, 0};

} // namespace cuminroad

#endif
