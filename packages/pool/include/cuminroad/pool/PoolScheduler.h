#ifndef CUMINROAD_POOL_POOLSCHEDULER_H
#define CUMINROAD_POOL_POOLSCHEDULER_H

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/pool/ClientAccount.h"
#include "cuminroad/pool/JobPlan.h"
#include "cuminroad/pool/JobProgress.h"
#include "cuminroad/pool/PoolCommand.h"
#include "cuminroad/pool/PoolDiagnostics.h"
#include "cuminroad/pool/PoolOptions.h"
#include "cuminroad/pool/PoolVm.h"
#include "cuminroad/pool/QueueTerms.h"
#include "cuminroad/pool/WallClock.h"

namespace cuminroad {

/// Load of a pool, for logs and metrics.
struct PoolLoad {
  int Vms = 0;
  /// VMs whose lease is held.
  int LeasedVms = 0;
  int Jobs = 0;
  std::int64_t WaitingTasks = 0;
  int PlacedTasks = 0;
  int RunningTasks = 0;
  int StoppingTasks = 0;
  /// Runs on VMs that belong to no unfinished task.
  int UnknownRuns = 0;
  /// CPU capacity in thousandths of a core.
  std::int64_t UsedMilliCores = 0;
  std::int64_t TotalMilliCores = 0;
};

/// Decides which task runs on which VM of one pool. The caller feeds it events
/// and executes its commands; the scheduler does no I/O and starts no threads.
///
/// Invariants: the runs placed on a VM that are not known to have ended never
/// exceed the VM's capacity; a task is on at most one VM; no step starts before
/// its dependencies are done.
class PoolScheduler {
public:
  virtual ~PoolScheduler() = default;

  /// Adds a VM or updates its description. After a change of incarnation the VM
  /// gets no work until its next report.
  virtual void vmListed(const PoolVm &Vm) = 0;
  /// The VM listed its capacity \p Age ago. No task is started on it when that
  /// is longer ago than PoolOptions::MaxCapacityAge; before the first call, the
  /// age doesn't matter.
  virtual void vmCapacityAge(std::string_view Vm, milliseconds Age) = 0;
  /// The VM's lease is held, and \p Report tells of all runs on the VM, as of
  /// \p RequestedAt. Called for the first and each later report, after
  /// taskEnded() for the ends that came with it.
  virtual void vmReported(std::string_view Vm, std::int64_t Incarnation,
                          const RunReport &Report, TimePoint RequestedAt) = 0;
  /// The VM doesn't respond: it gets no new work, but its runs may continue.
  virtual void vmUnreachable(std::string_view Vm) = 0;
  /// All earlier runs on the VM have certainly ended.
  virtual void vmTasksEnded(std::string_view Vm, RunsEndedCause Cause) = 0;
  /// Removes a VM; all its runs must have ended.
  virtual void vmRemoved(std::string_view Vm) = 0;

  /// Adds a job that is already recorded in the store.
  /// \param Accepted the terms of the job's queue when the job was accepted.
  virtual void addJob(JobPlan Plan, QueueTerms Accepted,
                      TimePoint AcceptedAt) = 0;
  /// Adds a job that an earlier owner of the pool accepted, with its stored
  /// progress.
  virtual void restoreJob(JobPlan Plan, QueueTerms Accepted,
                          TimePoint AcceptedAt,
                          const JobProgress &Progress) = 0;
  /// Sets the queues of the contracts in force, in place of all earlier ones.
  /// Their terms apply to all of their jobs; jobs of other queues have the
  /// terms under which they were accepted.
  virtual void setQueues(std::span<const QueueTerms> Queues) = 0;
  /// Sets the client accounts of the contracts in force, in place of all
  /// earlier ones. An account that is no longer among them keeps its last
  /// terms for its unfinished jobs.
  virtual void setAccounts(std::span<const ClientAccount> Accounts) = 0;
  /// Counts a job of another pool towards the rate of its account. Jobs of this
  /// pool are counted when they are added. All of them are passed in the order
  /// in which they were accepted, after setAccounts().
  virtual void countJob(std::string_view Account, TimePoint AcceptedAt) = 0;
  /// Sets the most capacity that the account's runs may occupy in this pool.
  /// Until the first call for an account it is the account's MaxRunning.
  virtual void setAccountLimit(std::string_view Account,
                               const Capacity &Limit) = 0;
  virtual void cancelJob(std::string_view Job) = 0;
  /// Fails an unfinished job.
  virtual void failJob(std::string_view Job, JobFailure Reason) = 0;
  /// Discards the final stage of a finished job.
  virtual void forgetJob(std::string_view Job) = 0;

  virtual void taskEnded(std::string_view Vm, const TaskEnd &End) = 0;
  /// The VM has responded to a start command, or the command was not sent.
  virtual void startAnswered(std::string_view Vm, const TaskRun &Run,
                             StartOutcome Outcome) = 0;
  /// The VM has accepted the command to stop a run.
  virtual void stopAnswered(std::string_view Vm, const TaskRun &Run) = 0;
  /// The advisor has responded; VMs of \p QueriedVms without a ticket must not
  /// run the step. Both are empty if the request was dropped.
  virtual void adviceReceived(const StepName &Step,
                              std::span<const std::string> QueriedVms,
                              std::span<const AdviceTicket> Tickets,
                              TimePoint ValidUntil) = 0;
  virtual void adviceFailed(const StepName &Step) = 0;

  /// \returns whether advice for this step is still useful.
  virtual bool needsAdvice(const StepName &Step) const = 0;
  /// Sets the current time until a start reaches its VM, including the write to
  /// the store that precedes it.
  virtual void setStartDelay(milliseconds Delay) = 0;

  /// Runs a scheduling pass: creates due occurrences, stops stuck tasks, places
  /// tasks and requests advice.
  virtual void schedule() = 0;
  /// \returns the commands since the last call, in order.
  virtual std::vector<PoolCommand> takeCommands() = 0;
  /// \returns the jobs whose progress changed since the last call.
  virtual std::vector<std::string> takeChangedJobs() = 0;
  /// \returns the events to log since the last call.
  virtual PoolDiagnostics takeDiagnostics() = 0;

  /// \returns the stage of a job, or nothing if the job is unknown.
  virtual std::optional<JobStage> stage(std::string_view Job) const = 0;
  /// \returns why a job failed; None if it didn't, or is unknown.
  virtual JobFailure failure(std::string_view Job) const = 0;
  /// \returns the progress of a job to persist.
  virtual JobProgress progress(std::string_view Job) const = 0;
  /// \returns whether \p Run is its task's current run on \p Vm and isn't being
  /// stopped.
  virtual bool isCurrentRun(std::string_view Vm, const TaskRun &Run) const = 0;
  /// \returns the number of a queue's jobs of which no task has started.
  virtual int pendingJobs(std::string_view Queue) const = 0;
  /// \returns the names of the queues with such jobs.
  virtual std::vector<std::string> pendingQueues() const = 0;
  /// \returns the ids of the VMs on which runs may exist.
  virtual std::vector<std::string> occupiedVms() const = 0;
  /// \returns the current load of the pool.
  virtual PoolLoad load() const = 0;
  /// \returns what each account has in the pool, by name; accounts that have
  /// nothing there are included while they are in force.
  virtual std::vector<AccountLoad> accountLoads() const = 0;
  /// \returns the plan of an unfinished job, or nullptr.
  virtual const JobPlan *plan(std::string_view Job) const = 0;
  /// \returns the terms that apply to an unfinished job, or nullptr.
  virtual const QueueTerms *terms(std::string_view Job) const = 0;
};

/// Both clocks must outlive the scheduler.
std::unique_ptr<PoolScheduler> makePoolScheduler(const Clock &MonotonicClock,
                                                 const WallClock &SystemClock,
                                                 const PoolOptions &Options);

} // namespace cuminroad

#endif
