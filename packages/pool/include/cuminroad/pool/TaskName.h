#ifndef CUMINROAD_POOL_TASKNAME_H
#define CUMINROAD_POOL_TASKNAME_H

#include <cstdint>
#include <string>
#include <tuple>

namespace cuminroad {

/// Names one step of one occurrence of a job.
struct StepName {
  std::string Job;
  /// 0 for a job that runs once.
  int Occurrence = 0;
  int Step = 0;

  bool operator==(const StepName &) const = default;
  friend bool operator<(const StepName &Left, const StepName &Right) {
    return std::tie(Left.Job, Left.Occurrence, Left.Step) <
           std::tie(Right.Job, Right.Occurrence, Right.Step);
  }
};

/// Names one task of a step.
struct TaskName {
  StepName Step;
  int Index = 0;

  bool operator==(const TaskName &) const = default;
  friend bool operator<(const TaskName &Left, const TaskName &Right) {
    return std::tie(Left.Step, Left.Index) < std::tie(Right.Step, Right.Index);
  }
};

/// One run of a task. Runs are numbered from 1 and only rise, also over
/// changes of the pool's owner.
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
