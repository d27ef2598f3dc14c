#include "CrashingPool.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace cuminroad {

PoolVm CrashingPool::describe(const std::string &Id,
                              const SimulatedVm &Vm) const {
  PoolVm Out = makeVm(Id, VmSize, Vm.Labels);
  Out.Host = Vm.Host;
  Out.Incarnation = Vm.Incarnation;
  return Out;
}

void CrashingPool::addVms(int Count, int Racks) {
  for (int Number = 0; Number < Count; ++Number) {
    SimulatedVm Vm;
    Vm.Host = fmt::format("host{}", Number);
    Vm.Labels = {fmt::format("rack{}", Number % Racks)};
    const std::string Id = fmt::format("vm{}", NextId_++);
    addVm(describe(Id, Vm));
    Vms_[Id] = std::move(Vm);
  }
}

void CrashingPool::submit(const std::string &Job, std::vector<StepPlan> Steps) {
  Plans_[Job] = makeJob(Job, std::move(Steps));
  Scheduler->addJob(Plans_[Job], Queue, MonotonicClock.now());
}

void CrashingPool::runFor(milliseconds Duration) {
  for (milliseconds Elapsed{0}; Elapsed < Duration; Elapsed += Tick) {
    runPass();
    startRuns();
    MonotonicClock.advance(Tick);
    std::vector<std::string> Ids;
    for (const auto &[Id, Vm] : Vms_)
      Ids.push_back(Id);
    for (const std::string &Id : Ids) {
      SimulatedVm &Vm = Vms_[Id];
      if (Vm.CrashedAt)
        noticeCrash(Id, Vm);
      else
        runVm(Id, Vm);
    }
  }
}

void CrashingPool::startRuns() {
  for (const StopRun &Stop : Stops) {
    SimulatedVm &Vm = Vms_[Stop.Vm];
    if (!Vm.CrashedAt &&
        std::erase_if(Vm.Runs, [&Stop](const SimulatedRun &Run) {
          return Run.Start.Run == Stop.Run;
        }) > 0)
      Scheduler->taskEnded(
          Stop.Vm, TaskEnd{++LastEndNumber, Stop.Run, RunOutcome::Stopped, ""});
  }
  const TimePoint Now = MonotonicClock.now();
  for (const StartRun &Start : Starts) {
    SimulatedVm &Vm = Vms_[Start.Vm];
    if (Vm.CrashedAt || !Scheduler->isCurrentRun(Start.Vm, Start.Run)) {
      Scheduler->startAnswered(Start.Vm, Start.Run, StartOutcome::NotSent);
      continue;
    }
    ++StartCounts[Start.Run.Task];
    const StepPlan &Step = stepPlan(Start.Run.Task.Step);
    Vm.Runs.push_back(SimulatedRun{
        Start, Now, Step.LongRunning ? TimePoint::max() : Now + Step.Estimate});
    acceptStart(Start);
  }
}

void CrashingPool::report(const std::string &Id, const SimulatedVm &Vm) {
  std::vector<RunningTask> Running;
  for (const SimulatedRun &Run : Vm.Runs) {
    RunningTask Each;
    Each.Run = Run.Start.Run;
    Each.ProgressPercent =
        Run.EndsAt == TimePoint::max()
            ? 100
            : static_cast<int>((MonotonicClock.now() - Run.StartedAt) /
                               milliseconds(10) % 100);
    Running.push_back(std::move(Each));
  }
  Scheduler->vmReported(Id, Vm.Incarnation, RunReport::complete(Running),
                        MonotonicClock.now());
}

void CrashingPool::runVm(const std::string &Id, SimulatedVm &Vm) {
  const TimePoint Now = MonotonicClock.now();
  for (const SimulatedRun &Run : Vm.Runs)
    if (IsDeadly(Run.Start.Run.Task) && Now - Run.StartedAt >= CrashDelay)
      return crashVm(Vm);
  const std::vector<SimulatedRun> Runs = Vm.Runs;
  std::erase_if(Vm.Runs,
                [Now](const SimulatedRun &Run) { return Run.EndsAt <= Now; });
  for (const SimulatedRun &Run : Runs)
    if (Run.EndsAt <= Now)
      endRun(Run.Start, RunOutcome::Done);
  report(Id, Vm);
}

void CrashingPool::crashVm(SimulatedVm &Vm) {
  ++Crashes;
  for (const SimulatedRun &Run : std::exchange(Vm.Runs, {}))
    breakGang(Run.Start.Run.Task.Step);
  Vm.CrashedAt = MonotonicClock.now();
  Vm.Noticed = false;
}

void CrashingPool::breakGang(const StepName &Step) {
  if (!stepPlan(Step).Gang)
    return;
  // The other members make no progress.
  for (auto &[Id, Vm] : Vms_)
    for (SimulatedRun &Run : Vm.Runs)
      if (Run.Start.Run.Task.Step == Step)
        Run.EndsAt = TimePoint::max();
}

const StepPlan &CrashingPool::stepPlan(const StepName &Step) const {
  return Plans_.at(Step.Job).Steps[static_cast<std::size_t>(Step.Step)];
}

void CrashingPool::crash(const std::string &Host) {
  for (auto &[Id, Vm] : Vms_)
    if (Vm.Host == Host && !Vm.CrashedAt)
      crashVm(Vm);
}

void CrashingPool::noticeCrash(const std::string &Id, SimulatedVm &Vm) {
  const auto Since = MonotonicClock.now() - *Vm.CrashedAt;
  if (Since >= NoticeDelay && !Vm.Noticed) {
    Vm.Noticed = true;
    Scheduler->vmUnreachable(Id);
  }
  if (Since < DownTime)
    return;
  SimulatedVm Next = Vm;
  ++Next.Incarnation;
  Next.CrashedAt.reset();
  if (KeepIds) {
    Vm = Next;
    Scheduler->vmListed(describe(Id, Vm));
    return report(Id, Vm);
  }
  Scheduler->vmTasksEnded(Id, Cause);
  Scheduler->vmRemoved(Id);
  Vms_.erase(Id);
  const std::string NewId = fmt::format("vm{}", NextId_++);
  addVm(describe(NewId, Next));
  Vms_[NewId] = std::move(Next);
}

void CrashingPool::takeOver() {
  std::map<std::string, JobProgress> Progress;
  for (const auto &[Id, Plan] : Plans_)
    Progress[Id] = Scheduler->progress(Id);
  Scheduler = makePoolScheduler(MonotonicClock, SystemClock, Options);
  for (const auto &[Id, Plan] : Plans_) {
    const auto Stored = decodeProgress(encodeProgress(Progress[Id]));
    Scheduler->restoreJob(Plan, Queue, MonotonicClock.now(), *Stored);
  }
  for (const auto &[Id, Vm] : Vms_) {
    Scheduler->vmListed(describe(Id, Vm));
    if (!Vm.CrashedAt)
      report(Id, Vm);
  }
}

int CrashingPool::mostStarts() const {
  int Out = 0;
  for (const auto &[Task, Count] : StartCounts)
    Out = std::max(Out, Count);
  return Out;
}

} // namespace cuminroad
