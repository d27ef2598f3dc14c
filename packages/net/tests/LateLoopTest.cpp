// Timeouts of calls whose process was too busy to read the answers.

#include <thread>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include "cuminroad/net/LoopHttp.h"

using namespace cuminroad;

namespace {

constexpr int Calls = 20;
constexpr milliseconds CallTimeout{200};
/// The server answers this long after it has received a request, before the
/// timeout.
constexpr milliseconds AnswerDelay{50};
constexpr milliseconds BlockedTime{600};

int findFreePort() {
  asio::io_context Context;
  const asio::ip::tcp::acceptor Acceptor(
      Context, {asio::ip::make_address("127.0.0.1"), 0});
  return Acceptor.local_endpoint().port();
}

HttpServerOptions makeServerOptions() {
  return HttpServerOptions{.Address = "127.0.0.1", .Port = findFreePort()};
}

std::string makeUrl(const HttpServerOptions &Options) {
  return "http://127.0.0.1:" + std::to_string(Options.Port) + "/";
}

/// A server on a thread of its own, which blocks the client's loop as soon as
/// it has received all requests.
class AnsweringServer {
public:
  explicit AnsweringServer(RunnableLoop &ClientLoop)
      : ClientLoop_(ClientLoop), Loop_(makeAsioLoop()) {
    Server_ = startLoopHttpServer(
        *Loop_, Options_,
        [this](const HttpRequest &, const HttpResponder &Respond) {
          answer(Respond);
        });
    Thread_ = std::thread([this] { Loop_->run(); });
  }

  ~AnsweringServer() {
    Loop_->stop();
    Thread_.join();
  }

  std::string url() const { return makeUrl(Options_); }

private:
  void answer(const HttpResponder &Respond) {
    if (++Received_ == Calls)
      ClientLoop_.post([] { std::this_thread::sleep_for(BlockedTime); });
    Loop_->after(AnswerDelay, [Respond] {
      Respond(HttpResponse{200, {}, "ok", "text/plain"});
    });
  }

  RunnableLoop &ClientLoop_;
  const HttpServerOptions Options_ = makeServerOptions();
  std::unique_ptr<RunnableLoop> Loop_;
  std::unique_ptr<HttpServer> Server_;
  std::thread Thread_;
  int Received_ = 0;
};

} // namespace

// Guards against starts that are repeated, and counted as lost, although the
// VM's answer had arrived: an owner that is late reads its timers first.
BOOST_AUTO_TEST_CASE(answersThatArrivedInTimeAreNoTimeouts) {
  const auto ClientLoop = makeAsioLoop();
  AnsweringServer Server(*ClientLoop);
  auto Client = makeLoopHttpClient(*ClientLoop);
  int Answered = 0;
  int Failed = 0;
  ClientLoop->post([&] {
    for (int Number = 0; Number < Calls; ++Number) {
      HttpCall Call;
      Call.Url = Server.url();
      Call.Timeout = CallTimeout;
      Client->send(std::move(Call), [&](const HttpResult &Outcome) {
        ++(Outcome ? Answered : Failed);
        if (Answered + Failed == Calls)
          ClientLoop->stop();
      });
    }
  });
  ClientLoop->run();
  Client.reset();
  BOOST_TEST(Answered == Calls);
  BOOST_TEST(Failed == 0);
}

// A call without an answer still fails soon after its timeout.
BOOST_AUTO_TEST_CASE(callsWithoutAnAnswerTimeOutOnALateLoop) {
  const auto ClientLoop = makeAsioLoop();
  const auto ServerLoop = makeAsioLoop();
  const HttpServerOptions Options = makeServerOptions();
  std::vector<HttpResponder> Unanswered;
  const auto Server = startLoopHttpServer(
      *ServerLoop, Options,
      [&](const HttpRequest &, const HttpResponder &Respond) {
        Unanswered.push_back(Respond);
        ClientLoop->post([] { std::this_thread::sleep_for(BlockedTime); });
      });
  std::thread ServerThread([&] { ServerLoop->run(); });
  auto Client = makeLoopHttpClient(*ClientLoop);
  ErrorCode Code{};
  ClientLoop->post([&] {
    HttpCall Call;
    Call.Url = makeUrl(Options);
    Call.Timeout = CallTimeout;
    Client->send(std::move(Call), [&](const HttpResult &Outcome) {
      BOOST_REQUIRE(!Outcome);
      Code = Outcome.error().Code;
      ClientLoop->stop();
    });
  });
  ClientLoop->run();
  Client.reset();
  ServerLoop->stop();
  ServerThread.join();
  BOOST_CHECK(Code == ErrorCode::Timeout);
}
