#ifndef CUMINROAD_POOL_POOLNOTES_H
#define CUMINROAD_POOL_POOLNOTES_H

#include <string>
#include <string_view>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/pool/TaskName.h"

namespace cuminroad {

/// Why a run that was placed did not go on.
struct RunLoss {
  TaskRun Run;
  std::string Vm;
  std::string_view Reason;
};

/// Why a step has waited for long.
struct BlockedStep {
  StepName Step;
  milliseconds Waited{0};
  int Waiting = 0;
  /// VMs that the advisor allows, or all where none is asked.
  int Good = 0;
  /// Of these, those whose lease is held and that do not leave.
  int Held = 0;
  /// Of the held ones, those that suit the step and are not in quarantine.
  int Usable = 0;
  /// Of the allowed ones, those with a ticket that holds.
  int Ticketed = 0;
  /// Of the allowed ones, those with room for a task.
  int Roomy = 0;
};

/// A VM that gets nothing for a while, since what it starts fails.
struct VmQuarantine {
  std::string Vm;
  milliseconds Length{0};
};

/// What a pool scheduler has to say for logs; it decides nothing.
struct PoolNotes {
  std::vector<RunLoss> Losses;
  std::vector<BlockedStep> Blocked;
  std::vector<VmQuarantine> Quarantines;
};

} // namespace cuminroad

#endif
