#ifndef CUMINROAD_POOL_TASKNAME_H
#define CUMINROAD_POOL_TASKNAME_H

#include <cstdint>
#include <string>
#include <tuple>

namespace cuminroad {

/// Identifies a step of an occurrence of a job.
struct StepName {
  std::string Job;
  /// Number of the occurrence; 0 for a job that runs once.
  int Occurrence = 0;
  int Step = 0;

  bool operator==(const StepName &) const = default;
  friend bool operator<(const StepName &Left, const StepName &Right) {
    return std::tie(Left.Job, Left.Occurrence, Left.Step) <
           std::tie(Right.Job, Right.Occurrence, Right.Step);
  }
};

/// Identifies a task of a step.
struct TaskName {
  StepName Step;
  int Index = 0;

  bool operator==(const TaskName &) const = default;
  friend bool operator<(const TaskName &Left, const TaskName &Right) {
    return std::tie(Left.Step, Left.Index) < std::tie(Right.Step, Right.Index);
  }
};

/// Identifies a run of a task. Run numbers start at 1 and only increase, also
/// across changes of the pool's owner.
struct TaskRun {
  TaskName Task;
  std::int64_t Number = 0;

  bool operator==(const TaskRun &) const = default;
  friend bool operator<(const TaskRun &Left, const TaskRun &Right) {
    return std::tie(Left.Task, Left.Number) <
           std::tie(Right.Task, Right.Number);
  }
};

} // namespace cuminroad

#endif
