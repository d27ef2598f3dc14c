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

/// A job's row in the platform's table.
struct JobRow {
  JobSpec Spec;
  /// The name that the customer gave the job; empty without one.
  std::string Name;
  /// When the job was accepted, in milliseconds since the Unix epoch.
  std::int64_t AcceptedMs = 0;
  /// Indices of the tasks that ended, and whether each of them failed.
  std::map<int, bool> Ended;
  /// Indices of the tasks that must not run twice and whose start was recorded.
  std::set<int> RecordedStarts;
  bool Cancelled = false;
  /// Set once the job has finished.
  std::optional<JobOutcome> Outcome;
};

std::string_view jobOutcomeName(JobOutcome Outcome);
Result<JobRow> parseJobRow(const nlohmann::json &Input);
nlohmann::json toJson(const JobRow &Row);

} // namespace cuminroad

#endif
