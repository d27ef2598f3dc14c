#ifndef CUMINROAD_POOL_SRC_RECORDS_H
#define CUMINROAD_POOL_SRC_RECORDS_H

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
  TimePoint MovedAt{};
  int ProgressPercent = -1;
  double Measurement = 0;
  int Pace = 100;
  /// Not placed again before.
  TimePoint NotBefore{};

  bool onVm() const { return Vm != nullptr; }
};

/// What the advisor said of one VM.
struct TicketRecord {
  std::string Ticket;
  TimePoint ValidUntil{};
  /// The life of the VM that the ticket is for.
  std::int64_t Incarnation = 0;
};

struct StepRecord {
  OccurrenceRecord *Occurrence = nullptr;
  const StepPlan *Plan = nullptr;
  int Number = 0;
  std::vector<TaskRecord> Tasks;
  int Done = 0;
  int OnVms = 0;
  int GangFailures = 0;
  /// The last run of the gang that was counted as failed.
  std::int64_t GangFailedRun = 0;
  /// Tasks that wait, so that a pass need not look for them.
  int Waiting = 0;
  /// The VMs that may run the step, once the advisor was asked.
  std::map<VmRecord *, TicketRecord> AllowedVms;
  /// VMs that the advisor was asked about, and their lives.
  std::unordered_map<const VmRecord *, std::int64_t> AskedVms;
  /// PoolTables::VmsVersion when the step's VMs were last looked through.
  std::int64_t VmsVersion = -1;
  bool Asking = false;
  /// The VMs that the last pass kept for the step, and from when on.
  std::vector<VmRecord *> ReservedVms;
  TimePoint ReservedAt{};
  /// Set at each pass in which the step could not be placed whole.
  bool Blocked = false;
  /// Since when it has been so, and when that is to be logged next.
  std::optional<TimePoint> BlockedSince;
  milliseconds NextReport{0};

  bool complete() const { return Done == static_cast<int>(Tasks.size()); }
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
  TimePoint Accepted{};
  /// The longest chain of estimated work, with one call for advice a step.
  milliseconds Chain{0};
  JobStage Stage = JobStage::Queued;
  std::map<int, std::unique_ptr<OccurrenceRecord>> Occurrences;
  std::set<int> DoneOccurrences;
  /// Occurrences that have become due so far.
  int Created = 0;
  bool Started = false;

  milliseconds objective() const {
    return milliseconds(static_cast<std::int64_t>(
               Terms.Stretch * static_cast<double>(Chain.count()))) +
           Terms.LatencyTarget;
  }
};

struct VmRecord {
  PoolVm Vm;
  /// Its lease is held, and all that runs on it is known.
  bool Claimed = false;
  bool Listed = true;
  /// The life that the last report was of; 0 before the first.
  std::int64_t ReportedBorn = 0;
  Capacity Used;
  std::set<TaskRecord *> Tasks;
  /// Runs on the VM that belong to no unfinished task; they are being stopped.
  std::map<TaskRun, Capacity> UnknownRuns;
  int FailuresInARow = 0;
  TimePoint QuarantinedAt{};
  TimePoint QuarantinedUntil{};
  milliseconds Quarantine{0};
  /// Not tried before, while in quarantine.
  TimePoint NextProbe{};
  /// Measured run time against the estimate, smoothed; 1 is as estimated.
  double Slowness = 1.0;
  /// Within a pass: kept for a blocked step until then, but for work that ends
  /// before or fits beside it.
  std::optional<TimePoint> ReservedUntil;
  /// Room at that time beside the blocked step.
  Capacity Spare;
  /// Fillers are held back at least until then.
  TimePoint PacedUntil{};
  milliseconds PaceTime{0};

  Capacity free() const { return Vm.Total - Used; }
  /// Whether it may get new work, quarantine aside.
  bool takesWork() const { return Claimed && Listed && !Vm.Leaving; }
  bool inQuarantine(TimePoint Now) const { return Now < QuarantinedUntil; }
};

/// Whether the VM, when empty, could hold a task of the step.
inline bool suits(const StepPlan &Plan, const VmRecord &Vm) {
  return Plan.reservedCapacity().fitsIn(Vm.Vm.Total) &&
         (Plan.RequiredLabel.empty() || Vm.Vm.hasLabel(Plan.RequiredLabel));
}

} // namespace cuminroad

#endif
