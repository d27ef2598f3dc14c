#ifndef CUMINROAD_SCHEDULING_COMMAND_H
#define CUMINROAD_SCHEDULING_COMMAND_H

#include <string>
#include <variant>

#include "cuminroad/base/Clock.h"
#include "cuminroad/contract/Capacity.h"
#include "cuminroad/scheduling/TaskRef.h"

namespace cuminroad {

/// Start a task on a VM.
struct StartTask {
  std::string Vm;
  TaskAttempt Task;
  Capacity Size;
  milliseconds Duration{0};
  /// The start must be in the table before it is sent, since the task may
  /// never run twice.
  bool RecordBeforeStart = false;
};

/// Stop a task, after a checkpoint where asked for.
struct StopTask {
  std::string Vm;
  TaskAttempt Task;
  bool Checkpoint = false;
};

/// Hold a task to the processors that it declared.
struct ThrottleTask {
  std::string Vm;
  TaskAttempt Task;
  std::int64_t MilliCores = 0;
};

/// How a job came to its end.
enum class JobOutcome {
  /// Every task ran to its end with exit code 0.
  Done,
  /// At least one task ended with another exit code.
  Failed,
  Cancelled,
  /// At least one task that may not run twice was lost.
  Unknown,
};

/// All tasks of a job have ended.
struct EndJob {
  std::string Job;
  JobOutcome Outcome;
};

/// What the scheduler wants done.
using Command = std::variant<StartTask, StopTask, ThrottleTask, EndJob>;

} // namespace cuminroad

#endif
