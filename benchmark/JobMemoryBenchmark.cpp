// Measures the memory of one job in the pool scheduler, and the processor time
// of its submission, of a pass and of its stored progress, and prints a
// Markdown table. No VM of the pool can host the job's tasks.
//
// usage: job_memory_benchmark

#include <ctime>
#include <malloc.h>

#include <fmt/format.h>

#include "PoolVms.h"
#include "cuminroad/base/ManualClock.h"
#include "cuminroad/pool/PoolScheduler.h"
#include "cuminroad/pool/SystemWallClock.h"

using namespace cuminroad;

namespace {

constexpr int Vms = 35;

std::size_t heapBytes() {
  const auto Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

double threadCpuMicros() {
  timespec Now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Now);
  return static_cast<double>(Now.tv_sec) * 1e6 +
         static_cast<double>(Now.tv_nsec) / 1e3;
}

void measure(int Steps, int TasksPerStep, int Occurrences) {
  ManualClock MonotonicClock;
  SystemWallClock SystemClock;
  const auto Scheduler = makePoolScheduler(MonotonicClock, SystemClock, {});
  addPoolVms(*Scheduler, Vms, MonotonicClock.now());
  Scheduler->schedule();
  JobPlan Plan;
  Plan.Id = "5c0e7a21d94b36f8";
  StepPlan Step;
  Step.Tasks = TasksPerStep;
  Step.PerTask = Capacity{64000, 100, 0};
  Step.Estimate = milliseconds(1000);
  Plan.Steps.assign(static_cast<std::size_t>(Steps), Step);
  Plan.Occurrences = Occurrences;
  QueueTerms Terms;
  Terms.Name = "q";
  const std::size_t HeapBefore = heapBytes();
  const double Begin = threadCpuMicros();
  Scheduler->addJob(Plan, Terms, MonotonicClock.now());
  const double Added = threadCpuMicros();
  Scheduler->schedule();
  const double Passed = threadCpuMicros();
  const std::size_t Heap = heapBytes() - HeapBefore;
  const std::string Stored = encodeProgress(Scheduler->progress(Plan.Id));
  const double Encoded = threadCpuMicros();
  fmt::print("| {} | {} | {} | {} | {:.0f} | {:.0f} | {:.0f} | {} |\n", Steps,
             static_cast<std::int64_t>(Steps) * TasksPerStep, Occurrences, Heap,
             Added - Begin, Passed - Added, Encoded - Passed, Stored.size());
}

} // namespace

int main() {
  fmt::print("| steps | tasks | occurrences | bytes | us to add | us of the "
             "first pass | us to encode | bytes stored |\n");
  fmt::print("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  measure(1, 1, 0);
  measure(1, 1000, 0);
  measure(1, 2'500'000, 0);
  measure(500, 1, 0);
  measure(500, 5000, 0);
  measure(1, 1, 1000);
  measure(1, 1, 1'000'000);
  return 0;
}
