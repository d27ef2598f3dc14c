#ifndef CUMINROAD_POOL_TESTS_CRASHINGPOOL_H
#define CUMINROAD_POOL_TESTS_CRASHINGPOOL_H

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "SchedulerFixture.h"

namespace cuminroad {

/// A pool of simulated VMs, some of which crash. A VM that has crashed is back
/// after a while, under a new id at the same address.
struct CrashingPool : SchedulerFixture {
  /// Lists \p Count VMs that each belong to one of \p Racks racks.
  void addVms(int Count, int Racks = 1);
  void submit(const std::string &Job, std::vector<StepPlan> Steps);
  /// Lets time pass, in steps of Tick.
  void runFor(milliseconds Duration);
  /// Crashes the VM that is now at the address, unless it is down.
  void crash(const std::string &Host);
  /// Replaces the scheduler by that of a new owner, which knows the jobs'
  /// persisted progress only.
  void takeOver();
  /// The most starts of any task.
  int mostStarts() const;
  std::optional<JobStage> stageOf(const std::string &Job) const {
    return Scheduler->stage(Job);
  }

  static constexpr milliseconds Tick{10};
  static constexpr Capacity VmSize{16000, 32000, 8};

  /// Whether the task crashes each VM that starts it.
  std::function<bool(const TaskName &)> IsDeadly = [](const TaskName &) {
    return false;
  };
  /// Time from the start of such a task to the crash.
  milliseconds CrashDelay{10};
  /// Time from a crash until the scheduler sees that the VM is unreachable, and
  /// until all its runs have ended.
  milliseconds NoticeDelay{30};
  milliseconds DownTime{3400};
  RunsEndedCause Cause = RunsEndedCause::AddressReused;
  /// A VM keeps its id over a crash, and is seen to have restarted.
  bool KeepIds = false;
  QueueTerms Queue = makeQueue();
  std::map<TaskName, int> StartCounts;
  int Crashes = 0;

private:
  struct SimulatedRun {
    StartRun Start;
    TimePoint StartedAt{};
    TimePoint EndsAt{};
  };
  struct SimulatedVm {
    std::string Host;
    std::vector<std::string> Labels;
    std::int64_t Incarnation = 1;
    std::vector<SimulatedRun> Runs;
    std::optional<TimePoint> CrashedAt;
    bool Noticed = false;
  };

  PoolVm describe(const std::string &Id, const SimulatedVm &Vm) const;
  void report(const std::string &Id, const SimulatedVm &Vm);
  void runVm(const std::string &Id, SimulatedVm &Vm);
  void noticeCrash(const std::string &Id, SimulatedVm &Vm);
  void crashVm(SimulatedVm &Vm);
  void breakGang(const StepName &Step);
  const StepPlan &stepPlan(const StepName &Step) const;
  void startRuns();

  std::map<std::string, SimulatedVm> Vms_;
  std::map<std::string, JobPlan> Plans_;
  int NextId_ = 0;
};

} // namespace cuminroad

#endif
