// Measures the processor time and the allocations of the parts of starting a
// run and recording its end that need no network, and prints a Markdown table.
//
// docs/CAPACITY.md has the budget of a start with its end, hold and record.

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <limits>
#include <new>

#include <fmt/format.h>

#include "AnswerExamples.h"
#include "cuminroad/base/EventLog.h"
#include "cuminroad/base/ManualClock.h"
#include "cuminroad/platform/PlatformStore.h"
#include "cuminroad/platform/PlatformVmCalls.h"
#include "cuminroad/pool/JobProgress.h"

namespace {

/// Allocations of the thread since it began.
thread_local std::size_t AllocationCount = 0;

} // namespace

void *operator new(std::size_t Size) {
  ++AllocationCount;
  if (void *Memory = std::malloc(std::max<std::size_t>(Size, 1)))
    return Memory;
  throw std::bad_alloc();
}
void operator delete(void *Memory) noexcept { std::free(Memory); }
void operator delete(void *Memory, std::size_t) noexcept { std::free(Memory); }

using namespace cuminroad;

namespace {

constexpr int Rounds = 20;
constexpr int OperationsPerRound = 500;
constexpr milliseconds CallTimeout{900};
/// Bytes of a large specification of a job.
constexpr std::size_t LargeSpecBytes = 4000;

/// Answers each call at once with the same response, or with a failure if there
/// is none.
class FakeHttpClient final : public HttpClient {
public:
  void send(HttpCall Call, HttpCallback Done) override {
    BytesSent_ += Call.Url.size() + Call.Body.size();
    Done(Response);
  }
  HttpTraffic traffic() const override { return {BytesSent_, 0, 0}; }

  HttpResult Response = failure(ErrorCode::ConnectFailed);

private:
  std::size_t BytesSent_ = 0;
};

/// \returns the number of lines of \p File.
std::size_t countLines(std::FILE *File) {
  std::rewind(File);
  std::size_t Lines = 0;
  for (int Character = 0; (Character = std::getc(File)) != EOF;)
    Lines += Character == '\n';
  return Lines;
}

/// Cost of one operation.
struct Cost {
  double Microseconds = 0;
  double Allocations = 0;
};

double threadMicroseconds() {
  timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * 1e6 +
         static_cast<double>(Time.tv_nsec) / 1e3;
}

/// \returns the cost of \p Operation in the fastest round.
Cost measure(const std::function<void()> &Operation) {
  Cost Lowest{std::numeric_limits<double>::infinity(), 0};
  for (int Round = 0; Round < Rounds; ++Round) {
    const std::size_t AllocationsBefore = AllocationCount;
    const double Begin = threadMicroseconds();
    for (int Number = 0; Number < OperationsPerRound; ++Number)
      Operation();
    const double Elapsed = threadMicroseconds() - Begin;
    Lowest.Microseconds =
        std::min(Lowest.Microseconds, Elapsed / OperationsPerRound);
    Lowest.Allocations =
        static_cast<double>(AllocationCount - AllocationsBefore) /
        OperationsPerRound;
  }
  return Lowest;
}

/// Measures \p Operation and prints its row. \returns the cost.
Cost report(std::string_view Name, const std::function<void()> &Operation) {
  const Cost Measured = measure(Operation);
  fmt::print("| {} | {:.2f} | {:.1f} |\n", Name, Measured.Microseconds,
             Measured.Allocations);
  return Measured;
}

const VmTarget Vm{"i-72d35cc1a0", "10.11.12.13:7380", 17, false};
const TaskRun Run{{{"5c0e7a21d94b36f8", 0, 1}, 17}, 2};

StartOrder makeStartOrder(std::string Spec) {
  return StartOrder{Run, std::move(Spec), milliseconds(486113),
                    "00000bb87a21d94b", "c81e728d9d4c2f63"};
}

/// A specification that is a JSON text, of which quotes are escaped.
std::string makeJsonSpec() {
  std::string Spec = "[";
  while (Spec.size() < LargeSpecBytes)
    Spec += R"({"image":"registry.example/batch","argument":"value"},)";
  Spec.resize(LargeSpecBytes);
  return Spec;
}

JobProgress makeProgress() {
  JobProgress Progress;
  Progress.Stage = JobStage::Running;
  StepProgress Step;
  for (int Index = 0; Index < 10; ++Index) {
    TaskProgress Task;
    Task.Index = Index;
    Task.Done = Index < 3;
    Task.Run = 2;
    Task.Vm = "i-72d35cc1a0";
    Task.VmIncarnation = 1700000000000;
    Step.Tasks.push_back(std::move(Task));
  }
  Progress.Occurrences.push_back(OccurrenceProgress{0, false, {Step}});
  return Progress;
}

Cost reportCalls() {
  FakeHttpClient Client;
  PlatformVmCalls Calls(Client);
  Cost Total;
  const auto Add = [&](const Cost &Part) {
    Total.Microseconds += Part.Microseconds;
    Total.Allocations += Part.Allocations;
  };
  const auto Start = [&](std::string Spec) {
    return [&Calls, Order = makeStartOrder(std::move(Spec))] {
      Calls.start(Vm, Order, CallTimeout, [](const Result<OrderAnswer> &) {});
    };
  };
  const auto Hold = [&] {
    Calls.hold(Vm, HoldOrder{milliseconds(486113), 57, milliseconds(1000)},
               CallTimeout, [](const Result<HoldAnswer> &) {});
  };
  report("start call, specification of 200 bytes",
         Start(std::string(200, 's')));
  report("start call, specification of 4,000 bytes",
         Start(std::string(LargeSpecBytes, 's')));
  report("start call, specification of 4,000 bytes of JSON",
         Start(makeJsonSpec()));
  report("start call, 4,000 bytes of JSON unlike those of the call before",
         [&Calls, Number = 0,
          Orders = std::array{makeStartOrder("[" + makeJsonSpec()),
                              makeStartOrder("{" + makeJsonSpec())}]() mutable {
           Calls.start(Vm, Orders.at(static_cast<std::size_t>(++Number % 2)),
                       CallTimeout, [](const Result<OrderAnswer> &) {});
         });
  Client.Response = HttpResponse{200, {}, OrderAnswerExample};
  Add(report("start call and its answer, specification of 200 bytes",
             Start(std::string(200, 's'))));
  Client.Response = failure(ErrorCode::ConnectFailed);
  report("hold call", Hold);
  for (const int Running : {0, 1, 4})
    for (const int Ends : {0, 1}) {
      Client.Response = HttpResponse{200, {}, makeHoldAnswer(Running, Ends)};
      const Cost Measured = report(
          fmt::format("hold call and its answer with {} running and {} ended",
                      Running, Ends),
          Hold);
      // The end arrives with one hold and is acknowledged with the next one.
      if (Running == 4)
        Add(Measured);
    }
  return Total;
}

} // namespace

int main() {
  fmt::print("| part | processor time, us | allocations |\n");
  fmt::print("| --- | --- | --- |\n");
  Cost Total = reportCalls();

  const JobProgress Progress = makeProgress();
  const auto ProgressCost = report("progress record of 10 tasks", [&] {
    (void)encodeProgress(Progress).size();
  });

  FakeHttpClient Client;
  ManualClock MonotonicClock;
  PlatformStore Store("127.0.0.1:3", Client, MonotonicClock);
  Client.Response = HttpResponse{200, {}, CommitAnswerExample};
  RowTransaction Change;
  Change.Checks.push_back(RowCheck{RowName{"owners", "pool", "term"}, 4});
  Change.Puts.push_back(RowPut{RowName{"progress", "pool", "5c0e7a21d94b36f8"},
                               encodeProgress(Progress)});
  const auto StoreCost = report("transaction of one record", [&] {
    Store.commit(Change, CallTimeout, [](const Result<RowCommit> &) {});
  });

  std::FILE *LogFile = std::tmpfile();
  if (LogFile == nullptr) {
    fmt::print(stderr, "can't open a temporary file\n");
    return 1;
  }
  EventLog Log("node-1", 4096, LogFile);
  std::vector<EventId> Ids;
  for (const EventInfo &Info : eventCatalogue())
    Ids.push_back(Info.Id);
  std::size_t Recorded = 0;
  // The events take turns, since the lines of each event are limited.
  const auto LogCost = report("log line", [&] {
    Log.record(Ids[Recorded++ % Ids.size()], "5c0e7a21d94b36f8.0.1.17 run 2",
               "i-72d35cc1a0 cpu 1500/16000 mem 4096/32768 age 12 ms");
  });
  const std::size_t Written = countLines(LogFile);
  std::fclose(LogFile);

  for (const Cost &Part : {ProgressCost, StoreCost, LogCost, LogCost}) {
    Total.Microseconds += Part.Microseconds;
    Total.Allocations += Part.Allocations;
  }
  fmt::print("| **start with its end, two holds, record and two lines** | "
             "**{:.2f}** | **{:.1f}** |\n",
             Total.Microseconds, Total.Allocations);
  if (Written < Recorded) {
    fmt::print(stderr, "{} of {} log lines were dropped\n", Recorded - Written,
               Recorded);
    return 1;
  }
  return 0;
}
