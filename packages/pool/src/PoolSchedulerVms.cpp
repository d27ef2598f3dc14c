// VMs: what they report, and what is done about it.
#include "PoolSchedulerImpl.h"

#include <algorithm>

namespace cuminroad {

namespace {

/// A serving task counts as near its target from this share of it; the tail
/// moves within seconds.
constexpr double NearTarget = 0.85;
/// Fillers work again when the tail is below this share of the target.
constexpr double WellBelowTarget = 0.6;
/// How long fillers are held back at first; doubles each time up to the last.
constexpr milliseconds PaceTimeMin{2000};
constexpr milliseconds PaceTimeMax{16000};
constexpr int FullPace = 100;
constexpr int HeldBack = 0;
/// A task this close to its end is left to end on a VM that leaves.
constexpr milliseconds WorthMoving{1500};

void dropStrangers(VmRecord &Vm) {
  for (const auto &[Run, Size] : Vm.UnknownRuns)
    Vm.Used -= Size;
  Vm.UnknownRuns.clear();
}

} // namespace

void PoolSchedulerImpl::vmListed(const PoolVm &Listed) {
  VmRecord &Vm = Tables_.makeVm(Listed.Id);
  // What runs in a new life is known from its first report: a start may have
  // reached it.
  if (Vm.Vm.Incarnation != 0 && Vm.Vm.Incarnation != Listed.Incarnation)
    Vm.Claimed = false;
  const bool WasLeaving = Vm.Vm.Leaving;
  Vm.Vm = Listed;
  Vm.Listed = true;
  ++Tables_.VmsVersion;
  if (Listed.Leaving && !WasLeaving)
    stopTasksOfLeavingVm(Vm);
}

void PoolSchedulerImpl::stopTasksOfLeavingVm(VmRecord &Vm) {
  const TimePoint Now = Time_.now();
  const std::vector<TaskRecord *> Tasks(Vm.Tasks.begin(), Vm.Tasks.end());
  for (TaskRecord *Task : Tasks) {
    const StepPlan &Plan = *Task->Step->Plan;
    const bool Movable = Plan.LongRunning || (Plan.Checkpointing && !Plan.Gang);
    if (Task->Phase == TaskPhase::Running && Movable &&
        (Plan.LongRunning ||
         Task->PlacedAt + Plan.Estimate > Now + WorthMoving))
      stopTask(*Task);
  }
}

void PoolSchedulerImpl::vmReported(std::string_view Id,
                                   std::int64_t Incarnation,
                                   std::span<const RunningTask> Running,
                                   TimePoint AskedAt) {
  VmRecord *Vm = Tables_.vm(Id);
  if (Vm == nullptr)
    return;
  const bool Restarted =
      Vm->ReportedBorn != 0 && Vm->ReportedBorn != Incarnation;
  Vm->ReportedBorn = Incarnation;
  Vm->Vm.Incarnation = Incarnation;
  if (!Vm->Claimed)
    ++Tables_.VmsVersion;
  Vm->Claimed = true;
  dropStrangers(*Vm);
  for (const RunningTask &Report : Running)
    reportRunning(*Vm, Report);
  dropMissing(*Vm, Running, AskedAt, Restarted ? "vm_restarted" : "not_on_vm");
  paceFillers(*Vm);
}

void PoolSchedulerImpl::reportRunning(VmRecord &Vm, const RunningTask &Report) {
  TaskRecord *Task = current(&Vm, Report.Run);
  if (Task == nullptr) {
    // Nobody waits for this run, for instance since its job was cancelled
    // under an earlier owner. It takes room until it is gone.
    const StepRecord *Step = Tables_.step(Report.Run.Task.Step);
    stopStranger(Vm, Report.Run,
                 Step != nullptr ? Step->Plan->reservedCapacity()
                                 : Vm.Vm.Total);
    return;
  }
  const TimePoint Now = Time_.now();
  // An unhealthy VM may have refused the stop for as long as it was tried.
  if (Task->Phase == TaskPhase::Stopping)
    Tables_.Commands.push_back(StopRun{Vm.Vm.Id, Report.Run});
  if (Task->Phase == TaskPhase::Placed)
    Tables_.setPhase(*Task, TaskPhase::Running);
  if (!Task->ConfirmedAt)
    Task->ConfirmedAt = Now;
  if (Report.ProgressPercent != Task->ProgressPercent) {
    Task->ProgressPercent = Report.ProgressPercent;
    Task->MovedAt = Now;
  }
  Task->Measurement = Report.Measurement;
  noteCheckpoint(*Task, Report.Checkpoint);
}

void PoolSchedulerImpl::stopStranger(VmRecord &Vm, const TaskRun &Run,
                                     const Capacity &Size) {
  if (Vm.UnknownRuns.emplace(Run, Size).second)
    Vm.Used += Size;
  Tables_.Commands.push_back(StopRun{Vm.Vm.Id, Run});
}

void PoolSchedulerImpl::noteCheckpoint(TaskRecord &Task,
                                       const std::string &Checkpoint) {
  if (Checkpoint.empty() || Checkpoint == Task.Checkpoint)
    return;
  Task.Checkpoint = Checkpoint;
  // All members of a gang must start from the same one.
  if (Task.Step->Plan->Gang)
    for (TaskRecord &Member : Task.Step->Tasks)
      Member.Checkpoint = Checkpoint;
}

void PoolSchedulerImpl::dropMissing(VmRecord &Vm,
                                    std::span<const RunningTask> Running,
                                    TimePoint AskedAt,
                                    std::string_view Reason) {
  std::set<const TaskRecord *> Seen;
  for (const RunningTask &Report : Running)
    Seen.insert(current(&Vm, Report.Run));
  const std::vector<TaskRecord *> Tasks(Vm.Tasks.begin(), Vm.Tasks.end());
  for (TaskRecord *Task : Tasks) {
    // A start that was not answered yet may still be on its way.
    const bool Settled = Task->ConfirmedAt && *Task->ConfirmedAt < AskedAt;
    if (Settled && !Seen.contains(Task))
      lose(*Task, Reason);
  }
}

void PoolSchedulerImpl::paceFillers(VmRecord &Vm) {
  bool Near = false;
  bool Below = true;
  for (const TaskRecord *Task : Vm.Tasks) {
    if (!Task->Step->Plan->isLatencySensitive())
      continue;
    const double Target =
        static_cast<double>(Task->Step->Plan->LatencyTarget.count());
    Near = Near || Task->Measurement > Target * NearTarget;
    Below = Below && Task->Measurement < Target * WellBelowTarget;
  }
  const TimePoint Now = Time_.now();
  if (Near) {
    if (Vm.PacedUntil <= Now)
      Vm.PaceTime = std::clamp(Vm.PaceTime * 2, PaceTimeMin, PaceTimeMax);
    Vm.PacedUntil = Now + Vm.PaceTime;
  }
  for (TaskRecord *Task : Vm.Tasks) {
    if (!Task->Step->Plan->BestEffort || Task->Phase != TaskPhase::Running)
      continue;
    if (Now < Vm.PacedUntil)
      setPace(*Task, HeldBack);
    else if (Below)
      setPace(*Task, FullPace);
  }
}

void PoolSchedulerImpl::setPace(TaskRecord &Task, int Percent) {
  if (Task.Pace == Percent)
    return;
  Task.Pace = Percent;
  Tables_.Commands.push_back(
      ThrottleRun{Task.Vm->Vm.Id, TaskRun{nameOf(Task), Task.Run}, Percent});
}

void PoolSchedulerImpl::vmUnreachable(std::string_view Id) {
  if (VmRecord *Vm = Tables_.vm(Id))
    Vm->Claimed = false;
}

void PoolSchedulerImpl::vmEmptied(std::string_view Id) {
  if (VmRecord *Vm = Tables_.vm(Id))
    emptyVm(*Vm, "lease_lapsed");
}

void PoolSchedulerImpl::vmRemoved(std::string_view Id) {
  const auto Found = Tables_.Vms.find(Id);
  if (Found == Tables_.Vms.end())
    return;
  VmRecord &Vm = *Found->second;
  emptyVm(Vm, "vm_gone");
  for (const auto &[Name, Job] : Tables_.Jobs)
    for (const auto &[Number, Occurrence] : Job->Occurrences)
      for (StepRecord &Step : Occurrence->Steps) {
        Step.AllowedVms.erase(&Vm);
        Step.AskedVms.erase(&Vm);
      }
  Tables_.Vms.erase(Found);
}

void PoolSchedulerImpl::emptyVm(VmRecord &Vm, std::string_view Reason) {
  Vm.Claimed = false;
  dropStrangers(Vm);
  const std::vector<TaskRecord *> Tasks(Vm.Tasks.begin(), Vm.Tasks.end());
  for (TaskRecord *Task : Tasks)
    lose(*Task, Reason);
}

void PoolSchedulerImpl::lose(TaskRecord &Task, std::string_view Reason) {
  Tables_.Notes.LostRuns.push_back(
      LostRun{TaskRun{nameOf(Task), Task.Run}, Task.Vm->Vm.Id, Reason});
  JobRecord &Job = *Task.Step->Occurrence->Job;
  StepRecord &Step = *Task.Step;
  Tables_.release(Task);
  // The other members can't work on without it.
  if (Step.Plan->Gang && !isFinal(Job.Stage))
    for (TaskRecord &Member : Step.Tasks)
      if (Member.onVm())
        stopTask(Member);
  settleJob(Job);
}

void PoolSchedulerImpl::countFailure(const TaskRecord &Task) {
  VmRecord &Vm = *Task.Vm;
  const TimePoint Now = Time_.now();
  // A VM that hangs fails all that it ran: that is one trouble, not many.
  if (Vm.inQuarantine(Now) && Task.PlacedAt < Vm.QuarantinedAt)
    return;
  if (++Vm.FailuresInARow < Options_.FailuresToQuarantine)
    return;
  Vm.Quarantine = std::clamp(Vm.Quarantine * 2, Options_.QuarantineMin,
                             Options_.QuarantineMax);
  Vm.QuarantinedAt = Now;
  Vm.QuarantinedUntil = Now + Vm.Quarantine;
  Tables_.Notes.Quarantines.push_back(VmQuarantine{Vm.Vm.Id, Vm.Quarantine});
  // One failure more after it sends the VM back at once.
  Vm.FailuresInARow = Options_.FailuresToQuarantine - 1;
}

PoolLoad PoolSchedulerImpl::load() const {
  PoolLoad Out;
  for (const auto &[Id, Vm] : Tables_.Vms) {
    ++Out.Vms;
    Out.LeasedVms += Vm->Claimed;
    Out.UnknownRuns += static_cast<int>(Vm->UnknownRuns.size());
    Out.UsedMilliCores += Vm->Used.MilliCores;
    Out.TotalMilliCores += Vm->Vm.Total.MilliCores;
    for (const TaskRecord *Task : Vm->Tasks) {
      Out.PlacedTasks += Task->Phase == TaskPhase::Placed;
      Out.RunningTasks += Task->Phase == TaskPhase::Running;
      Out.StoppingTasks += Task->Phase == TaskPhase::Stopping;
    }
  }
  for (const auto &[Id, Job] : Tables_.Jobs) {
    ++Out.Jobs;
    if (isFinal(Job->Stage))
      continue;
    for (const auto &[Number, Occurrence] : Job->Occurrences)
      for (const StepRecord &Step : Occurrence->Steps)
        if (isReady(Step))
          Out.WaitingTasks += Step.Waiting;
  }
  return Out;
}

std::vector<std::string> PoolSchedulerImpl::occupiedVms() const {
  std::vector<std::string> Out;
  for (const auto &[Id, Vm] : Tables_.Vms)
    if (!Vm->Tasks.empty() || !Vm->UnknownRuns.empty())
      Out.push_back(Id);
  return Out;
}

} // namespace cuminroad
