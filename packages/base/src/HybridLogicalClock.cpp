#include "cuminroad/base/HybridLogicalClock.h"

#include <algorithm>
#include <chrono>

namespace cuminroad {

static std::uint64_t systemMicroseconds() {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(SinceEpoch)
      .count();
}

std::uint64_t HybridLogicalClock::next() {
  const std::uint64_t SystemTime = systemMicroseconds();
  std::uint64_t Last = Last_.load();
  std::uint64_t Next = std::max(SystemTime, Last + 1);
  while (!Last_.compare_exchange_weak(Last, Next))
    Next = std::max(SystemTime, Last + 1);
  return Next;
}

void HybridLogicalClock::observe(std::uint64_t Stamp) {
  std::uint64_t Last = Last_.load();
  while (Last < Stamp && !Last_.compare_exchange_weak(Last, Stamp)) {
  }
}

} // namespace cuminroad
