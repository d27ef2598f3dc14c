#include "cuminroad/base/LogicalClock.h"

#include <algorithm>
#include <chrono>

namespace cuminroad {

static std::uint64_t wallMicroseconds() {
  const auto Since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(Since).count();
}

std::uint64_t LogicalClock::next() {
  const std::uint64_t Wall = wallMicroseconds();
  std::uint64_t Old = Last_.load();
  std::uint64_t New = std::max(Wall, Old + 1);
  while (!Last_.compare_exchange_weak(Old, New))
    New = std::max(Wall, Old + 1);
  return New;
}

void LogicalClock::observe(std::uint64_t Stamp) {
  std::uint64_t Old = Last_.load();
  while (Old < Stamp && !Last_.compare_exchange_weak(Old, Stamp)) {
  }
}

} // namespace cuminroad
