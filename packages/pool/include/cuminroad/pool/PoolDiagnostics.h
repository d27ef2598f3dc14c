#ifndef CUMINROAD_POOL_POOLDIAGNOSTICS_H
#define CUMINROAD_POOL_POOLDIAGNOSTICS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/contract/Capacity.h"
#include "cuminroad/pool/TaskName.h"

namespace cuminroad {

/// A run that was placed and lost before its task ended.
struct LostRun {
  TaskRun Run;
  std::string Vm;
  std::string_view Reason;
  /// Time from the placement of the run until the VM stopped responding, or
  /// until now if it responds; nothing for a run that an earlier owner placed.
  std::optional<milliseconds> Age;
};

/// The first of the reports in a row in which a VM lists a run that is not
/// current, and that the scheduler has not given up itself.
struct UnknownRunReport {
  TaskRun Run;
  std::string Vm;
  std::int64_t VmIncarnation = 0;
  /// The run is the last one of a task that waits, and becomes current again.
  bool Resumed = false;
};

/// Why a step could not be placed for some time. The counts show which
/// condition excludes the VMs, unless its account's quota does.
struct BlockedStep {
  StepName Step;
  milliseconds Waited{0};
  int WaitingTasks = 0;
  /// The step's job is beyond the rate of its account, so that other jobs keep
  /// room that it could use.
  bool BeyondRate = false;
  /// VMs that the advisor allows, or all VMs if the queue needs no advice.
  int AllowedVms = 0;
  /// Allowed VMs whose lease is held and that are not leaving.
  int AvailableVms = 0;
  /// Available VMs that can host the step and are not in quarantine.
  int UsableVms = 0;
  /// VMs with a ticket that is valid for long enough, or, if the queue needs no
  /// advice, VMs that accept work.
  int VmsWithTicket = 0;
  /// Allowed VMs with enough free capacity for a task.
  int VmsWithRoom = 0;
  /// The account whose quota keeps the step from starting; "" if it waits for
  /// capacity. The VMs are not counted then.
  std::string QuotaAccount;
  /// What the account uses in the pool, and the most that it may use.
  Capacity QuotaUsed;
  Capacity QuotaLimit;
};

/// A VM that gets no new tasks for some time because its starts and runs fail.
struct VmQuarantine {
  std::string Vm;
  milliseconds Duration{0};
};

/// A VM that crashed, and what may have caused it.
struct VmCrash {
  std::string Vm;
  int LostRuns = 0;
  /// Runs that may have caused the crash.
  std::vector<TaskRun> Suspects;
  /// The runs of a single job are the only possible cause.
  bool Conclusive = false;
  /// Many VMs became unreachable at the same time.
  bool CommonCause = false;
};

/// A task that may have caused several crashes, and whose job therefore fails.
struct AbandonedTask {
  TaskName Task;
  int Crashes = 0;
};

/// Events for the log. They don't affect scheduling.
struct PoolDiagnostics {
  std::vector<LostRun> LostRuns;
  std::vector<UnknownRunReport> UnknownRuns;
  std::vector<BlockedStep> BlockedSteps;
  std::vector<VmQuarantine> Quarantines;
  std::vector<VmCrash> Crashes;
  std::vector<AbandonedTask> AbandonedTasks;
  /// VMs that were checked for whether a step needs advice on them.
  std::int64_t AdviceChecks = 0;
};

} // namespace cuminroad

#endif
