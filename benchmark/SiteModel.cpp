#include "SiteModel.h"

#include <algorithm>

#include <fmt/format.h>

namespace cuminroad {

namespace {

constexpr Capacity SmallVm{16000, 32000, 0};
constexpr Capacity LargeVm{128000, 256000, 8};
constexpr int SmallVmsPerRack = 5;
constexpr int LargeVmsPerRack = 3;
/// Mean run time of a task that is no service, in milliseconds.
constexpr double MeanRunMs = 28000;
/// Share of the target load.
constexpr double ServiceShare = 0.2;
/// Share of the jobs that are neither services nor urgent.
constexpr double GangShare = 0.05;
/// One customer in this many is urgent.
constexpr int UrgentCustomerInterval = 20;
/// Mean number of cores of a task; follows from randomTaskSize().
constexpr double MeanTaskCores = 4.3;
/// Share of the tasks that use accelerators.
constexpr double AcceleratorShare = 0.05;
/// The arrival rate varies in waves: for WaveCrest of each WavePeriod it is
/// CrestFactor times the mean, and otherwise TroughFactor times the mean.
constexpr milliseconds WavePeriod{60000};
constexpr milliseconds WaveCrest{20000};
constexpr double CrestFactor = 1.5;
constexpr double TroughFactor = 0.75;
constexpr milliseconds StepTime{10};

double percentile(std::vector<double> &Sorted, double Fraction) {
  if (Sorted.empty())
    return 0;
  const auto Index = static_cast<std::size_t>(
      Fraction * static_cast<double>(Sorted.size() - 1));
  return Sorted[Index];
}

} // namespace

SiteModel::SiteModel(const SiteParameters &Parameters, std::uint32_t Seed)
    : Parameters_(Parameters), Random_(Seed) {}

void SiteModel::addVmsAndCustomers(Scheduler &TestedScheduler) {
  for (int Index = 0; Index < Parameters_.SmallVms + Parameters_.LargeVms;
       ++Index) {
    const bool Large = Index >= Parameters_.SmallVms;
    const std::string Id = fmt::format("vm{}", Index);
    const int Rack =
        Large ? 1000 + Index / LargeVmsPerRack : Index / SmallVmsPerRack;
    const Capacity Total = Large ? LargeVm : SmallVm;
    TotalMilliCores_ += Total.MilliCores;
    TestedScheduler.listVm(
        VmSpec{Id, "d1", std::to_string(Rack), "s", "", Total, 8, 64});
    TestedScheduler.vmClaimed(Id, {});
  }
  for (int Index = 0; Index < Parameters_.Customers; ++Index) {
    ContractTerms Terms;
    Terms.MaxCapacity = Capacity{TotalMilliCores_, TotalMilliCores_ * 4, 10000};
    Terms.TaskStartWithin = milliseconds(10000);
    Terms.Urgent = Index % UrgentCustomerInterval == 0;
    TestedScheduler.setLimit(fmt::format("c{}", Index), Terms);
  }
}

Capacity SiteModel::randomTaskSize(bool Urgent) {
  if (Urgent)
    return Capacity{1000, 1500, 0};
  constexpr std::int64_t Cores[] = {1, 2, 3, 4, 6, 8, 12, 16, 32, 48};
  constexpr std::int64_t MemoryPerCore[] = {500, 1000, 2000, 3000};
  std::discrete_distribution<int> CoresIndex(
      {25, 22, 15, 14, 9, 7, 4, 2, 1, 1});
  std::uniform_int_distribution<int> RatioIndex(0, 3);
  Capacity TaskSize;
  TaskSize.MilliCores = Cores[CoresIndex(Random_)] * 1000;
  TaskSize.MemoryMb =
      TaskSize.MilliCores / 1000 * MemoryPerCore[RatioIndex(Random_)];
  if (std::bernoulli_distribution(AcceleratorShare)(Random_))
    TaskSize.Accelerators = 1 + RatioIndex(Random_);
  return TaskSize;
}

JobSpec SiteModel::randomJob(bool Service) {
  JobSpec Spec;
  Spec.Id = fmt::format("j{}", NextJobNumber_++);
  const int Customer =
      std::uniform_int_distribution<int>(0, Parameters_.Customers - 1)(Random_);
  // Urgent customers submit short checks and run no services.
  const bool Urgent = Customer % UrgentCustomerInterval == 0 && !Service;
  const int CustomerIndex =
      Customer % UrgentCustomerInterval == 0 && Service ? 1 : Customer;
  Spec.Customer = fmt::format("c{}", CustomerIndex);
  Spec.PerTask = randomTaskSize(Urgent);
  const double KindDraw = std::uniform_real_distribution<double>(0, 1)(Random_);
  Spec.Kind = Service                           ? JobKind::Service
              : KindDraw < GangShare && !Urgent ? JobKind::Gang
                                                : JobKind::Batch;
  Spec.Tasks = Spec.Kind == JobKind::Gang ? 8 : 1;
  Spec.Checkpointable = std::bernoulli_distribution(0.5)(Random_);
  if (Service)
    return Spec;
  const double RunMs =
      std::exponential_distribution<double>(1.0 / MeanRunMs)(Random_) + 200;
  const double EstimateErrorLog2 =
      std::uniform_real_distribution<double>(-2, 2)(Random_);
  RunTimes_[Spec.Id] = milliseconds(static_cast<std::int64_t>(RunMs));
  Spec.Duration = milliseconds(
      static_cast<std::int64_t>(RunMs * std::exp2(EstimateErrorLog2)) + 1);
  return Spec;
}

void SiteModel::submit(Scheduler &TestedScheduler, const JobSpec &Spec) {
  const int Customer = std::stoi(Spec.Customer.substr(1));
  Arrivals_[Spec.Id] =
      Arrival{Clock_.now(), Spec.Kind, Customer % UrgentCustomerInterval == 0};
  Specs_[Spec.Id] = Spec;
  TestedScheduler.submit(Spec);
}

void SiteModel::runPass(Scheduler &TestedScheduler) {
  const auto Begin = std::chrono::steady_clock::now();
  TestedScheduler.schedule();
  const double Micros = std::chrono::duration<double, std::micro>(
                            std::chrono::steady_clock::now() - Begin)
                            .count();
  std::size_t Starts = 0;
  std::vector<StopTask> Stops;
  for (const Command &Each : TestedScheduler.takeCommands()) {
    if (const auto *Stop = std::get_if<StopTask>(&Each))
      Stops.push_back(*Stop);
    const auto *Start = std::get_if<StartTask>(&Each);
    if (!Start)
      continue;
    ++Starts;
    const TaskRef &Ref = Start->Task.Task;
    Running_[Ref] = Start->Size;
    UsedMilliCores_ += Start->Size.MilliCores;
    TestedScheduler.taskStarted(Start->Task);
    if (const auto Run = RunTimes_.find(Ref.Job); Run != RunTimes_.end())
      PlannedEnds_.push(PlannedEnd{Clock_.now() + Run->second, Start->Task});
    Arrival &JobArrival = Arrivals_[Ref.Job];
    if (std::exchange(JobArrival.Started, true))
      continue;
    const double Wait = std::chrono::duration<double, std::milli>(
                            Clock_.now() - JobArrival.Time)
                            .count();
    (JobArrival.Urgent                  ? UrgentWaits_
     : JobArrival.Kind == JobKind::Gang ? GangWaits_
                                        : BatchWaits_)
        .push_back(Wait);
  }
  for (const StopTask &Stop : Stops) {
    const auto Found = Running_.find(Stop.Task.Task);
    if (Found == Running_.end())
      continue;
    UsedMilliCores_ -= Found->second.MilliCores;
    Running_.erase(Found);
    TestedScheduler.taskEnded(Stop.Task, false, true);
  }
  Decisions_ += Starts;
  TotalPassMicros_ += Micros;
  if (Starts > 0)
    PassMicros_.push_back(Micros);
  if (!Stops.empty())
    runPass(TestedScheduler);
}

void SiteModel::endDueTasks(Scheduler &TestedScheduler) {
  while (!PlannedEnds_.empty() && PlannedEnds_.top().Time <= Clock_.now()) {
    const TaskAttempt Task = PlannedEnds_.top().Task;
    PlannedEnds_.pop();
    const auto Found = Running_.find(Task.Task);
    if (Found == Running_.end())
      continue;
    UsedMilliCores_ -= Found->second.MilliCores;
    Running_.erase(Found);
    TestedScheduler.taskEnded(Task, false, false);
    runPass(TestedScheduler);
  }
}

double SiteModel::usedProcessorPercent() const {
  return 100.0 * static_cast<double>(UsedMilliCores_) /
         static_cast<double>(TotalMilliCores_);
}

double SiteModel::scarcestResourcePercent(const Scheduler &TestedScheduler) {
  Capacity Total;
  Capacity Free;
  for (const VmView &Vm : TestedScheduler.vms()) {
    Total += Vm.Total;
    Free += Vm.FreeCapacity;
  }
  const auto UsedPercent = [](std::int64_t Free, std::int64_t Total) {
    return 100.0 -
           100.0 * static_cast<double>(Free) / static_cast<double>(Total);
  };
  return std::max({UsedPercent(Free.MilliCores, Total.MilliCores),
                   UsedPercent(Free.MemoryMb, Total.MemoryMb),
                   UsedPercent(Free.Accelerators, Total.Accelerators)});
}

WaitStatistics SiteModel::waitStatistics(std::vector<double> Waits) const {
  std::sort(Waits.begin(), Waits.end());
  return WaitStatistics{Waits.size(), percentile(Waits, 0.5),
                        percentile(Waits, 0.99),
                        Waits.empty() ? 0 : Waits.back()};
}

SiteResults SiteModel::run(Scheduler &TestedScheduler, milliseconds Duration) {
  const double TargetLoad = Parameters_.LoadPercent / 100.0;
  while (usedProcessorPercent() < 100 * TargetLoad * ServiceShare) {
    submit(TestedScheduler, randomJob(true));
    runPass(TestedScheduler);
  }
  // By Little's law, the arrival rate of jobs that keeps the rest of the target
  // load busy.
  const double RunningTasks = static_cast<double>(TotalMilliCores_) / 1000.0 *
                              TargetLoad * (1 - ServiceShare) / MeanTaskCores;
  const double TasksPerJob = 1 + GangShare * 7;
  const double JobsPerMs = RunningTasks / MeanRunMs / TasksPerJob;
  const double JobsPerStep = JobsPerMs * static_cast<double>(StepTime.count());
  const TimePoint Begin = Clock_.now();
  const TimePoint Stop = Begin + Duration;
  while (Clock_.now() < Stop) {
    Clock_.advance(StepTime);
    endDueTasks(TestedScheduler);
    const bool InCrest = (Clock_.now() - Begin) % WavePeriod < WaveCrest;
    std::poisson_distribution<int> ArrivalCount(
        JobsPerStep * (InCrest ? CrestFactor : TroughFactor));
    for (int Left = ArrivalCount(Random_); Left > 0; --Left) {
      submit(TestedScheduler, randomJob(false));
      runPass(TestedScheduler);
    }
    runPass(TestedScheduler);
  }
  SiteResults Results;
  Results.Decisions = Decisions_;
  Results.DecisionsPerSecond =
      static_cast<double>(Decisions_) / TotalPassMicros_ * 1'000'000;
  std::sort(PassMicros_.begin(), PassMicros_.end());
  Results.P50Micros = percentile(PassMicros_, 0.5);
  Results.P99Micros = percentile(PassMicros_, 0.99);
  Results.UsedPercent = usedProcessorPercent();
  Results.Urgent = waitStatistics(UrgentWaits_);
  Results.Batch = waitStatistics(BatchWaits_);
  Results.Gang = waitStatistics(GangWaits_);
  for (const auto &[Id, Each] : Arrivals_)
    Results.NeverStarted += Each.Started ? 0 : 1;
  return Results;
}

double SiteModel::fillUntilFirstWait(Scheduler &TestedScheduler) {
  while (true) {
    JobSpec Spec = randomJob(false);
    if (Spec.Kind == JobKind::Gang)
      continue;
    submit(TestedScheduler, Spec);
    runPass(TestedScheduler);
    if (!Arrivals_[Spec.Id].Started)
      return scarcestResourcePercent(TestedScheduler);
  }
}

} // namespace cuminroad
