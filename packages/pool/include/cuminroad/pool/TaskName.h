#ifndef CUMINROAD_POOL_TASKNAME_H
#define CUMINROAD_POOL_TASKNAME_H

#include <compare>
#include <string>

namespace cuminroad {

/// Names one step of one occurrence of a job.
struct StepName {
  std::string Job;
  /// 0 for a job that runs once.
  int Occurrence = 0;
  int Step = 0;

  auto operator<=>(const StepName &) const = default;
};

/// Names one task of a step.
struct TaskName {
  StepName Step;
  int Index = 0;

  auto operator<=>(const TaskName &) const = default;
};

/// One run of a task. Runs are numbered from 1 and only rise, also over
/// changes of the pool's owner.
struct TaskRun {
  TaskName Task;
  std::int64_t Number = 0;

  auto operator<=>(const TaskRun &) const = default;
};

} // namespace cuminroad

#endif
