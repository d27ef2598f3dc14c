#include "PoolTables.h"

#include <algorithm>

namespace cuminroad {

namespace {

/// Number of VMs in a call to the advisor that the latency objective assumes.
constexpr double ObjectiveAdviceVms = 30;
/// Up to this number of tasks and occurrences of a job that are done, they are
/// stored one by one, as earlier versions read them; more are stored as ranges.
constexpr std::int64_t MaxSingleNumbers = 5000;
/// Less progress says little about the run time, since it is reported in whole
/// percent and a run takes some time to start.
constexpr int MinSampledPercent = 10;

template <typename Map> auto *lookUp(const Map &In, std::string_view Id) {
  const auto Found = In.find(Id);
  return Found == In.end() ? nullptr : Found->second;
}

} // namespace

JobRecord *PoolTables::job(std::string_view Id) const {
  return lookUp(JobsById_, Id);
}

VmRecord *PoolTables::vm(std::string_view Id) const {
  return lookUp(VmsById_, Id);
}

VmRecord &PoolTables::findOrCreateVm(std::string_view Id) {
  if (VmRecord *Known = vm(Id))
    return *Known;
  const auto Entry =
      Vms.emplace(std::string(Id), std::make_unique<VmRecord>()).first;
  VmRecord &New = *Entry->second;
  New.Description.Id = Id;
  VmsById_.emplace(Entry->first, &New);
  const auto Next =
      std::lower_bound(OrderedVms.begin(), OrderedVms.end(), Id,
                       [](const VmRecord *Vm, std::string_view Wanted) {
                         return Vm->Description.Id < Wanted;
                       });
  const auto Position = static_cast<std::size_t>(Next - OrderedVms.begin());
  OrderedVms.insert(Next, &New);
  renumberVms(Position);
  return New;
}

void PoolTables::removeVm(VmMap::iterator Entry) {
  const std::size_t Position = Entry->second->Position;
  OrderedVms.erase(OrderedVms.begin() + static_cast<std::ptrdiff_t>(Position));
  renumberVms(Position);
  VmsById_.erase(Entry->first);
  Vms.erase(Entry);
}

JobRecord &PoolTables::addJob(std::unique_ptr<JobRecord> New) {
  const std::string &Id = New->Plan.Id;
  const auto Entry = Jobs.emplace(Id, std::move(New)).first;
  JobRecord &Out = *Entry->second;
  JobsById_.emplace(Entry->first, &Out);
  return Out;
}

void PoolTables::removeJob(const JobRecord &Job) {
  const auto Entry = Jobs.find(Job.Plan.Id);
  JobsById_.erase(Entry->first);
  Jobs.erase(Entry);
}

AccountRecord &PoolTables::findOrCreateAccount(std::string_view Name) {
  const auto Found = Accounts.find(Name);
  if (Found != Accounts.end())
    return *Found->second;
  auto New = std::make_unique<AccountRecord>();
  New->Terms.Name = Name;
  return *Accounts.emplace(std::string(Name), std::move(New)).first->second;
}

milliseconds PoolTables::rateBurst(TimePoint AcceptedAt,
                                   const PoolOptions &Options) {
  if (LastAcceptedAt_ &&
      AcceptedAt - *LastAcceptedAt_ > Options.MinAcceptanceGap) {
    Gap_ =
        std::chrono::duration_cast<milliseconds>(AcceptedAt - *LastAcceptedAt_);
    GapEndedAt_ = AcceptedAt;
  }
  LastAcceptedAt_ = std::max(LastAcceptedAt_.value_or(AcceptedAt), AcceptedAt);
  // Callers come back within about the time for which they were away.
  const bool AreReturning = AcceptedAt - GapEndedAt_ <= Gap_ * 2;
  return Options.RateBurst + (AreReturning ? Gap_ * 2 : milliseconds(0));
}

bool PoolTables::countJob(AccountRecord &Account, TimePoint AcceptedAt,
                          const PoolOptions &Options) {
  if (!AnyAccountInForce)
    return true;
  return Account.Rate.take(AcceptedAt, Account.Terms.Weight,
                           rateBurst(AcceptedAt, Options));
}

std::pair<UnknownRun *, bool> PoolTables::addUnknownRun(VmRecord &Vm,
                                                        const TaskRun &Run,
                                                        const UnknownRun &New) {
  const auto [Entry, IsNew] = Vm.UnknownRuns.emplace(Run, New);
  if (IsNew) {
    Vm.Used += New.Size;
    if (New.Account != nullptr)
      New.Account->Used += New.AccountSize;
  }
  return {&Entry->second, IsNew};
}

void PoolTables::removeUnknownRun(VmRecord &Vm, const TaskRun &Run) {
  const auto Found = Vm.UnknownRuns.find(Run);
  if (Found == Vm.UnknownRuns.end())
    return;
  releaseUnknownRun(Vm, Found->second);
  Vm.UnknownRuns.erase(Found);
}

void PoolTables::releaseUnknownRun(VmRecord &Vm, const UnknownRun &Run) {
  Vm.Used -= Run.Size;
  if (Run.Account != nullptr)
    Run.Account->Used -= Run.AccountSize;
}

void PoolTables::renumberVms(std::size_t First) {
  for (std::size_t Index = First; Index < OrderedVms.size(); ++Index)
    OrderedVms[Index]->Position = Index;
}

StepRecord *PoolTables::step(const StepName &Name) const {
  const JobRecord *Job = job(Name.Job);
  if (Job == nullptr)
    return nullptr;
  const auto Found = Job->Occurrences.find(Name.Occurrence);
  if (Found == Job->Occurrences.end())
    return nullptr;
  std::vector<StepRecord> &Steps = Found->second->Steps;
  if (Name.Step < 0 || Name.Step >= static_cast<int>(Steps.size()))
    return nullptr;
  return &Steps[static_cast<std::size_t>(Name.Step)];
}

TaskRecord *PoolTables::task(const TaskName &Name) const {
  StepRecord *Step = step(Name.Step);
  return Step == nullptr ? nullptr : Step->Tasks.find(Name.Index);
}

OccurrenceRecord &PoolTables::createOccurrence(JobRecord &Job, int Number,
                                               TimePoint Due) {
  auto New = std::make_unique<OccurrenceRecord>();
  New->Job = &Job;
  New->Number = Number;
  New->Due = Due;
  New->Steps.resize(Job.Plan.Steps.size());
  for (std::size_t Index = 0; Index < New->Steps.size(); ++Index) {
    StepRecord &Step = New->Steps[Index];
    Step.Occurrence = New.get();
    Step.Plan = &Job.Plan.Steps[Index];
    Step.Number = static_cast<int>(Index);
    Step.Tasks = TaskTable(Step, Step.Plan->Tasks);
    Step.WaitingTasks = Step.Plan->Tasks;
  }
  OccurrenceRecord &Out = *New;
  Job.Occurrences[Number] = std::move(New);
  return Out;
}

void PoolTables::setPhase(TaskRecord &Task, TaskPhase Phase) {
  StepRecord &Step = *Task.Step;
  Step.WaitingTasks -= Task.Phase == TaskPhase::Waiting;
  Task.Phase = Phase;
  Step.WaitingTasks += Phase == TaskPhase::Waiting;
}

void PoolTables::place(TaskRecord &Task, VmRecord &Vm, std::int64_t Run,
                       TimePoint Now) {
  Task.Step->Occurrence->Job->RecordedTasks += Task.Run == 0;
  Task.Run = Run;
  Task.VmIncarnation = Vm.Description.Incarnation;
  Task.PlacedAt = Now;
  Task.ProgressedAt = Now;
  Task.ConfirmedAt.reset();
  Task.StartConfirmed = false;
  Task.ProgressPercent = -1;
  Task.StartUnknown = false;
  Task.SpeedPercent = 100;
  assign(Task, Vm, TaskPhase::Placed);
  markChanged(*Task.Step->Occurrence->Job);
}

void PoolTables::assign(TaskRecord &Task, VmRecord &Vm, TaskPhase Phase) {
  setPhase(Task, Phase);
  Task.Vm = &Vm;
  Vm.Tasks.insert(&Task);
  Vm.ExpectedEndsKnown = false;
  Vm.Used += Task.Step->Plan->reservedCapacity();
  if (AccountRecord *Account = Task.Step->Occurrence->Job->Account) {
    Account->Used += Task.Step->Plan->PerTask;
    if (Task.Step->Plan->LongRunning)
      Account->UsedForLong += Task.Step->Plan->PerTask;
  }
  if (Task.Step->Occurrence->Job->BeyondRate)
    BeyondRateUsed += Task.Step->Plan->reservedCapacity();
  ++Task.Step->TasksOnVms;
}

void PoolTables::releaseCapacity(TaskRecord &Task) {
  if (Task.Vm == nullptr)
    return;
  Task.Vm->Used -= Task.Step->Plan->reservedCapacity();
  if (AccountRecord *Account = Task.Step->Occurrence->Job->Account) {
    Account->Used -= Task.Step->Plan->PerTask;
    if (Task.Step->Plan->LongRunning)
      Account->UsedForLong -= Task.Step->Plan->PerTask;
  }
  if (Task.Step->Occurrence->Job->BeyondRate)
    BeyondRateUsed -= Task.Step->Plan->reservedCapacity();
  if (Task.LogRunTime) {
    Task.Step->RunTimes.remove(*Task.LogRunTime);
    Task.Step->PredictedVersion = -1;
    Task.LogRunTime.reset();
  }
  Task.Vm->Tasks.erase(&Task);
  Task.Vm->ExpectedEndsKnown = false;
  if (Task.Vm->Trial == &Task)
    Task.Vm->Trial = nullptr;
  Task.Vm = nullptr;
  --Task.Step->TasksOnVms;
}

/// \returns whether the time since the placement of the run tells how long the
/// task takes.
static bool isMeasured(const TaskRecord &Task) {
  const StepPlan &Plan = *Task.Step->Plan;
  return Task.Step->Occurrence->Job->QueueRunTimes != nullptr &&
         !Plan.LongRunning && !Plan.BestEffort && !Task.StartUnknown &&
         !(Plan.Checkpointing && Task.Run > 1);
}

void PoolTables::sampleProgress(TaskRecord &Task) {
  if (!isMeasured(Task) || !Task.isOnVm() ||
      Task.ProgressPercent < MinSampledPercent || Task.ProgressPercent > 100)
    return;
  const auto Elapsed = std::chrono::duration_cast<milliseconds>(
      Task.ProgressedAt - Task.PlacedAt);
  RunTimeSamples &Samples = Task.Step->RunTimes;
  if (Task.LogRunTime)
    Samples.remove(*Task.LogRunTime);
  Task.LogRunTime = logMs(Elapsed * 100 / Task.ProgressPercent);
  Samples.add(*Task.LogRunTime);
  Task.Step->PredictedVersion = -1;
  Task.Vm->ExpectedEndsKnown = false;
}

void PoolTables::sampleRunTime(const TaskRecord &Task, TimePoint EndedAt) {
  if (!isMeasured(Task))
    return;
  StepRecord &Step = *Task.Step;
  const auto RunTime =
      std::chrono::duration_cast<milliseconds>(EndedAt - Task.PlacedAt);
  Step.RunTimes.add(logMs(RunTime));
  Step.PredictedVersion = -1;
  Step.Occurrence->Job->QueueRunTimes->record(
      Step.Plan->Estimate, RunTime,
      1.0 / static_cast<double>(Step.Plan->Gang ? 1 : Step.Plan->Tasks));
}

milliseconds predictedRunTime(const StepRecord &Step) {
  const RunTimePredictor *Queue = Step.Occurrence->Job->QueueRunTimes;
  if (Queue == nullptr || Step.Plan->LongRunning)
    return Step.Plan->Estimate;
  if (Step.PredictedVersion != Queue->version()) {
    Step.PredictedRunTime = Queue->predict(Step.Plan->Estimate, Step.RunTimes);
    Step.PredictedVersion = Queue->version();
  }
  return Step.PredictedRunTime;
}

void PoolTables::release(TaskRecord &Task) {
  releaseCapacity(Task);
  setPhase(Task, TaskPhase::Waiting);
  markChanged(*Task.Step->Occurrence->Job);
}

void PoolTables::finish(StepRecord &Step, int First, int Count) {
  JobRecord &Job = *Step.Occurrence->Job;
  TaskTable::Records &Records = Step.Tasks.records();
  const auto End = Records.lower_bound(First + Count);
  int AtWork = 0;
  for (auto Entry = Records.lower_bound(First); Entry != End; ++Entry) {
    TaskRecord &Task = Entry->second;
    releaseCapacity(Task);
    AtWork += Task.Phase != TaskPhase::Waiting;
    Job.RecordedTasks -= Task.Run > 0;
  }
  const int Finished = Step.Tasks.finish(First, Count);
  Step.DoneTasks += Finished;
  Step.WaitingTasks -= Finished - AtWork;
  markChanged(Job);
}

StepName nameOf(const StepRecord &Step) {
  return StepName{Step.Occurrence->Job->Plan.Id, Step.Occurrence->Number,
                  Step.Number};
}

TaskName nameOf(const TaskRecord &Task) {
  return TaskName{nameOf(*Task.Step), Task.Index};
}

bool mayStartTasks(const StepRecord &Step, const PoolOptions &Options) {
  return Step.Plan->Gang || Step.WaitingTasks > Step.Tasks.unbegun() ||
         Step.Occurrence->Job->RecordedTasks < Options.MaxRecordedTasks;
}

int tasksOnVm(const StepRecord &Step, const VmRecord &Vm) {
  std::ptrdiff_t Count = 0;
  if (Step.TasksOnVms > 0)
    Count = std::count_if(
        Vm.Tasks.begin(), Vm.Tasks.end(),
        [&Step](const TaskRecord *Task) { return Task->Step == &Step; });
  if (!Vm.UnknownRuns.empty())
    Count += std::count_if(Vm.UnknownRuns.begin(), Vm.UnknownRuns.end(),
                           [Name = nameOf(Step)](const auto &Entry) {
                             return Entry.first.Task.Step == Name;
                           });
  return static_cast<int>(Count);
}

bool isReady(const StepRecord &Step) {
  const std::vector<StepRecord> &Steps = Step.Occurrence->Steps;
  return std::all_of(
      Step.Plan->DependsOn.begin(), Step.Plan->DependsOn.end(),
      [&Steps](int Dependency) {
        return Steps[static_cast<std::size_t>(Dependency)].isComplete();
      });
}

/// \returns the latency of one call to the advisor that objectives allow for.
static milliseconds adviceTime(const QueueTerms &Terms) {
  if (!Terms.Advice)
    return milliseconds(0);
  return Terms.Advice->DecisionTime +
         milliseconds(static_cast<std::int64_t>(Terms.Advice->PerVmMs *
                                                ObjectiveAdviceVms));
}

/// \returns the length of the longest path through the steps of a plan if each
/// takes as long as \p LengthOf returns for its number.
template <typename F>
static milliseconds longestPath(const JobPlan &Plan, F LengthOf) {
  std::vector<milliseconds> Ends(Plan.Steps.size());
  milliseconds Longest{0};
  for (std::size_t Index = 0; Index < Plan.Steps.size(); ++Index) {
    milliseconds Start{0};
    for (const int Dependency : Plan.Steps[Index].DependsOn)
      Start = std::max(Start, Ends[static_cast<std::size_t>(Dependency)]);
    Ends[Index] = Start + LengthOf(Index);
    Longest = std::max(Longest, Ends[Index]);
  }
  return Longest;
}

milliseconds criticalPath(const JobPlan &Plan, const QueueTerms &Terms) {
  return longestPath(Plan, [&, Advice = adviceTime(Terms)](std::size_t Step) {
    return Plan.Steps[Step].Estimate + Advice;
  });
}

PathLengths predictedPath(const OccurrenceRecord &Occurrence) {
  const JobPlan &Plan = Occurrence.Job->Plan;
  const milliseconds Advice = adviceTime(Occurrence.Job->Terms);
  PathLengths Out;
  Out.Whole = longestPath(Plan, [&](std::size_t Index) {
    return predictedRunTime(Occurrence.Steps[Index]) + Advice;
  });
  Out.Remaining = longestPath(Plan, [&](std::size_t Index) {
    const StepRecord &Step = Occurrence.Steps[Index];
    if (Step.isComplete())
      return milliseconds(0);
    // The runs of a step without waiting tasks are half-way on average.
    return predictedRunTime(Step) / (Step.WaitingTasks > 0 ? 1 : 2);
  });
  return Out;
}

static TaskProgress progressOf(const TaskRecord &Task) {
  TaskProgress Out;
  Out.Index = Task.Index;
  Out.Failures = Task.Failures;
  Out.Run = Task.Run;
  Out.Checkpoint = Task.Checkpoint;
  Out.Crashes = Task.Crashes;
  Out.ConfirmedCrashes = Task.ConfirmedCrashes;
  if (Task.Vm != nullptr) {
    Out.Vm = Task.Vm->Description.Id;
    Out.VmIncarnation = Task.VmIncarnation;
  }
  return Out;
}

/// How tasks and occurrences that are done are stored.
enum class DoneFormat { Numbers, Ranges };

/// \returns the format that keeps the stored progress of the job small.
static DoneFormat doneFormat(const JobRecord &Job) {
  std::int64_t Numbers = Job.DoneOccurrences.size();
  for (const auto &[Number, Occurrence] : Job.Occurrences)
    for (const StepRecord &Step : Occurrence->Steps)
      if (!Step.isComplete())
        Numbers += Step.DoneTasks;
  return Numbers > MaxSingleNumbers ? DoneFormat::Ranges : DoneFormat::Numbers;
}

/// Calls \p Add with the first number and the length of each range of \p Done,
/// or of each number.
template <typename F>
static void forEachDone(const IndexSet &Done, DoneFormat Format, F Add) {
  for (const auto &[First, Count] : Done.ranges()) {
    if (Format == DoneFormat::Ranges)
      Add(First, Count);
    else
      for (int Number = First; Number < First + Count; ++Number)
        Add(Number, 1);
  }
}

static StepProgress progressOf(const StepRecord &Step, DoneFormat Format) {
  StepProgress Out;
  Out.Step = Step.Number;
  Out.Done = Step.isComplete();
  Out.GangFailures = Step.GangFailures;
  Out.GangFailedRun = Step.GangFailedRun;
  if (Out.Done)
    return Out;
  Out.Tasks.reserve(Step.Tasks.records().size());
  forEachDone(Step.Tasks.done(), Format, [&Out](int First, int Count) {
    TaskProgress Done;
    Done.Index = First;
    Done.Done = true;
    Done.Count = Count;
    Out.Tasks.push_back(std::move(Done));
  });
  for (const auto &[Index, Task] : Step.Tasks.records())
    if (Task.Run > 0)
      Out.Tasks.push_back(progressOf(Task));
  return Out;
}

/// \returns the tasks of an occurrence that are on VMs.
static OccurrenceProgress runsOf(const OccurrenceRecord &Occurrence) {
  OccurrenceProgress Out{Occurrence.Number, false, {}, 1};
  for (const StepRecord &Step : Occurrence.Steps) {
    StepProgress Each;
    Each.Step = Step.Number;
    if (Step.TasksOnVms > 0)
      for (const auto &[Index, Task] : Step.Tasks.records())
        if (Task.Vm != nullptr)
          Each.Tasks.push_back(progressOf(Task));
    if (!Each.Tasks.empty())
      Out.Steps.push_back(std::move(Each));
  }
  return Out;
}

JobProgress progressOf(const JobRecord &Job) {
  JobProgress Out;
  Out.Stage = Job.Stage;
  Out.Failure = Job.Failure;
  if (isFinal(Job.Stage)) {
    // The next owner counts them against the account until it knows that they
    // have ended. There is no space for those of a job whose record is too
    // large.
    if (Job.Account != nullptr && Job.Failure != JobFailure::RecordTooLarge)
      for (const auto &[Number, Occurrence] : Job.Occurrences)
        if (OccurrenceProgress Runs = runsOf(*Occurrence); !Runs.Steps.empty())
          Out.Occurrences.push_back(std::move(Runs));
    return Out;
  }
  const DoneFormat Format = doneFormat(Job);
  forEachDone(Job.DoneOccurrences, Format, [&Out](int First, int Count) {
    Out.Occurrences.push_back(OccurrenceProgress{First, true, {}, Count});
  });
  for (const auto &[Number, Entry] : Job.Occurrences) {
    OccurrenceProgress Occurrence{Number, false, {}, 1};
    for (const StepRecord &Step : Entry->Steps) {
      StepProgress Each = progressOf(Step, Format);
      if (Each.Done || Each.GangFailures > 0 || !Each.Tasks.empty())
        Occurrence.Steps.push_back(std::move(Each));
    }
    Out.Occurrences.push_back(std::move(Occurrence));
  }
  return Out;
}

} // namespace cuminroad
