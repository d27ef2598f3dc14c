#ifndef CUMINROAD_POOL_QUOTACHECK_H
#define CUMINROAD_POOL_QUOTACHECK_H

#include "cuminroad/pool/JobPlan.h"

namespace cuminroad {

/// \returns whether a task or a gang of the job is larger than the whole quota,
/// so that the job could never be completed within it.
bool exceedsQuota(const JobPlan &Plan, const Capacity &Quota);

} // namespace cuminroad

#endif
