#ifndef CUMINROAD_FAKES_FAKELOOP_H
#define CUMINROAD_FAKES_FAKELOOP_H

#include <map>

#include "cuminroad/base/ManualClock.h"
#include "cuminroad/net/Loop.h"

namespace cuminroad {

/// A loop whose time passes only in runFor().
class FakeLoop final : public Loop {
public:
  void post(Work Run) override { after(milliseconds(0), std::move(Run)); }
  void after(milliseconds Delay, Work Run) override {
    Queue_.emplace(Time.now() + std::max(Delay, milliseconds(0)),
                   std::move(Run));
  }
  /// Runs what becomes due within \p Span, in order of time.
  void runFor(milliseconds Span) {
    const TimePoint End = Time.now() + Span;
    while (!Queue_.empty() && Queue_.begin()->first <= End) {
      const auto First = Queue_.begin();
      if (First->first > Time.now())
        Time.advance(std::chrono::duration_cast<milliseconds>(First->first -
                                                              Time.now()));
      const Work Run = std::move(First->second);
      Queue_.erase(First);
      Run();
    }
    if (End > Time.now())
      Time.advance(std::chrono::duration_cast<milliseconds>(End - Time.now()));
  }

  ManualClock Time;

private:
  std::multimap<TimePoint, Work> Queue_;
};

} // namespace cuminroad

#endif
