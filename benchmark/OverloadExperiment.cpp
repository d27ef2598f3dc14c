// Compares orders of waiting work under overload: simulates a pool under
// generated load, with the real scheduler, for each load and set of options.
//
// Usage: overload_experiment [LOAD [SEED]]

#include <algorithm>
#include <cstdlib>
#include <string_view>

#include <fmt/format.h>

#include "OverloadedPool.h"

using namespace cuminroad;

namespace {

constexpr int Accounts = 20;
constexpr milliseconds LoadTime{40000};
/// Long enough for all jobs that can still be of value.
constexpr milliseconds SimulatedTime{160000};
/// The part of the load in which something happens.
constexpr milliseconds EventAt{10000};
constexpr milliseconds EventTime{8000};
/// Value of a job that completes within three objectives, but not in one.
constexpr double LateValue = 0.2;

struct KindRate {
  JobKind Kind;
  /// Jobs per second on a calm day.
  double PerSecond;
};

/// A pool of one of the customers.
struct Site {
  std::string Name;
  std::vector<std::pair<int, Capacity>> Vms;
  std::vector<KindRate> Rates;
};

struct Load {
  std::string Name;
  /// Factor of all rates during the event.
  double Burst = 1;
  /// Factor of the rates of the first account during the event.
  double HotAccount = 1;
  /// Nothing is started for this long from the start of the event on.
  milliseconds Outage{0};
};

struct Orders {
  std::string Name;
  PoolOptions Options;
  bool WithAccounts = false;
};

Site manyCores() {
  Site Out{"cores", {}, {}};
  Out.Vms = {{84, {16000, 64000, 0}},
             {84, {32000, 128000, 0}},
             {84, {64000, 256000, 0}}};
  JobKind Quick;
  Quick.Name = "quick";
  Quick.Stretch = 1.5;
  Quick.Target = milliseconds(300);
  Quick.Tasks = 10;
  Quick.Size = {5000, 2000, 0};
  Quick.RunTime = milliseconds(700);
  JobKind QuickTwice = Quick;
  QuickTwice.Steps = 2;
  JobKind Large;
  Large.Name = "large";
  Large.Priority = 2;
  Large.Stretch = 4;
  Large.Target = milliseconds(3000);
  Large.Steps = 2;
  Large.Tasks = 22;
  Large.Size = {9000, 4000, 0};
  Large.RunTime = milliseconds(4500);
  JobKind Service;
  Service.Name = "service";
  Service.Priority = 1;
  Service.Tasks = 4;
  Service.Size = {4000, 2000, 0};
  Service.LongRunning = true;
  Out.Rates = {{Quick, 16}, {QuickTwice, 16}, {Large, 3.4}, {Service, 0.3}};
  return Out;
}

Site accelerators() {
  Site Out{"accelerators", {{98, {128000, 512000, 8}}}, {}};
  JobKind Gang;
  Gang.Name = "gang";
  Gang.Priority = 1;
  Gang.Stretch = 2.2;
  Gang.Target = milliseconds(1000);
  Gang.Tasks = 4;
  Gang.RunTime = milliseconds(4500);
  Gang.Gang = true;
  for (const int Each : {2, 4, 8}) {
    Gang.Size = {62000, 32000, Each};
    Out.Rates.push_back({Gang, 1.2});
  }
  JobKind Small;
  Small.Name = "small";
  Small.Priority = 2;
  Small.Stretch = 4;
  Small.Target = milliseconds(3000);
  Small.Tasks = 20;
  Small.Size = {11000, 8000, 1};
  Small.RunTime = milliseconds(2400);
  Out.Rates.push_back({Small, 4});
  return Out;
}

/// The result of one simulated load.
struct Results {
  std::vector<const JobOutcome *> Jobs;
  double Value = 0;

  void add(const JobOutcome &Job) {
    const int Objectives = Job.objectives();
    Value += Objectives == 1                     ? 1
             : Objectives > 0 && Objectives <= 3 ? LateValue
                                                 : 0;
    Jobs.push_back(&Job);
  }
  double perJob() const {
    return Jobs.empty() ? 0 : Value / static_cast<double>(Jobs.size());
  }
  /// \returns the share of the largest tenth that completed in time.
  double largestInTime() const {
    std::vector<const JobOutcome *> Sorted = Jobs;
    std::sort(Sorted.begin(), Sorted.end(),
              [](const JobOutcome *Left, const JobOutcome *Right) {
                return Left->MilliCoreSeconds > Right->MilliCoreSeconds;
              });
    Sorted.resize(Sorted.size() / 10);
    return OverloadedPool::inTime(Sorted);
  }
  double share(int First, int Last) const {
    const auto Count =
        std::count_if(Jobs.begin(), Jobs.end(), [&](const JobOutcome *Each) {
          const int Objectives = Each->objectives();
          return Objectives >= First && Objectives <= Last;
        });
    return Jobs.empty()
               ? 0
               : static_cast<double>(Count) / static_cast<double>(Jobs.size());
  }
};

/// \returns about the most value per job that an order could achieve that knows
/// all run times, on a single machine with all of the pool's cores on which
/// tasks need no contiguous room: earliest deadline first, without jobs whose
/// path is too long and without the largest of those that make others late.
/// \p StartsAfter when the outage ends for a job accepted at that time.
template <typename F>
double boundPerJob(std::vector<const JobOutcome *> Jobs, double MilliCores,
                   F StartsAfter) {
  struct Open {
    double Deadline, Work;
  };
  std::stable_sort(Jobs.begin(), Jobs.end(),
                   [](const JobOutcome *Left, const JobOutcome *Right) {
                     return Left->AcceptedAt < Right->AcceptedAt;
                   });
  const auto Seconds = [](auto Time) {
    return std::chrono::duration<double>(Time).count();
  };
  std::vector<Open> Queue;
  double Value = 0;
  double Now = 0;
  for (const JobOutcome *Job : Jobs) {
    const TimePoint Begin = StartsAfter(Job->AcceptedAt);
    if (Begin + Job->Path > Job->AcceptedAt + Job->Objective) {
      if (Begin + Job->Path <= Job->AcceptedAt + 3 * Job->Objective)
        Value += LateValue;
      continue;
    }
    Value += 1;
    const double At = Seconds(Begin.time_since_epoch());
    for (double Left = (At - Now) * MilliCores; Left > 0 && !Queue.empty();) {
      const double Done = std::min(Left, Queue.front().Work);
      Left -= Done;
      Queue.front().Work -= Done;
      if (Queue.front().Work <= 0)
        Queue.erase(Queue.begin());
    }
    Now = At;
    const Open New{
        Seconds((Job->AcceptedAt + Job->Objective).time_since_epoch()),
        Job->MilliCoreSeconds};
    Queue.insert(std::upper_bound(Queue.begin(), Queue.end(), New,
                                  [](const Open &Left, const Open &Right) {
                                    return Left.Deadline < Right.Deadline;
                                  }),
                 New);
    double Work = 0;
    for (std::size_t Index = 0; Index < Queue.size();) {
      Work += Queue[Index].Work;
      if (Now + Work / MilliCores <= Queue[Index++].Deadline)
        continue;
      const auto Largest = std::max_element(
          Queue.begin(), Queue.begin() + static_cast<std::ptrdiff_t>(Index),
          [](const Open &Left, const Open &Right) {
            return Left.Work < Right.Work;
          });
      Work -= Largest->Work;
      Queue.erase(Largest);
      --Index;
      Value -= 1 - LateValue;
    }
  }
  return Value / static_cast<double>(Jobs.size());
}

void runOne(const Site &Where, const Load &What, double EstimateSigma,
            const Orders &How, unsigned Seed) {
  Results All;
  std::map<std::string, Results> ByKind;
  OverloadedPool Pool(How.Options, Seed);
  double MilliCores = 0;
  for (const auto &[Count, Size] : Where.Vms) {
    Pool.addVms(Count, Size);
    MilliCores += static_cast<double>(Count * Size.MilliCores);
  }
  double JobsPerSecond = 0;
  for (const KindRate &Each : Where.Rates)
    JobsPerSecond += Each.PerSecond;
  std::vector<ClientAccount> Contracts(Accounts);
  for (int Number = 0; Number < Accounts; ++Number) {
    Contracts[static_cast<std::size_t>(Number)].Name =
        fmt::format("a{:02}", Number);
    Contracts[static_cast<std::size_t>(Number)].Weight =
        std::max(1.0, 2 * JobsPerSecond / Accounts);
  }
  if (How.WithAccounts)
    Pool.setAccounts(Contracts);
  for (KindRate Each : Where.Rates) {
    Each.Kind.EstimateSigma = EstimateSigma;
    const double Rate = Each.PerSecond / Accounts;
    for (const ClientAccount &Account : Contracts) {
      Pool.submitAtRate(Each.Kind, Account.Name, Rate, milliseconds(0),
                        LoadTime);
      const double Extra =
          (What.Burst - 1) +
          (&Account == &Contracts[0] ? What.HotAccount - 1 : 0);
      if (Extra > 0)
        Pool.submitAtRate(Each.Kind, Account.Name, Rate * Extra, EventAt,
                          EventTime);
    }
  }
  Pool.runFor(EventAt);
  const auto StartsAfter = [From = Pool.Clock.now(),
                            Until = Pool.Clock.now() +
                                    What.Outage](TimePoint Accepted) {
    return Accepted < From ? Accepted : std::max(Accepted, Until);
  };
  Pool.stopPasses(What.Outage);
  Pool.runFor(SimulatedTime - EventAt);
  for (const JobOutcome *Job : Pool.outcomes("", "", milliseconds(4000)))
    if (Job->Kind != "service") {
      // The hot account's jobs show only in the others' results.
      if (What.HotAccount > 1 && Job->Account == Contracts[0].Name)
        continue;
      All.add(*Job);
      ByKind[Job->Kind].add(*Job);
    }
  for (const JobOutcome *Job : Pool.outcomes("service"))
    ByKind["service"].Jobs.push_back(Job);
  std::string Line =
      fmt::format("| {} | {} | {:.1f} | {} | {:.3f} | {:.3f} |", Where.Name,
                  What.Name, EstimateSigma, How.Name, All.perJob(),
                  boundPerJob(All.Jobs, MilliCores, StartsAfter));
  for (const auto &[Kind, Results] : ByKind) {
    Line += fmt::format(" {}", Kind);
    // Services don't end.
    if (Kind != "service")
      Line += fmt::format(" {:.2f} {:.2f} {:.2f}; {:.2f};", Results.share(1, 1),
                          Results.share(2, 3), 1 - Results.share(1, 3),
                          Results.largestInTime());
    Line +=
        fmt::format(" {} {} ms |", Pool.waitQuantile(Results.Jobs, 0.5).count(),
                    Pool.waitQuantile(Results.Jobs, 0.99).count());
  }
  fmt::print("{} {:.2f} |\n", Line,
             std::chrono::duration<double, std::milli>(Pool.PassTime).count() /
                 static_cast<double>(Pool.Passes));
  std::fflush(stdout);
}

} // namespace

int main(int Argc, char **Argv) {
  const std::string_view Wanted = Argc > 1 ? Argv[1] : "";
  const unsigned Seed =
      Argc > 2 ? static_cast<unsigned>(std::atoi(Argv[2])) : 7;
  std::vector<Orders> All(4);
  All[0].Name = "today";
  All[1].Name = "predicted";
  All[1].Options.PredictRunTimes = true;
  All[2].Name = "slack";
  All[2].Options.SlackOrder = true;
  All[3].Name = "both";
  All[3].Options = All[1].Options;
  All[3].Options.SlackOrder = true;
  const std::vector<Load> Loads = {{"calm"},
                                   {"burst", 2.1},
                                   {"overload", 5},
                                   {"hot", 1, 12},
                                   {"outage", 1, 1, milliseconds(12000)}};
  fmt::print("| pool | load | error of estimates | order | value per job | "
             "bound | by kind: in time, late, hopeless; largest tenth in time; "
             "wait p50 p99 | "
             "ms per pass |\n| --- | --- | --- | --- | --- | --- | --- | --- "
             "|\n");
  for (const Load &Each : Loads)
    for (const Site &Where : {manyCores(), accelerators()}) {
      if (!Wanted.empty() && Wanted != Each.Name)
        continue;
      for (const double Sigma : {0.0, 0.7})
        for (Orders How : All) {
          runOne(Where, Each, Sigma, How, Seed);
          if (Each.HotAccount > 1 || Each.Burst > 4) {
            How.Name += ", accounts";
            How.WithAccounts = true;
            runOne(Where, Each, Sigma, How, Seed);
          }
        }
    }
}
