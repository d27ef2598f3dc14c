#ifndef CUMINROAD_POOL_SRC_SCHEDULINGPASS_H
#define CUMINROAD_POOL_SRC_SCHEDULINGPASS_H

#include <optional>
#include <set>
#include <span>
#include <vector>

#include "UnmetNeeds.h"
#include "WaitingSteps.h"
#include "cuminroad/pool/PoolOptions.h"

namespace cuminroad {

/// One pass over all waiting steps: places the tasks that fit, in order of
/// urgency, and reserves VMs for the first steps that are blocked.
class SchedulingPass {
public:
  SchedulingPass(PoolTables &Tables, const WaitingSteps &Waiting,
                 const PoolOptions &Options, TimePoint Now)
      : Tables_(Tables), Waiting_(Waiting), Options_(Options), Now_(Now) {}

  void run();
  /// \returns an upper bound of any available VM's free capacity: the maximum
  /// in each dimension.
  const Capacity &largestFreeCapacity();

private:
  struct ScoredVm {
    /// Lower is better.
    double Score;
    VmRecord *Vm;
  };

  /// \returns whether the step can start if there is room: no member of a gang
  /// is on a VM.
  static bool isWhole(const StepRecord &Step) {
    return !Step.Plan->Gang || Step.WaitingTasks == Step.Plan->Tasks;
  }
  /// \returns whether a waiting task of the step may have crashed a VM.
  static bool hasWaitingSuspect(const StepRecord &Step);
  static bool isBeyondRate(const StepRecord &Step) {
    return Step.Occurrence->Job->BeyondRate;
  }
  /// Places what it can of a step, and handles it as blocked if there is no VM
  /// for the rest.
  void placeStep(StepRecord &Step);
  /// \returns whether it is known without a look at the VMs that none has room
  /// for the step.
  bool isKnownBlocked(const PlacementNeed &Need);
  /// \returns whether \p Need is met by the available VMs with the capacities
  /// that \p CapacityOf returns, nothing for a VM that can't be used.
  template <typename F>
  bool isMet(const PlacementNeed &Need, F CapacityOf) const;
  /// \returns whether the available VMs have room for \p Need, on trial or not.
  /// \p BeyondRate whether only unclaimed room counts.
  bool hasRoomFor(const PlacementNeed &Need, bool BeyondRate = false) const;
  /// \returns whether they would have no room for it if they were empty; false
  /// too if more such needs were found than can be remembered.
  bool isBeyondPool(const PlacementNeed &Need);
  /// Records since when the step is blocked and reserves VMs for it, within the
  /// limits of a pass.
  void handleBlocked(StepRecord &Step, const PlacementNeed &Need);
  /// Records that the quota of the step's account keeps it from starting.
  void handleBlockedByQuota(StepRecord &Step);
  void placeTasks(StepRecord &Step);
  void placeGang(StepRecord &Step);
  /// Chooses a VM for each member of a gang, from VMs with the label \p Rack,
  /// or from all VMs if it is "".
  /// \returns whether there is room for the whole gang.
  bool chooseGangVms(StepRecord &Step, std::string_view Rack,
                     std::vector<VmRecord *> &ChosenVms);
  /// \returns whether a step beyond the rate may start now as far as other jobs
  /// are concerned; if not, it is held back.
  bool admitBeyondRate(StepRecord &Step, const PlacementNeed &Need);
  /// \returns whether the capacity that stays free when \p Tasks tasks start
  /// covers what entitled work has recently used beyond its present use.
  bool leavesRecentPeak(const StepRecord &Step, std::int64_t Tasks);
  /// Keeps room that a waiting step within the rate could use free of jobs
  /// beyond the rate. \p Examined whether the step has had its turn.
  void claimRoom(const StepRecord &Step, const PlacementNeed &Need,
                 bool Examined);
  void holdBack(StepRecord &Step);
  /// Records the capacity that runs occupy which are not beyond the rate.
  void recordEntitledUse();
  /// \returns the free capacity of the VM that is left to jobs beyond the rate.
  static Capacity unclaimedRoom(const VmRecord &Vm) {
    return componentwiseMax(Vm.freeCapacity() - Vm.EntitledClaim, Capacity{});
  }
  /// \returns the free capacity of the VM that the step may use.
  static Capacity roomFor(const StepRecord &Step, const VmRecord &Vm) {
    return isBeyondRate(Step) ? unclaimedRoom(Vm) : Vm.freeCapacity();
  }
  /// \returns whether the largest free capacity may have become smaller with
  /// that of one VM.
  bool reducesMaximum(const Capacity &FreeBefore,
                      const Capacity &FreeNow) const;
  /// Visits the VMs that the step may use: those with a ticket that is valid
  /// for long enough, or all available VMs if the queue needs no advice.
  template <typename F>
  void forEachPermittedVm(const StepRecord &Step, F Visit) const;
  /// \returns whether an eligible VM has room for one more task of the step
  /// now.
  bool canPlaceTask(const StepRecord &Step, const VmRecord &Vm) const;
  /// \returns whether a start decided now is expected to reach the VM while its
  /// listed capacity is recent enough.
  bool hasValidCapacity(const VmRecord &Vm) const;
  /// \returns whether an earlier run of the task is on a VM and being stopped.
  bool hasOtherRun(const StepRecord &Step, int Index) const {
    return !TasksWithOtherRuns_.empty() &&
           TasksWithOtherRuns_.contains(TaskName{nameOf(Step), Index});
  }
  /// \returns whether that holds for any task of the step.
  bool hasOtherRunOf(const StepRecord &Step) const;
  /// \returns whether the VM may run tasks of the step, regardless of room.
  bool isEligible(const StepRecord &Step, const VmRecord &Vm) const;
  /// Places the step's tasks that may have crashed a VM, each on a VM without
  /// new runs of other jobs, so that another crash tells whether they did.
  void placeCrashSuspects(StepRecord &Step);
  /// Keeps the VMs chosen for a gang free of other new runs, so that a member
  /// that may have crashed a VM can be tried on them.
  /// \returns whether they are free already.
  bool reserveForTrial(const StepRecord &Step,
                       std::span<VmRecord *const> Vms) const;
  /// \returns whether new runs of other jobs are on the VM.
  bool hasOtherNewRuns(const StepRecord &Step, const VmRecord &Vm) const;
  /// \returns whether the VM must not get tasks of the step, since a task that
  /// may have crashed a VM is tried on it or will be.
  bool isOnTrial(const StepRecord &Step, const VmRecord &Vm) const;
  /// \returns whether the step may probe a VM in quarantine.
  bool mayProbe(const StepRecord &Step, const VmRecord &Vm) const;
  /// \returns whether a reservation of the VM, if any, admits one of the tasks.
  bool reservationAllows(const PlacementNeed &Need, const VmRecord &Vm) const;
  /// \returns the score of placing a task of the step on the VM; lower is
  /// better.
  double score(const StepRecord &Step, const VmRecord &Vm) const;
  void startRun(TaskRecord &Task, VmRecord &Vm, std::int64_t Run);
  /// Reserves VMs for a blocked step from the earliest time at which they are
  /// expected to have room for it.
  void reserveVms(StepRecord &Step, const PlacementNeed &Need);
  /// Adds a blocked step to the diagnostics, at increasing intervals.
  void reportBlocked(StepRecord &Step);
  /// \returns whether the next log entry for a step that has been blocked for
  /// \p Waited is due.
  static bool isReportDue(StepRecord &Step, milliseconds Waited);
  /// \returns how many more tasks of the step the VM is expected to have room
  /// for at \p When.
  int countFitsAt(const StepRecord &Step, const VmRecord &Vm,
                  TimePoint When) const;

  PoolTables &Tables_;
  const WaitingSteps &Waiting_;
  const PoolOptions &Options_;
  TimePoint Now_;
  /// VMs that accept work and are not in quarantine or may be probed.
  std::vector<VmRecord *> AvailableVms_;
  /// Tasks of which a run that is not current is on a VM.
  std::set<TaskName> TasksWithOtherRuns_;
  /// Cached result of largestFreeCapacity(); placing a task on a VM with the
  /// largest free capacity invalidates it.
  Capacity LargestFree_;
  bool LargestFreeKnown_ = false;
  /// Steps with reserved VMs, and steps for which VMs were looked for.
  int ReservationCount_ = 0;
  int ReservationAttempts_ = 0;
  /// Whether steps beyond the rate wait. They come after all others.
  bool AnyBeyondRate_ = false;
  /// Free capacity of the available VMs, once all steps within the rate have
  /// had their turn.
  std::optional<Capacity> SpareCapacity_;
  /// Capacity that runs occupy which are not beyond the rate.
  Capacity EntitledUse_;
  /// What entitled work used more than now within the window that was last
  /// asked for.
  Capacity KeptFree_;
  milliseconds PeakWindow_{0};
  /// Steps with advice for which room is kept free.
  int AdvisedClaims_ = 0;
  /// Steps for which room is kept free, without those that need advice.
  std::vector<PlacementNeed> ClaimedNeeds_;
  /// There is no room for these that isn't claimed.
  UnmetNeeds NeedsHeldBack_;
  /// Blocked steps until now.
  int BlockedSteps_ = 0;
  /// No available VMs have room for these.
  UnmetNeeds NeedsWithoutRoom_;
  /// They would not have if they were empty.
  UnmetNeeds NeedsBeyondPool_;
  /// No VMs that could be reserved are expected to have room for these.
  UnmetNeeds NeedsWithoutForecast_;
};

template <typename F>
void SchedulingPass::forEachPermittedVm(const StepRecord &Step, F Visit) const {
  if (!Step.Occurrence->Job->Terms.Advice) {
    for (VmRecord *Vm : AvailableVms_)
      Visit(*Vm);
    return;
  }
  for (const auto &[Vm, Ticket] : Step.AllowedVms)
    if (Ticket.VmIncarnation == Vm->Description.Incarnation &&
        Ticket.ValidUntil > Now_ + Options_.TicketMargin + Options_.StartDelay)
      Visit(*Vm);
}

} // namespace cuminroad

#endif
