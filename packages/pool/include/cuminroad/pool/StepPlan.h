#ifndef CUMINROAD_POOL_STEPPLAN_H
#define CUMINROAD_POOL_STEPPLAN_H

#include <string>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/contract/Capacity.h"

namespace cuminroad {

/// A step of a job: a number of identical tasks.
struct StepPlan {
  int Tasks = 1;
  Capacity PerTask;
  /// Declared run time of one task; often far from the actual run time.
  milliseconds Estimate{0};
  /// Indices of the steps whose tasks must all be done first.
  std::vector<int> DependsOn;
  /// The tasks save checkpoints from which a later run can continue.
  bool Checkpointing = false;
  /// The tasks only make progress while all of them run at the same time.
  bool Gang = false;
  /// Prefers VMs of one rack, since the gang is slower across racks.
  bool SameRack = false;
  /// Label that a VM must have; "" for none.
  std::string RequiredLabel;
  /// Label of the rack that is closest to the step's data; "" for none.
  std::string DataRack;
  /// Most tasks of this step on one VM; 0 for no limit.
  int MaxPerVm = 0;
  /// Copies of a task may run at the same time.
  bool Speculative = false;
  /// The tasks run until the job is cancelled; whatever the outcome of a run,
  /// the task is restarted.
  bool LongRunning = false;
  /// Program that the tasks run; tasks with the same image behave alike.
  std::string Image;
  /// Target for the tail response time of a long-running task; 0 for none.
  milliseconds LatencyTarget{0};
  /// The tasks run on CPU time that other tasks leave unused; no CPU is
  /// reserved for them.
  bool BestEffort = false;
  /// Most tasks of a long-running step that the scheduler may make unavailable
  /// at the same time.
  int MaxUnavailable = 0;

  /// \returns whether the tasks are long-running with a latency target.
  bool isLatencySensitive() const {
    return LongRunning && LatencyTarget.count() > 0;
  }
  /// \returns the capacity that a task reserves on its VM.
  Capacity reservedCapacity() const {
    Capacity Out = PerTask;
    if (BestEffort)
      Out.MilliCores = 0;
    return Out;
  }
};

} // namespace cuminroad

#endif
