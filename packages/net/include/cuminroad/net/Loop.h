#ifndef CUMINROAD_NET_LOOP_H
#define CUMINROAD_NET_LOOP_H

#include <functional>
#include <memory>

#include "cuminroad/base/Clock.h"

namespace cuminroad {

/// An event loop that runs callbacks one at a time on a single thread, so that
/// objects used only by its callbacks need no locks.
class Loop {
public:
  using Work = std::function<void()>;

  virtual ~Loop() = default;
  /// Runs \p Callback after all callbacks that were posted before; safe from
  /// any thread.
  virtual void post(Work Callback) = 0;
  /// Runs \p Callback once \p Delay has passed; safe from any thread.
  virtual void after(milliseconds Delay, Work Callback) = 0;
};

/// A loop whose callbacks run on the thread that calls run().
class RunnableLoop : public Loop {
public:
  /// Runs callbacks until stop() is called.
  virtual void run() = 0;
  /// Makes run() return after the callback that is running; safe from any
  /// thread.
  virtual void stop() = 0;
};

std::unique_ptr<RunnableLoop> makeAsioLoop();

} // namespace cuminroad

#endif
