#ifndef CUMINROAD_POOL_SRC_POOLRECORDS_H
#define CUMINROAD_POOL_SRC_POOLRECORDS_H

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "AccountRateMeter.h"
#include "RunTimePredictor.h"
#include "TaskTable.h"
#include "cuminroad/pool/ClientAccount.h"
#include "cuminroad/pool/JobFailure.h"
#include "cuminroad/pool/JobPlan.h"
#include "cuminroad/pool/JobStage.h"
#include "cuminroad/pool/JobStatus.h"
#include "cuminroad/pool/PoolVm.h"
#include "cuminroad/pool/QueueTerms.h"
#include "cuminroad/pool/TaskName.h"

// State of the pool scheduler. A job owns its occurrences, an occurrence owns
// its steps, and a step owns the records of its tasks. Pointers to records stay
// valid because records are never moved; that of a task is removed when the
// task is done.

namespace cuminroad {

struct AccountRecord;
struct JobRecord;
struct OccurrenceRecord;
struct StepRecord;
struct VmRecord;

/// A client account with jobs in the pool, or in the contracts in force.
struct AccountRecord {
  /// The terms in force, or the last ones that were.
  ClientAccount Terms;
  bool InForce = false;
  /// Until then nothing of the account starts, unless its terms become known;
  /// empty once they are.
  std::optional<TimePoint> UnknownUntil;
  /// Whether its terms were known or it had a job in the pool.
  bool HadTermsOrJobs = false;
  /// Most capacity that its runs may occupy in this pool.
  Capacity Limit = UnlimitedCapacity;
  /// Whether Limit was set by PoolScheduler::setAccountLimit().
  bool LimitSet = false;
  /// Capacity of its runs that may be on VMs: tasks in the phases Placed,
  /// Running and Stopping, and unknown runs.
  Capacity Used;
  /// The part of it that doesn't end by itself.
  Capacity UsedForLong;
  /// The pass that last reported a step of the account as blocked by its quota.
  TimePoint QuotaReportedAt{};
  /// Within a pass: kept for a step that has waited long for the quota, so that
  /// less urgent and smaller ones don't take whatever becomes free.
  Capacity Held;
  /// See AccountLoad.
  Capacity Claim;
  /// Within a pass: whether steps of the account that are within its rate are
  /// ready and wait, and whether it uses more for its weight than the accounts
  /// for which that holds do on average.
  bool HasWaiting = false;
  bool OverShare = false;
  /// Counts the account's jobs of all pools.
  AccountRateMeter Rate;
};

/// The advisor's ticket for one VM.
struct TicketRecord {
  std::string Ticket;
  TimePoint ValidUntil{};
  /// The incarnation of the VM for which the ticket was issued.
  std::int64_t VmIncarnation = 0;
};

struct StepRecord {
  OccurrenceRecord *Occurrence = nullptr;
  const StepPlan *Plan = nullptr;
  int Number = 0;
  TaskTable Tasks;
  int DoneTasks = 0;
  /// Number of tasks in the phases Placed, Running and Stopping.
  int TasksOnVms = 0;
  /// Of tasks that are done or running.
  RunTimeSamples RunTimes;
  /// Cached result of predictedRunTime(), and the version of the history for
  /// which it is valid; -1 if for none.
  mutable milliseconds PredictedRunTime{0};
  mutable std::int64_t PredictedVersion = -1;
  int GangFailures = 0;
  /// Number of the last run of the gang that was counted as failed.
  std::int64_t GangFailedRun = 0;
  /// Number of tasks in the phase Waiting and of tasks that have not begun.
  int WaitingTasks = 0;
  /// VMs that the advisor allows for the step, with their tickets.
  std::map<VmRecord *, TicketRecord> AllowedVms;
  /// VMs named in advice requests that were answered, with their incarnations.
  std::unordered_map<const VmRecord *, std::int64_t> QueriedVms;
  /// PoolTables::VmsVersion when the VMs were last checked for new ones; -1 to
  /// check again.
  std::int64_t SeenVmsVersion = -1;
  /// That check found no VM on which advice could be requested.
  bool NoNewVms = false;
  /// An advice request has not been answered yet.
  bool AdvicePending = false;
  TimePoint AdviceRequestedAt{};
  /// The delay after the last advice request, if it failed, and when it is
  /// over.
  milliseconds AdviceRetryDelay{0};
  TimePoint NoAdviceBefore{};
  /// VMs that the last pass reserved for the step, and from when on.
  std::vector<VmRecord *> ReservedVms;
  TimePoint ReservationStart{};
  /// When the step was last examined; see ExaminationBudget.
  std::int64_t PlacementRound = 0;
  std::int64_t RenewalRound = 0;
  /// Whether the last pass left some tasks of the step unplaced for lack of
  /// VMs.
  bool Blocked = false;
  /// Whether the last pass left tasks of the step unplaced because its job is
  /// beyond the rate of its account, although there may be room.
  bool HeldBack = false;
  /// Since when the step has been blocked, and for how long it must have been
  /// blocked for the next log entry.
  std::optional<TimePoint> BlockedSince;
  /// Since when the quota of the job's account has kept the step from starting
  /// anything.
  std::optional<TimePoint> QuotaBlockedSince;
  milliseconds NextBlockedReport{0};

  bool isComplete() const { return DoneTasks == Tasks.size(); }
  /// \returns the most failures that count against the attempts of one task.
  int failures() const {
    int Most = GangFailures;
    for (const auto &[Index, Task] : Tasks.records())
      Most = std::max(Most, Task.Failures);
    return Most;
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
  /// The account that submitted the job, or nullptr.
  AccountRecord *Account = nullptr;
  /// The terms that apply now, and those under which the job was accepted.
  QueueTerms Terms;
  QueueTerms AcceptedTerms;
  TimePoint AcceptedAt{};
  /// The account had sent more jobs than its rate allows. The job only gets
  /// capacity to which no other job is entitled.
  bool BeyondRate = false;
  /// The run times of the queue, or nullptr if they are not predicted.
  RunTimePredictor *QueueRunTimes = nullptr;
  /// Estimated length of the critical path; see criticalPath().
  milliseconds CriticalPath{0};
  JobStage Stage = JobStage::Queued;
  JobFailure Failure = JobFailure::None;
  std::map<int, std::unique_ptr<OccurrenceRecord>> Occurrences;
  IndexSet DoneOccurrences;
  /// Unfinished tasks that have had a run, each of which takes room in the
  /// job's stored progress.
  int RecordedTasks = 0;
  /// Number of occurrences that have become due.
  int CreatedOccurrences = 0;
  /// Whether a VM has started any task, as far as is known.
  bool Started = false;

  bool isPending() const { return !Started && !isFinal(Stage); }
  /// \returns the time within which an occurrence should complete.
  milliseconds objective() const { return objectiveOf(CriticalPath); }
  /// \returns it for a critical path of the length \p Path.
  milliseconds objectiveOf(milliseconds Path) const {
    return milliseconds(static_cast<std::int64_t>(
               Terms.Stretch * static_cast<double>(Path.count()))) +
           Terms.LatencyTarget;
  }
};

/// What is kept of a finished job.
struct FinishedJob {
  JobStatus Status;
  /// The account against which runs of the job count that are still found on
  /// VMs, or nullptr, and the size of a task of each step.
  AccountRecord *Account = nullptr;
  std::vector<Capacity> TaskSizes;

  FinishedJob() = default;
  FinishedJob(JobStatus Final, AccountRecord *Owner, const JobPlan &Plan)
      : Status(Final), Account(Owner) {
    if (Account != nullptr)
      for (const StepPlan &Step : Plan.Steps)
        TaskSizes.push_back(Step.PerTask);
  }
};

/// A task whose run may have crashed a VM.
struct CrashSuspect {
  TaskName Task;
  /// The VM had confirmed that the run started.
  bool StartConfirmed = false;
};

/// The loss of a VM of which it isn't certain yet whether it crashed.
struct UnsettledLoss {
  std::int64_t VmIncarnation = 0;
  /// The loss was counted as a crash.
  bool Counted = false;
  std::vector<CrashSuspect> Suspects;
};

/// A run on a VM that belongs to no unfinished task.
struct UnknownRun {
  /// The capacity that it occupies.
  Capacity Size;
  /// When the VM confirmed that the run started or that it never will; empty
  /// while its start may still be carried out.
  std::optional<TimePoint> SettledAt;
  /// The account against which the run counts, or nullptr if it isn't known,
  /// and how much it counts there.
  AccountRecord *Account = nullptr;
  Capacity AccountSize;
};

/// When a task on a VM is expected to end, regardless of the current time, and
/// the capacity that it then releases together with the tasks that are expected
/// to end before it.
struct ExpectedEnd {
  TimePoint At{};
  Capacity ReleasedUntilThen;
};

struct VmRecord {
  PoolVm Description;
  /// When the incarnation in the description last changed.
  TimePoint IncarnationSince{};
  /// Position among the VMs of the pool in the order of their ids.
  std::size_t Position = 0;
  /// The VM's lease is held and all its runs are known.
  bool LeaseHeld = false;
  /// Since when the VM has not responded.
  std::optional<TimePoint> UnreachableSince;
  std::optional<UnsettledLoss> LastLoss;
  /// An earlier VM of the host crashed without new runs; until then the host is
  /// suspected itself.
  TimePoint HostSuspectUntil{};
  /// A task on the VM that may have crashed an earlier one. No other job's
  /// tasks are started while its run is new.
  TaskRecord *Trial = nullptr;
  /// Until then, only tasks that may have crashed a VM are started.
  TimePoint TrialReservedUntil{};
  /// The incarnation of the last report; 0 before the first.
  std::int64_t ReportedIncarnation = 0;
  /// When the last report arrived.
  TimePoint ReportedAt{};
  /// The last report proves which runs were lost; see RunReport.
  bool AllEndsKnown = false;
  /// The VM has restarted since a report last proved that.
  bool RestartedSinceLosses = false;
  /// The incarnation whose capacity and labels are listed.
  std::int64_t ListedIncarnation = 0;
  /// When the VM listed its capacity; none if that doesn't matter.
  std::optional<TimePoint> CapacityListedAt;
  Capacity Used;
  std::set<TaskRecord *> Tasks;
  /// The expected ends of Tasks in order of time, if they are known; see
  /// expectedEnds().
  mutable std::vector<ExpectedEnd> ExpectedEnds;
  mutable bool ExpectedEndsKnown = false;
  /// They are being stopped.
  std::map<TaskRun, UnknownRun> UnknownRuns;
  /// Runs that are not current and need no log line: the last report listed
  /// them, or the scheduler gave them up.
  std::set<TaskRun> SeenUnknownRuns;
  int ConsecutiveFailures = 0;
  TimePoint LastFailureAt{};
  TimePoint QuarantinedAt{};
  TimePoint QuarantinedUntil{};
  milliseconds QuarantineDuration{0};
  /// Earliest time of the next probe while in quarantine.
  TimePoint NextProbe{};
  /// Smoothed ratio of measured to estimated run times.
  double Slowdown = 1.0;
  /// Within a pass: the VM is reserved for a blocked step from this time on.
  /// Other tasks may only use it if they end earlier or fit beside the step.
  std::optional<TimePoint> ReservationStart;
  /// Capacity left beside the blocked step from ReservationStart on.
  Capacity BackfillRoom;
  /// Within a pass: capacity that must stay free of jobs beyond the rate, since
  /// waiting steps of other jobs could use it.
  Capacity EntitledClaim;
  /// Best-effort tasks are paused at least until this time.
  TimePoint ThrottledUntil{};
  milliseconds ThrottleDuration{0};

  Capacity freeCapacity() const { return Description.Total - Used; }
  /// \returns whether the VM may get new tasks, regardless of quarantine. A new
  /// incarnation may have less capacity than the listed one.
  bool acceptsWork() const {
    return LeaseHeld && !Description.Leaving &&
           ListedIncarnation == ReportedIncarnation;
  }
  /// \returns whether a start that reaches the VM at \p When may go by the
  /// VM's listed capacity.
  bool hasValidCapacity(TimePoint When, milliseconds MaxAge) const {
    return !CapacityListedAt || When - *CapacityListedAt <= MaxAge;
  }
  bool hasSuspectHost(TimePoint Now) const { return Now < HostSuspectUntil; }
  bool inQuarantine(TimePoint Now) const { return Now < QuarantinedUntil; }
  /// \returns whether the last run or start failed, less than \p Duration ago.
  bool isSuspect(TimePoint Now, milliseconds Duration) const {
    return ConsecutiveFailures > 0 && Now - LastFailureAt < Duration;
  }
};

/// \returns whether the VM, if empty, could run a task of the step.
inline bool canHost(const StepPlan &Plan, const VmRecord &Vm) {
  return Plan.reservedCapacity().fitsIn(Vm.Description.Total) &&
         (Plan.RequiredLabel.empty() ||
          Vm.Description.hasLabel(Plan.RequiredLabel));
}

} // namespace cuminroad

#endif
