#ifndef CUMINROAD_POOL_JOBPLAN_H
#define CUMINROAD_POOL_JOBPLAN_H

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "cuminroad/base/Error.h"
#include "cuminroad/pool/StepPlan.h"

namespace cuminroad {

/// A job as a client submits it to a queue.
struct JobPlan {
  std::string Id;
  /// The client account whose key the job was submitted with; "" if none.
  std::string Account;
  /// Opaque to the scheduler; passed to the VMs unchanged.
  std::string Spec;
  std::vector<StepPlan> Steps;
  /// Number of scheduled occurrences of the steps; 0 for a job that runs once,
  /// immediately.
  int Occurrences = 0;
  /// Wall-clock time of the first occurrence, since the Unix epoch.
  milliseconds FirstDue{0};
  /// Time from one occurrence to the next.
  milliseconds Interval{0};

  /// \returns whether any step is long-running, so that the job runs until it
  /// is cancelled.
  bool isLongRunning() const;
};

/// Validates constraints across fields: steps depend on earlier steps only, and
/// all numbers are within their bounds.
Result<void> checkPlan(const JobPlan &Plan);

nlohmann::json toJson(const JobPlan &Plan);
/// Parses the output of toJson().
Result<JobPlan> jobPlanFromJson(const nlohmann::json &Input);

} // namespace cuminroad

#endif
