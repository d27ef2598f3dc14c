// Measures the processor time of one HTTP call of the client on a loop for
// several numbers of destinations, and prints a Markdown table. Like an owner
// and its VMs, the client has one call in flight at each destination that is
// not answered, and sends the measured calls on a second connection.
//
// usage: http_client_benchmark [DESTINATIONS [CALLS]]

#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <sys/resource.h>

#include "cuminroad/net/HttpServer.h"
#include "cuminroad/net/LoopHttp.h"

using namespace cuminroad;

namespace {

constexpr int ServerPort = 18431;
constexpr int CallsInFlight = 8;
/// Without it, answers could be there before the client waits for them.
constexpr milliseconds AnswerDelay{1};
constexpr std::size_t BodyBytes = 300;

double threadCpuMicroseconds() {
  timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return 1e6 * static_cast<double>(Time.tv_sec) +
         1e-3 * static_cast<double>(Time.tv_nsec);
}

long openDescriptors() {
  return std::distance(std::filesystem::directory_iterator("/proc/self/fd"),
                       std::filesystem::directory_iterator());
}

double residentMegabytes() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  return static_cast<double>(Usage.ru_maxrss) / 1024;
}

/// Answers calls after a delay, except holds, which it never answers. All
/// addresses of the loopback network reach it.
class Server {
public:
  Server() : Loop_(makeAsioLoop()) {
    Server_ = startLoopHttpServer(
        *Loop_, {"0.0.0.0", ServerPort},
        [this](const HttpRequest &Request, const HttpResponder &Respond) {
          if (Request.Path == "/hold")
            Holds_.push_back(Respond);
          else
            Loop_->after(AnswerDelay, [Respond] {
              Respond(HttpResponse{200, {}, R"({"outcome":"done"})"});
            });
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
  std::vector<HttpResponder> Holds_;
  std::unique_ptr<HttpServer> Server_;
  std::thread Thread_;
};

/// Calls the destinations in turn.
class CallSeries {
public:
  explicit CallSeries(int Destinations)
      : Destinations_(Destinations), Loop_(makeAsioLoop()),
        Client_(makeLoopHttpClient(*Loop_)), Body_(BodyBytes, 'x') {}

  /// \returns the processor time of each of \p Count calls in microseconds,
  /// after all connections were opened.
  double run(int Count) {
    for (int Destination = 0; Destination < Destinations_; ++Destination)
      Client_->send(makeCall(Destination, "/hold"), [](const HttpResult &) {});
    double Begin = 0;
    sendSeries(2 * Destinations_, [this, Count, &Begin] {
      Begin = threadCpuMicroseconds();
      sendSeries(Count, [this] { Loop_->stop(); });
    });
    Loop_->run();
    return (threadCpuMicroseconds() - Begin) / Count;
  }

  int failures() const { return Failures_; }

private:
  static HttpCall makeCall(int Destination, const char *Path) {
    HttpCall Call;
    Call.Method = "POST";
    Call.Url = fmt::format("http://127.1.{}.{}:{}{}", Destination / 250,
                           Destination % 250 + 1, ServerPort, Path);
    Call.Headers = {{"Content-Type", "application/json"},
                    {"Expected-Instance", "i-00000001"}};
    Call.ConnectTimeout = milliseconds(60000);
    Call.Timeout = milliseconds(110000);
    return Call;
  }

  void sendSeries(int Count, std::function<void()> Done) {
    Unsent_ = Count;
    Unanswered_ = Count;
    SeriesDone_ = std::move(Done);
    for (int Each = 0; Each < CallsInFlight && Unsent_ > 0; ++Each)
      sendNext();
  }

  void sendNext() {
    --Unsent_;
    HttpCall Call = makeCall(Next_, "/call");
    Next_ = (Next_ + 1) % Destinations_;
    Call.Body = Body_;
    Client_->send(std::move(Call), [this](const HttpResult &Result) {
      Failures_ += Result ? 0 : 1;
      --Unanswered_;
      if (Unsent_ > 0)
        sendNext();
      else if (Unanswered_ == 0)
        Loop_->post(std::exchange(SeriesDone_, nullptr));
    });
  }

  int Destinations_;
  std::unique_ptr<RunnableLoop> Loop_;
  std::unique_ptr<HttpClient> Client_;
  std::string Body_;
  int Next_ = 0;
  std::function<void()> SeriesDone_;
  int Unsent_ = 0;
  int Unanswered_ = 0;
  int Failures_ = 0;
};

void measure(int Destinations, int Calls) {
  Server Vms;
  CallSeries Series(Destinations);
  const double CallMicroseconds = Series.run(Calls);
  fmt::print("| {} | {:.1f} | {} | {:.1f} | {} |\n", Destinations,
             CallMicroseconds, openDescriptors(), residentMegabytes(),
             Series.failures());
  std::fflush(stdout);
}

} // namespace

int main(int Argc, char **Argv) {
  const int Calls = Argc > 2 ? std::atoi(Argv[2]) : 20000;
  std::vector<int> Sizes{2, 50, 250, 540, 1000, 3000};
  if (Argc > 1)
    Sizes = {std::atoi(Argv[1])};
  fmt::print("| destinations | us of processor a call | descriptors of client "
             "and server | greatest memory, MB | failed |\n"
             "| --- | --- | --- | --- | --- |\n");
  for (const int Destinations : Sizes)
    measure(Destinations, Calls);
}
