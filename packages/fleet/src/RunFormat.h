#ifndef CUMINROAD_FLEET_SRC_RUNFORMAT_H
#define CUMINROAD_FLEET_SRC_RUNFORMAT_H

#include <string>
#include <string_view>

#include "cuminroad/pool/PoolVm.h"

namespace cuminroad {

/// \returns JOB.OCCURRENCE.STEP.TASK#RUN, as log lines name a run.
std::string formatRun(const TaskRun &Run);
/// \returns the word of log lines and metrics for how a run ended.
std::string_view runEndName(RunEnd How);

} // namespace cuminroad

#endif
