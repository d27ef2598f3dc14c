#ifndef CUMINROAD_POOL_STEPONVM_H
#define CUMINROAD_POOL_STEPONVM_H

#include <cstdint>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/pool/TaskName.h"

namespace cuminroad {

/// What the scheduler knew of a VM when it placed a task there whose step has a
/// limit per VM.
struct StepOnVm {
  /// StepPlan::MaxPerVm.
  int Limit = 0;
  /// The runs of the step that counted towards the limit, without the new one.
  std::vector<TaskRun> Runs;
  /// Those that counted although they are not current.
  std::vector<TaskRun> UnknownRuns;
  /// The VM's incarnation in its last report, and when that arrived.
  std::int64_t VmIncarnation = 0;
  TimePoint ReportedAt{};
  TimePoint DecidedAt{};
};

} // namespace cuminroad

#endif
