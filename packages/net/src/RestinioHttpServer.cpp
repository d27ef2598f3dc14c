// HTTP servers on RESTinio. No other file includes its server headers, which
// are slow to compile.
#include "cuminroad/net/HttpServer.h"
#include "cuminroad/net/LoopHttp.h"

#include <atomic>
#include <chrono>
#include <thread>

#include <restinio/all.hpp>

#include "AsioLoop.h"

namespace cuminroad {

namespace {

constexpr auto DrainPollInterval = std::chrono::milliseconds(10);
/// Time that the last responses get to leave the socket buffers.
constexpr auto SocketFlushTime = std::chrono::milliseconds(200);
constexpr auto IdleConnectionTimeout = std::chrono::seconds(60);
constexpr auto HandlingTimeout = std::chrono::seconds(120);
constexpr std::size_t MaxPipelinedRequests = 1;
/// Larger bodies are not read, and their connection is closed. Bodies between
/// HttpServerOptions::MaxBodyBytes and this are read and refused with 413.
constexpr std::size_t MaxReadBodyBytes = 96 << 20;

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
      : Handler_(std::move(Handler)), MaxBodyBytes_(Options.MaxBodyBytes) {}

  void announceClose() override { Closing_ = true; }
  std::size_t inFlight() const override { return InFlight_; }

protected:
  using Traits = restinio::traits_t<restinio::asio_timer_manager_t,
                                    restinio::null_logger_t>;

  restinio::server_settings_t<Traits>
  makeSettings(const HttpServerOptions &Options) {
    restinio::server_settings_t<Traits> Settings;
    Settings.address(Options.Address)
        .port(static_cast<std::uint16_t>(Options.Port))
        .protocol(restinio::asio_ns::ip::tcp::v4())
        .read_next_http_message_timelimit(IdleConnectionTimeout)
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
            restinio::incoming_http_msg_limits_t{}.max_body_size(
                MaxReadBodyBytes))
        .request_handler([this](restinio::request_handle_t RestinioRequest) {
          handle(std::move(RestinioRequest));
          return restinio::request_accepted();
        });
    return Settings;
  }

  void handle(restinio::request_handle_t RestinioRequest) {
    ++InFlight_;
    HttpResponder Respond = [this, RestinioRequest](HttpResponse Response) {
      respond(*RestinioRequest, std::move(Response));
    };
    if (RestinioRequest->body().size() > MaxBodyBytes_) {
      Respond(HttpResponse{413, {}, R"({"error":"body_too_large"})"});
      return;
    }
    try {
      Handler_(convertRequest(*RestinioRequest), Respond);
    } catch (const std::exception &) {
      // Handlers don't throw: the path or query could not be decoded.
      Respond(HttpResponse{400, {}, R"({"error":"malformed_input"})"});
    }
  }

  void respond(restinio::request_t &RestinioRequest, HttpResponse Response) {
    auto Builder = RestinioRequest.create_response(restinio::http_status_line_t(
        restinio::http_status_code_t(
            static_cast<std::uint16_t>(Response.Status)),
        Response.Status < 400 ? "OK" : "Error"));
    Builder.append_header("Content-Type", Response.ContentType);
    for (auto &[Name, Value] : Response.Headers)
      Builder.append_header(Name, Value);
    if (Closing_)
      Builder.connection_close();
    Builder.set_body(std::move(Response.Body));
    Builder.done(
        [this](const restinio::asio_ns::error_code &) { --InFlight_; });
  }

  HttpHandler Handler_;
  std::size_t MaxBodyBytes_;
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
  }

  void drain() override {
    Closing_ = true;
    Server_.close_async([] {}, [](std::exception_ptr) {});
    while (inFlight() > 0)
      std::this_thread::sleep_for(DrainPollInterval);
    std::this_thread::sleep_for(SocketFlushTime);
  }

private:
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

  void drain() override {
    Closing_ = true;
    Server_.close_async([] {}, [](std::exception_ptr) {});
  }

private:
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
