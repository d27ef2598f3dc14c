#ifndef CUMINROAD_POOL_SRC_POOLRECORDS_H
#define CUMINROAD_POOL_SRC_POOLRECORDS_H

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cuminroad/pool/JobPlan.h"
#include "cuminroad/pool/JobStage.h"
#include "cuminroad/pool/PoolVm.h"
#include "cuminroad/pool/QueueTerms.h"

// The pool scheduler's state. A job owns its occurrences, they own their steps,
// and those their tasks; pointers upwards and to VMs stay valid, since records
// are never moved.

namespace cuminroad {

struct JobRecord;
struct OccurrenceRecord;
struct StepRecord;
struct VmRecord;

/// Where a task is.
enum class TaskPhase {
  Waiting,
  /// A VM was chosen; the start may have reached it.
  Placed,
  /// The VM confirmed the run.
  Running,
  /// The end of the run was asked for.
  Stopping,
  Done,
};

struct TaskRecord {
  StepRecord *Step = nullptr;
  int Index = 0;
  TaskPhase Phase = TaskPhase::Waiting;
  int Failures = 0;
  /// The last run that may have been started.
  std::int64_t Run = 0;
  /// Set in the phases Placed, Running and Stopping.
  VmRecord *Vm = nullptr;
  std::string Checkpoint;
  TimePoint PlacedAt{};
  /// When the VM first confirmed the run, or that it will never come. The
  /// earliest time for a run that an earlier owner started.
  std::optional<TimePoint> ConfirmedAt;
  /// When Percent last changed.
  TimePoint ProgressedAt{};
  int ProgressPercent = -1;
  double Measurement = 0;
  int SpeedPercent = 100;
  /// Not placed again before.
  TimePoint NotPlacedBefore{};

  bool isOnVm() const { return Vm != nullptr; }
};

/// What the advisor said of one VM.
struct TicketRecord {
  std::string Ticket;
  TimePoint ValidUntil{};
  /// The life of the VM that the ticket is for.
  std::int64_t VmIncarnation = 0;
};

struct StepRecord {
  OccurrenceRecord *Occurrence = nullptr;
  const StepPlan *Plan = nullptr;
  int Number = 0;
  std::vector<TaskRecord> Tasks;
  int DoneTasks = 0;
  int TasksOnVms = 0;
  int GangFailures = 0;
  /// The last run of the gang that was counted as failed.
  std::int64_t GangFailedRun = 0;
  /// Tasks that wait, so that a pass need not look for them.
  int WaitingTasks = 0;
  /// The VMs that may run the step, once the advisor was asked.
  std::map<VmRecord *, TicketRecord> AllowedVms;
  /// VMs that the advisor was asked about, and their lives.
  std::unordered_map<const VmRecord *, std::int64_t> QueriedVms;
  /// PoolTables::VmsVersion when the step's VMs were last looked through.
  std::int64_t SeenVmsVersion = -1;
  bool AdvicePending = false;
  /// The VMs that the last pass kept for the step, and from when on.
  std::vector<VmRecord *> ReservedVms;
  TimePoint ReservationStart{};
  /// Set at each pass in which the step could not be placed whole.
  bool Blocked = false;
  /// Since when it has been so, and when that is to be logged next.
  std::optional<TimePoint> BlockedSince;
  milliseconds NextBlockedReport{0};

  bool isComplete() const {
    return DoneTasks == static_cast<int>(Tasks.size());
  }
};

struct OccurrenceRecord {
  JobRecord *Job = nullptr;
  int Number = 0;
  TimePoint Due{};
  std::vector<StepRecord> Steps;
};

struct JobRecord {
  JobPlan Plan;
  QueueTerms Terms;
  TimePoint AcceptedAt{};
  /// The longest chain of estimated work, with one call for advice a step.
  milliseconds CriticalPath{0};
  JobStage Stage = JobStage::Queued;
  std::map<int, std::unique_ptr<OccurrenceRecord>> Occurrences;
  std::set<int> DoneOccurrences;
  /// Occurrences that have become due so far.
  int CreatedOccurrences = 0;
  bool Started = false;

  milliseconds objective() const {
    return milliseconds(static_cast<std::int64_t>(
               Terms.Stretch * static_cast<double>(CriticalPath.count()))) +
           Terms.LatencyTarget;
  }
};

struct VmRecord {
  PoolVm Description;
  /// Its lease is held, and all that runs on it is known.
  bool LeaseHeld = false;
  bool Listed = true;
  /// The life that the last report was of; 0 before the first.
  std::int64_t ReportedIncarnation = 0;
  Capacity Used;
  std::set<TaskRecord *> Tasks;
  /// Runs on the VM that belong to no unfinished task; they are being stopped.
  std::map<TaskRun, Capacity> UnknownRuns;
  int ConsecutiveFailures = 0;
  TimePoint QuarantinedAt{};
  TimePoint QuarantinedUntil{};
  milliseconds QuarantineDuration{0};
  /// Not tried before, while in quarantine.
  TimePoint NextProbe{};
  /// Measured run time against the estimate, smoothed; 1 is as estimated.
  double Slowdown = 1.0;
  /// Within a pass: kept for a blocked step until then, but for work that ends
  /// before or fits beside it.
  std::optional<TimePoint> ReservationStart;
  /// Room at that time beside the blocked step.
  Capacity BackfillRoom;
  /// Fillers are held back at least until then.
  TimePoint ThrottledUntil{};
  milliseconds ThrottleDuration{0};

  Capacity freeCapacity() const { return Description.Total - Used; }
  /// Whether it may get new work, quarantine aside.
  bool acceptsWork() const {
    return LeaseHeld && Listed && !Description.Leaving;
  }
  bool inQuarantine(TimePoint Now) const { return Now < QuarantinedUntil; }
};

/// Whether the VM, when empty, could hold a task of the step.
inline bool canHost(const StepPlan &Plan, const VmRecord &Vm) {
  return Plan.reservedCapacity().fitsIn(Vm.Description.Total) &&
         (Plan.RequiredLabel.empty() ||
          Vm.Description.hasLabel(Plan.RequiredLabel));
}

} // namespace cuminroad

#endif
