// Measures the processor time of a scheduling pass of the pool scheduler for
// several numbers of waiting jobs, and prints Markdown tables. The last column
// of the first one is a checksum of all starts and advice requests: a change
// that only saves time leaves it as it is. The second table is for steps that
// can't start ahead of a job that can.
//
// usage: pool_benchmark [VMS [JOBS [ACCOUNTS [learn]]]]
//
// JOBS, unless it is 0, restricts the run to one of the numbers of jobs. Jobs
// belong to ACCOUNTS accounts in turn, half of them within their rates. With a
// fourth argument, run times are predicted and SlackOrder is on.

#include <cstdlib>
#include <ctime>
#include <random>

#include <fmt/format.h>

#include "PoolVms.h"
#include "cuminroad/base/ManualClock.h"
#include "cuminroad/pool/PoolScheduler.h"
#include "cuminroad/pool/SystemWallClock.h"

using namespace cuminroad;

namespace {

double threadCpuMs() {
  timespec Now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Now);
  return static_cast<double>(Now.tv_sec) * 1e3 +
         static_cast<double>(Now.tv_nsec) / 1e6;
}

constexpr Capacity LargeQuota{1'000'000'000, 1'000'000'000, 1'000'000'000};

/// A pool with more waiting work than capacity, as after an outage.
class OverloadedPool {
public:
  OverloadedPool(int Vms, int Jobs, int Accounts, const PoolOptions &Options)
      : Scheduler_(makePoolScheduler(MonotonicClock_, SystemClock_, Options)),
        Accounts_(Accounts) {
    addPoolVms(*Scheduler_, Vms, MonotonicClock_.now());
    std::vector<ClientAccount> Contracts(static_cast<std::size_t>(Accounts));
    for (std::size_t Number = 0; Number < Contracts.size(); ++Number) {
      Contracts[Number].Name = fmt::format("a{}", Number);
      Contracts[Number].Weight = Jobs / (2.0 * Accounts);
      Contracts[Number].MaxRunning = LargeQuota;
    }
    Scheduler_->setAccounts(Contracts);
    for (int Number = 0; Number < Jobs; ++Number)
      addJob(Number);
  }

  /// Runs one pass, including the encoding of changed progress records.
  /// \returns its time in milliseconds.
  double runPass() {
    const double Begin = threadCpuMs();
    Scheduler_->schedule();
    std::size_t Bytes = 0;
    const auto Commands = Scheduler_->takeCommands();
    for (const std::string &Job : Scheduler_->takeChangedJobs())
      Bytes += encodeProgress(Scheduler_->progress(Job)).size();
    const double ElapsedMs = threadCpuMs() - Begin;
    for (const PoolCommand &Command : Commands)
      respondTo(Command);
    RecordedBytes_ += Bytes;
    return ElapsedMs;
  }

  /// Advances the clock by 15 ms and ends one run in 40, chosen at random.
  void endSomeRuns() {
    MonotonicClock_.advance(milliseconds(15));
    const std::size_t EndCount = Running_.size() / 40;
    for (std::size_t Each = 0; Each < EndCount; ++Each) {
      const std::size_t Index = Random_() % Running_.size();
      std::swap(Running_[Index], Running_.back());
      const StartRun Run = Running_.back();
      Running_.pop_back();
      Scheduler_->taskEnded(
          Run.Vm, TaskEnd{++EndNumber_, Run.Run, RunOutcome::Done, ""});
      ++EndedRuns_;
    }
  }

  std::size_t startedRuns() const { return StartedRuns_; }
  std::size_t adviceRequests() const { return AdviceRequests_; }
  std::size_t recordedBytes() const { return RecordedBytes_; }
  std::uint64_t checksum() const { return Checksum_; }

private:
  void addJob(int Number) {
    JobPlan Plan;
    Plan.Id = fmt::format("{:016x}", Number);
    if (Accounts_ > 0)
      Plan.Account = fmt::format("a{}", Number % Accounts_);
    const int Steps = 1 + static_cast<int>(Random_() % 2);
    for (int Each = 0; Each < Steps; ++Each) {
      StepPlan Step;
      Step.Tasks = 2 + static_cast<int>(Random_() % 18);
      Step.PerTask =
          Capacity{500 + static_cast<int>(Random_() % 4000), 2000, 0};
      Step.Estimate = milliseconds(700);
      if (Each > 0)
        Step.DependsOn = {Each - 1};
      Plan.Steps.push_back(Step);
    }
    QueueTerms Terms;
    Terms.Name = "q";
    Terms.MaxAttempts = 3;
    Terms.Stretch = 2;
    Terms.Advice = AdviceTerms{milliseconds(14), 0.2, milliseconds(2000)};
    Scheduler_->addJob(Plan, Terms, MonotonicClock_.now());
  }

  /// Carries out a command: a start succeeds, and the advisor allows about 70 %
  /// of the VMs that it is asked for.
  void respondTo(const PoolCommand &Command) {
    if (const auto *Start = std::get_if<StartRun>(&Command)) {
      const TaskName &Task = Start->Run.Task;
      addToChecksum(fmt::format("{} {} {} {} {}", Start->Vm, Task.Step.Job,
                                Task.Step.Step, Task.Index, Start->Run.Number));
      Scheduler_->startAnswered(Start->Vm, Start->Run, StartOutcome::Accepted);
      Running_.push_back(*Start);
      ++StartedRuns_;
    } else if (const auto *Advice = std::get_if<RequestAdvice>(&Command)) {
      ++AdviceRequests_;
      for (const std::string &Vm : Advice->Vms)
        addToChecksum(Vm);
      std::vector<AdviceTicket> Allowed;
      for (const std::string &Vm : Advice->Vms)
        if (Random_() % 10 < 7)
          Allowed.push_back(AdviceTicket{Vm, "ticket"});
      Scheduler_->adviceReceived(Advice->Step, Advice->Vms, Allowed,
                                 MonotonicClock_.now() + milliseconds(2000));
    }
  }

  /// FNV-1a over all bytes added so far.
  void addToChecksum(std::string_view Bytes) {
    for (const char Byte : Bytes)
      Checksum_ =
          (Checksum_ ^ static_cast<unsigned char>(Byte)) * 1099511628211U;
  }

  ManualClock MonotonicClock_;
  SystemWallClock SystemClock_;
  std::mt19937 Random_{1};
  std::unique_ptr<PoolScheduler> Scheduler_;
  int Accounts_;
  std::vector<StartRun> Running_;
  std::int64_t EndNumber_ = 0;
  std::size_t StartedRuns_ = 0;
  std::size_t AdviceRequests_ = 0;
  std::size_t EndedRuns_ = 0;
  std::size_t RecordedBytes_ = 0;
  std::uint64_t Checksum_ = 14695981039346656037U;
};

/// Steps that can't start, most urgent first.
enum class BlockedKind { TooLarge, WaitingForRoom, AllDifferent };

constexpr std::string_view BlockedKindNames[] = {
    "too large for all VMs", "waiting for room", "too large, all different"};

StepPlan makeBlockedStep(BlockedKind Kind, int Number) {
  StepPlan Out;
  Out.Estimate = milliseconds(700);
  switch (Kind) {
  case BlockedKind::TooLarge:
    Out.PerTask = Capacity{64000, 2000, 0};
    break;
  case BlockedKind::WaitingForRoom:
    Out.PerTask = Capacity{9000, 2000, 0};
    break;
  case BlockedKind::AllDifferent:
    Out.PerTask = Capacity{20000 + Number, 60000 - Number, 0};
    break;
  }
  return Out;
}

/// Prints the time of passes over \p Steps blocked steps on VMs that are half
/// full, and the number of passes until a less urgent job starts.
void measureBlockedSteps(int Vms, int Steps, BlockedKind Kind) {
  constexpr int MaxPasses = 200;
  ManualClock MonotonicClock;
  SystemWallClock SystemClock;
  const auto Scheduler = makePoolScheduler(MonotonicClock, SystemClock, {});
  addPoolVms(*Scheduler, Vms, MonotonicClock.now());
  const auto Add = [&](std::string Id, StepPlan Step, int Copies,
                       int Priority) {
    JobPlan Plan;
    Plan.Id = std::move(Id);
    Plan.Steps.assign(static_cast<std::size_t>(Copies), Step);
    QueueTerms Terms;
    Terms.Name = fmt::format("q{}", Priority);
    Terms.Priority = Priority;
    Scheduler->addJob(Plan, Terms, MonotonicClock.now());
  };
  StepPlan Running;
  Running.PerTask = Capacity{8000, 2000, 0};
  Running.LongRunning = true;
  Running.MaxPerVm = 1;
  Running.Tasks = Vms;
  Add("running", Running, 1, 0);
  Scheduler->schedule();
  (void)Scheduler->takeCommands();
  for (int Number = 0; Number < Steps; ++Number)
    Add(fmt::format("blocked-{}", Number), makeBlockedStep(Kind, Number), 1, 1);
  StepPlan Small;
  Small.PerTask = Capacity{1000, 1000, 0};
  Add("less-urgent", Small, 1, 2);
  int FirstStart = 0;
  double TotalMs = 0;
  for (int Pass = 1; Pass <= MaxPasses; ++Pass) {
    MonotonicClock.advance(milliseconds(15));
    const double Begin = threadCpuMs();
    Scheduler->schedule();
    TotalMs += threadCpuMs() - Begin;
    if (!Scheduler->takeCommands().empty() && FirstStart == 0)
      FirstStart = Pass;
  }
  fmt::print("| {} | {} | {:.3f} | {} |\n",
             BlockedKindNames[static_cast<std::size_t>(Kind)], Steps,
             TotalMs / MaxPasses,
             FirstStart > 0 ? fmt::to_string(FirstStart) : "never");
}

} // namespace

int main(int Argc, char **Argv) {
  const int Vms = Argc > 1 ? std::atoi(Argv[1]) : 252;
  const int Accounts = Argc > 3 ? std::atoi(Argv[3]) : 0;
  PoolOptions Options;
  Options.PredictRunTimes = Options.SlackOrder = Argc > 4;
  fmt::print(
      "| jobs | ms per pass, mean | ms per pass, max | starts per pass | "
      "advice requests per pass | bytes recorded per pass | checksum |\n");
  fmt::print("| --- | --- | --- | --- | --- | --- | --- |\n");
  for (const int Jobs : {10, 100, 300, 1000, 3000}) {
    if (Argc > 2 && std::atoi(Argv[2]) != 0 && Jobs != std::atoi(Argv[2]))
      continue;
    OverloadedPool Pool(Vms, Jobs, Accounts, Options);
    constexpr int Passes = 200;
    double TotalMs = 0;
    double MaxMs = 0;
    for (int Number = 0; Number < Passes; ++Number) {
      const double ElapsedMs = Pool.runPass();
      TotalMs += ElapsedMs;
      MaxMs = std::max(MaxMs, ElapsedMs);
      Pool.endSomeRuns();
    }
    const auto PerPass = [](std::size_t Total) {
      return static_cast<double>(Total) / Passes;
    };
    fmt::print(
        "| {} | {:.3f} | {:.3f} | {:.1f} | {:.2f} | {:.0f} | {:016x} |\n", Jobs,
        TotalMs / Passes, MaxMs, PerPass(Pool.startedRuns()),
        PerPass(Pool.adviceRequests()), PerPass(Pool.recordedBytes()),
        Pool.checksum());
  }
  if (Argc > 2)
    return 0;
  fmt::print("\n| steps that can't start | number | ms per pass, mean | passes "
             "until the other job starts |\n");
  fmt::print("| --- | --- | --- | --- |\n");
  for (const BlockedKind Kind :
       {BlockedKind::TooLarge, BlockedKind::WaitingForRoom,
        BlockedKind::AllDifferent})
    for (const int Steps : {100, 1000, 10000})
      measureBlockedSteps(Vms, Steps, Kind);
  return 0;
}
