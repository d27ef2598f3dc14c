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

/// What a VM reports about one task when it is claimed.
struct InventoryTask {
  TaskAttempt Task;
  Capacity Size;
};

/// What the table knows of a job that a new owner takes over.
struct RecoveredJob {
  JobSpec Spec;
  /// How long ago the job was accepted.
  milliseconds Age{0};
  /// Tasks that ended, with whether each of them failed.
  std::vector<std::pair<int, bool>> Ended;
  /// Tasks that may not run twice and whose start was recorded.
  std::set<int> RecordedStarts;
  bool Cancelled = false;
};

/// Decides which task runs on which VM of one failure domain. Events go in,
/// commands come out; it does no I/O, starts no thread and knows the time only
/// from its clock.
///
/// Invariant: the sizes of all tasks that may run on a VM never exceed the
/// VM's capacity, and those of one customer never exceed its limit. A task
/// counts from its start command until its end is certain.
class Scheduler {
public:
  virtual ~Scheduler() = default;

  /// Adds a VM or changes its description. A new VM is unclaimed: anything may
  /// run on it.
  virtual void listVm(const VmSpec &Spec) = 0;
  /// The VM's lease is held and \p Inventory is all that runs there.
  virtual void vmClaimed(std::string_view Vm,
                         std::span<const InventoryTask> Inventory) = 0;
  /// The VM takes no new work; what runs there may end.
  virtual void vmLeaving(std::string_view Vm) = 0;
  /// Nothing runs on the VM any more, for certain: it is finally gone, or the
  /// leases of all its tasks have lapsed. A VM that is not \p Permanently must
  /// be claimed again before it is used.
  virtual void vmEmptied(std::string_view Vm, bool Permanently) = 0;

  /// Sets the customer's limit in this domain; running tasks are kept.
  virtual void setLimit(std::string_view Customer,
                        const ContractTerms &Terms) = 0;
  /// The customer gets no new starts; running tasks are kept.
  virtual void removeLimit(std::string_view Customer) = 0;

  /// \returns nothing, or the reason why the job can never run.
  /// \param MaxLimit the most that the customer's limit can become here.
  virtual Result<void> checkFeasible(const JobSpec &Spec,
                                     const Capacity &MaxLimit) const = 0;
  /// Queues a job that passed checkFeasible() and is in the table.
  virtual void submit(const JobSpec &Spec) = 0;
  /// Queues a job of an earlier owner. None of its tasks starts until every VM
  /// listed so far is claimed or empty, since it may run on any of them.
  virtual void recover(const RecoveredJob &Job) = 0;
  virtual void cancel(std::string_view Job) = 0;

  virtual void taskStarted(const TaskAttempt &Task) = 0;
  /// The VM certainly did not start the task.
  virtual void startRefused(const TaskAttempt &Task) = 0;
  /// The task ended on its VM. \p Stopped means that it was stopped before its
  /// own end.
  virtual void taskEnded(const TaskAttempt &Task, bool Failed,
                         bool Stopped) = 0;
  /// What the task uses, as reported with a lag.
  virtual void usageReported(const TaskAttempt &Task, const Capacity &Used) = 0;

  /// Starts what can be started and handles what became due.
  virtual void schedule() = 0;
  /// \returns the commands since the last call, in order.
  virtual std::vector<Command> takeCommands() = 0;

  virtual std::optional<JobView> job(std::string_view Id) const = 0;
  virtual std::vector<JobView> jobs() const = 0;
  virtual std::vector<VmView> vms() const = 0;
  /// \returns what the customer holds in this domain.
  virtual Capacity held(std::string_view Customer) const = 0;
  /// \returns the size of all the customer's waiting tasks.
  virtual Capacity waitingSize(std::string_view Customer) const = 0;
  /// Whether all that runs on the listed VMs is known.
  virtual bool inventoriesKnown() const = 0;
};

/// \param Epoch the owner's epoch; attempts of a later epoch are larger.
/// \param MonotonicClock must outlive the scheduler.
std::unique_ptr<Scheduler> makeScheduler(const Clock &MonotonicClock,
                                         const SchedulerOptions &Options,
                                         std::int64_t Epoch);

} // namespace cuminroad

#endif
