#include "SiteModel.h"

#include <algorithm>

#include <fmt/format.h>

namespace cuminroad {

namespace {

constexpr Capacity SmallVm{16000, 32000, 0};
constexpr Capacity LargeVm{128000, 256000, 8};
constexpr int SmallVmsPerRack = 5;
constexpr int LargeVmsPerRack = 3;
/// Mean run time of a task that ends.
constexpr double MeanRunMs = 28000;
constexpr double ServiceShare = 0.2;
constexpr double GangShare = 0.05;
constexpr int UrgentEvery = 20;
/// Mean processors of a task, see pickSize().
constexpr double MeanCores = 4.3;
constexpr double AcceleratorShare = 0.05;
/// Arrivals come in waves around the mean rate.
constexpr milliseconds WavePeriod{60000};
constexpr milliseconds WaveHigh{20000};
constexpr double HighFactor = 1.5;
constexpr double LowFactor = 0.75;
constexpr milliseconds StepTime{10};

double percentile(std::vector<double> &Sorted, double Part) {
  if (Sorted.empty())
    return 0;
  const auto Index =
      static_cast<std::size_t>(Part * static_cast<double>(Sorted.size() - 1));
  return Sorted[Index];
}

} // namespace

SiteModel::SiteModel(const SiteSize &Size, std::uint32_t Seed)
    : Size_(Size), Random_(Seed) {}

void SiteModel::prepare(Scheduler &Core) {
  for (int Index = 0; Index < Size_.SmallVms + Size_.LargeVms; ++Index) {
    const bool Large = Index >= Size_.SmallVms;
    const std::string Id = fmt::format("vm{}", Index);
    const int Rack =
        Large ? 1000 + Index / LargeVmsPerRack : Index / SmallVmsPerRack;
    const Capacity Total = Large ? LargeVm : SmallVm;
    TotalCores_ += Total.MilliCores;
    Core.listVm(VmSpec{Id, "d1", std::to_string(Rack), "s", "", Total, 8, 64});
    Core.vmClaimed(Id, {});
  }
  for (int Index = 0; Index < Size_.Customers; ++Index) {
    ContractTerms Terms;
    Terms.MaxCapacity = Capacity{TotalCores_, TotalCores_ * 4, 10000};
    Terms.TaskStartWithin = milliseconds(10000);
    Terms.Urgent = Index % UrgentEvery == 0;
    Core.setLimit(fmt::format("c{}", Index), Terms);
  }
}

Capacity SiteModel::pickSize(bool Urgent) {
  if (Urgent)
    return Capacity{1000, 1500, 0};
  constexpr std::int64_t Cores[] = {1, 2, 3, 4, 6, 8, 12, 16, 32, 48};
  constexpr std::int64_t MemoryPerCore[] = {500, 1000, 2000, 3000};
  std::discrete_distribution<int> Size({25, 22, 15, 14, 9, 7, 4, 2, 1, 1});
  std::uniform_int_distribution<int> Ratio(0, 3);
  Capacity Out;
  Out.MilliCores = Cores[Size(Random_)] * 1000;
  Out.MemoryMb = Out.MilliCores / 1000 * MemoryPerCore[Ratio(Random_)];
  if (std::bernoulli_distribution(AcceleratorShare)(Random_))
    Out.Accelerators = 1 + Ratio(Random_);
  return Out;
}

JobSpec SiteModel::makeJob(bool Service) {
  JobSpec Spec;
  Spec.Id = fmt::format("j{}", NextJob_++);
  const int Customer =
      std::uniform_int_distribution<int>(0, Size_.Customers - 1)(Random_);
  // Urgent customers bring quick checks, not long-running work.
  const bool Urgent = Customer % UrgentEvery == 0 && !Service;
  const int Chosen = Customer % UrgentEvery == 0 && Service ? 1 : Customer;
  Spec.Customer = fmt::format("c{}", Chosen);
  Spec.PerTask = pickSize(Urgent);
  const double Kind = std::uniform_real_distribution<double>(0, 1)(Random_);
  Spec.Kind = Service                       ? JobKind::Service
              : Kind < GangShare && !Urgent ? JobKind::Gang
                                            : JobKind::Batch;
  Spec.Tasks = Spec.Kind == JobKind::Gang ? 8 : 1;
  Spec.Checkpointable = std::bernoulli_distribution(0.5)(Random_);
  if (Service)
    return Spec;
  const double RunMs =
      std::exponential_distribution<double>(1.0 / MeanRunMs)(Random_) + 200;
  const double Off = std::uniform_real_distribution<double>(-2, 2)(Random_);
  RunTimes_[Spec.Id] = milliseconds(static_cast<std::int64_t>(RunMs));
  Spec.Duration =
      milliseconds(static_cast<std::int64_t>(RunMs * std::exp2(Off)) + 1);
  return Spec;
}

void SiteModel::submit(Scheduler &Core, const JobSpec &Spec) {
  const int Customer = std::stoi(Spec.Customer.substr(1));
  Arrivals_[Spec.Id] =
      Arrival{Clock_.now(), Spec.Kind, Customer % UrgentEvery == 0};
  Specs_[Spec.Id] = Spec;
  Core.submit(Spec);
}

void SiteModel::decide(Scheduler &Core) {
  const auto Begin = std::chrono::steady_clock::now();
  Core.schedule();
  const double Micros = std::chrono::duration<double, std::micro>(
                            std::chrono::steady_clock::now() - Begin)
                            .count();
  std::size_t Starts = 0;
  std::vector<StopTask> Stops;
  for (const Command &Each : Core.takeCommands()) {
    if (const auto *Stop = std::get_if<StopTask>(&Each))
      Stops.push_back(*Stop);
    const auto *Start = std::get_if<StartTask>(&Each);
    if (!Start)
      continue;
    ++Starts;
    const TaskRef &Ref = Start->Task.Task;
    Running_[Ref] = Start->Size;
    UsedCores_ += Start->Size.MilliCores;
    Core.taskStarted(Start->Task);
    if (const auto Run = RunTimes_.find(Ref.Job); Run != RunTimes_.end())
      Ends_.push(End{Clock_.now() + Run->second, Start->Task});
    Arrival &Of = Arrivals_[Ref.Job];
    if (std::exchange(Of.Started, true))
      continue;
    const double Wait =
        std::chrono::duration<double, std::milli>(Clock_.now() - Of.At).count();
    (Of.Urgent                  ? UrgentWaits_
     : Of.Kind == JobKind::Gang ? GangWaits_
                                : BatchWaits_)
        .push_back(Wait);
  }
  for (const StopTask &Stop : Stops) {
    const auto Found = Running_.find(Stop.Task.Task);
    if (Found == Running_.end())
      continue;
    UsedCores_ -= Found->second.MilliCores;
    Running_.erase(Found);
    Core.taskEnded(Stop.Task, false, true);
  }
  Decisions_ += Starts;
  BusyMicros_ += Micros;
  if (Starts > 0)
    PassMicros_.push_back(Micros);
  if (!Stops.empty())
    decide(Core);
}

void SiteModel::endDue(Scheduler &Core) {
  while (!Ends_.empty() && Ends_.top().At <= Clock_.now()) {
    const TaskAttempt Task = Ends_.top().Task;
    Ends_.pop();
    const auto Found = Running_.find(Task.Task);
    if (Found == Running_.end())
      continue;
    UsedCores_ -= Found->second.MilliCores;
    Running_.erase(Found);
    Core.taskEnded(Task, false, false);
    decide(Core);
  }
}

double SiteModel::usedPercent() const {
  return 100.0 * static_cast<double>(UsedCores_) /
         static_cast<double>(TotalCores_);
}

double SiteModel::scarcestPercent(const Scheduler &Core) {
  Capacity Total;
  Capacity Free;
  for (const VmView &Vm : Core.vms()) {
    Total += Vm.Total;
    Free += Vm.FreeCapacity;
  }
  const auto Part = [](std::int64_t Left, std::int64_t Of) {
    return 100.0 - 100.0 * static_cast<double>(Left) / static_cast<double>(Of);
  };
  return std::max({Part(Free.MilliCores, Total.MilliCores),
                   Part(Free.MemoryMb, Total.MemoryMb),
                   Part(Free.Accelerators, Total.Accelerators)});
}

WaitFigures SiteModel::figures(std::vector<double> Waits) const {
  std::sort(Waits.begin(), Waits.end());
  return WaitFigures{Waits.size(), percentile(Waits, 0.5),
                     percentile(Waits, 0.99), Waits.empty() ? 0 : Waits.back()};
}

SiteFigures SiteModel::run(Scheduler &Core, milliseconds Time) {
  const double Target = Size_.LoadPercent / 100.0;
  while (usedPercent() < 100 * Target * ServiceShare) {
    submit(Core, makeJob(true));
    decide(Core);
  }
  // Arrivals that keep the rest of the target busy, by Little's law.
  const double Tasks = static_cast<double>(TotalCores_) / 1000.0 * Target *
                       (1 - ServiceShare) / MeanCores;
  const double TasksPerJob = 1 + GangShare * 7;
  const double JobsPerMs = Tasks / MeanRunMs / TasksPerJob;
  const double Mean = JobsPerMs * static_cast<double>(StepTime.count());
  const TimePoint Begin = Clock_.now();
  const TimePoint Stop = Begin + Time;
  while (Clock_.now() < Stop) {
    Clock_.advance(StepTime);
    endDue(Core);
    const bool High = (Clock_.now() - Begin) % WavePeriod < WaveHigh;
    std::poisson_distribution<int> Arriving(Mean *
                                            (High ? HighFactor : LowFactor));
    for (int Left = Arriving(Random_); Left > 0; --Left) {
      submit(Core, makeJob(false));
      decide(Core);
    }
    decide(Core);
  }
  SiteFigures Out;
  Out.Decisions = Decisions_;
  Out.DecisionsPerSecond =
      static_cast<double>(Decisions_) / BusyMicros_ * 1'000'000;
  std::sort(PassMicros_.begin(), PassMicros_.end());
  Out.P50Micros = percentile(PassMicros_, 0.5);
  Out.P99Micros = percentile(PassMicros_, 0.99);
  Out.UsedPercent = usedPercent();
  Out.Urgent = figures(UrgentWaits_);
  Out.Batch = figures(BatchWaits_);
  Out.Gang = figures(GangWaits_);
  for (const auto &[Id, Each] : Arrivals_)
    Out.NeverStarted += Each.Started ? 0 : 1;
  return Out;
}

double SiteModel::fillUntilWait(Scheduler &Core) {
  while (true) {
    JobSpec Spec = makeJob(false);
    if (Spec.Kind == JobKind::Gang)
      continue;
    submit(Core, Spec);
    decide(Core);
    if (!Arrivals_[Spec.Id].Started)
      return scarcestPercent(Core);
  }
}

} // namespace cuminroad
