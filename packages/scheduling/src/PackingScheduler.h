#ifndef CUMINROAD_SCHEDULING_SRC_PACKINGSCHEDULER_H
#define CUMINROAD_SCHEDULING_SRC_PACKINGSCHEDULER_H

#include <map>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "CustomerState.h"
#include "FreedVmLog.h"
#include "JobState.h"
#include "VmState.h"
#include "cuminroad/scheduling/Scheduler.h"

namespace cuminroad {

/// The scheduler that the daemon runs. PackingScheduler.cpp handles events,
/// SchedulingPass.cpp places waiting tasks, SchedulerTables.cpp maintains the
/// tables of VMs, customers and jobs, and SchedulerViews.cpp implements the
/// queries.
class PackingScheduler final : public Scheduler {
public:
  PackingScheduler(const Clock &MonotonicClock, const SchedulerOptions &Options,
                   std::int64_t Epoch);

  void listVm(const VmSpec &Spec) override;
  void vmClaimed(std::string_view Vm,
                 std::span<const InventoryTask> Inventory) override;
  void vmLeaving(std::string_view Vm) override;
  void vmTasksEnded(std::string_view Vm, bool Permanently) override;
  void setLimit(std::string_view Customer, const ContractTerms &Terms) override;
  void removeLimit(std::string_view Customer) override;
  Result<void> checkFeasible(const JobSpec &Spec,
                             const Capacity &MaxLimit) const override;
  void submit(const JobSpec &Spec) override;
  void recover(const RecoveredJob &Job) override;
  void cancel(std::string_view Job) override;
  void taskStarted(const TaskAttempt &Task) override;
  void startRefused(const TaskAttempt &Task) override;
  void taskEnded(const TaskAttempt &Task, bool Failed, bool Stopped) override;
  void usageReported(const TaskAttempt &Task, const Capacity &Used) override;
  void schedule() override;
  std::vector<Command> takeCommands() override;
  std::optional<JobView> job(std::string_view Id) const override;
  std::vector<JobView> jobs() const override;
  std::vector<VmView> vms() const override;
  Capacity held(std::string_view Customer) const override;
  Capacity waitingSize(std::string_view Customer) const override;
  bool inventoriesKnown() const override {
    return VmsAwaitingInventory_.empty();
  }

private:
  /// A task that a VM reports but that is not the current attempt of a known
  /// job's task. It is being stopped and keeps its capacity until its end is
  /// certain.
  struct UnknownTask {
    int Vm;
    Capacity HeldCapacity;
  };
  /// Sorts customers by class (see CustomerClass), then by dominant share, then
  /// by the time by which the first job in the queue must start.
  using CustomerOrderKey = std::tuple<int, double, TimePoint>;

  // SchedulerTables.cpp
  VmState *findVm(std::string_view Id);
  int vmIndex(std::string_view Id) const;
  int customerIndex(std::string_view Name);
  int newJob(const JobSpec &Spec, milliseconds Age);
  JobState *findJob(std::string_view Id);
  /// \returns the task whose current attempt is \p Task, or null; sets
  /// \p Handle if found.
  TaskState *findTask(const TaskAttempt &Task, TaskHandle &Handle);
  /// Takes \p Size from the VM's free capacity and from the customer's limit.
  void allocate(TaskHandle Handle, int Vm, const Capacity &Size,
                TaskPhase Phase);
  /// Returns what allocate() took.
  void deallocate(TaskHandle Handle);
  /// Calls deallocate() and makes the freed capacity available to other tasks.
  void releaseCapacity(TaskHandle Handle);
  /// Lets blocked jobs try the VM again and starts its tasks that wait for
  /// preemption.
  void onCapacityFreed(int Vm);
  void requeue(TaskHandle Handle);
  void enqueue(int Job);
  void dequeue(int Job);
  void markTaskEnded(TaskHandle Handle, bool Failed);
  void markTaskLost(TaskHandle Handle);
  /// Requeues a restartable task and marks any other as lost. A task of a
  /// cancelled job ends.
  void requeueOrLose(TaskHandle Handle);
  /// Stops and requeues the tasks of a restartable gang; does nothing for other
  /// jobs.
  void restartGang(int Job);
  void stopTask(TaskHandle Handle, bool Requeue, bool Checkpoint);
  void endJobIfDone(int Job);
  void markInventoryKnown(VmState &Vm);
  /// Ends the recovery of an earlier owner's jobs once the inventory of every
  /// VM is known.
  void finishRecovery();
  /// \returns what the customer may still allocate.
  Capacity headroom(const CustomerState &Customer) const;
  /// \returns the total capacity of the VMs whose inventory isn't known yet.
  Capacity capacityAwaitingInventory() const;

  // PackingScheduler.cpp
  /// Tracks a task of a VM's inventory. Stops it if it is neither a current
  /// attempt nor a task of a job in recovery.
  void adoptTask(int Vm, const InventoryTask &Entry);
  /// Releases the VM's tasks that its inventory doesn't list; they are requeued
  /// or marked as lost.
  void removeAbsentTasks(int Vm, std::span<const InventoryTask> Inventory);
  /// Handles the end of an attempt that was presumed lost, because its VM's
  /// lease lapsed or because an earlier owner started it. The task counts as
  /// ended, and a later attempt is stopped.
  /// \returns whether \p Task was such an attempt.
  bool endEarlierAttempt(const TaskAttempt &Task, bool Failed);
  void recordVmFailure(int Vm);
  void recordVmSuccess(int Vm);
  /// Raises the memory allocated to a task to what it uses, or stops the task
  /// if that doesn't fit.
  void growTaskMemory(TaskHandle Handle, const Capacity &Used);

  // SchedulingPass.cpp
  void expireQuarantines();
  /// Ends the probation of VMs on which a task has run long enough not to count
  /// as an early failure.
  void endProbations();
  void expireReservation();
  void clearReservation();
  void startAfterPreemption(int Vm);
  CustomerOrderKey customerOrderKey(const CustomerState &Customer) const;
  /// Places one task or one gang: of the first job that can be placed among the
  /// first BackfillDepth jobs in the customer's queue.
  /// \returns whether one was placed.
  bool placeFromQueue(CustomerState &Customer);
  bool placeJob(int Job);
  bool placeOneTask(int Job);
  bool placeGang(int Job);
  /// Allocates capacity for an urgent task and stops checkpointable tasks on
  /// that VM; the urgent task starts when they have stopped.
  bool placeByPreemption(int Job);
  void markBlocked(JobState &Job, WaitReason Reason);
  /// Reserves VMs for a job that has been blocked for too long.
  void reserveIfDue(int Job);
  bool canPlaceOn(const VmState &Vm, int Job) const;
  /// \param CandidateVms the VMs to consider, or nothing for all.
  /// \returns the index of the best VM for a task of the job, or -1.
  int chooseVm(int Job, std::optional<std::span<const int>> CandidateVms);
  void issueStart(TaskHandle Handle);

  const Clock &MonotonicClock_;
  SchedulerOptions Options_;
  std::int64_t NextAttempt_;
  std::minstd_rand Random_;
  std::vector<VmState> Vms_;
  std::unordered_map<std::string, int> VmIndex_;
  std::vector<CustomerState> Customers_;
  std::unordered_map<std::string, int> CustomerIndex_;
  std::vector<JobState> Jobs_;
  /// Indices of unused entries of Jobs_.
  std::vector<int> FreeJobSlots_;
  std::unordered_map<std::string, int> JobIndex_;
  std::map<TaskAttempt, UnknownTask> UnknownTasks_;
  /// VMs on which tasks may run that this owner doesn't know yet.
  std::set<int> VmsAwaitingInventory_;
  /// Tasks whose start an earlier owner recorded, by job, until recovery ends.
  std::map<int, std::set<int>> RecordedStarts_;
  FreedVmLog FreedVms_;
  /// The job for which VMs are reserved, or -1.
  int ReservedJob_ = -1;
  TimePoint ReservationEnds_{};
  /// When to check quarantines and probations next.
  TimePoint NextQuarantineCheck_ = TimePoint::max();
  std::vector<Command> Commands_;
  /// Buffer of chooseVm(), kept to avoid allocations.
  std::vector<int> Candidates_;
};

} // namespace cuminroad

#endif
