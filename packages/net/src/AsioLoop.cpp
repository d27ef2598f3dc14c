#include "AsioLoop.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace cuminroad {

void AsioLoop::post(Work Callback) {
  asio::post(Context_, std::move(Callback));
}

void AsioLoop::after(milliseconds Delay, Work Callback) {
  auto Timer = std::make_shared<asio::steady_timer>(Context_, Delay);
  Timer->async_wait(
      [Timer, Callback = std::move(Callback)](asio::error_code WaitError) {
        if (!WaitError)
          Callback();
      });
}

std::unique_ptr<RunnableLoop> makeAsioLoop() {
  return std::make_unique<AsioLoop>();
}

} // namespace cuminroad
