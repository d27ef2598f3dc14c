// Compares the scheduler with the first-come, first-fit baseline in one run, on
// the same simulated load, and measures the scheduler's memory.
//
// usage: scheduling_benchmark

#include <malloc.h>

#include <fmt/format.h>

#include "FirstComeFirstFit.h"
#include "SiteModel.h"

using namespace cuminroad;

namespace {

constexpr std::uint32_t Seed = 20261204;
/// The site's size at present, and as expected in two years.
constexpr SiteParameters Today{35, 13, 40, 90};
constexpr SiteParameters InTwoYears{380, 140, 210, 90};
constexpr milliseconds RunTime{180000};

std::size_t heapBytes() { return mallinfo2().uordblks; }

void printWaitTimes(const char *Class, const WaitStatistics &Ours,
                    const WaitStatistics &Baseline) {
  fmt::print("  wait {:<8} p50 {:>8.0f} p99 {:>8.0f} max {:>8.0f} ms ({}) | "
             "baseline p50 {:>8.0f} p99 {:>8.0f} max {:>8.0f} ms\n",
             Class, Ours.P50, Ours.P99, Ours.Max, Ours.Count, Baseline.P50,
             Baseline.P99, Baseline.Max);
}

/// Runs both schedulers on the same arrivals and prints their results.
void compare(const char *Name, const SiteParameters &Parameters) {
  SiteModel OurSite(Parameters, Seed);
  const auto OurScheduler =
      makeScheduler(OurSite.clock(), SchedulerOptions(), 1);
  OurSite.addVmsAndCustomers(*OurScheduler);
  const SiteResults OurResults = OurSite.run(*OurScheduler, RunTime);
  SiteModel BaselineSite(Parameters, Seed);
  FirstComeFirstFit Baseline;
  BaselineSite.addVmsAndCustomers(Baseline);
  const SiteResults BaselineResults = BaselineSite.run(Baseline, RunTime);
  fmt::print("{}: {} VMs, {} customers, load {} %, {} s\n", Name,
             Parameters.SmallVms + Parameters.LargeVms, Parameters.Customers,
             Parameters.LoadPercent, RunTime.count() / 1000);
  fmt::print("  decisions {:>8}, {:>9.0f} per second (baseline {:>9.0f}, ratio "
             "{:.2f})\n",
             OurResults.Decisions, OurResults.DecisionsPerSecond,
             BaselineResults.DecisionsPerSecond,
             OurResults.DecisionsPerSecond /
                 BaselineResults.DecisionsPerSecond);
  fmt::print("  one decision p50 {:.1f} p99 {:.1f} us (baseline p50 {:.1f} p99 "
             "{:.1f})\n",
             OurResults.P50Micros, OurResults.P99Micros,
             BaselineResults.P50Micros, BaselineResults.P99Micros);
  fmt::print(
      "  processors in use at the end {:.1f} % (baseline {:.1f} %), never "
      "started {} (baseline {})\n",
      OurResults.UsedPercent, BaselineResults.UsedPercent,
      OurResults.NeverStarted, BaselineResults.NeverStarted);
  printWaitTimes("urgent", OurResults.Urgent, BaselineResults.Urgent);
  printWaitTimes("batch", OurResults.Batch, BaselineResults.Batch);
  printWaitTimes("gang", OurResults.Gang, BaselineResults.Gang);
}

/// Compares how full a site gets before the first task has to wait.
void compareUtilization(const char *Name, const SiteParameters &Parameters) {
  double OurPercent = 0;
  double BaselinePercent = 0;
  constexpr int Rounds = 10;
  for (std::uint32_t Round = 0; Round < Rounds; ++Round) {
    SiteModel OurSite(Parameters, Seed + Round);
    const auto TestedScheduler =
        makeScheduler(OurSite.clock(), SchedulerOptions(), 1);
    OurSite.addVmsAndCustomers(*TestedScheduler);
    OurPercent += OurSite.fillUntilFirstWait(*TestedScheduler) / Rounds;
    SiteModel BaselineSite(Parameters, Seed + Round);
    FirstComeFirstFit Baseline;
    BaselineSite.addVmsAndCustomers(Baseline);
    BaselinePercent += BaselineSite.fillUntilFirstWait(Baseline) / Rounds;
  }
  fmt::print("{}: scarcest resource in use when the first task waits {:.1f} % "
             "(baseline {:.1f} %, upper bound 100 %), mean of {} seeds\n",
             Name, OurPercent, BaselinePercent, Rounds);
}

/// \returns the heap growth per item while \p Count items are added.
template <typename Add> double bytesPerItem(int Count, Add AddItem) {
  const std::size_t Before = heapBytes();
  for (int Index = 0; Index < Count; ++Index)
    AddItem(Index);
  return static_cast<double>(heapBytes() - Before) / Count;
}

void measureMemory() {
  ManualClock MonotonicClock;
  const auto TestedScheduler =
      makeScheduler(MonotonicClock, SchedulerOptions(), 1);
  const double PerVm = bytesPerItem(520, [&](int Index) {
    const std::string Id = fmt::format("domain1-rack{}-vm{}", Index / 5, Index);
    TestedScheduler->listVm(VmSpec{
        Id, "domain1", fmt::format("rack{}", Index / 5), "fitting",
        "http://10.0.0.1:8000/vm/" + Id, Capacity{128000, 256000, 8}, 8, 64});
    TestedScheduler->vmClaimed(Id, {});
  });
  const double PerCustomer = bytesPerItem(210, [&](int Index) {
    ContractTerms Terms;
    Terms.MaxCapacity = Capacity{100'000'000, 100'000'000, 100'000};
    Terms.TaskStartWithin = milliseconds(10000);
    TestedScheduler->setLimit(fmt::format("customer-{}", Index), Terms);
  });
  const double PerTask = bytesPerItem(5300, [&](int Index) {
    JobSpec Spec;
    Spec.Id = fmt::format("domain1.customer-{}.{:032}", Index % 210, Index);
    Spec.Customer = fmt::format("customer-{}", Index % 210);
    Spec.PerTask = Capacity{1000, 1000, 0};
    TestedScheduler->submit(Spec);
    TestedScheduler->schedule();
    (void)TestedScheduler->takeCommands();
  });
  fmt::print("memory of the scheduler: {:.0f} B per VM, {:.0f} B per customer, "
             "{:.0f} B per job of one task\n",
             PerVm, PerCustomer, PerTask);
}

} // namespace

int main() {
  measureMemory();
  compareUtilization("today", Today);
  compareUtilization("in two years", InTwoYears);
  compare("today", Today);
  compare("in two years", InTwoYears);
  return 0;
}
