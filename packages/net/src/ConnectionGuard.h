#ifndef CUMINROAD_NET_SRC_CONNECTIONGUARD_H
#define CUMINROAD_NET_SRC_CONNECTIONGUARD_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "cuminroad/net/ConnectionBudget.h"
#include "cuminroad/net/HttpServer.h"

namespace cuminroad {

class BudgetedSocket;

/// Carries out the decisions of a server's ConnectionBudget on its sockets.
/// Runs on the thread of the server. Shared by all sockets of the server.
class ConnectionGuard : public std::enable_shared_from_this<ConnectionGuard> {
public:
  using Id = ConnectionBudget::Id;

  /// The connection whose event is being handled; ends with the scope.
  class Scope {
  public:
    Scope(ConnectionGuard &Guard, Id Connection)
        : Guard_(Guard), Previous_(Guard.Current_) {
      Guard.Current_ = Connection;
    }
    ~Scope() { Guard_.Current_ = Previous_; }
    Scope(const Scope &) = delete;
    Scope &operator=(const Scope &) = delete;

  private:
    ConnectionGuard &Guard_;
    Id Previous_;
  };

  ConnectionGuard(ConnectionLimits Limits, HttpLimitListener OnLimit)
      : Budget_(Limits), OnLimit_(std::move(OnLimit)) {}

  ConnectionBudget &budget() { return Budget_; }
  /// \returns the connection whose request is being parsed.
  Id current() const { return Current_; }
  /// Adds an accepted connection, which may be closed at once.
  void open(BudgetedSocket &Socket);
  /// A connection was moved to another object.
  void rebind(Id Connection, BudgetedSocket &Socket) {
    Sockets_[Connection] = &Socket;
  }
  void close(Id Connection);
  /// Closes what the budget demands.
  void carryOut(const ConnectionBudget::Closings &Closings);
  /// Ends the timer and all callbacks. Must be called before the io_context is
  /// destroyed.
  void stop();

private:
  void startTimer(asio::io_context &Context);
  void checkTimes();

  ConnectionBudget Budget_;
  HttpLimitListener OnLimit_;
  std::unordered_map<Id, BudgetedSocket *> Sockets_;
  std::optional<asio::steady_timer> Timer_;
  bool TimerRuns_ = false;
  bool Stopped_ = false;
  Id LastId_ = 0;
  Id Current_ = 0;
};

} // namespace cuminroad

#endif
