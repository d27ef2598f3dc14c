#ifndef CUMINROAD_NET_SRC_LOOPCURLMULTI_H
#define CUMINROAD_NET_SRC_LOOPCURLMULTI_H

#include <memory>
#include <optional>
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
  using TimerClock = asio::steady_timer::clock_type;

  /// A socket on which libcurl waits for events, or whose connection it keeps
  /// for a later call. It is closed here.
  struct SocketWatch {
    explicit SocketWatch(asio::io_context &Context) : Descriptor(Context) {}
    asio::posix::stream_descriptor Descriptor;
    /// The events that libcurl waits for: CURL_POLL_IN, CURL_POLL_OUT, both or
    /// none.
    int RequestedEvents = 0;
    /// Whether an asynchronous wait is pending.
    bool AwaitsRead = false;
    bool AwaitsWrite = false;
    bool Closed = false;
  };

  /// A call in progress.
  struct Call {
    std::unique_ptr<CurlTransfer> Transfer;
    /// Where its answer arrives; CURL_SOCKET_BAD before it has one.
    curl_socket_t Socket = CURL_SOCKET_BAD;
    TimerClock::time_point StartedAt{};
    /// When it next has to be checked for a timeout.
    TimerClock::time_point Deadline{};
  };

  static int socketCallback(CURL *Handle, curl_socket_t Socket, int Events,
                            void *Multi, void *);
  static int timerCallback(CURLM *, long DelayMs, void *Multi);
  static int closeCallback(void *Multi, curl_socket_t Socket);

  void updateWatch(curl_socket_t Socket, int Events);
  /// \returns 0, or -1 on an error.
  int closeSocket(curl_socket_t Socket);
  /// Ends the watch of a socket that libcurl may close without a callback, as
  /// it does while it connects. Must be called while the socket is open.
  void releaseWatch(curl_socket_t Socket);
  void startWaits(const std::shared_ptr<SocketWatch> &Watch);
  void onSocketReady(const std::shared_ptr<SocketWatch> &Watch,
                     int RequestedEvent, int ReadyEvent,
                     const asio::error_code &WaitError);
  /// Called by libcurl, which wants to be called after \p DelayMs, or not at
  /// all if that is negative.
  void setTimer(long DelayMs);
  void postTimeout();
  void startTimer();
  /// Calls libcurl if its timeout has passed.
  void runTimeout();
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
  /// When libcurl wants to be called.
  std::optional<TimerClock::time_point> Timeout_;
  /// Ends at Timeout_ or earlier: most timeouts change before they pass, and
  /// starting the timer anew for each costs a system call.
  asio::steady_timer Timer_;
  bool TimerRuns_ = false;
  bool TimeoutPosted_ = false;
  asio::steady_timer DeadlineTimer_;
  /// Null once closed.
  CURLM *Multi_;
  std::unordered_map<CURL *, Call> Calls_;
  std::set<std::pair<TimerClock::time_point, CURL *>> Deadlines_;
  /// When DeadlineTimer_ expires. It isn't set back when a call has ended.
  TimerClock::time_point NextCheck_ = TimerClock::time_point::max();
  std::unordered_map<curl_socket_t, std::shared_ptr<SocketWatch>> Watches_;
};

} // namespace cuminroad

#endif
