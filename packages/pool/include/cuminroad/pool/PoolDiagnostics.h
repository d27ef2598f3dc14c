#ifndef CUMINROAD_POOL_POOLDIAGNOSTICS_H
#define CUMINROAD_POOL_POOLDIAGNOSTICS_H

#include <string>
#include <string_view>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/pool/TaskName.h"

namespace cuminroad {

/// Why a run that was placed did not go on.
struct LostRun {
  TaskRun Run;
  std::string Vm;
  std::string_view Reason;
};

/// Why a step has waited for long.
struct BlockedStep {
  StepName Step;
  milliseconds Waited{0};
  int WaitingTasks = 0;
  /// VMs that the advisor allows, or all where none is asked.
  int AllowedVms = 0;
  /// Of these, those whose lease is held and that do not leave.
  int AvailableVms = 0;
  /// Of the held ones, those that suit the step and are not in quarantine.
  int UsableVms = 0;
  /// Of the allowed ones, those with a ticket that holds.
  int VmsWithTicket = 0;
  /// Of the allowed ones, those with room for a task.
  int VmsWithRoom = 0;
};

/// A VM that gets nothing for a while, since what it starts fails.
struct VmQuarantine {
  std::string Vm;
  milliseconds Duration{0};
};

/// What a pool scheduler has to say for logs; it decides nothing.
struct PoolDiagnostics {
  std::vector<LostRun> LostRuns;
  std::vector<BlockedStep> BlockedSteps;
  std::vector<VmQuarantine> Quarantines;
};

} // namespace cuminroad

#endif
