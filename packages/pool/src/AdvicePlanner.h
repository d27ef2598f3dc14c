#ifndef CUMINROAD_POOL_SRC_ADVICEPLANNER_H
#define CUMINROAD_POOL_SRC_ADVICEPLANNER_H

#include <span>
#include <vector>

#include "WaitingSteps.h"
#include "cuminroad/pool/PoolOptions.h"

namespace cuminroad {

/// Decides which advice to request from the placement advisor. Which VMs are
/// allowed for a step never changes, but tickets expire. Advice for a step is
/// therefore requested once, early and for many VMs together; the tickets of
/// the most urgent steps are then renewed for the few VMs that may take their
/// next tasks.
class AdvicePlanner {
public:
  AdvicePlanner(PoolTables &Tables, const WaitingSteps &Waiting,
                const PoolOptions &Options, TimePoint Now)
      : Tables_(Tables), Waiting_(Waiting), Options_(Options), Now_(Now) {}

  void run();

private:
  /// A candidate VM for a request.
  struct RankedVm {
    /// VMs in quarantine, or that have just failed a run, are ranked last:
    /// little runs on them, so they would otherwise always have the most room.
    bool Avoided;
    /// Number of the step's tasks that fit.
    int FittingTasks;
    VmRecord *Vm;
  };

  /// Sorts by decreasing room, avoided VMs last.
  static void sortByRoom(std::vector<RankedVm> &Vms);
  /// Keeps the \p MaxVms VMs with the least room that together fit all
  /// \p Tasks, or those with the most room if no such VMs exist. This leaves
  /// empty VMs to steps that need whole VMs.
  static void keepTightest(std::vector<RankedVm> &Vms, int Tasks,
                           std::size_t MaxVms);
  /// Requests a step's first advice.
  void requestFirstAdvice(StepRecord &Step);
  /// Requests advice on further VMs with room, if the step has been blocked for
  /// PoolOptions::ExtendAdviceAfter.
  void requestFurtherVms(StepRecord &Step);
  /// \returns the VMs that may host the step and that no earlier request of the
  /// step named, most room first.
  std::vector<RankedVm> rankNewVms(const StepRecord &Step) const;
  bool isAvoided(const VmRecord &Vm) const;
  /// Requests new tickets if those of the VMs for the next tasks expire soon.
  /// \returns whether the step may be placed soon, so that it counts towards
  /// PoolOptions::MaxRenewedSteps.
  bool renewTickets(StepRecord &Step);
  /// \returns the VMs that are expected to have room for the step's next tasks
  /// when the advisor responds.
  std::vector<VmRecord *> vmsForNextTasks(const StepRecord &Step) const;
  /// \returns whether the step's dependencies are expected to be done by the
  /// time the advisor responds.
  bool isReadySoon(const StepRecord &Step) const;
  void requestAdvice(StepRecord &Step, std::span<VmRecord *const> Vms,
                     AdvicePurpose Purpose);
  /// \returns the expected latency of a call that names \p Vms VMs, in
  /// milliseconds.
  double expectedLatencyMs(const StepRecord &Step, std::size_t Vms) const;

  PoolTables &Tables_;
  const WaitingSteps &Waiting_;
  const PoolOptions &Options_;
  TimePoint Now_;
  int PendingExtensions_ = 0;
};

} // namespace cuminroad

#endif
