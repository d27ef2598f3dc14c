// Sends requests on a fixed schedule and prints throughput and latency as JSON.
// A late response delays no later request, and latency is measured from the
// time at which the request was due, so that slow responses are not hidden
// (coordinated omission).
//
// usage: load_generator RATE SECONDS BODY URL...
//
// RATE is in requests per second; the URLs are used in turn.

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <mutex>
#include <thread>

#include <fmt/format.h>

#include "cuminroad/base/SteadyClock.h"
#include "cuminroad/net/HttpClient.h"

using namespace cuminroad;

namespace {

/// How long to wait for outstanding responses after the last request.
constexpr milliseconds DrainTimeout{5000};

struct Measurements {
  std::mutex Mutex;
  std::vector<double> LatenciesMicros;
  std::size_t FailedRequests = 0;
};

double percentile(const std::vector<double> &Sorted, double Fraction) {
  return Sorted[static_cast<std::size_t>(
      Fraction * static_cast<double>(Sorted.size() - 1))];
}

void send(HttpClient &Client, const std::string &Url, const std::string &Body,
          TimePoint Due, Measurements &Results) {
  HttpCall Call;
  Call.Method = "POST";
  Call.Url = Url;
  Call.Body = Body;
  Call.Headers = {{"X-Idempotent", "true"}};
  Client.send(std::move(Call), [&Results, Due](const HttpResult &Response) {
    const double LatencyMicros = std::chrono::duration<double, std::micro>(
                                     std::chrono::steady_clock::now() - Due)
                                     .count();
    const std::lock_guard Lock(Results.Mutex);
    Results.LatenciesMicros.push_back(LatencyMicros);
    if (!Response || Response->Status != 200)
      ++Results.FailedRequests;
  });
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc < 5) {
    fmt::print(stderr, "usage: load_generator RATE SECONDS BODY URL...\n");
    return 2;
  }
  const int Rate = std::atoi(Argv[1]);
  const int Count = Rate * std::atoi(Argv[2]);
  const std::string Body = Argv[3];
  const std::vector<std::string> Urls(Argv + 4, Argv + Argc);
  Measurements Results;
  const auto Client = makeHttpClient();
  const TimePoint Begin = std::chrono::steady_clock::now();
  const auto SendInterval = std::chrono::nanoseconds(1'000'000'000 / Rate);
  for (int Index = 0; Index < Count; ++Index) {
    const TimePoint Due = Begin + SendInterval * Index;
    std::this_thread::sleep_until(Due);
    send(*Client, Urls[static_cast<std::size_t>(Index) % Urls.size()], Body,
         Due, Results);
  }
  const TimePoint End = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - End < DrainTimeout) {
    std::this_thread::sleep_for(milliseconds(10));
    const std::lock_guard Lock(Results.Mutex);
    if (Results.LatenciesMicros.size() == static_cast<std::size_t>(Count))
      break;
  }
  const std::lock_guard Lock(Results.Mutex);
  std::sort(Results.LatenciesMicros.begin(), Results.LatenciesMicros.end());
  const double Seconds = std::chrono::duration<double>(End - Begin).count();
  fmt::print("{{\"sent\":{},\"answered\":{},\"failed\":{},\"rate\":{:.0f},"
             "\"p50_us\":{:.0f},\"p99_us\":{:.0f},\"max_us\":{:.0f}}}\n",
             Count, Results.LatenciesMicros.size(), Results.FailedRequests,
             Count / Seconds, percentile(Results.LatenciesMicros, 0.5),
             percentile(Results.LatenciesMicros, 0.99),
             Results.LatenciesMicros.back());
  return Results.FailedRequests == 0 ? 0 : 1;
}
