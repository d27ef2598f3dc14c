#include "PlacementNeed.h"

#include "PoolTables.h"

namespace cuminroad {

PlacementNeed needOf(const StepPlan &Plan) {
  PlacementNeed Out;
  Out.PerTask = Plan.reservedCapacity();
  Out.RequiredLabel = Plan.RequiredLabel;
  Out.RunTime = Plan.LongRunning ? milliseconds::max() : Plan.Estimate;
  if (Plan.Gang) {
    Out.Tasks = Plan.Tasks;
    Out.MaxPerVm = Plan.MaxPerVm > 0 ? Plan.MaxPerVm : Plan.Tasks;
  }
  return Out;
}

PlacementNeed needOf(const StepRecord &Step) {
  PlacementNeed Out = needOf(*Step.Plan);
  if (!Step.Plan->LongRunning)
    Out.RunTime = predictedRunTime(Step);
  return Out;
}

bool isAtLeastAsHard(const PlacementNeed &Harder, const PlacementNeed &Easier) {
  // A limit per VM that is not below the number of tasks limits nothing.
  return Easier.PerTask.fitsIn(Harder.PerTask) &&
         Easier.Tasks <= Harder.Tasks &&
         (Easier.MaxPerVm >= Harder.MaxPerVm ||
          Easier.MaxPerVm >= Easier.Tasks) &&
         (Easier.RequiredLabel.empty() ||
          Easier.RequiredLabel == Harder.RequiredLabel) &&
         Easier.RunTime <= Harder.RunTime;
}

} // namespace cuminroad
