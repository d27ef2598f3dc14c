#ifndef CUMINROAD_POOL_SRC_ADVICEPLANNER_H
#define CUMINROAD_POOL_SRC_ADVICEPLANNER_H

#include "WaitingSteps.h"
#include "cuminroad/pool/PoolOptions.h"

namespace cuminroad {

/// Decides what to ask the placement advisor. Which VMs are good for a step
/// never changes, but tickets age: so a step's VMs are asked about once, all
/// together and early, and the tickets of steps near the front of the queue
/// are renewed for the few VMs that may take their next tasks.
class AdvicePlanner {
public:
  AdvicePlanner(PoolTables &Tables, const WaitingSteps &Waiting,
                const PoolOptions &Options, TimePoint Now)
      : Tables_(Tables), Waiting_(Waiting), Options_(Options), Now_(Now) {}

  void run();

private:
  void requestAdviceOnNewVms(StepRecord &Step);
  /// \returns whether the step may get VMs soon, so that its tickets count.
  bool renewTickets(StepRecord &Step);
  /// The VMs that are expected to take the step's next tasks when an answer
  /// comes.
  std::vector<VmRecord *> vmsForNextTasks(const StepRecord &Step) const;
  bool isReadySoon(const StepRecord &Step) const;
  void requestAdvice(StepRecord &Step, std::vector<std::string> Vms,
                     bool Renewal);
  double expectedLatencyMs(const StepRecord &Step, std::size_t Vms) const;

  PoolTables &Tables_;
  const WaitingSteps &Waiting_;
  const PoolOptions &Options_;
  TimePoint Now_;
};

} // namespace cuminroad

#endif
