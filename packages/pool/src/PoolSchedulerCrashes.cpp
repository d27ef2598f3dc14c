// Crashes of VMs, and the tasks that may have caused them.
#include "PoolSchedulerImpl.h"

#include <algorithm>
#include <utility>

namespace cuminroad {

std::vector<TaskName> PoolSchedulerImpl::countCrash(VmRecord &Vm,
                                                    const CrashVerdict &Verdict,
                                                    int LostRuns) {
  std::vector<TaskName> Names;
  VmCrash Report{
      Vm.Description.Id, LostRuns, {}, Verdict.Conclusive, Verdict.CommonCause};
  for (TaskRecord *Task : Verdict.Suspects) {
    ++Task->Crashes;
    Tables_.markChanged(*Task->Step->Occurrence->Job);
    Names.push_back(nameOf(*Task));
    Report.Suspects.push_back(TaskRun{Names.back(), Task->Run});
  }
  const TimePoint Now = MonotonicClock_.now();
  std::erase_if(Tables_.UnexplainedCrashes, [this, Now](const auto &Entry) {
    return Now - Entry.second >= Options_.HostSuspectDuration;
  });
  if (!Verdict.NewRuns && !Verdict.CommonCause)
    Tables_.UnexplainedCrashes[Vm.Description.Host] = Now;
  Tables_.Diagnostics.Crashes.push_back(std::move(Report));
  return Names;
}

void PoolSchedulerImpl::failCrashingJobs(std::span<const TaskName> Suspects,
                                         bool Conclusive) {
  const int Limit =
      Conclusive ? Options_.ConclusiveCrashes : Options_.MaxCrashes;
  for (const TaskName &Name : Suspects) {
    const TaskRecord *Task = Tables_.task(Name);
    if (Task == nullptr || Task->Phase == TaskPhase::Done ||
        Task->Crashes < Limit)
      continue;
    JobRecord &Job = *Task->Step->Occurrence->Job;
    if (isFinal(Job.Stage))
      continue;
    Tables_.Diagnostics.AbandonedTasks.push_back(
        AbandonedTask{Name, Task->Crashes});
    failJob(Job, JobFailure::CrashedVms);
  }
}

void PoolSchedulerImpl::settleLoss(VmRecord &Vm, bool Crashed) {
  if (!Vm.LastLoss)
    return;
  const UnsettledLoss Loss = *std::exchange(Vm.LastLoss, std::nullopt);
  if (Loss.Counted == Crashed)
    return;
  for (const TaskName &Name : Loss.Suspects) {
    TaskRecord *Task = Tables_.task(Name);
    if (Task == nullptr || Task->Phase == TaskPhase::Done)
      continue;
    Task->Crashes = std::max(Task->Crashes + (Crashed ? 1 : -1), 0);
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
