#ifndef CUMINROAD_NET_LOOP_H
#define CUMINROAD_NET_LOOP_H

#include <functional>
#include <memory>

#include "cuminroad/base/Clock.h"

namespace cuminroad {

/// A single thread's queue of work. What runs on it needs no locks.
class Loop {
public:
  using Work = std::function<void()>;

  virtual ~Loop() = default;
  /// Runs \p Callback soon, after what was posted before; safe from any thread.
  virtual void post(Work Callback) = 0;
  /// Runs \p Callback after \p Delay; safe from any thread.
  virtual void after(milliseconds Delay, Work Callback) = 0;
};

/// A loop that has to be given a thread by calling run().
class RunnableLoop : public Loop {
public:
  /// Runs posted work until stop() is called.
  virtual void run() = 0;
  /// Makes run() return soon; safe from any thread.
  virtual void stop() = 0;
};

std::unique_ptr<RunnableLoop> makeAsioLoop();

} // namespace cuminroad

#endif
