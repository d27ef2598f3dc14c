#ifndef CUMINROAD_POOL_SRC_SCHEDULINGPASS_H
#define CUMINROAD_POOL_SRC_SCHEDULINGPASS_H

#include <vector>

#include "WaitingSteps.h"
#include "cuminroad/pool/PoolOptions.h"

namespace cuminroad {

/// One look at all steps that wait: places what fits, in order of urgency, and
/// reserves VMs for the first ones that do not.
class SchedulingPass {
public:
  SchedulingPass(PoolTables &Tables, const WaitingSteps &Waiting,
                 const PoolOptions &Options, TimePoint Now)
      : Tables_(Tables), Waiting_(Waiting), Options_(Options), Now_(Now) {}

  void run();

private:
  struct ScoredVm {
    /// Lower is better.
    double Score;
    VmRecord *Vm;
  };

  void placeStep(StepRecord &Step);
  void placeTasks(StepRecord &Step);
  void placeGang(StepRecord &Step);
  bool chooseGangVms(StepRecord &Step, std::string_view Rack,
                     std::vector<VmRecord *> &ChosenVms);
  /// The most room in each part that any open VM has.
  const Capacity &largestFreeCapacity();
  /// Visits the open VMs that may run the step and, where it needs one, have a
  /// ticket that holds long enough.
  template <typename F>
  void forEachAvailableVm(const StepRecord &Step, F Visit) const;
  /// Whether one more task of the step may go to the VM now.
  bool canPlaceTask(const StepRecord &Step, const VmRecord &Vm) const;
  /// Whether the VM may run tasks of the step at all, room aside.
  bool isEligible(const StepRecord &Step, const VmRecord &Vm) const;
  /// Whether work of this length may use a reserved VM.
  /// Whether the step may try the VM though it is in quarantine.
  bool mayProbe(const StepRecord &Step, const VmRecord &Vm) const;
  bool reservationAllows(const StepRecord &Step, const VmRecord &Vm) const;
  double score(const StepRecord &Step, const VmRecord &Vm) const;
  void startRun(TaskRecord &Task, VmRecord &Vm, std::int64_t Run);
  void reserveVms(StepRecord &Step);
  void reportBlocked(StepRecord &Step);
  int countFitsAt(const StepRecord &Step, const VmRecord &Vm,
                  TimePoint When) const;

  PoolTables &Tables_;
  const WaitingSteps &Waiting_;
  const PoolOptions &Options_;
  TimePoint Now_;
  /// VMs that take work.
  std::vector<VmRecord *> AvailableVms_;
  Capacity LargestFree_;
  bool LargestFreeKnown_ = false;
  int ReservationCount_ = 0;
};

} // namespace cuminroad

#endif
