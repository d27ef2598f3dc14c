#ifndef CUMINROAD_FLEET_SRC_RUNFORMAT_H
#define CUMINROAD_FLEET_SRC_RUNFORMAT_H

#include <string>
#include <string_view>

#include "cuminroad/pool/PoolVm.h"

namespace cuminroad {

/// \returns JOB.OCCURRENCE.STEP.TASK#RUN, the form of a run in the event log.
std::string formatRun(const TaskRun &Run);
/// \returns the name in the event log and in metrics of how a run ended.
std::string_view runOutcomeName(RunOutcome Outcome);

} // namespace cuminroad

#endif
