// The limits of a server as its clients see them.

#include <map>
#include <thread>

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "cuminroad/net/LoopHttp.h"

using namespace cuminroad;

namespace {

constexpr std::size_t MaxHead = 16384;
constexpr std::size_t MaxBody = 262144;

int findFreePort() {
  asio::io_context Context;
  const asio::ip::tcp::acceptor Acceptor(
      Context, {asio::ip::make_address("127.0.0.1"), 0});
  return Acceptor.local_endpoint().port();
}

/// A server that answers at once with the size of the body, unless the path is
/// "/wait". Its members may be read once it has stopped.
class LimitedServer {
public:
  explicit LimitedServer(std::size_t MaxConnections = 100)
      : Loop_(makeAsioLoop()) {
    HttpServerOptions Options;
    Options.Address = "127.0.0.1";
    Options.Port = Port_;
    Options.Limits.MaxHeadBytes = MaxHead;
    Options.Limits.MaxBodyBytes = MaxBody;
    Options.Limits.MaxConnections = MaxConnections;
    Options.Limits.HeadTimeout = milliseconds(300);
    Options.Limits.IdleTimeout = milliseconds(5000);
    Options.OnLimit = [this](LimitCause Cause, const std::string &Peer) {
      ++Hits[Cause];
      BOOST_CHECK(Peer.starts_with("127.0.0.1:"));
    };
    Server_ = startLoopHttpServer(
        *Loop_, Options,
        [this](const HttpRequest &Request, HttpResponder Respond) {
          ++Handled;
          Respond(HttpResponse{200, {}, std::to_string(Request.Body.size())});
        });
    Thread_ = std::thread([this] { Loop_->run(); });
  }
  ~LimitedServer() { stop(); }

  void stop() {
    if (!Thread_.joinable())
      return;
    Loop_->stop();
    Thread_.join();
  }

  int port() const { return Port_; }

  int Handled = 0;
  std::map<LimitCause, int> Hits;

private:
  const int Port_ = findFreePort();
  std::unique_ptr<RunnableLoop> Loop_;
  std::unique_ptr<HttpServer> Server_;
  std::thread Thread_;
};

class Client {
public:
  explicit Client(const LimitedServer &Server) {
    Socket_.connect({asio::ip::make_address("127.0.0.1"),
                     static_cast<std::uint16_t>(Server.port())});
  }
  void send(const std::string &Data) {
    asio::error_code Ignored;
    asio::write(Socket_, asio::buffer(Data), Ignored);
  }
  /// \returns what is received until the server closes the connection or
  /// \p End was received.
  std::string receive(std::string_view End = "never") {
    std::string Out;
    asio::error_code Code;
    std::array<char, 4096> Buffer{};
    while (!Code && Out.find(End) == std::string::npos)
      Out.append(Buffer.data(), Socket_.read_some(asio::buffer(Buffer), Code));
    return Out;
  }

private:
  asio::io_context Context_;
  asio::ip::tcp::socket Socket_{Context_};
};

std::string makeHead(const std::string &Fields) {
  return "POST / HTTP/1.1\r\nConnection: close\r\n" + Fields + "\r\n";
}

std::string makeShortFields(std::size_t Count) {
  std::string Out;
  for (std::size_t Number = 0; Number < Count; ++Number)
    Out += "a:b\r\n";
  return Out;
}

} // namespace

// The largest legal requests are served.
BOOST_AUTO_TEST_CASE(requestsWithinTheLimitsAreServed) {
  LimitedServer Server;
  Client Head(Server);
  Head.send(makeHead(makeShortFields(3200)));
  BOOST_CHECK(Head.receive().starts_with("HTTP/1.1 200"));
  Client Body(Server);
  Body.send(makeHead("Content-Length: 262144\r\n") + std::string(MaxBody, ' '));
  BOOST_CHECK(Body.receive().ends_with("262144"));
  Client Chunked(Server);
  std::string Chunks;
  for (std::size_t Number = 0; Number < MaxBody; ++Number)
    Chunks += "1\r\n \r\n";
  Chunked.send(makeHead("Transfer-Encoding: chunked\r\n") + Chunks +
               "0\r\n\r\n");
  BOOST_CHECK(Chunked.receive().ends_with("262144"));
  Server.stop();
  BOOST_CHECK(Server.Hits.empty());
}

// Guards against refusals that the client can't read because the connection is
// reset, and against handlers of refused requests.
BOOST_AUTO_TEST_CASE(oversizedBodyIsRefusedWithoutItsEnd) {
  LimitedServer Server;
  Client Announced(Server);
  Announced.send(makeHead("Content-Length: 262145\r\n"));
  BOOST_CHECK(Announced.receive().starts_with("HTTP/1.1 413"));
  Client Sent(Server);
  Sent.send(makeHead("Content-Length: 300000\r\n") + std::string(200000, ' '));
  BOOST_CHECK(Sent.receive().starts_with("HTTP/1.1 413"));
  Client Chunked(Server);
  Chunked.send(makeHead("Transfer-Encoding: chunked\r\n") + "40000\r\n" +
               std::string(MaxBody, ' ') + "\r\n1\r\n");
  BOOST_CHECK(Chunked.receive().starts_with("HTTP/1.1 413"));
  Server.stop();
  BOOST_CHECK_EQUAL(Server.Handled, 0);
  BOOST_CHECK_EQUAL(Server.Hits[LimitCause::BodySize], 3);
}

BOOST_AUTO_TEST_CASE(oversizedHeadIsRefused) {
  LimitedServer Server;
  Client Fields(Server);
  Fields.send("GET / HTTP/1.1\r\n" + makeShortFields(3300));
  BOOST_CHECK(Fields.receive().starts_with("HTTP/1.1 431"));
  Server.stop();
  BOOST_CHECK_EQUAL(Server.Handled, 0);
  BOOST_CHECK_EQUAL(Server.Hits[LimitCause::HeadSize], 1);
}

// Guards against pipelined requests that the meter loses track of. The library
// closes the connection after some of them, and its client sends the others
// again.
BOOST_AUTO_TEST_CASE(pipelinedRequestsHitNoLimit) {
  LimitedServer Server;
  Client Pipelining(Server);
  const std::string Request =
      "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nGET /";
  Pipelining.send(Request + Request + Request);
  BOOST_CHECK(Pipelining.receive("\r\n\r\n5").ends_with("\r\n\r\n5"));
  Server.stop();
  BOOST_CHECK(Server.Hits.empty());
}

// Guards against silent connections that shut out clients.
BOOST_AUTO_TEST_CASE(newClientIsServedWhenAllConnectionsAreTaken) {
  LimitedServer Server(4);
  std::vector<std::unique_ptr<Client>> Silent;
  Silent.reserve(10);
  for (int Number = 0; Number < 10; ++Number)
    Silent.push_back(std::make_unique<Client>(Server));
  Client Served(Server);
  Served.send(makeHead(""));
  BOOST_CHECK(Served.receive().starts_with("HTTP/1.1 200"));
  BOOST_CHECK_EQUAL(Silent.front()->receive(), "");
  Server.stop();
  BOOST_CHECK_EQUAL(Server.Hits[LimitCause::Connections], 7);
}

// Guards against heads that are never completed.
BOOST_AUTO_TEST_CASE(lateHeadIsRefused) {
  LimitedServer Server;
  Client Late(Server);
  Late.send("GET / HTTP/1.1\r\nHost");
  BOOST_CHECK(Late.receive().starts_with("HTTP/1.1 408"));
  Server.stop();
  BOOST_CHECK_EQUAL(Server.Hits[LimitCause::HeadTime], 1);
}
