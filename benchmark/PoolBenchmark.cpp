// Cost of the pool scheduler's passes, against the number of jobs that wait.
//
//   pool_benchmark [VMS] [JOBS]

#include <chrono>
#include <cstdlib>
#include <random>

#include <fmt/format.h>

#include "cuminroad/base/ManualClock.h"
#include "cuminroad/pool/PoolScheduler.h"
#include "cuminroad/pool/SystemWallClock.h"

using namespace cuminroad;

namespace {

using Wall = std::chrono::steady_clock;

double millisSince(Wall::time_point Begin) {
  return std::chrono::duration<double, std::milli>(Wall::now() - Begin).count();
}

/// A pool under more work than it has room for, as after an outage.
class Backlog {
public:
  Backlog(int Vms, int Jobs) : Scheduler_(makePoolScheduler(Time_, Wall_, {})) {
    for (int Number = 0; Number < Vms; ++Number) {
      PoolVm Vm;
      Vm.Id = fmt::format("i-{:08x}", Number);
      Vm.Total = Capacity{16000, 32768, 0};
      Vm.Incarnation = 1;
      Scheduler_->vmListed(Vm);
      Scheduler_->vmReported(Vm.Id, 1, {}, Time_.now());
    }
    for (int Number = 0; Number < Jobs; ++Number)
      addJob(Number);
  }

  /// \returns the time of one pass, with what follows from it.
  double pass() {
    const auto Begin = Wall::now();
    Scheduler_->schedule();
    std::size_t Bytes = 0;
    const auto Commands = Scheduler_->takeCommands();
    for (const std::string &Job : Scheduler_->takeChangedJobs())
      Bytes += encodeProgress(Scheduler_->progress(Job)).size();
    const double Took = millisSince(Begin);
    for (const PoolCommand &Command : Commands)
      answer(Command);
    Bytes_ += Bytes;
    return Took;
  }

  /// Ends a part of what runs, and lets time pass.
  void work() {
    Time_.advance(milliseconds(15));
    const std::size_t Ends = Running_.size() / 40;
    for (std::size_t Each = 0; Each < Ends; ++Each) {
      const std::size_t Index = Random_() % Running_.size();
      std::swap(Running_[Index], Running_.back());
      const StartRun Run = Running_.back();
      Running_.pop_back();
      Scheduler_->taskEnded(
          Run.Vm, TaskEnd{++EndNumber_, Run.Run, RunOutcome::Done, ""});
      ++Ended_;
    }
  }

  std::size_t starts() const { return Starts_; }
  std::size_t asks() const { return Asks_; }
  std::size_t bytes() const { return Bytes_; }

private:
  void addJob(int Number) {
    JobPlan Plan;
    Plan.Id = fmt::format("{:016x}", Number);
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
    Scheduler_->addJob(Plan, Terms, Time_.now());
  }

  void answer(const PoolCommand &Command) {
    if (const auto *Start = std::get_if<StartRun>(&Command)) {
      Scheduler_->startAnswered(Start->Vm, Start->Run, StartOutcome::Accepted);
      Running_.push_back(*Start);
      ++Starts_;
    } else if (const auto *Ask = std::get_if<RequestAdvice>(&Command)) {
      ++Asks_;
      std::vector<AdviceTicket> Good;
      for (const std::string &Vm : Ask->Vms)
        if (Random_() % 10 < 7)
          Good.push_back(AdviceTicket{Vm, "ticket"});
      Scheduler_->adviceReceived(Ask->Step, Ask->Vms, Good,
                                 Time_.now() + milliseconds(2000));
    }
  }

  ManualClock Time_;
  SystemWallClock Wall_;
  std::mt19937 Random_{1};
  std::unique_ptr<PoolScheduler> Scheduler_;
  std::vector<StartRun> Running_;
  std::int64_t EndNumber_ = 0;
  std::size_t Starts_ = 0;
  std::size_t Asks_ = 0;
  std::size_t Ended_ = 0;
  std::size_t Bytes_ = 0;
};

} // namespace

int main(int Argc, char **Argv) {
  const int Vms = Argc > 1 ? std::atoi(Argv[1]) : 252;
  fmt::print("| jobs | ms a pass, mean | ms a pass, worst | starts a pass | "
             "questions a pass | bytes recorded a pass |\n");
  fmt::print("| --- | --- | --- | --- | --- | --- |\n");
  for (const int Jobs : {10, 100, 300, 1000, 3000}) {
    if (Argc > 2 && Jobs != std::atoi(Argv[2]))
      continue;
    Backlog Each(Vms, Jobs);
    constexpr int Passes = 200;
    double Sum = 0;
    double Worst = 0;
    for (int Number = 0; Number < Passes; ++Number) {
      const double Took = Each.pass();
      Sum += Took;
      Worst = std::max(Worst, Took);
      Each.work();
    }
    const auto PerPass = [](std::size_t Total) {
      return static_cast<double>(Total) / Passes;
    };
    fmt::print("| {} | {:.3f} | {:.3f} | {:.1f} | {:.2f} | {:.0f} |\n", Jobs,
               Sum / Passes, Worst, PerPass(Each.starts()),
               PerPass(Each.asks()), PerPass(Each.bytes()));
  }
  return 0;
}
