// The only source file that includes RESTinio, whose headers are slow to
// compile.
#include "cuminroad/net/HttpServer.h"
#include "cuminroad/net/LoopHttp.h"

#include <atomic>
#include <chrono>
#include <thread>

#include <restinio/all.hpp>

#include "AsioLoop.h"

namespace cuminroad {

namespace {

constexpr auto DrainPoll = std::chrono::milliseconds(10);
/// Time for the last answers to leave the socket buffers.
constexpr auto FlushTime = std::chrono::milliseconds(200);
constexpr auto IdleConnectionTime = std::chrono::seconds(60);
constexpr auto HandlingTime = std::chrono::seconds(120);
constexpr std::size_t PipelinedRequests = 1;
/// A body above the server's limit but below this gets an answer; above it
/// the connection is closed.
constexpr std::size_t HardBodyLimit = 96 << 20;

HttpRequest convert(const restinio::request_t &Raw) {
  HttpRequest Out;
  Out.Method = Raw.header().method().c_str();
  // The default traits refuse a slash.
  Out.Path = restinio::utils::unescape_percent_encoding<
      restinio::utils::relaxed_unescape_traits>(Raw.header().path());
  const auto Query =
      restinio::parse_query<restinio::parse_query_traits::relaxed>(
          Raw.header().query());
  for (const auto &[Name, Value] : Query)
    Out.Query.emplace(std::string(Name), std::string(Value));
  Raw.header().for_each_field([&Out](const auto &Field) {
    Out.Headers.emplace_back(Field.name(), Field.value());
  });
  Out.Body = Raw.body();
  return Out;
}

/// What both servers share: settings, and how a request is answered.
class RestinioServer : public HttpServer {
public:
  RestinioServer(const HttpServerOptions &Options, HttpHandler Handler)
      : Handler_(std::move(Handler)), MaxBodyBytes_(Options.MaxBodyBytes) {}

  void announceClose() override { Closing_ = true; }
  std::size_t inFlight() const override { return InFlight_; }

protected:
  using Traits = restinio::traits_t<restinio::asio_timer_manager_t,
                                    restinio::null_logger_t>;

  restinio::server_settings_t<Traits>
  makeSettings(const HttpServerOptions &Options) {
    restinio::server_settings_t<Traits> Out;
    Out.address(Options.Address)
        .port(static_cast<std::uint16_t>(Options.Port))
        .protocol(restinio::asio_ns::ip::tcp::v4())
        .read_next_http_message_timelimit(IdleConnectionTime)
        .handle_request_timeout(HandlingTime)
        .max_pipelined_requests(PipelinedRequests)
        .buffer_size(16 * 1024)
        .acceptor_options_setter([](restinio::acceptor_options_t &Set) {
          Set.set_option(
              restinio::asio_ns::ip::tcp::acceptor::reuse_address(true));
        })
        .socket_options_setter([](restinio::socket_options_t &Set) {
          Set.set_option(restinio::asio_ns::ip::tcp::no_delay(true));
        })
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}.max_body_size(HardBodyLimit))
        .request_handler([this](restinio::request_handle_t Raw) {
          handle(std::move(Raw));
          return restinio::request_accepted();
        });
    return Out;
  }

  void handle(restinio::request_handle_t Raw) {
    ++InFlight_;
    HttpResponder Respond = [this, Raw](HttpResponse Answer) {
      respond(*Raw, std::move(Answer));
    };
    if (Raw->body().size() > MaxBodyBytes_) {
      Respond(HttpResponse{413, {}, R"({"error":"body_too_large"})"});
      return;
    }
    try {
      Handler_(convert(*Raw), Respond);
    } catch (const std::exception &) {
      // Only a path or query that can't be decoded gets here.
      Respond(HttpResponse{400, {}, R"({"error":"malformed_input"})"});
    }
  }

  void respond(restinio::request_t &Raw, HttpResponse Answer) {
    auto Out = Raw.create_response(restinio::http_status_line_t(
        restinio::http_status_code_t(static_cast<std::uint16_t>(Answer.Status)),
        Answer.Status < 400 ? "OK" : "Error"));
    Out.append_header("Content-Type", Answer.ContentType);
    for (auto &[Name, Value] : Answer.Headers)
      Out.append_header(Name, Value);
    if (Closing_)
      Out.connection_close();
    Out.set_body(std::move(Answer.Body));
    Out.done([this](const restinio::asio_ns::error_code &) { --InFlight_; });
  }

  HttpHandler Handler_;
  std::size_t MaxBodyBytes_;
  std::atomic<bool> Closing_{false};
  std::atomic<std::size_t> InFlight_{0};
};

class RestinioHttpServer final : public RestinioServer {
public:
  RestinioHttpServer(const HttpServerOptions &Options, HttpHandler Handler)
      : RestinioServer(Options, std::move(Handler)),
        Server_(restinio::own_io_context(), makeSettings(Options)) {
    std::promise<std::exception_ptr> Opened;
    Server_.open_async(
        [&Opened] { Opened.set_value(nullptr); },
        [&Opened](std::exception_ptr Fault) { Opened.set_value(Fault); });
    Thread_ = std::thread([this] { Server_.io_context().run(); });
    if (const std::exception_ptr Fault = Opened.get_future().get()) {
      Server_.io_context().stop();
      Thread_.join();
      std::rethrow_exception(Fault);
    }
  }

  ~RestinioHttpServer() override {
    Server_.io_context().stop();
    Thread_.join();
  }

  void drain() override {
    Closing_ = true;
    Server_.close_async([] {}, [](std::exception_ptr) {});
    while (inFlight() > 0)
      std::this_thread::sleep_for(DrainPoll);
    std::this_thread::sleep_for(FlushTime);
  }

private:
  restinio::http_server_t<Traits> Server_;
  std::thread Thread_;
};

class LoopHttpServer final : public RestinioServer {
public:
  LoopHttpServer(asio::io_context &Context, const HttpServerOptions &Options,
                 HttpHandler Handler)
      : RestinioServer(Options, std::move(Handler)),
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
  return std::make_unique<RestinioHttpServer>(Options, std::move(Handler));
}

std::unique_ptr<HttpServer>
startLoopHttpServer(RunnableLoop &Home, const HttpServerOptions &Options,
                    HttpHandler Handler) {
  return std::make_unique<LoopHttpServer>(
      static_cast<AsioLoop &>(Home).context(), Options, std::move(Handler));
}

} // namespace cuminroad
