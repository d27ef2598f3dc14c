#include "cuminroad/base/LineBudget.h"

#include <utility>

namespace cuminroad {

namespace {

/// Lines of one kind in a second. An owner at 150 starts a second, the peak of
/// two years, writes some 300 lines of starts and ends.
constexpr int InfoLines = 400;
constexpr int UrgentLines = 800;

} // namespace

bool LineBudget::take(EventId Id, TimePoint Now) {
  if (Now - SecondBegan_ >= seconds(1)) {
    SecondBegan_ = Now;
    Used_.clear();
  }
  const bool Urgent = eventInfo(Id).Level != Severity::Info;
  if (++Used_[Id] <= (Urgent ? UrgentLines : InfoLines))
    return true;
  drop();
  return false;
}

std::uint64_t LineBudget::takeDropped() { return std::exchange(Dropped_, 0); }

} // namespace cuminroad
