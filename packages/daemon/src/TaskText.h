#ifndef CUMINROAD_DAEMON_SRC_TASKTEXT_H
#define CUMINROAD_DAEMON_SRC_TASKTEXT_H

#include <string>

#include "cuminroad/scheduling/TaskRef.h"

namespace cuminroad {

/// \returns the subject of a task's log events, "JOB/INDEX".
inline std::string taskText(const TaskAttempt &Task) {
  return Task.Task.Job + "/" + std::to_string(Task.Task.Index);
}

} // namespace cuminroad

#endif
