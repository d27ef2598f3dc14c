// Crashes of VMs, and the tasks that may have caused them.
#include "PoolSchedulerImpl.h"

#include <algorithm>
#include <utility>

namespace cuminroad {

std::vector<CrashSuspect>
PoolSchedulerImpl::countCrash(VmRecord &Vm, const CrashVerdict &Verdict,
                              int LostRuns) {
  std::vector<CrashSuspect> Suspects;
  VmCrash Report{
      Vm.Description.Id, LostRuns, {}, Verdict.Conclusive, Verdict.CommonCause};
  for (TaskRecord *Task : Verdict.Suspects) {
    ++Task->Crashes;
    Task->ConfirmedCrashes += Task->StartConfirmed;
    Tables_.markChanged(*Task->Step->Occurrence->Job);
    Suspects.push_back(CrashSuspect{nameOf(*Task), Task->StartConfirmed});
    Report.Suspects.push_back(TaskRun{Suspects.back().Task, Task->Run});
  }
  const TimePoint Now = MonotonicClock_.now();
  std::erase_if(Tables_.UnexplainedCrashes, [this, Now](const auto &Entry) {
    return Now - Entry.second >= Options_.HostSuspectDuration;
  });
  if (!Verdict.NewRuns && !Verdict.CommonCause)
    Tables_.UnexplainedCrashes[Vm.Description.Host] = Now;
  Tables_.Diagnostics.Crashes.push_back(std::move(Report));
  return Suspects;
}

void PoolSchedulerImpl::failCrashingJobs(std::span<const CrashSuspect> Suspects,
                                         bool Conclusive) {
  for (const CrashSuspect &Suspect : Suspects) {
    const TaskRecord *Task = Tables_.task(Suspect.Task);
    if (Task == nullptr)
      continue;
    const bool Proven =
        Conclusive && Task->ConfirmedCrashes >= Options_.ConclusiveCrashes;
    if (!Proven && Task->Crashes < Options_.MaxCrashes)
      continue;
    JobRecord &Job = *Task->Step->Occurrence->Job;
    if (isFinal(Job.Stage))
      continue;
    Tables_.Diagnostics.AbandonedTasks.push_back(
        AbandonedTask{Suspect.Task, Task->Crashes});
    failJob(Job, JobFailure::CrashedVms);
  }
}

void PoolSchedulerImpl::settleLoss(VmRecord &Vm, bool Crashed) {
  if (!Vm.LastLoss)
    return;
  const UnsettledLoss Loss = *std::exchange(Vm.LastLoss, std::nullopt);
  if (Loss.Counted == Crashed)
    return;
  const int Change = Crashed ? 1 : -1;
  for (const CrashSuspect &Suspect : Loss.Suspects) {
    TaskRecord *Task = Tables_.task(Suspect.Task);
    if (Task == nullptr)
      continue;
    Task->Crashes = std::max(Task->Crashes + Change, 0);
    if (Suspect.StartConfirmed)
      Task->ConfirmedCrashes = std::max(Task->ConfirmedCrashes + Change, 0);
    Tables_.markChanged(*Task->Step->Occurrence->Job);
  }
  if (Crashed)
    failCrashingJobs(Loss.Suspects, false);
}

std::vector<TaskRecord *> PoolSchedulerImpl::runsOfEarlierIncarnation(
    const VmRecord &Vm, std::span<const RunningTask> Running) const {
  std::vector<TaskRecord *> Out;
  for (TaskRecord *Task : Vm.Tasks)
    if (Task->VmIncarnation != 0 &&
        Task->VmIncarnation != Vm.ReportedIncarnation &&
        std::none_of(Running.begin(), Running.end(),
                     [&](const RunningTask &Report) {
                       return findCurrentTask(&Vm, Report.Run) == Task;
                     }))
      Out.push_back(Task);
  return Out;
}

} // namespace cuminroad
