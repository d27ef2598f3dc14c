#ifndef CUMINROAD_SCHEDULING_SRC_CUSTOMERSTATE_H
#define CUMINROAD_SCHEDULING_SRC_CUSTOMERSTATE_H

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/contract/ContractTerms.h"

namespace cuminroad {

/// A customer in the scheduler's tables.
struct CustomerState {
  std::string Name;
  /// The limit in this failure domain; none without a contract in force.
  std::optional<ContractTerms> Limit;
  Capacity HeldCapacity;
  /// Jobs with waiting tasks, sorted by the time by which they must start.
  std::vector<int> Queue;
  /// Exponential moving average of actual over declared run time.
  double RunTimeRatio = 1.0;

  bool urgent() const { return Limit && Limit->Urgent; }

  /// \returns the largest fraction of the limit in use, over processors, memory
  /// and accelerators.
  double dominantShare() const {
    if (!Limit)
      return 1.0;
    const Capacity &Max = Limit->MaxCapacity;
    return std::max({fraction(HeldCapacity.MilliCores, Max.MilliCores),
                     fraction(HeldCapacity.MemoryMb, Max.MemoryMb),
                     fraction(HeldCapacity.Accelerators, Max.Accelerators)});
  }

private:
  static double fraction(std::int64_t Used, std::int64_t Total) {
    return Total == 0 ? 0.0
                      : static_cast<double>(Used) / static_cast<double>(Total);
  }
};

} // namespace cuminroad

#endif
