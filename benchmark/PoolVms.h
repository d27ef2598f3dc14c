#ifndef CUMINROAD_BENCHMARK_POOLVMS_H
#define CUMINROAD_BENCHMARK_POOLVMS_H

#include <fmt/format.h>

#include "cuminroad/pool/PoolScheduler.h"

namespace cuminroad {

/// Adds \p Count empty VMs of 16 cores to the pool.
inline void addPoolVms(PoolScheduler &Scheduler, int Count, TimePoint Now) {
  for (int Number = 0; Number < Count; ++Number) {
    PoolVm Vm;
    Vm.Id = fmt::format("i-{:08x}", Number);
    Vm.Total = Capacity{16000, 32768, 0};
    Vm.Incarnation = 1;
    Scheduler.vmListed(Vm);
    Scheduler.vmReported(Vm.Id, 1, RunReport::complete({}), Now);
  }
}

} // namespace cuminroad

#endif
