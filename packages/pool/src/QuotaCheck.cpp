#include "cuminroad/pool/QuotaCheck.h"

#include <algorithm>

namespace cuminroad {

bool exceedsQuota(const JobPlan &Plan, const Capacity &Quota) {
  return std::any_of(
      Plan.Steps.begin(), Plan.Steps.end(), [&Quota](const StepPlan &Step) {
        const std::int64_t Tasks = Step.Gang ? Step.Tasks : 1;
        // The sum of a gang may exceed 64 bits.
        const auto Exceeds = [Tasks](std::int64_t Each, std::int64_t Limit) {
          return Each > Limit / Tasks;
        };
        return Exceeds(Step.PerTask.MilliCores, Quota.MilliCores) ||
               Exceeds(Step.PerTask.MemoryMb, Quota.MemoryMb) ||
               Exceeds(Step.PerTask.Accelerators, Quota.Accelerators);
      });
}

} // namespace cuminroad
