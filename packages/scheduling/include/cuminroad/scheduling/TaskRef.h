#ifndef CUMINROAD_SCHEDULING_TASKREF_H
#define CUMINROAD_SCHEDULING_TASKREF_H

#include <compare>
#include <cstdint>
#include <string>

namespace cuminroad {

/// Names one task of a job.
struct TaskRef {
  std::string Job;
  int Index = 0;

  auto operator<=>(const TaskRef &) const = default;
};

/// One start of a task. Attempts of one task only rise, also over changes of
/// the domain's owner.
struct TaskAttempt {
  TaskRef Task;
  std::int64_t Attempt = 0;

  auto operator<=>(const TaskAttempt &) const = default;
};

} // namespace cuminroad

#endif
