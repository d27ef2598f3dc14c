#ifndef CUMINROAD_SCHEDULING_SCHEDULER_H
#define CUMINROAD_SCHEDULING_SCHEDULER_H

#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/base/Error.h"
#include "cuminroad/contract/ContractTerms.h"
#include "cuminroad/scheduling/Command.h"
#include "cuminroad/scheduling/JobSpec.h"
#include "cuminroad/scheduling/SchedulerOptions.h"
#include "cuminroad/scheduling/SchedulerView.h"
#include "cuminroad/scheduling/VmSpec.h"

namespace cuminroad {

/// A task that a VM reports when it is claimed.
struct InventoryTask {
  TaskAttempt Task;
  Capacity Size;
};

/// The persisted state of a job that a new owner takes over.
struct RecoveredJob {
  JobSpec Spec;
  /// Time since the job was accepted.
  milliseconds Age{0};
  /// Indices of tasks that ended, and whether each of them failed.
  std::vector<std::pair<int, bool>> Ended;
  /// Indices of tasks that may not run twice and whose start was persisted.
  std::set<int> RecordedStarts;
  bool Cancelled = false;
};

/// Decides which task runs on which VM of one failure domain. It takes events
/// and returns commands; it does no I/O, starts no threads and reads the time
/// only from its clock.
///
/// Invariant: the total size of all tasks that may run on a VM never exceeds
/// the VM's capacity, and the total size of a customer's tasks never exceeds
/// its limit. A task counts from its start command until its end is certain.
class Scheduler {
public:
  virtual ~Scheduler() = default;

  /// Adds a VM or updates its description. A new VM is unclaimed: unknown tasks
  /// may run on it.
  virtual void listVm(const VmSpec &Spec) = 0;
  /// Reports that the VM's lease is held and that exactly the tasks of
  /// \p Inventory run there.
  virtual void vmClaimed(std::string_view Vm,
                         std::span<const InventoryTask> Inventory) = 0;
  /// Reports that the VM takes no new tasks; running tasks may end there.
  virtual void vmLeaving(std::string_view Vm) = 0;
  /// Reports that certainly no task runs on the VM any more: either it is
  /// \p Permanently gone, or the leases of all its tasks have lapsed and it
  /// must be claimed again before it is used.
  virtual void vmTasksEnded(std::string_view Vm, bool Permanently) = 0;

  /// Sets the customer's limit in this failure domain; running tasks continue.
  virtual void setLimit(std::string_view Customer,
                        const ContractTerms &Terms) = 0;
  /// Starts no more tasks of the customer; running tasks continue.
  virtual void removeLimit(std::string_view Customer) = 0;

  /// \param MaxLimit the largest limit that the customer can get in this
  /// failure domain.
  /// \returns nothing, or the reason why the job can never run.
  virtual Result<void> checkFeasible(const JobSpec &Spec,
                                     const Capacity &MaxLimit) const = 0;
  /// Queues a job that passed checkFeasible() and is persisted.
  virtual void submit(const JobSpec &Spec) = 0;
  /// Queues a job of an earlier owner. None of its tasks starts until
  /// vmClaimed() or vmTasksEnded() was called for every VM listed so far, since
  /// they may run on any of them.
  virtual void recover(const RecoveredJob &Job) = 0;
  virtual void cancel(std::string_view Job) = 0;

  /// Reports that the VM started the task.
  virtual void taskStarted(const TaskAttempt &Task) = 0;
  /// Reports that the VM certainly didn't start the task.
  virtual void startRefused(const TaskAttempt &Task) = 0;
  /// Reports that the task ended on its VM.
  /// \param Stopped whether it was stopped before it ended by itself.
  virtual void taskEnded(const TaskAttempt &Task, bool Failed,
                         bool Stopped) = 0;
  /// Reports what the task used a short time ago.
  virtual void usageReported(const TaskAttempt &Task, const Capacity &Used) = 0;

  /// Starts the tasks that fit, and ends quarantines and reservations that are
  /// due.
  virtual void schedule() = 0;
  /// \returns the commands issued since the last call, in order.
  virtual std::vector<Command> takeCommands() = 0;

  virtual std::optional<JobView> job(std::string_view Id) const = 0;
  virtual std::vector<JobView> jobs() const = 0;
  virtual std::vector<VmView> vms() const = 0;
  /// \returns the capacity allocated to the customer's tasks in this failure
  /// domain.
  virtual Capacity held(std::string_view Customer) const = 0;
  /// \returns the total size of the customer's waiting tasks.
  virtual Capacity waitingSize(std::string_view Customer) const = 0;
  /// Whether it is known which tasks run on every listed VM.
  virtual bool inventoriesKnown() const = 0;
};

/// \param Epoch the owner's epoch; attempt numbers grow with it.
/// \param MonotonicClock must outlive the scheduler.
std::unique_ptr<Scheduler> makeScheduler(const Clock &MonotonicClock,
                                         const SchedulerOptions &Options,
                                         std::int64_t Epoch);

} // namespace cuminroad

#endif
