// Measures the scheduler against first come, first fit, in one run.
//
// usage: scheduling_benchmark

#include <malloc.h>

#include <fmt/format.h>

#include "FirstComeFirstFit.h"
#include "SiteModel.h"

using namespace cuminroad;

namespace {

constexpr std::uint32_t Seed = 20261204;
constexpr SiteSize Today{35, 13, 40, 90};
constexpr SiteSize InTwoYears{380, 140, 210, 90};
constexpr milliseconds RunTime{180000};

std::size_t heapBytes() { return mallinfo2().uordblks; }

void printWaits(const char *Class, const WaitFigures &Ours,
                const WaitFigures &Naive) {
  fmt::print("  wait {:<8} p50 {:>8.0f} p99 {:>8.0f} max {:>8.0f} ms ({}) | "
             "naive p50 {:>8.0f} p99 {:>8.0f} max {:>8.0f} ms\n",
             Class, Ours.P50, Ours.P99, Ours.Max, Ours.Count, Naive.P50,
             Naive.P99, Naive.Max);
}

void compare(const char *Name, const SiteSize &Size) {
  SiteModel OurSite(Size, Seed);
  const auto Ours = makeScheduler(OurSite.clock(), SchedulerOptions(), 1);
  OurSite.prepare(*Ours);
  const SiteFigures Mine = OurSite.run(*Ours, RunTime);
  SiteModel NaiveSite(Size, Seed);
  FirstComeFirstFit Naive;
  NaiveSite.prepare(Naive);
  const SiteFigures Theirs = NaiveSite.run(Naive, RunTime);
  fmt::print("{}: {} VMs, {} customers, load {} %, {} s\n", Name,
             Size.SmallVms + Size.LargeVms, Size.Customers, Size.LoadPercent,
             RunTime.count() / 1000);
  fmt::print("  decisions {:>8}, {:>9.0f} a second (naive {:>9.0f}, ratio "
             "{:.2f})\n",
             Mine.Decisions, Mine.DecisionsPerSecond, Theirs.DecisionsPerSecond,
             Mine.DecisionsPerSecond / Theirs.DecisionsPerSecond);
  fmt::print("  one decision p50 {:.1f} p99 {:.1f} us (naive p50 {:.1f} p99 "
             "{:.1f})\n",
             Mine.P50Micros, Mine.P99Micros, Theirs.P50Micros,
             Theirs.P99Micros);
  fmt::print("  processors in use at the end {:.1f} % (naive {:.1f} %), never "
             "started {} (naive {})\n",
             Mine.UsedPercent, Theirs.UsedPercent, Mine.NeverStarted,
             Theirs.NeverStarted);
  printWaits("urgent", Mine.Urgent, Theirs.Urgent);
  printWaits("batch", Mine.Batch, Theirs.Batch);
  printWaits("gang", Mine.Gang, Theirs.Gang);
}

void compareFill(const char *Name, const SiteSize &Size) {
  double Ours = 0;
  double Naive = 0;
  constexpr int Rounds = 10;
  for (std::uint32_t Round = 0; Round < Rounds; ++Round) {
    SiteModel OurSite(Size, Seed + Round);
    const auto Core = makeScheduler(OurSite.clock(), SchedulerOptions(), 1);
    OurSite.prepare(*Core);
    Ours += OurSite.fillUntilWait(*Core) / Rounds;
    SiteModel NaiveSite(Size, Seed + Round);
    FirstComeFirstFit First;
    NaiveSite.prepare(First);
    Naive += NaiveSite.fillUntilWait(First) / Rounds;
  }
  fmt::print(
      "{}: scarcest resource in use when the first task waits {:.1f} % (naive "
      "{:.1f} %, bound 100 %), mean of {} seeds\n",
      Name, Ours, Naive, Rounds);
}

/// Heap growth from adding more of one thing, divided by how many.
template <typename Add> double bytesEach(int Count, Add Do) {
  const std::size_t Before = heapBytes();
  for (int Index = 0; Index < Count; ++Index)
    Do(Index);
  return static_cast<double>(heapBytes() - Before) / Count;
}

void measureMemory() {
  ManualClock Time;
  const auto Core = makeScheduler(Time, SchedulerOptions(), 1);
  const double PerVm = bytesEach(520, [&](int Index) {
    const std::string Id = fmt::format("domain1-rack{}-vm{}", Index / 5, Index);
    Core->listVm(VmSpec{Id, "domain1", fmt::format("rack{}", Index / 5),
                        "fitting", "http://10.0.0.1:8000/vm/" + Id,
                        Capacity{128000, 256000, 8}, 8, 64});
    Core->vmClaimed(Id, {});
  });
  const double PerCustomer = bytesEach(210, [&](int Index) {
    ContractTerms Terms;
    Terms.MaxCapacity = Capacity{100'000'000, 100'000'000, 100'000};
    Terms.TaskStartWithin = milliseconds(10000);
    Core->setLimit(fmt::format("customer-{}", Index), Terms);
  });
  const double PerTask = bytesEach(5300, [&](int Index) {
    JobSpec Spec;
    Spec.Id = fmt::format("domain1.customer-{}.{:032}", Index % 210, Index);
    Spec.Customer = fmt::format("customer-{}", Index % 210);
    Spec.PerTask = Capacity{1000, 1000, 0};
    Core->submit(Spec);
    Core->schedule();
    (void)Core->takeCommands();
  });
  fmt::print("memory of the scheduler: {:.0f} B a VM, {:.0f} B a customer, "
             "{:.0f} B a job of one task\n",
             PerVm, PerCustomer, PerTask);
}

} // namespace

int main() {
  measureMemory();
  compareFill("today", Today);
  compareFill("in two years", InTwoYears);
  compare("today", Today);
  compare("in two years", InTwoYears);
  return 0;
}
