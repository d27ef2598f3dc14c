#ifndef CUMINROAD_POOL_SRC_CRASHATTRIBUTION_H
#define CUMINROAD_POOL_SRC_CRASHATTRIBUTION_H

#include <span>
#include <vector>

#include "PoolTables.h"
#include "cuminroad/pool/PoolOptions.h"

namespace cuminroad {

/// Which runs may have crashed a VM.
struct CrashVerdict {
  std::vector<TaskRecord *> Suspects;
  /// Some of the suspects' runs were new.
  bool NewRuns = false;
  /// The suspects are new runs of a single job, and there is no other known
  /// cause.
  bool Conclusive = false;
  /// Many VMs became unreachable at the same time.
  bool CommonCause = false;
};

/// Attributes the crash of a VM to some of the runs lost with it. A task that
/// crashes VMs does so soon after its start, so that the new runs are
/// suspected first.
CrashVerdict attributeCrash(const PoolTables &Tables, const VmRecord &Vm,
                            std::span<TaskRecord *const> Lost,
                            const PoolOptions &Options, TimePoint Now);

} // namespace cuminroad

#endif
