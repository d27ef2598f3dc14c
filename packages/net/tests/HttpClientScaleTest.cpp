// The client on a loop with many destinations, as an owner has with its VMs.

#include <algorithm>
#include <chrono>
#include <ctime>
#include <filesystem>
#include <limits>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "cuminroad/net/HttpServer.h"
#include "cuminroad/net/LoopHttp.h"

using namespace cuminroad;

namespace {

constexpr int ServerPort = 18432;

double threadCpuSeconds() {
  timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) +
         1e-9 * static_cast<double>(Time.tv_nsec);
}

long openDescriptors() {
  return std::distance(std::filesystem::directory_iterator("/proc/self/fd"),
                       std::filesystem::directory_iterator());
}

/// All addresses of the loopback network reach it.
class Server {
public:
  Server() : Loop_(makeAsioLoop()) {
    Server_ =
        startLoopHttpServer(*Loop_, {"0.0.0.0", ServerPort},
                            [](const HttpRequest &, const HttpResponder &Send) {
                              Send(HttpResponse{200, {}, "{}"});
                            });
    Thread_ = std::thread([this] { Loop_->run(); });
  }
  ~Server() {
    Loop_->stop();
    Thread_.join();
  }
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

private:
  std::unique_ptr<RunnableLoop> Loop_;
  std::unique_ptr<HttpServer> Server_;
  std::thread Thread_;
};

HttpCall callTo(int Destination) {
  HttpCall Call;
  Call.Url = "http://127.2." + std::to_string(Destination / 250) + "." +
             std::to_string(Destination % 250 + 1) + ":" +
             std::to_string(ServerPort) + "/";
  Call.ConnectTimeout = milliseconds(20000);
  Call.Timeout = milliseconds(20000);
  return Call;
}

/// A client whose loop the test's thread runs through all of its work.
class ClientOfMany {
public:
  explicit ClientOfMany(RunnableLoop &ControlLoop)
      : Loop_(ControlLoop), Client_(makeLoopHttpClient(ControlLoop)) {}

  /// Leaves \p Count destinations with two connections each, then calls \p
  /// Then.
  void openConnections(int Count, std::function<void()> Then) {
    if (Count == 0)
      return Then();
    const auto Remaining = std::make_shared<int>(2);
    for (int Call = 0; Call < 2; ++Call)
      send(Count - 1, [this, Count, Remaining, Then] {
        if (--*Remaining == 0)
          openConnections(Count - 1, Then);
      });
  }

  /// Calls ten destinations in turn, \p Count times in all.
  void callTen(int Count, std::function<void()> Then) {
    if (Count == 0)
      return Then();
    send(Count % 10, [this, Count, Then = std::move(Then)]() mutable {
      callTen(Count - 1, std::move(Then));
    });
  }

  int failures() const { return Failures_; }

private:
  void send(int Destination, std::function<void()> Then) {
    Client_->send(callTo(Destination),
                  [this, Then = std::move(Then)](const HttpResult &Result) {
                    Failures_ += Result ? 0 : 1;
                    // The next call must not start within the end of this one.
                    Loop_.post(Then);
                  });
  }

  RunnableLoop &Loop_;
  std::unique_ptr<HttpClient> Client_;
  int Failures_ = 0;
};

/// Compares the processor time of the same calls by two clients, in turn.
class Comparison {
public:
  Comparison(RunnableLoop &ControlLoop, ClientOfMany &Small,
             ClientOfMany &Large)
      : Loop_(ControlLoop), Small_(Small), Large_(Large) {}

  void run(int Rounds) {
    if (Rounds == 0)
      return Loop_.stop();
    measure(Small_, SmallSeconds, [this, Rounds] {
      measure(Large_, LargeSeconds, [this, Rounds] { run(Rounds - 1); });
    });
  }

  /// The least of all rounds.
  double SmallSeconds = std::numeric_limits<double>::max();
  double LargeSeconds = std::numeric_limits<double>::max();

private:
  static constexpr int CallsPerRound = 300;

  static void measure(ClientOfMany &Client, double &Least,
                      std::function<void()> Then) {
    const double Begin = threadCpuSeconds();
    Client.callTen(CallsPerRound, [Begin, &Least, Then = std::move(Then)] {
      Least = std::min(Least, threadCpuSeconds() - Begin);
      Then();
    });
  }

  RunnableLoop &Loop_;
  ClientOfMany &Small_;
  ClientOfMany &Large_;
};

} // namespace

// Guards against a call whose price grows with the number of destinations: the
// owner of many VMs would start fewer runs, the more VMs it has.
BOOST_AUTO_TEST_CASE(aCallCostsTheSameBesideManyConnections) {
  constexpr int ManyDestinations = 1000;
  const Server Vms;
  const auto ControlLoop = makeAsioLoop();
  ClientOfMany Small(*ControlLoop);
  ClientOfMany Large(*ControlLoop);
  Comparison Compared(*ControlLoop, Small, Large);
  const long DescriptorsBefore = openDescriptors();
  long DescriptorsOpened = 0;
  Small.openConnections(10, [&] {
    Large.openConnections(ManyDestinations, [&] {
      DescriptorsOpened = openDescriptors() - DescriptorsBefore;
      Compared.run(10);
    });
  });
  ControlLoop->run();
  BOOST_CHECK_EQUAL(Small.failures() + Large.failures(), 0);
  // Two connections each, with both ends in this process.
  BOOST_CHECK_GE(DescriptorsOpened, 4 * ManyDestinations);
  BOOST_CHECK_LE(Compared.LargeSeconds, 2 * Compared.SmallSeconds);
  BOOST_TEST_MESSAGE("beside few: " << Compared.SmallSeconds << " s, many: "
                                    << Compared.LargeSeconds << " s");
}
