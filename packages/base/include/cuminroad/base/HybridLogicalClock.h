#ifndef CUMINROAD_BASE_HYBRIDLOGICALCLOCK_H
#define CUMINROAD_BASE_HYBRIDLOGICALCLOCK_H

#include <atomic>
#include <cstdint>

namespace cuminroad {

/// Hybrid logical clock: wall-clock microseconds that never fall behind a
/// stamp seen from another process, so that sorting by stamp keeps every cause
/// before its effects. Safe to use from any thread.
class HybridLogicalClock {
public:
  /// \returns a stamp larger than all that were returned or observed before.
  std::uint64_t next();
  /// Takes in a stamp that came with a message from another process.
  void observe(std::uint64_t Stamp);

private:
  std::atomic<std::uint64_t> Last_{0};
};

} // namespace cuminroad

#endif
