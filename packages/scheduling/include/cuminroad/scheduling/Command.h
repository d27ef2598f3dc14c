#ifndef CUMINROAD_SCHEDULING_COMMAND_H
#define CUMINROAD_SCHEDULING_COMMAND_H

#include <string>
#include <variant>

#include "cuminroad/base/Clock.h"
#include "cuminroad/contract/Capacity.h"
#include "cuminroad/scheduling/TaskRef.h"

namespace cuminroad {

/// Starts a task on a VM.
struct StartTask {
  std::string Vm;
  TaskAttempt Task;
  Capacity Size;
  /// Declared run time; 0 for tasks that run until cancelled.
  milliseconds Duration{0};
  /// The start must be persisted before it is sent, since the task may never
  /// run twice.
  bool RecordBeforeStart = false;
};

/// Stops a task, after a checkpoint if \c Checkpoint is set.
struct StopTask {
  std::string Vm;
  TaskAttempt Task;
  bool Checkpoint = false;
};

/// Limits a task to the processors that it declared.
struct ThrottleTask {
  std::string Vm;
  TaskAttempt Task;
  std::int64_t MilliCores = 0;
};

/// How a job ended.
enum class JobOutcome {
  /// Every task ended with exit code 0.
  Done,
  /// At least one task ended with another exit code.
  Failed,
  Cancelled,
  /// At least one task that may not run twice was lost.
  Unknown,
};

/// Reports that all tasks of a job have ended or are lost.
struct EndJob {
  std::string Job;
  JobOutcome Outcome;
};

/// A decision of the scheduler, to be carried out by its caller.
using Command = std::variant<StartTask, StopTask, ThrottleTask, EndJob>;

} // namespace cuminroad

#endif
