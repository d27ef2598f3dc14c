#include "cuminroad/net/Loop.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace cuminroad {

namespace {

class AsioLoop final : public RunnableLoop {
public:
  AsioLoop() : Guard_(asio::make_work_guard(Context_)) {}

  void post(Work Run) override { asio::post(Context_, std::move(Run)); }

  void after(milliseconds Delay, Work Run) override {
    auto Timer = std::make_shared<asio::steady_timer>(Context_, Delay);
    Timer->async_wait([Timer, Run = std::move(Run)](asio::error_code Fault) {
      if (!Fault)
        Run();
    });
  }

  void run() override { Context_.run(); }
  void stop() override { Context_.stop(); }

private:
  asio::io_context Context_;
  asio::executor_work_guard<asio::io_context::executor_type> Guard_;
};

} // namespace

std::unique_ptr<RunnableLoop> makeAsioLoop() {
  return std::make_unique<AsioLoop>();
}

} // namespace cuminroad
