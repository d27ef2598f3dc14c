#include "ConnectionGuard.h"

#include <fmt/format.h>

#include "BudgetedSocket.h"

namespace cuminroad {

namespace {

constexpr milliseconds TimeCheckInterval{500};
constexpr int StatusPayloadTooLarge = 413;
constexpr int StatusHeadTooLarge = 431;
constexpr int StatusServiceUnavailable = 503;

struct Refusal {
  std::string_view Reason;
  std::string_view Error;
};

Refusal refusalOf(int Status) {
  switch (Status) {
  case StatusPayloadTooLarge:
    return {"Payload Too Large", "body_too_large"};
  case StatusHeadTooLarge:
    return {"Request Header Fields Too Large", "head_too_large"};
  case StatusServiceUnavailable:
    return {"Service Unavailable", "overloaded"};
  default:
    return {"Request Timeout", "timeout"};
  }
}

std::string makeRefusal(int Status) {
  const Refusal Text = refusalOf(Status);
  const std::string Body = fmt::format(R"({{"error":"{}"}})", Text.Error);
  return fmt::format(
      "HTTP/1.1 {} {}\r\nConnection: close\r\n"
      "Content-Type: application/json\r\nContent-Length: {}\r\n{}\r\n{}",
      Status, Text.Reason, Body.size(),
      Status == StatusServiceUnavailable ? "Retry-After: 1\r\n" : "", Body);
}

/// \returns whether the client probably is sending the rest of its request,
/// and memory is not needed at once.
bool mayLinger(LimitCause Cause) {
  return Cause == LimitCause::HeadSize || Cause == LimitCause::BodySize;
}

} // namespace

void BudgetedSocket::refuse(std::string_view Response, bool MayLinger) {
  asio::error_code Ignored;
  if (!Response.empty()) {
    Socket_.non_blocking(true, Ignored);
    Socket_.write_some(asio::buffer(Response.data(), Response.size()), Ignored);
  }
  if (MayLinger && !Lingering_) {
    Lingering_ = true;
    Socket_.shutdown(asio::socket_base::shutdown_send, Ignored);
    Guard_->budget().refused(Connection_, now());
    return;
  }
  leave();
  Socket_.close(Ignored);
}

void ConnectionGuard::open(BudgetedSocket &Socket) {
  const Id Connection = ++LastId_;
  Socket.setConnection(Connection);
  Sockets_[Connection] = &Socket;
  startTimer(Socket.context());
  carryOut(Budget_.opened(Connection, std::chrono::steady_clock::now()));
}

void ConnectionGuard::close(Id Connection) {
  Sockets_.erase(Connection);
  Budget_.closed(Connection);
}

void ConnectionGuard::carryOut(const ConnectionBudget::Closings &Closings) {
  for (const ConnectionClosing &Closing : Closings) {
    const auto Found = Sockets_.find(Closing.Connection);
    if (Found == Sockets_.end())
      continue;
    BudgetedSocket &Socket = *Found->second;
    if (Closing.Reported && OnLimit_) {
      asio::error_code PeerError;
      const auto Peer = Socket.lowest_layer().remote_endpoint(PeerError);
      OnLimit_(Closing.Cause,
               PeerError ? std::string("unknown")
                         : fmt::format("{}:{}", Peer.address().to_string(),
                                       Peer.port()));
    }
    Socket.refuse(Closing.Status == 0 ? "" : makeRefusal(Closing.Status),
                  Closing.Status != 0 && mayLinger(Closing.Cause));
  }
}

void ConnectionGuard::startTimer(asio::io_context &Context) {
  if (TimerRuns_ || Stopped_)
    return;
  if (!Timer_)
    Timer_.emplace(Context);
  TimerRuns_ = true;
  Timer_->expires_after(TimeCheckInterval);
  Timer_->async_wait(
      [Weak = weak_from_this(), &Context](asio::error_code WaitError) {
        const auto Self = Weak.lock();
        if (WaitError || !Self)
          return;
        Self->TimerRuns_ = false;
        Self->checkTimes();
        if (Self->Budget_.connections() > 0)
          Self->startTimer(Context);
      });
}

void ConnectionGuard::checkTimes() {
  carryOut(Budget_.expired(std::chrono::steady_clock::now()));
}

void ConnectionGuard::stop() {
  Stopped_ = true;
  OnLimit_ = nullptr;
  Timer_.reset();
}

} // namespace cuminroad
