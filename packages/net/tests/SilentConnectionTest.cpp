// Calls after open connections have become silent: the peer's packets are lost,
// and no reset arrives, while new connections work.

#include <future>
#include <list>
#include <mutex>
#include <thread>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <linux/filter.h>
#include <sys/socket.h>

#include "HttpClientsUnderTest.h"

using namespace cuminroad;
using asio::ip::tcp;

namespace {

/// A daemon counts as being in contact this long after its connections became
/// silent, and must act on what the other side knows from then on.
constexpr milliseconds ContactTime{3000};
/// Longer than ContactTime: the caller's own timeout comes too late.
constexpr milliseconds CallTimeout{8000};
constexpr std::size_t OpenConnections = 4;
constexpr milliseconds PollInterval{5};

/// Makes the kernel drop all packets that arrive for the connection, so that it
/// acknowledges none.
void dropPackets(tcp::socket &Connection) {
  sock_filter DropAll{BPF_RET | BPF_K, 0, 0, 0};
  const sock_fprog Program{1, &DropAll};
  BOOST_REQUIRE_EQUAL(setsockopt(Connection.native_handle(), SOL_SOCKET,
                                 SO_ATTACH_FILTER, &Program, sizeof(Program)),
                      0);
}

/// Answers each request once OpenConnections connections are open, so that
/// calls sent together use as many. Clients must be destroyed before the
/// server.
class SilencedServer {
public:
  SilencedServer()
      : Acceptor_(Context_,
                  tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        Thread_([this] { run(); }) {}

  ~SilencedServer() {
    Stopping_ = true;
    tcp::socket WakeUp(Context_);
    asio::error_code Ignored;
    WakeUp.connect(Acceptor_.local_endpoint(), Ignored);
    Thread_.join();
    for (tcp::socket &Connection : Connections_)
      shutdown(Connection.native_handle(), SHUT_RDWR);
    for (std::thread &Each : Threads_)
      Each.join();
  }

  std::string url() const {
    return "http://127.0.0.1:" +
           std::to_string(Acceptor_.local_endpoint().port()) + "/";
  }
  /// How long requests on present connections wait for their answers.
  void setAnswerDelay(milliseconds Delay) { AnswerDelay_ = Delay; }
  /// Makes all open connections silent.
  void silence() {
    const std::lock_guard Lock(Mutex_);
    for (tcp::socket &Connection : Connections_)
      dropPackets(Connection);
    Silenced_ = Connections_.size();
  }
  std::size_t accepted() const {
    const std::lock_guard Lock(Mutex_);
    return Connections_.size();
  }

private:
  void run() {
    while (!Stopping_) {
      tcp::socket Connection(Context_);
      asio::error_code IoError;
      Acceptor_.accept(Connection, IoError);
      if (Stopping_ || IoError)
        continue;
      const std::lock_guard Lock(Mutex_);
      tcp::socket &Added = Connections_.emplace_back(std::move(Connection));
      Threads_.emplace_back([this, &Added, Number = Connections_.size()] {
        serve(Added, Number);
      });
    }
  }

  bool isSilent(std::size_t Number) const {
    const std::lock_guard Lock(Mutex_);
    return Number <= Silenced_;
  }

  void serve(tcp::socket &Connection, std::size_t Number) {
    asio::streambuf Input;
    asio::error_code IoError;
    while (!IoError) {
      const std::size_t Size =
          asio::read_until(Connection, Input, "\r\n\r\n", IoError);
      if (IoError)
        return;
      Input.consume(Size);
      while (accepted() < OpenConnections && !Stopping_)
        std::this_thread::sleep_for(PollInterval);
      std::this_thread::sleep_for(AnswerDelay_.load());
      // The answer would pass: only packets to the server are dropped.
      if (isSilent(Number))
        return;
      asio::write(Connection,
                  asio::buffer(std::string(
                      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")),
                  IoError);
    }
  }

  asio::io_context Context_;
  tcp::acceptor Acceptor_;
  std::atomic<bool> Stopping_{false};
  std::atomic<milliseconds> AnswerDelay_{milliseconds(0)};
  mutable std::mutex Mutex_;
  std::list<tcp::socket> Connections_;
  /// The first this many connections are silent.
  std::size_t Silenced_ = 0;
  std::vector<std::thread> Threads_;
  std::thread Thread_;
};

std::future<HttpResult> send(HttpClient &Client, const std::string &Url,
                             const char *Method) {
  HttpCall Call;
  Call.Method = Method;
  Call.Url = Url;
  Call.Timeout = CallTimeout;
  auto Result = std::make_shared<std::promise<HttpResult>>();
  Client.send(std::move(Call), [Result](HttpResult Outcome) {
    Result->set_value(std::move(Outcome));
  });
  return Result->get_future();
}

/// Lets the client keep some idle connections to the server.
void openConnections(HttpClient &Client, const SilencedServer &Server) {
  std::vector<std::future<HttpResult>> Calls;
  Calls.reserve(OpenConnections);
  for (std::size_t Number = 0; Number < OpenConnections; ++Number)
    Calls.push_back(send(Client, Server.url(), "GET"));
  for (std::future<HttpResult> &Each : Calls)
    BOOST_REQUIRE(Each.get());
  BOOST_REQUIRE_EQUAL(Server.accepted(), OpenConnections);
}

} // namespace

// Guards against a request for changes that waits for its timeout on one silent
// connection after another, while the contracts become old.
BOOST_AUTO_TEST_CASE_TEMPLATE(readOnASilentConnectionIsRepeatedOnANewOne, Kind,
                              ClientKinds) {
  SilencedServer Server;
  const auto Client = Kind::make();
  openConnections(*Client, Server);
  Server.silence();
  auto Call = send(*Client, Server.url(), "GET");
  BOOST_REQUIRE(Call.wait_for(ContactTime) == std::future_status::ready);
  BOOST_CHECK(Call.get());
}

// Guards against a request that was received before its connection became
// silent, and waits for an answer until its timeout.
BOOST_AUTO_TEST_CASE_TEMPLATE(longPollOnASilentConnectionIsRepeated, Kind,
                              ClientKinds) {
  SilencedServer Server;
  const auto Client = Kind::make();
  openConnections(*Client, Server);
  Server.setAnswerDelay(milliseconds(500));
  auto Call = send(*Client, Server.url(), "GET");
  std::this_thread::sleep_for(milliseconds(100));
  Server.silence();
  BOOST_REQUIRE(Call.wait_for(ContactTime) == std::future_status::ready);
  BOOST_CHECK(Call.get());
}

// Guards against a write that is sent on a connection that has been silent for
// seconds, so that its outcome stays unknown.
BOOST_AUTO_TEST_CASE_TEMPLATE(silentConnectionsAreNotKept, Kind, ClientKinds) {
  SilencedServer Server;
  const auto Client = Kind::make();
  openConnections(*Client, Server);
  Server.silence();
  std::this_thread::sleep_for(ContactTime);
  auto Call = send(*Client, Server.url(), "POST");
  BOOST_REQUIRE(Call.wait_for(ContactTime) == std::future_status::ready);
  BOOST_CHECK(Call.get());
}
