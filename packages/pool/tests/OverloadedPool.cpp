#include "OverloadedPool.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include <fmt/format.h>

namespace cuminroad {

namespace {

constexpr milliseconds Tick{20};
constexpr milliseconds StartLatency{60};
constexpr milliseconds ReportInterval{500};

milliseconds scale(milliseconds Time, double Factor) {
  return milliseconds(
      static_cast<std::int64_t>(static_cast<double>(Time.count()) * Factor));
}

} // namespace

int JobOutcome::objectives() const {
  if (!CompletedAt)
    return 0;
  return static_cast<int>((*CompletedAt - AcceptedAt) / Objective) + 1;
}

OverloadedPool::OverloadedPool(const PoolOptions &Options, unsigned Seed)
    : Scheduler(makePoolScheduler(Clock, SystemClock, Options)), Random_(Seed) {
  Clock.advance(milliseconds(100000));
  Begin_ = Clock.now();
}

double OverloadedPool::lognormal(double Sigma) {
  return std::exp(std::normal_distribution(0.0, 1.0)(Random_) * Sigma);
}

void OverloadedPool::addVms(int Count, const Capacity &Size) {
  for (int Number = 0; Number < Count; ++Number) {
    const std::string Id = fmt::format("vm{:04}", Vms_.size());
    Scheduler->vmListed(makeVm(Id, Size));
    Scheduler->vmReported(Id, 1, RunReport::complete({}), Clock.now());
    Vms_[Id];
  }
}

void OverloadedPool::submitAtRate(const JobKind &Kind,
                                  const std::string &Account, double PerSecond,
                                  milliseconds After, milliseconds Duration) {
  std::exponential_distribution<double> Gap(PerSecond / 1000);
  for (double At = Gap(Random_); At < static_cast<double>(Duration.count());
       At += Gap(Random_))
    submit(Kind, Account,
           Clock.now() + After + milliseconds(static_cast<std::int64_t>(At)));
}

void OverloadedPool::submit(const JobKind &Kind, const std::string &Account,
                            TimePoint At) {
  const std::string Id = fmt::format("{}{:06}", Kind.Name, Jobs_.size());
  Job &New = Jobs_[Id];
  New.Plan.Id = Id;
  New.Plan.Account = Account;
  New.Terms = makeQueue(Kind.Priority);
  New.Terms.Name = Kind.Name;
  New.Terms.Stretch = Kind.Stretch;
  New.Terms.LatencyTarget = Kind.Target;
  New.Outcome.Kind = Kind.Name;
  New.Outcome.Account = Account;
  New.Outcome.AcceptedAt = At;
  const milliseconds Typical = scale(Kind.RunTime, lognormal(Kind.RunSigma));
  const milliseconds Estimate = std::max(
      scale(Typical, std::clamp(lognormal(Kind.EstimateSigma), 0.3, 3.0)),
      milliseconds(1));
  for (int Number = 0; Number < Kind.Steps; ++Number) {
    StepPlan Step;
    Step.Tasks = Kind.Tasks;
    Step.PerTask = Kind.Size;
    Step.Estimate = Estimate;
    Step.Gang = Kind.Gang;
    Step.LongRunning = Kind.LongRunning;
    if (Number > 0)
      Step.DependsOn = {Number - 1};
    New.Plan.Steps.push_back(Step);
    std::vector<milliseconds> &RunTimes = New.RunTimes.emplace_back();
    for (int Task = 0; Task < Kind.Tasks; ++Task)
      RunTimes.push_back(Kind.Gang ? Typical
                                   : scale(Typical, lognormal(Kind.TaskSigma)));
    New.Outcome.Objective += scale(Typical, Kind.Stretch);
    New.Outcome.Path += *std::max_element(RunTimes.begin(), RunTimes.end());
    for (const milliseconds Each : RunTimes)
      New.Outcome.MilliCoreSeconds +=
          static_cast<double>(Each.count() * Kind.Size.MilliCores) / 1000;
  }
  New.Outcome.Objective += Kind.Target;
  Arrivals_.emplace(At, Id);
}

void OverloadedPool::runFor(milliseconds Duration) {
  const TimePoint End = Clock.now() + Duration;
  for (; Clock.now() < End; Clock.advance(Tick)) {
    while (!Arrivals_.empty() && Arrivals_.begin()->first <= Clock.now()) {
      const Job &New = Jobs_.at(Arrivals_.begin()->second);
      Scheduler->addJob(New.Plan, New.Terms, New.Outcome.AcceptedAt);
      Arrivals_.erase(Arrivals_.begin());
    }
    endRuns();
    if (Clock.now() >= NextReport_)
      reportProgress();
    if (Clock.now() >= NoPassBefore_)
      startRuns();
  }
}

void OverloadedPool::startRuns() {
  const auto Begin = std::chrono::steady_clock::now();
  Scheduler->schedule();
  PassTime += std::chrono::steady_clock::now() - Begin;
  ++Passes;
  for (const PoolCommand &Command : Scheduler->takeCommands()) {
    const auto *Start = std::get_if<StartRun>(&Command);
    if (Start == nullptr)
      continue;
    const TaskName &Task = Start->Run.Task;
    Job &Owner = Jobs_.at(Task.Step.Job);
    const StepPlan &Step =
        Owner.Plan.Steps[static_cast<std::size_t>(Task.Step.Step)];
    const TimePoint StartedAt = Clock.now() + StartLatency;
    if (!Owner.Outcome.StartedAt)
      Owner.Outcome.StartedAt = StartedAt;
    const milliseconds RunTime =
        Owner.RunTimes[static_cast<std::size_t>(Task.Step.Step)]
                      [static_cast<std::size_t>(Task.Index)];
    Vms_[Start->Vm].push_back(SimulatedRun{
        *Start, StartedAt,
        Step.LongRunning ? TimePoint::max() : StartedAt + RunTime});
    Scheduler->startAnswered(Start->Vm, Start->Run, StartOutcome::Accepted);
  }
}

void OverloadedPool::endRuns() {
  const TimePoint Now = Clock.now();
  for (auto &[Vm, Runs] : Vms_)
    for (std::size_t Index = 0; Index < Runs.size();) {
      if (Runs[Index].EndsAt > Now) {
        ++Index;
        continue;
      }
      const StartRun Start = Runs[Index].Start;
      Runs.erase(Runs.begin() + static_cast<std::ptrdiff_t>(Index));
      Scheduler->taskEnded(
          Vm, TaskEnd{++LastEnd_, Start.Run, RunOutcome::Done, ""});
      const std::string &Name = Start.Run.Task.Step.Job;
      JobOutcome &Outcome = Jobs_.at(Name).Outcome;
      if (!Outcome.CompletedAt && Scheduler->stage(Name) == JobStage::Completed)
        Outcome.CompletedAt = Now;
    }
}

void OverloadedPool::reportProgress() {
  NextReport_ = Clock.now() + ReportInterval;
  for (const auto &[Vm, Runs] : Vms_) {
    std::vector<RunningTask> Running;
    for (const SimulatedRun &Run : Runs) {
      RunningTask &Each = Running.emplace_back();
      Each.Run = Run.Start.Run;
      Each.ProgressPercent =
          Run.EndsAt == TimePoint::max()
              ? 100
              : static_cast<int>(
                    (Clock.now() - Run.StartedAt) * 100 /
                    (Run.EndsAt - Run.StartedAt + milliseconds(1)));
      Each.ProgressPercent = std::max(Each.ProgressPercent, 0);
    }
    Scheduler->vmReported(Vm, 1, RunReport::complete(Running), Clock.now());
  }
}

std::vector<const JobOutcome *>
OverloadedPool::outcomes(const std::string &Kind, const std::string &Account,
                         milliseconds From, milliseconds To) const {
  std::vector<const JobOutcome *> Out;
  for (const auto &[Id, Each] : Jobs_) {
    const JobOutcome &Outcome = Each.Outcome;
    if ((Kind.empty() || Outcome.Kind == Kind) &&
        (Account.empty() || Outcome.Account == Account) &&
        Outcome.AcceptedAt >= Begin_ + From && Outcome.AcceptedAt < Begin_ + To)
      Out.push_back(&Outcome);
  }
  return Out;
}

milliseconds
OverloadedPool::waitQuantile(const std::vector<const JobOutcome *> &Jobs,
                             double Quantile) const {
  if (Jobs.empty())
    return milliseconds(0);
  std::vector<milliseconds> Waits;
  Waits.reserve(Jobs.size());
  for (const JobOutcome *Each : Jobs)
    Waits.push_back(Each->waited(Clock.now()));
  const auto Index = static_cast<std::ptrdiff_t>(
      Quantile * static_cast<double>(Waits.size() - 1));
  std::nth_element(Waits.begin(), Waits.begin() + Index, Waits.end());
  return Waits[static_cast<std::size_t>(Index)];
}

double OverloadedPool::inTime(const std::vector<const JobOutcome *> &Jobs) {
  const auto Count =
      std::count_if(Jobs.begin(), Jobs.end(), [](const JobOutcome *Each) {
        return Each->objectives() == 1;
      });
  return Jobs.empty()
             ? 1.0
             : static_cast<double>(Count) / static_cast<double>(Jobs.size());
}

} // namespace cuminroad
