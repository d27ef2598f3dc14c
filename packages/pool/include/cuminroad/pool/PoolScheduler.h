#ifndef CUMINROAD_POOL_POOLSCHEDULER_H
#define CUMINROAD_POOL_POOLSCHEDULER_H

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/pool/JobPlan.h"
#include "cuminroad/pool/JobProgress.h"
#include "cuminroad/pool/PoolCommand.h"
#include "cuminroad/pool/PoolDiagnostics.h"
#include "cuminroad/pool/PoolOptions.h"
#include "cuminroad/pool/PoolVm.h"
#include "cuminroad/pool/QueueTerms.h"
#include "cuminroad/pool/WallClock.h"

namespace cuminroad {

/// What a pool holds; for logs and metrics.
struct PoolLoad {
  int Vms = 0;
  /// Their leases are held.
  int LeasedVms = 0;
  int Jobs = 0;
  int WaitingTasks = 0;
  int PlacedTasks = 0;
  int RunningTasks = 0;
  int StoppingTasks = 0;
  /// Runs that belong to no unfinished job.
  int UnknownRuns = 0;
  /// Thousandths of cores.
  std::int64_t UsedMilliCores = 0;
  std::int64_t TotalMilliCores = 0;
};

/// Decides which task of which job runs on which VM of one pool. Events go in,
/// commands come out; it does no I/O and starts no thread.
///
/// Invariants: what was placed on a VM and has not certainly ended never
/// exceeds the VM's capacity; a task is on one VM at most; no step starts
/// before the steps that it follows are done.
class PoolScheduler {
public:
  virtual ~PoolScheduler() = default;

  /// Adds a VM or changes its description. A new life empties it.
  virtual void vmListed(const PoolVm &Vm) = 0;
  /// The VM's lease is held, and \p Running is all that runs there. Also tells
  /// of each later report.
  virtual void vmReported(std::string_view Vm, std::int64_t Incarnation,
                          std::span<const RunningTask> Running,
                          TimePoint RequestedAt) = 0;
  /// The VM does not answer: it gets no work, but what runs there may go on.
  virtual void vmUnreachable(std::string_view Vm) = 0;
  /// Nothing of before runs on the VM any more, for certain.
  virtual void vmEmptied(std::string_view Vm) = 0;
  /// Forgets a VM; it must have been emptied.
  virtual void vmRemoved(std::string_view Vm) = 0;

  /// Adds a job that is in the store.
  virtual void addJob(JobPlan Plan, QueueTerms Terms, TimePoint AcceptedAt) = 0;
  /// Adds a job of an earlier owner, with what the store knows of it.
  virtual void restoreJob(JobPlan Plan, QueueTerms Terms, TimePoint AcceptedAt,
                          const JobProgress &Progress) = 0;
  virtual void setTerms(const QueueTerms &Terms) = 0;
  virtual void cancelJob(std::string_view Job) = 0;
  virtual void forgetJob(std::string_view Job) = 0;

  virtual void taskEnded(std::string_view Vm, const TaskEnd &End) = 0;
  virtual void startAnswered(std::string_view Vm, const TaskRun &Run,
                             StartOutcome Outcome) = 0;
  /// The VM took the order to stop a run.
  virtual void stopAnswered(std::string_view Vm, const TaskRun &Run) = 0;
  /// What the advisor said; \p Asked without a ticket are not to be used.
  virtual void adviceReceived(const StepName &Step,
                              std::span<const std::string> QueriedVms,
                              std::span<const AdviceTicket> Tickets,
                              TimePoint ValidUntil) = 0;
  virtual void adviceFailed(const StepName &Step) = 0;

  /// Whether an answer to a question about this step is still of use.
  virtual bool needsAdvice(const StepName &Step) const = 0;
  /// How long a start takes to reach its VM at present, with what must be
  /// recorded before it.
  virtual void setStartDelay(milliseconds Delay) = 0;

  /// Places what can be placed and handles what became due.
  virtual void schedule() = 0;
  /// \returns the commands since the last call, in order.
  virtual std::vector<PoolCommand> takeCommands() = 0;
  /// \returns the jobs whose progress changed since the last call.
  virtual std::vector<std::string> takeChangedJobs() = 0;
  /// \returns what is to be logged since the last call.
  virtual PoolDiagnostics takeDiagnostics() = 0;

  virtual std::optional<JobStage> stage(std::string_view Job) const = 0;
  virtual JobProgress progress(std::string_view Job) const = 0;
  /// Whether \p Run is the present run of its task on \p Vm and not being
  /// stopped.
  virtual bool isCurrentRun(std::string_view Vm, const TaskRun &Run) const = 0;
  /// \returns the jobs of a queue for which no task has started.
  virtual int pendingJobs(std::string_view Queue) const = 0;
  /// \returns the VMs on which tasks may run, with the lives recorded.
  virtual std::vector<std::string> occupiedVms() const = 0;
  virtual PoolLoad load() const = 0;
  /// \returns the plan of an unfinished job, or null.
  virtual const JobPlan *plan(std::string_view Job) const = 0;
  /// \returns the terms of an unfinished job's queue, or null.
  virtual const QueueTerms *terms(std::string_view Job) const = 0;
};

/// \p Time and \p Wall must outlive the scheduler.
std::unique_ptr<PoolScheduler> makePoolScheduler(const Clock &MonotonicClock,
                                                 const WallClock &SystemClock,
                                                 const PoolOptions &Options);

} // namespace cuminroad

#endif
