#ifndef CUMINROAD_NET_SRC_BUDGETEDSOCKET_H
#define CUMINROAD_NET_SRC_BUDGETEDSOCKET_H

#include <chrono>
#include <memory>
#include <string_view>
#include <utility>

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>

#include "ConnectionGuard.h"

namespace cuminroad {

/// A TCP socket for RESTinio that reports what it reads and writes to the
/// ConnectionGuard of its server. The address of an open one changes only by
/// moves.
class BudgetedSocket {
public:
  using executor_type = asio::ip::tcp::socket::executor_type;
  using lowest_layer_type = asio::ip::tcp::socket::lowest_layer_type;

  BudgetedSocket(asio::io_context &Context,
                 std::shared_ptr<ConnectionGuard> Guard)
      : Context_(&Context), Socket_(Context), Guard_(std::move(Guard)) {}
  BudgetedSocket(BudgetedSocket &&Other) noexcept
      : Context_(Other.Context_), Socket_(std::move(Other.Socket_)),
        Guard_(Other.Guard_), Connection_(std::exchange(Other.Connection_, 0)) {
    if (Connection_ != 0)
      Guard_->rebind(Connection_, *this);
  }
  BudgetedSocket(const BudgetedSocket &) = delete;
  BudgetedSocket &operator=(const BudgetedSocket &) = delete;
  BudgetedSocket &operator=(BudgetedSocket &&) = delete;
  ~BudgetedSocket() { leave(); }

  // The interface that RESTinio and Asio expect of a socket, with their names.
  // NOLINTBEGIN(readability-identifier-naming)
  executor_type get_executor() { return Socket_.get_executor(); }
  auto &lowest_layer() { return Socket_.lowest_layer(); }
  const auto &lowest_layer() const { return Socket_.lowest_layer(); }
  bool is_open() const { return Socket_.is_open(); }
  void cancel(asio::error_code &Code) { Socket_.cancel(Code); }
  void shutdown(asio::socket_base::shutdown_type Type, asio::error_code &Code) {
    Socket_.shutdown(Type, Code);
  }
  void close() {
    leave();
    Socket_.close();
  }

  template <typename Handler>
  void async_read_some(const asio::mutable_buffer &Buffer, Handler &&Done) {
    const auto Executor =
        asio::get_associated_executor(Done, Socket_.get_executor());
    Socket_.async_read_some(
        Buffer,
        asio::bind_executor(
            Executor, [this, Buffer, Done = std::forward<Handler>(Done)](
                          asio::error_code Code, std::size_t Bytes) mutable {
              readDone(Buffer, std::move(Done), Code, Bytes);
            }));
  }

  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers &Data, Handler &&Done) {
    Guard_->budget().responseBegan(Connection_, asio::buffer_size(Data), now());
    const auto Executor =
        asio::get_associated_executor(Done, Socket_.get_executor());
    Socket_.async_write_some(
        Data,
        asio::bind_executor(
            Executor, [this, Done = std::forward<Handler>(Done)](
                          asio::error_code Code, std::size_t Bytes) mutable {
              const std::shared_ptr<ConnectionGuard> Guard = Guard_;
              Guard->budget().responseSent(Connection_, Bytes, now());
              const ConnectionGuard::Scope Handling(*Guard, Connection_);
              Done(Code, Bytes);
            }));
  }

  // NOLINTEND(readability-identifier-naming)

  /// Joins the budget. The socket may be closed at once.
  void join() { Guard_->open(*this); }
  ConnectionGuard::Id connection() const { return Connection_; }
  void setConnection(ConnectionGuard::Id Connection) {
    Connection_ = Connection;
  }
  asio::io_context &context() { return *Context_; }
  /// Sends the response as far as that is possible without waiting, and closes
  /// the connection. A client that may still be sending is given time to read
  /// the response, as a reset would discard it.
  void refuse(std::string_view Response, bool MayLinger);

private:
  /// What is read and dropped of a refused request.
  static constexpr std::size_t MaxDroppedBytes = 256 << 10;

  static TimePoint now() { return std::chrono::steady_clock::now(); }

  void leave() {
    if (Connection_ != 0)
      Guard_->close(std::exchange(Connection_, 0));
  }

  template <typename Handler>
  void readDone(const asio::mutable_buffer &Buffer, Handler &&Done,
                asio::error_code Code, std::size_t Bytes) {
    const std::shared_ptr<ConnectionGuard> Guard = Guard_;
    if (!Code && !Lingering_ && Connection_ != 0) {
      const std::string_view Data(static_cast<const char *>(Buffer.data()),
                                  Bytes);
      Guard->carryOut(Guard->budget().received(Connection_, Data, now()));
    }
    if (!Code && Lingering_ && Socket_.is_open()) {
      DroppedBytes_ += Bytes;
      if (DroppedBytes_ < MaxDroppedBytes)
        return async_read_some(Buffer, std::forward<Handler>(Done));
      // The handler keeps the connection until the time given is over.
      return waitForClose(std::forward<Handler>(Done));
    }
    if (Lingering_ || Connection_ == 0)
      Code = asio::error::operation_aborted;
    const ConnectionGuard::Scope Handling(*Guard, Connection_);
    Done(Code, Code ? 0 : Bytes);
  }

  template <typename Handler> void waitForClose(Handler &&Done) {
    const auto Executor =
        asio::get_associated_executor(Done, Socket_.get_executor());
    // Completes when the socket is closed, or has an error.
    Socket_.async_wait(
        asio::socket_base::wait_error,
        asio::bind_executor(Executor, [Done = std::forward<Handler>(Done)](
                                          asio::error_code) mutable {
          Done(asio::error_code(asio::error::operation_aborted), 0);
        }));
  }

  asio::io_context *Context_;
  asio::ip::tcp::socket Socket_;
  std::shared_ptr<ConnectionGuard> Guard_;
  ConnectionGuard::Id Connection_ = 0;
  bool Lingering_ = false;
  std::size_t DroppedBytes_ = 0;
};

} // namespace cuminroad

#endif
