#ifndef CUMINROAD_NET_CONNECTIONBUDGET_H
#define CUMINROAD_NET_CONNECTIONBUDGET_H

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/net/RequestMeter.h"

namespace cuminroad {

/// Limits of one server. They may change while it runs.
struct ConnectionLimits {
  std::size_t MaxConnections = 8192;
  /// Memory of all connections, in bytes.
  std::size_t MaxHeldBytes = 512 << 20;
  /// Of the request line, and of all fields of a request.
  std::size_t MaxHeadBytes = 64 << 10;
  std::size_t MaxBodyBytes = 1 << 20;
  /// By how much a head may be late.
  milliseconds HeadTimeout{10000};
  /// For how long a connection may make no progress.
  milliseconds IdleTimeout{60000};
};

/// Why a connection was closed, or a request refused.
enum class LimitCause {
  Connections,
  Memory,
  HeadSize,
  BodySize,
  HeadTime,
  IdleTime
};

/// \returns the name of \p Cause in logs and metrics.
std::string_view limitCauseName(LimitCause Cause);

/// A connection that must be closed now.
struct ConnectionClosing {
  std::uint64_t Connection = 0;
  LimitCause Cause = LimitCause::Memory;
  /// Status of a response to be sent first; 0 for none. The request to which it
  /// responds was not given to a handler.
  int Status = 0;
  /// Whether the limit is reported. The end of an idle connection that was
  /// served is nothing unusual.
  bool Reported = true;
};

/// Weighs what each connection of a server holds in memory and decides which
/// ones to close. Has no network access and no clock.
class ConnectionBudget {
public:
  using Id = std::uint64_t;
  using Closings = std::vector<ConnectionClosing>;

  /// Memory of a connection without a request: the library's read buffer of 16
  /// KB and its objects.
  static constexpr std::size_t ConnectionCost = 24 << 10;
  /// Bytes per second that count as progress at full speed. A slower transfer
  /// becomes late, but is only ended if its limit of time is exceeded or if the
  /// budget is.
  static constexpr std::size_t SlowestRate = 1024;

  explicit ConnectionBudget(ConnectionLimits Limits) : Limits_(Limits) {}

  void setLimits(ConnectionLimits Limits) { Limits_ = Limits; }
  const ConnectionLimits &limits() const { return Limits_; }

  /// Adds a connection. The closings may include it.
  Closings opened(Id Connection, TimePoint Now);
  /// Weighs bytes before they are stored. The closings may include the
  /// connection; its bytes must then be dropped.
  Closings received(Id Connection, std::string_view Bytes, TimePoint Now);
  /// A request of \p Bytes in memory was given to its handler. The connection
  /// is not closed until the response is being sent.
  void requestBegan(Id Connection, std::size_t Bytes);
  /// A response of \p Bytes was created.
  void responseReady(Id Connection, std::size_t Bytes);
  /// A write of \p Bytes of a response begins.
  void responseBegan(Id Connection, std::size_t Bytes, TimePoint Now);
  /// \p Bytes of a response were sent.
  void responseSent(Id Connection, std::size_t Bytes, TimePoint Now);
  /// The response to a request of \p Bytes was sent or has failed.
  void requestEnded(Id Connection, std::size_t Bytes, TimePoint Now);
  /// The connection was refused, and stays open only until its client has read
  /// the response.
  void refused(Id Connection, TimePoint Now);
  /// Removes a connection; also after a closing.
  void closed(Id Connection);
  /// \returns the connections whose time is over.
  Closings expired(TimePoint Now) const;

  std::size_t connections() const { return Connections_.size(); }
  std::size_t heldBytes() const { return HeldBytes_; }

private:
  struct Connection {
    RequestMeter Meter;
    std::size_t Held = ConnectionCost;
    /// Of the requests whose response is not sent.
    std::size_t RequestBytes = 0;
    std::size_t UnsentBytes = 0;
    /// Bytes of the present request or response that were transferred.
    std::size_t Transferred = 0;
    std::uint64_t RequestsBegan = 0;
    /// Requests whose response is not sent. The next request may be in its
    /// handler while the response to the one before is being sent.
    int Unanswered = 0;
    bool Sending = false;
    bool Refused = false;
    /// When the present request, response or idle time began.
    TimePoint Since;
    TimePoint LastProgress;
  };

  void weigh(Connection &Of);
  /// \returns how late the connection is, which decides the order of closing;
  /// negative if it must not be closed.
  static milliseconds lateness(const Connection &Of, TimePoint Now);
  static ConnectionClosing makeClosing(Id Number, const Connection &Of,
                                       LimitCause Cause, int Status);
  /// Adds the connections to be closed until the budget is met. \p Newest is
  /// closed if no other one may be.
  void relieve(Id Newest, TimePoint Now, Closings &Out);

  ConnectionLimits Limits_;
  std::unordered_map<Id, Connection> Connections_;
  std::size_t HeldBytes_ = 0;
};

} // namespace cuminroad

#endif
