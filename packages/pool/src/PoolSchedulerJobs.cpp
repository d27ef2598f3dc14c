// Events and queries about jobs.
#include "PoolSchedulerImpl.h"

#include <algorithm>
#include <utility>

namespace cuminroad {

AccountRecord &PoolSchedulerImpl::findOrCreateAccount(const std::string &Name) {
  AccountRecord &Out = Tables_.findOrCreateAccount(Name);
  if (!std::exchange(Out.HadTermsOrJobs, true) && !Out.LimitSet) {
    Out.Limit = Capacity{};
    Out.UnknownUntil = MonotonicClock_.now() + Options_.UnknownAccountDelay;
  }
  return Out;
}

JobRecord &PoolSchedulerImpl::insertJob(JobPlan Plan, QueueTerms Accepted,
                                        TimePoint AcceptedAt) {
  auto New = std::make_unique<JobRecord>();
  New->Plan = std::move(Plan);
  if (!New->Plan.Account.empty()) {
    New->Account = &findOrCreateAccount(New->Plan.Account);
    New->BeyondRate = !Tables_.countJob(*New->Account, AcceptedAt, Options_);
  }
  New->AcceptedTerms = std::move(Accepted);
  New->AcceptedAt = AcceptedAt;
  applyTerms(*New);
  return Tables_.addJob(std::move(New));
}

void PoolSchedulerImpl::applyTerms(JobRecord &Job) {
  const auto InForce = Queues_.find(Job.AcceptedTerms.Name);
  Job.Terms = InForce == Queues_.end() ? Job.AcceptedTerms : InForce->second;
  Job.CriticalPath = criticalPath(Job.Plan, Job.Terms);
  if (Options_.PredictRunTimes)
    Job.QueueRunTimes = &Tables_.QueueRunTimes[Job.Terms.Name];
}

void PoolSchedulerImpl::addJob(JobPlan Plan, QueueTerms Accepted,
                               TimePoint AcceptedAt) {
  if (stage(Plan.Id))
    return;
  JobRecord &Job = insertJob(std::move(Plan), std::move(Accepted), AcceptedAt);
  if (Job.Plan.Occurrences == 0) {
    Tables_.createOccurrence(Job, 0, AcceptedAt);
    Job.CreatedOccurrences = 1;
  }
}

void PoolSchedulerImpl::restoreJob(JobPlan Plan, QueueTerms Accepted,
                                   TimePoint AcceptedAt,
                                   const JobProgress &Progress) {
  if (isFinal(Progress.Stage)) {
    countJob(Plan.Account, AcceptedAt);
    return restoreFinishedJob(Plan, Progress);
  }
  const std::string Id = Plan.Id;
  addJob(std::move(Plan), std::move(Accepted), AcceptedAt);
  JobRecord *Job = Tables_.job(Id);
  if (Job == nullptr)
    return;
  Job->Stage = Progress.Stage;
  for (const OccurrenceProgress &Entry : Progress.Occurrences)
    restoreOccurrence(*Job, Entry);
}

void PoolSchedulerImpl::restoreFinishedJob(const JobPlan &Plan,
                                           const JobProgress &Progress) {
  AccountRecord *Account =
      Plan.Account.empty() ? nullptr : &findOrCreateAccount(Plan.Account);
  Tables_.FinishedJobs[Plan.Id] =
      FinishedJob(JobStatus{Progress.Stage, Progress.Failure}, Account, Plan);
  if (Account == nullptr)
    return;
  for (const OccurrenceProgress &Occurrence : Progress.Occurrences)
    for (const StepProgress &Step : Occurrence.Steps) {
      if (Step.Step < 0 || Step.Step >= static_cast<int>(Plan.Steps.size()))
        continue;
      const StepPlan &Each = Plan.Steps[static_cast<std::size_t>(Step.Step)];
      for (const TaskProgress &Task : Step.Tasks) {
        if (Task.Vm.empty())
          continue;
        VmRecord &Vm = Tables_.findOrCreateVm(Task.Vm);
        if (Vm.Description.Incarnation == 0)
          Vm.Description.Incarnation = Task.VmIncarnation;
        const StepName Name{Plan.Id, Occurrence.Number, Step.Step};
        // The next report tells whether the run is still there.
        Tables_.addUnknownRun(Vm, TaskRun{TaskName{Name, Task.Index}, Task.Run},
                              UnknownRun{Each.reservedCapacity(),
                                         MonotonicClock_.now(), Account,
                                         Each.PerTask});
      }
    }
}

void PoolSchedulerImpl::restoreOccurrence(JobRecord &Job,
                                          const OccurrenceProgress &Progress) {
  const int All = std::max(Job.Plan.Occurrences, 1);
  if (Progress.Number < 0 || Progress.Number >= All)
    return;
  const int Count = std::clamp(Progress.Count, 1, All - Progress.Number);
  Job.CreatedOccurrences =
      std::max(Job.CreatedOccurrences, Progress.Number + Count);
  if (Progress.Done) {
    Job.Started = true;
    Job.DoneOccurrences.addRange(Progress.Number, Count);
    Job.Occurrences.erase(Job.Occurrences.lower_bound(Progress.Number),
                          Job.Occurrences.lower_bound(Progress.Number + Count));
    return;
  }
  if (!Job.Occurrences.contains(Progress.Number))
    Tables_.createOccurrence(Job, Progress.Number, Job.AcceptedAt);
  OccurrenceRecord &Occurrence = *Job.Occurrences[Progress.Number];
  for (const StepProgress &Each : Progress.Steps) {
    if (Each.Step < 0 || Each.Step >= static_cast<int>(Occurrence.Steps.size()))
      continue;
    StepRecord &Step = Occurrence.Steps[static_cast<std::size_t>(Each.Step)];
    Step.GangFailures = Each.GangFailures;
    Step.GangFailedRun = Each.GangFailedRun;
    Job.Started = Job.Started || Each.Done || Each.GangFailures > 0;
    if (Each.Done)
      Tables_.finish(Step, 0, Step.Tasks.size());
    for (const TaskProgress &Task : Each.Tasks)
      restoreTask(Step, Task);
  }
}

void PoolSchedulerImpl::restoreTask(StepRecord &Step,
                                    const TaskProgress &Progress) {
  if (Progress.Index < 0 || Progress.Index >= Step.Tasks.size())
    return;
  // A run that is only recorded may not have been started.
  if (Progress.Done || Progress.Failures > 0 || Progress.Crashes > 0 ||
      !Progress.Checkpoint.empty())
    Step.Occurrence->Job->Started = true;
  if (Progress.Done)
    return Tables_.finish(
        Step, Progress.Index,
        std::clamp(Progress.Count, 1, Step.Tasks.size() - Progress.Index));
  if (Step.Tasks.isDone(Progress.Index))
    return;
  TaskRecord &Task = Step.Tasks.begin(Progress.Index);
  Task.Failures = Progress.Failures;
  Step.Occurrence->Job->RecordedTasks += Progress.Run > 0;
  Task.Run = Progress.Run;
  Task.Checkpoint = Progress.Checkpoint;
  Task.Crashes = Progress.Crashes;
  Task.ConfirmedCrashes = Progress.ConfirmedCrashes;
  if (Progress.Vm.empty())
    return;
  VmRecord &Vm = Tables_.findOrCreateVm(Progress.Vm);
  if (Vm.Description.Incarnation == 0)
    Vm.Description.Incarnation = Progress.VmIncarnation;
  // Records may name several incarnations of the VM, and its entry any of them:
  // only its report tells which runs are left.
  Task.VmIncarnation = Progress.VmIncarnation;
  Task.PlacedAt = MonotonicClock_.now();
  Task.ProgressedAt = Task.PlacedAt;
  Task.ConfirmedAt = TimePoint::min();
  Task.StartUnknown = true;
  Task.SpeedPercent = UnknownSpeedPercent;
  Tables_.assign(Task, Vm, TaskPhase::Running);
}

void PoolSchedulerImpl::setQueues(std::span<const QueueTerms> Queues) {
  Queues_.clear();
  for (const QueueTerms &Each : Queues)
    Queues_.emplace(Each.Name, Each);
  std::vector<JobRecord *> NowKnown;
  for (const auto &[Id, Job] : Tables_.Jobs) {
    const bool WasKnown = Job->Terms.Known;
    applyTerms(*Job);
    if (!WasKnown && Job->Terms.Known)
      NowKnown.push_back(Job.get());
  }
  for (JobRecord *Job : NowKnown)
    failIfAttemptsUsed(*Job);
}

void PoolSchedulerImpl::failIfAttemptsUsed(JobRecord &Job) {
  if (isFinal(Job.Stage))
    return;
  for (const auto &[Number, Occurrence] : Job.Occurrences)
    for (const StepRecord &Step : Occurrence->Steps)
      if (Step.failures() >= Job.Terms.MaxAttempts)
        return failJob(Job, JobFailure::AttemptsUsed);
}

void PoolSchedulerImpl::cancelJob(std::string_view Id) {
  JobRecord *Job = Tables_.job(Id);
  if (Job == nullptr || isFinal(Job->Stage))
    return;
  finishJob(*Job, JobStage::Cancelled);
  archiveFinishedJob(*Job);
}

void PoolSchedulerImpl::forgetJob(std::string_view Id) {
  const auto Found = Tables_.FinishedJobs.find(Id);
  if (Found != Tables_.FinishedJobs.end())
    Tables_.FinishedJobs.erase(Found);
}

void PoolSchedulerImpl::finishOccurrence(OccurrenceRecord &Occurrence) {
  JobRecord &Job = *Occurrence.Job;
  Job.DoneOccurrences.add(Occurrence.Number);
  const int All = std::max(Job.Plan.Occurrences, 1);
  if (Job.DoneOccurrences.size() == All)
    return finishJob(Job, JobStage::Completed);
  // No task is on a VM, since all of them are done.
  Job.Occurrences.erase(Occurrence.Number);
}

void PoolSchedulerImpl::failJob(std::string_view Id, JobFailure Reason) {
  JobRecord *Job = Tables_.job(Id);
  if (Job != nullptr && !isFinal(Job->Stage))
    failJob(*Job, Reason);
}

void PoolSchedulerImpl::failJob(JobRecord &Job, JobFailure Reason) {
  Job.Failure = Reason;
  finishJob(Job, JobStage::Failed);
  archiveFinishedJob(Job);
}

void PoolSchedulerImpl::finishJob(JobRecord &Job, JobStage Stage) {
  Job.Stage = Stage;
  Tables_.markChanged(Job);
  for (const auto &[Number, Occurrence] : Job.Occurrences)
    for (StepRecord &Step : Occurrence->Steps)
      for (auto &[Index, Task] : Step.Tasks.records())
        if (Task.isOnVm())
          stopTask(Task);
}

void PoolSchedulerImpl::archiveFinishedJob(JobRecord &Job) {
  if (!isFinal(Job.Stage))
    return;
  for (const auto &[Number, Occurrence] : Job.Occurrences)
    for (const StepRecord &Step : Occurrence->Steps)
      if (Step.TasksOnVms > 0)
        return;
  Tables_.FinishedJobs[Job.Plan.Id] =
      FinishedJob(JobStatus{Job.Stage, Job.Failure}, Job.Account, Job.Plan);
  Tables_.removeJob(Job);
}

void PoolSchedulerImpl::createDueOccurrences() {
  const milliseconds SinceEpoch = SystemClock_.sinceEpoch();
  for (const auto &[Id, Job] : Tables_.Jobs) {
    if (Job->Plan.Occurrences == 0 || isFinal(Job->Stage))
      continue;
    const std::size_t MaxOccurrences = std::max<std::size_t>(
        Options_.MaxOpenSteps / Job->Plan.Steps.size(), 1);
    while (Job->CreatedOccurrences < Job->Plan.Occurrences &&
           Job->Occurrences.size() < MaxOccurrences &&
           Job->Plan.FirstDue + Job->Plan.Interval * Job->CreatedOccurrences <=
               SinceEpoch) {
      Tables_.createOccurrence(*Job, Job->CreatedOccurrences,
                               MonotonicClock_.now());
      ++Job->CreatedOccurrences;
      Tables_.markChanged(*Job);
    }
  }
}

std::optional<JobStage> PoolSchedulerImpl::stage(std::string_view Id) const {
  if (const JobRecord *Job = Tables_.job(Id))
    return Job->Stage;
  const auto Found = Tables_.FinishedJobs.find(Id);
  if (Found == Tables_.FinishedJobs.end())
    return std::nullopt;
  return Found->second.Status.Stage;
}

JobFailure PoolSchedulerImpl::failure(std::string_view Id) const {
  if (const JobRecord *Job = Tables_.job(Id))
    return Job->Failure;
  const auto Found = Tables_.FinishedJobs.find(Id);
  return Found == Tables_.FinishedJobs.end() ? JobFailure::None
                                             : Found->second.Status.Failure;
}

JobProgress PoolSchedulerImpl::progress(std::string_view Id) const {
  if (const JobRecord *Job = Tables_.job(Id))
    return progressOf(*Job);
  JobProgress Out;
  const auto Found = Tables_.FinishedJobs.find(Id);
  if (Found != Tables_.FinishedJobs.end())
    Out = JobProgress{
        Found->second.Status.Stage, Found->second.Status.Failure, {}};
  return Out;
}

int PoolSchedulerImpl::pendingJobs(std::string_view Queue) const {
  return static_cast<int>(std::count_if(
      Tables_.Jobs.begin(), Tables_.Jobs.end(), [Queue](const auto &Entry) {
        const JobRecord &Job = *Entry.second;
        return Job.Terms.Name == Queue && Job.isPending();
      }));
}

std::vector<std::string> PoolSchedulerImpl::pendingQueues() const {
  std::set<std::string> Out;
  for (const auto &[Id, Job] : Tables_.Jobs)
    if (Job->isPending())
      Out.insert(Job->Terms.Name);
  return {Out.begin(), Out.end()};
}

const JobPlan *PoolSchedulerImpl::plan(std::string_view Id) const {
  const JobRecord *Job = Tables_.job(Id);
  return Job == nullptr ? nullptr : &Job->Plan;
}

const QueueTerms *PoolSchedulerImpl::terms(std::string_view Id) const {
  const JobRecord *Job = Tables_.job(Id);
  return Job == nullptr ? nullptr : &Job->Terms;
}

} // namespace cuminroad
