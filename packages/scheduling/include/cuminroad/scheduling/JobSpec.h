#ifndef CUMINROAD_SCHEDULING_JOBSPEC_H
#define CUMINROAD_SCHEDULING_JOBSPEC_H

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "cuminroad/base/Clock.h"
#include "cuminroad/base/Error.h"
#include "cuminroad/contract/Capacity.h"

namespace cuminroad {

/// How the tasks of a job are placed.
enum class JobKind {
  /// Long-running; tasks are spread over racks.
  Service,
  /// Tasks are independent and packed tightly.
  Batch,
  /// All tasks start together, or none starts.
  Gang,
};

/// A job as a caller submits it.
struct JobSpec {
  std::string Id;
  std::string Customer;
  JobKind Kind = JobKind::Batch;
  int Tasks = 1;
  Capacity PerTask;
  /// Declared run time of a task; 0 for tasks that run until cancelled.
  milliseconds Duration{0};
  /// Whether a task whose VM was lost may be started again from the beginning.
  bool Restartable = true;
  /// Whether a task may be checkpointed and stopped to make room for urgent
  /// ones.
  bool Checkpointable = false;
};

/// \returns the name of \p Kind in JSON.
std::string_view jobKindName(JobKind Kind);

/// Parses a submitted job and checks the type and range of every field.
Result<JobSpec> parseJobSpec(const nlohmann::json &Input);
nlohmann::json toJson(const JobSpec &Spec);

} // namespace cuminroad

#endif
