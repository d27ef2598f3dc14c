#ifndef CUMINROAD_DAEMON_JOBROW_H
#define CUMINROAD_DAEMON_JOBROW_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "cuminroad/base/Error.h"
#include "cuminroad/scheduling/Command.h"
#include "cuminroad/scheduling/JobSpec.h"

namespace cuminroad {

/// What the table holds of a job.
struct JobRow {
  JobSpec Spec;
  /// The customer's own name for the job; "" without one.
  std::string Name;
  /// Wall-clock milliseconds since the epoch.
  std::int64_t AcceptedMs = 0;
  /// Tasks that ended, with whether they failed.
  std::map<int, bool> Ended;
  /// Starts of tasks that may not run twice.
  std::set<int> RecordedStarts;
  bool Cancelled = false;
  std::optional<JobOutcome> Outcome;
};

std::string_view jobOutcomeName(JobOutcome Outcome);
Result<JobRow> parseJobRow(const nlohmann::json &Input);
nlohmann::json toJson(const JobRow &Row);

} // namespace cuminroad

#endif
