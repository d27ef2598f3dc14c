#ifndef CUMINROAD_SCHEDULING_TASKREF_H
#define CUMINROAD_SCHEDULING_TASKREF_H

#include <cstdint>
#include <string>
#include <tuple>

namespace cuminroad {

/// Identifies a task by its job and its index in the job.
struct TaskRef {
  std::string Job;
  int Index = 0;

  bool operator==(const TaskRef &) const = default;
  friend bool operator<(const TaskRef &Left, const TaskRef &Right) {
    return std::tie(Left.Job, Left.Index) < std::tie(Right.Job, Right.Index);
  }
};

/// One start of a task. Attempt numbers of a task only grow, also when the
/// failure domain gets another owner.
struct TaskAttempt {
  TaskRef Task;
  std::int64_t Attempt = 0;

  bool operator==(const TaskAttempt &) const = default;
  friend bool operator<(const TaskAttempt &Left, const TaskAttempt &Right) {
    return std::tie(Left.Task, Left.Attempt) <
           std::tie(Right.Task, Right.Attempt);
  }
};

} // namespace cuminroad

#endif
