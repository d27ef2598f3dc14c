#ifndef CUMINROAD_POOL_JOBPLAN_H
#define CUMINROAD_POOL_JOBPLAN_H

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "cuminroad/base/Error.h"
#include "cuminroad/pool/StepPlan.h"

namespace cuminroad {

/// What a caller submits to a queue.
struct JobPlan {
  std::string Id;
  /// Passed to the VMs as it came.
  std::string Spec;
  std::vector<StepPlan> Steps;
  /// How often the steps run at set times; 0 for a job that runs once, now.
  int Occurrences = 0;
  /// Wall-clock time of the first occurrence, since 1970.
  milliseconds FirstDue{0};
  milliseconds Interval{0};

  bool isLongRunning() const;
};

/// Checks what no parser of a single field can: steps refer to earlier steps
/// only, and counts are positive.
Result<void> checkPlan(const JobPlan &Plan);

nlohmann::json toJson(const JobPlan &Plan);
/// Reads what toJson() wrote.
Result<JobPlan> jobPlanFromJson(const nlohmann::json &Input);

} // namespace cuminroad

#endif
