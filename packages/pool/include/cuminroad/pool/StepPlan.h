#ifndef CUMINROAD_POOL_STEPPLAN_H
#define CUMINROAD_POOL_STEPPLAN_H

#include <string>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/contract/Capacity.h"

namespace cuminroad {

/// A step of a job: tasks that are alike.
struct StepPlan {
  int Tasks = 1;
  Capacity PerTask;
  /// Declared run time of one task, often far off.
  milliseconds Estimate{0};
  /// Numbers of earlier steps whose tasks must all be done first.
  std::vector<int> DependsOn;
  bool Checkpointing = false;
  /// All tasks run at the same time or none works.
  bool Gang = false;
  /// A gang works slower across racks.
  bool SameRack = false;
  /// A label that the VM must have; "" for none.
  std::string RequiredLabel;
  /// The rack near the step's data; "" for none.
  std::string DataRack;
  /// Tasks of this step that may share a VM; 0 for any number.
  int MaxPerVm = 0;
  /// Copies of a task may run at the same time.
  bool Speculative = false;
  /// Runs until the job is cancelled and is restarted however it ends.
  bool LongRunning = false;
  /// What the tasks run; tasks of one image behave alike.
  std::string Image;
  /// Bound of the tail of the response times of a task that serves; 0 for none.
  milliseconds LatencyTarget{0};
  /// Takes the processors that other tasks leave unused.
  bool BestEffort = false;
  /// Tasks of a long-running step that may be down at the same time because of
  /// the scheduler.
  int MaxUnavailable = 0;

  bool isLatencySensitive() const {
    return LongRunning && LatencyTarget.count() > 0;
  }
  /// What a task takes of a VM's capacity.
  Capacity reservedCapacity() const {
    Capacity Out = PerTask;
    if (BestEffort)
      Out.MilliCores = 0;
    return Out;
  }
};

} // namespace cuminroad

#endif
