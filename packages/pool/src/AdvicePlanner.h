#ifndef CUMINROAD_POOL_SRC_ADVICEPLANNER_H
#define CUMINROAD_POOL_SRC_ADVICEPLANNER_H

#include <map>
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
  /// \param LargestFree no VM outside of quarantine has more free capacity in
  /// any dimension.
  AdvicePlanner(PoolTables &Tables, const WaitingSteps &Waiting,
                const PoolOptions &Options, TimePoint Now,
                const Capacity &LargestFree)
      : Tables_(Tables), Waiting_(Waiting), Options_(Options), Now_(Now),
        LargestFree_(LargestFree) {}

  void run();

private:
  /// Requests advice on VMs that no earlier request of the step named.
  void requestAdviceOnNewVms(StepRecord &Step);
  /// Requests new tickets if those of the VMs for the next tasks expire soon.
  /// \returns whether the step may be placed soon, so that it counts towards
  /// PoolOptions::MaxRenewedSteps.
  bool renewTickets(StepRecord &Step);
  /// \returns the VMs that are expected to have room for the step's next tasks
  /// when the advisor responds.
  std::vector<VmRecord *> vmsForNextTasks(const StepRecord &Step);
  /// \returns VMs that have room for the whole gang now, beside the gangs ahead
  /// of it; none if there are not enough.
  std::vector<VmRecord *> vmsWithRoomForGang(const StepRecord &Step);
  /// \returns whether the step's dependencies are expected to be done by the
  /// time the advisor responds.
  bool isReadySoon(const StepRecord &Step) const;
  void requestAdvice(StepRecord &Step, std::vector<std::string> Vms,
                     bool Renewal);
  /// \returns the expected latency of a call that names \p Vms VMs, in
  /// milliseconds.
  double expectedLatencyMs(const StepRecord &Step, std::size_t Vms) const;

  PoolTables &Tables_;
  const WaitingSteps &Waiting_;
  const PoolOptions &Options_;
  TimePoint Now_;
  Capacity LargestFree_;
  /// Capacity of VMs whose tickets are renewed for gangs without reserved VMs.
  std::map<const VmRecord *, Capacity> Claimed_;
};

} // namespace cuminroad

#endif
