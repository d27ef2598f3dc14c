#ifndef CUMINROAD_NET_SRC_ASIOLOOP_H
#define CUMINROAD_NET_SRC_ASIOLOOP_H

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include "cuminroad/net/Loop.h"

namespace cuminroad {

/// RunnableLoop on Asio, and its only implementation. HTTP clients and servers
/// on a loop use its io_context.
class AsioLoop final : public RunnableLoop {
public:
  AsioLoop() : Guard_(asio::make_work_guard(Context_)) {}

  void post(Work Callback) override;
  void after(milliseconds Delay, Work Callback) override;
  void run() override { Context_.run(); }
  void stop() override { Context_.stop(); }
  asio::io_context &context() { return Context_; }

private:
  asio::io_context Context_{1};
  /// Keeps run() from returning while there is no work.
  asio::executor_work_guard<asio::io_context::executor_type> Guard_;
};

} // namespace cuminroad

#endif
