#include "AsioLoop.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace cuminroad {

void AsioLoop::post(Work Run) { asio::post(Context_, std::move(Run)); }

void AsioLoop::after(milliseconds Delay, Work Run) {
  auto Timer = std::make_shared<asio::steady_timer>(Context_, Delay);
  Timer->async_wait([Timer, Run = std::move(Run)](asio::error_code Fault) {
    if (!Fault)
      Run();
  });
}

std::unique_ptr<RunnableLoop> makeAsioLoop() {
  return std::make_unique<AsioLoop>();
}

} // namespace cuminroad
