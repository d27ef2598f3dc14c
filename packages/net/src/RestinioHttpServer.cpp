// HTTP servers on RESTinio. No other file includes its server headers, which
// are slow to compile.
#include "cuminroad/net/HttpServer.h"
#include "cuminroad/net/LoopHttp.h"

#include <atomic>
#include <chrono>
#include <thread>

#include <restinio/all.hpp>

#include "AsioLoop.h"
#include "BudgetedSocket.h"

// Customization points that RESTinio has for socket types. All sockets of a
// server share its ConnectionGuard, which they get from its settings.

template <typename Settings>
class restinio::socket_type_dependent_settings_t<Settings,
                                                 cuminroad::BudgetedSocket> {
public:
  void setGuard(std::shared_ptr<cuminroad::ConnectionGuard> Guard) {
    Guard_ = std::move(Guard);
  }
  const std::shared_ptr<cuminroad::ConnectionGuard> &guard() const {
    return Guard_;
  }

private:
  std::shared_ptr<cuminroad::ConnectionGuard> Guard_;
};

template <> class restinio::impl::socket_supplier_t<cuminroad::BudgetedSocket> {
protected:
  template <typename Settings>
  socket_supplier_t(Settings &ServerSettings, asio_ns::io_context &Context) {
    Sockets_.reserve(ServerSettings.concurrent_accepts_count());
    while (Sockets_.size() < ServerSettings.concurrent_accepts_count())
      Sockets_.emplace_back(Context, ServerSettings.guard());
  }

  // The names are RESTinio's.
  cuminroad::BudgetedSocket &socket(std::size_t Index) {
    return Sockets_.at(Index);
  }
  cuminroad::BudgetedSocket move_socket(std::size_t Index) {
    return std::move(socket(Index));
  }
  std::size_t concurrent_accept_sockets_count() const noexcept {
    return Sockets_.size();
  }

private:
  std::vector<cuminroad::BudgetedSocket> Sockets_;
};

namespace cuminroad {

/// Called by RESTinio once a connection is complete.
template <typename Connection, typename StartRead, typename Failed>
void prepare_connection_and_start_read(BudgetedSocket &Socket, Connection &,
                                       StartRead Start, Failed) {
  Socket.join();
  if (Socket.is_open())
    Start();
}

inline restinio::impl::tls_socket_t *
make_tls_socket_pointer_for_state_listener(BudgetedSocket &) noexcept {
  return nullptr;
}

namespace {

constexpr auto DrainPollInterval = std::chrono::milliseconds(10);
/// Time that the last responses get to leave the socket buffers.
constexpr auto SocketFlushTime = std::chrono::milliseconds(200);
/// ConnectionBudget limits how long reading and writing may take, by progress.
constexpr auto TransferTimeout = std::chrono::hours(24);
constexpr auto HandlingTimeout = std::chrono::seconds(120);
constexpr std::size_t MaxPipelinedRequests = 1;
/// Upper bound of the limits that may be configured while a server runs.
/// ConnectionBudget enforces the limits themselves.
constexpr std::size_t MaxHeadBytes = 1 << 20;
constexpr std::size_t MaxBodyBytes = 16 << 20;

/// Asio writes no more than this at once, so that BudgetedSocket sees only a
/// part of a larger response.
constexpr std::size_t MaxWriteBytes = 64 << 10;

/// \returns the memory that a request takes while it is handled.
std::size_t weighRequest(const restinio::request_t &Request) {
  std::size_t Bytes = Request.header().request_target().size() +
                      Request.header().fields_count() * RequestMeter::FieldCost;
  Request.header().for_each_field([&Bytes](const auto &Field) {
    Bytes += Field.name().size() + Field.value().size();
  });
  Bytes += Request.body().capacity();
  if (const auto *Chunks = Request.chunked_input_info())
    Bytes += Chunks->chunk_count() * RequestMeter::ChunkCost +
             Chunks->trailing_fields().fields_count() * RequestMeter::FieldCost;
  return Bytes;
}

HttpRequest convertRequest(const restinio::request_t &RestinioRequest) {
  HttpRequest Request;
  Request.Method = RestinioRequest.header().method().c_str();
  // The default traits reject an unescaped slash.
  Request.Path = restinio::utils::unescape_percent_encoding<
      restinio::utils::relaxed_unescape_traits>(
      RestinioRequest.header().path());
  const auto Query =
      restinio::parse_query<restinio::parse_query_traits::relaxed>(
          RestinioRequest.header().query());
  for (const auto &[Name, Value] : Query)
    Request.Query.emplace(std::string(Name), std::string(Value));
  RestinioRequest.header().for_each_field([&Request](const auto &Field) {
    Request.Headers.emplace_back(Field.name(), Field.value());
  });
  Request.Body = RestinioRequest.body();
  return Request;
}

/// Settings and request handling that both servers share.
class RestinioServerBase : public HttpServer {
public:
  RestinioServerBase(const HttpServerOptions &Options, HttpHandler Handler)
      : Handler_(std::move(Handler)), Guard_(std::make_shared<ConnectionGuard>(
                                          Options.Limits, Options.OnLimit)) {}

  void announceClose() override { Closing_ = true; }
  std::size_t inFlight() const override { return InFlight_; }

protected:
  using Traits =
      restinio::traits_t<restinio::asio_timer_manager_t,
                         restinio::null_logger_t,
                         restinio::details::autodetect_request_handler_type,
                         restinio::default_strand_t, BudgetedSocket>;

  restinio::server_settings_t<Traits>
  makeSettings(const HttpServerOptions &Options) {
    restinio::server_settings_t<Traits> Settings;
    Settings.setGuard(Guard_);
    Settings.address(Options.Address)
        .port(static_cast<std::uint16_t>(Options.Port))
        .protocol(restinio::asio_ns::ip::tcp::v4())
        .read_next_http_message_timelimit(TransferTimeout)
        .write_http_response_timelimit(TransferTimeout)
        .handle_request_timeout(HandlingTimeout)
        .max_pipelined_requests(MaxPipelinedRequests)
        .buffer_size(16 * 1024)
        .acceptor_options_setter(
            [](restinio::acceptor_options_t &AcceptorOptions) {
              AcceptorOptions.set_option(
                  restinio::asio_ns::ip::tcp::acceptor::reuse_address(true));
            })
        .socket_options_setter([](restinio::socket_options_t &SocketOptions) {
          SocketOptions.set_option(restinio::asio_ns::ip::tcp::no_delay(true));
        })
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}
                .max_url_size(MaxHeadBytes)
                .max_body_size(std::max<std::uint64_t>(
                    MaxBodyBytes, Options.Limits.MaxBodyBytes)))
        .request_handler([this](restinio::request_handle_t RestinioRequest) {
          handle(std::move(RestinioRequest));
          return restinio::request_accepted();
        });
    return Settings;
  }

  void handle(restinio::request_handle_t RestinioRequest) {
    ++InFlight_;
    const ConnectionGuard::Id Connection = Guard_->current();
    const std::size_t Bytes = weighRequest(*RestinioRequest);
    Guard_->budget().requestBegan(Connection, Bytes);
    HttpResponder Respond = [this, Connection, Bytes,
                             RestinioRequest](HttpResponse Response) {
      respond(*RestinioRequest, Connection, Bytes, std::move(Response));
    };
    try {
      Handler_(convertRequest(*RestinioRequest), Respond);
    } catch (const std::exception &) {
      // Handlers don't throw: the path or query could not be decoded.
      Respond(HttpResponse{400, {}, R"({"error":"malformed_input"})"});
    }
  }

  void respond(restinio::request_t &RestinioRequest,
               ConnectionGuard::Id Connection, std::size_t Bytes,
               HttpResponse Response) {
    auto Builder = RestinioRequest.create_response(restinio::http_status_line_t(
        restinio::http_status_code_t(
            static_cast<std::uint16_t>(Response.Status)),
        Response.Status < 400 ? "OK" : "Error"));
    Builder.append_header("Content-Type", Response.ContentType);
    for (auto &[Name, Value] : Response.Headers)
      Builder.append_header(Name, Value);
    if (Closing_)
      Builder.connection_close();
    if (Response.Body.size() > MaxWriteBytes)
      restinio::asio_ns::dispatch(context(), [Guard = Guard_, Connection,
                                              Bytes = Response.Body.size()] {
        Guard->budget().responseReady(Connection, Bytes);
      });
    Builder.set_body(std::move(Response.Body));
    Builder.done(
        [this, Connection, Bytes](const restinio::asio_ns::error_code &) {
          Guard_->budget().requestEnded(Connection, Bytes,
                                        std::chrono::steady_clock::now());
          --InFlight_;
        });
  }

  virtual restinio::asio_ns::io_context &context() = 0;

  HttpHandler Handler_;
  std::shared_ptr<ConnectionGuard> Guard_;
  std::atomic<bool> Closing_{false};
  std::atomic<std::size_t> InFlight_{0};
};

/// Runs on a thread of its own.
class ThreadHttpServer final : public RestinioServerBase {
public:
  ThreadHttpServer(const HttpServerOptions &Options, HttpHandler Handler)
      : RestinioServerBase(Options, std::move(Handler)),
        Server_(restinio::own_io_context(), makeSettings(Options)) {
    std::promise<std::exception_ptr> OpenResult;
    Server_.open_async([&OpenResult] { OpenResult.set_value(nullptr); },
                       [&OpenResult](std::exception_ptr Exception) {
                         OpenResult.set_value(Exception);
                       });
    Thread_ = std::thread([this] { Server_.io_context().run(); });
    if (const std::exception_ptr Exception = OpenResult.get_future().get()) {
      Server_.io_context().stop();
      Thread_.join();
      std::rethrow_exception(Exception);
    }
  }

  ~ThreadHttpServer() override {
    Server_.io_context().stop();
    Thread_.join();
    Guard_->stop();
  }

  void setLimits(const ConnectionLimits &Limits) override {
    restinio::asio_ns::post(Server_.io_context(), [Guard = Guard_, Limits] {
      Guard->budget().setLimits(Limits);
    });
  }

  void drain() override {
    Closing_ = true;
    Server_.close_async([] {}, [](std::exception_ptr) {});
    while (inFlight() > 0)
      std::this_thread::sleep_for(DrainPollInterval);
    std::this_thread::sleep_for(SocketFlushTime);
  }

private:
  restinio::asio_ns::io_context &context() override {
    return Server_.io_context();
  }

  restinio::http_server_t<Traits> Server_;
  std::thread Thread_;
};

/// Runs on the thread of a loop.
class LoopHttpServer final : public RestinioServerBase {
public:
  LoopHttpServer(asio::io_context &Context, const HttpServerOptions &Options,
                 HttpHandler Handler)
      : RestinioServerBase(Options, std::move(Handler)),
        Server_(restinio::external_io_context(Context), makeSettings(Options)) {
    Server_.open_sync();
  }

  ~LoopHttpServer() override { Guard_->stop(); }

  void setLimits(const ConnectionLimits &Limits) override {
    Guard_->budget().setLimits(Limits);
  }

  void drain() override {
    Closing_ = true;
    Server_.close_async([] {}, [](std::exception_ptr) {});
  }

private:
  restinio::asio_ns::io_context &context() override {
    return Server_.io_context();
  }

  restinio::http_server_t<Traits> Server_;
};

} // namespace

std::unique_ptr<HttpServer> startHttpServer(const HttpServerOptions &Options,
                                            HttpHandler Handler) {
  return std::make_unique<ThreadHttpServer>(Options, std::move(Handler));
}

std::unique_ptr<HttpServer>
startLoopHttpServer(RunnableLoop &ControlLoop, const HttpServerOptions &Options,
                    HttpHandler Handler) {
  return std::make_unique<LoopHttpServer>(
      static_cast<AsioLoop &>(ControlLoop).context(), Options,
      std::move(Handler));
}

} // namespace cuminroad
