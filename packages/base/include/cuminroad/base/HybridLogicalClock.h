#ifndef CUMINROAD_BASE_HYBRIDLOGICALCLOCK_H
#define CUMINROAD_BASE_HYBRIDLOGICALCLOCK_H

#include <atomic>
#include <cstdint>

namespace cuminroad {

/// Hybrid logical clock: microseconds of the system clock since the Unix epoch,
/// advanced past every stamp received from another process. Sorting by stamp
/// therefore puts every cause before its effects. Thread-safe.
class HybridLogicalClock {
public:
  /// \returns a stamp above all that were returned or observed before.
  std::uint64_t next();
  /// Advances the clock to a stamp received from another process.
  void observe(std::uint64_t Stamp);

private:
  std::atomic<std::uint64_t> Last_{0};
};

} // namespace cuminroad

#endif
