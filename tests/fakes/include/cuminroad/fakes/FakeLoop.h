#ifndef CUMINROAD_FAKES_FAKELOOP_H
#define CUMINROAD_FAKES_FAKELOOP_H

#include <map>

#include "cuminroad/base/ManualClock.h"
#include "cuminroad/net/Loop.h"

namespace cuminroad {

/// An event loop with a simulated clock, which advances only in runFor().
class FakeLoop final : public Loop {
public:
  void post(Work Run) override { after(milliseconds(0), std::move(Run)); }
  void after(milliseconds Delay, Work Run) override {
    Queue_.emplace(MonotonicClock.now() + std::max(Delay, milliseconds(0)),
                   std::move(Run));
  }
  /// Advances the clock by \p Duration and runs the work that becomes due in
  /// this time, in order of due time.
  void runFor(milliseconds Duration) {
    const TimePoint End = MonotonicClock.now() + Duration;
    while (!Queue_.empty() && Queue_.begin()->first <= End) {
      const auto First = Queue_.begin();
      if (First->first > MonotonicClock.now())
        MonotonicClock.advance(std::chrono::duration_cast<milliseconds>(
            First->first - MonotonicClock.now()));
      const Work Run = std::move(First->second);
      Queue_.erase(First);
      Run();
    }
    if (End > MonotonicClock.now())
      MonotonicClock.advance(
          std::chrono::duration_cast<milliseconds>(End - MonotonicClock.now()));
  }

  ManualClock MonotonicClock;

private:
  std::multimap<TimePoint, Work> Queue_;
};

} // namespace cuminroad

#endif
