#ifndef CUMINROAD_NET_SRC_LOOPCURLMULTI_H
#define CUMINROAD_NET_SRC_LOOPCURLMULTI_H

#include <memory>
#include <set>
#include <unordered_map>

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>

#include "CurlTransfer.h"

namespace cuminroad {

/// One of libcurl's multi handles, with its cache of connections, driven from
/// an io_context. Timeouts are kept here: libcurl would end the calls whose
/// timeout has passed before it reads their answers, all of them at once if the
/// loop was late.
class LoopCurlMulti : public std::enable_shared_from_this<LoopCurlMulti> {
public:
  LoopCurlMulti(asio::io_context &Context, CurlHandlePool &HandlePool,
                HttpTraffic &Traffic);
  ~LoopCurlMulti() { close(); }
  LoopCurlMulti(const LoopCurlMulti &) = delete;
  LoopCurlMulti &operator=(const LoopCurlMulti &) = delete;

  void send(std::unique_ptr<CurlTransfer> Transfer);
  /// Connections beyond \p Count are closed when a call on one ends.
  void limitConnections(std::size_t Count);
  std::size_t callsInFlight() const { return Calls_.size(); }
  /// Aborts the calls in progress without calling their callbacks and closes
  /// all connections.
  void close();

private:
  /// A socket on which libcurl waits for events.
  struct SocketWatch {
    explicit SocketWatch(asio::io_context &Context) : Descriptor(Context) {}
    asio::posix::stream_descriptor Descriptor;
    /// The events that libcurl waits for: CURL_POLL_IN, CURL_POLL_OUT or both.
    int RequestedEvents = 0;
    /// Whether an asynchronous wait is pending.
    bool AwaitsRead = false;
    bool AwaitsWrite = false;
  };

  using DeadlineClock = asio::steady_timer::clock_type;

  /// A call in progress.
  struct Call {
    std::unique_ptr<CurlTransfer> Transfer;
    /// Where its answer arrives; CURL_SOCKET_BAD before it has one.
    curl_socket_t Socket = CURL_SOCKET_BAD;
    DeadlineClock::time_point StartedAt{};
    /// When it next has to be checked for a timeout.
    DeadlineClock::time_point Deadline{};
  };

  static int socketCallback(CURL *Handle, curl_socket_t Socket, int Events,
                            void *Multi, void *);
  static int timerCallback(CURLM *, long DelayMs, void *Multi);

  void updateWatch(curl_socket_t Socket, int Events);
  void startWaits(curl_socket_t Socket,
                  const std::shared_ptr<SocketWatch> &Watch);
  bool isCurrent(curl_socket_t Socket,
                 const std::shared_ptr<SocketWatch> &Watch) const;
  void onSocketReady(curl_socket_t Socket,
                     const std::shared_ptr<SocketWatch> &Watch, int Events,
                     const asio::error_code &WaitError);
  void setTimer(long DelayMs);
  void addDeadline(CURL *Handle, Call &Entry, milliseconds SinceStart);
  /// Schedules checkDeadlines() for the first deadline.
  void armDeadlineTimer();
  void checkDeadlines();
  /// Reads what has arrived for the call, and ends it if its timeout has passed
  /// all the same.
  void checkDeadline(CURL *Handle);
  void finishCompleted();
  void finish(CURL *Handle, CURLcode Code);

  asio::io_context &Context_;
  CurlHandlePool &HandlePool_;
  HttpTraffic &Traffic_;
  asio::steady_timer Timer_;
  asio::steady_timer DeadlineTimer_;
  /// Null once closed.
  CURLM *Multi_;
  std::unordered_map<CURL *, Call> Calls_;
  std::set<std::pair<DeadlineClock::time_point, CURL *>> Deadlines_;
  /// When DeadlineTimer_ expires. It isn't set back when a call has ended.
  DeadlineClock::time_point NextCheck_ = DeadlineClock::time_point::max();
  std::unordered_map<curl_socket_t, std::shared_ptr<SocketWatch>> Watches_;
};

} // namespace cuminroad

#endif
