#include "SchedulingPass.h"

#include <algorithm>

#include "Forecast.h"

namespace cuminroad {

namespace {

// Weights of a placement's score. Room left over is the base, from 0 to 1; the
// others are set against it.
/// Accelerators are the scarce part of VMs that have them.
constexpr double AcceleratorWeight = 2.0;
/// Work that takes longer costs more than a looser fit.
constexpr double SlownessWeight = 0.7;
constexpr double RemoteWeight = 3.0;
/// Fillers disturb serving tasks: a VM with the other kind comes last.
constexpr double ConflictWeight = 10.0;
/// Tasks of a long-running step are spread, so that one VM's end hits few.
constexpr double SpreadWeight = 0.5;
/// A VM in quarantine is tried only where no other VM would do.
constexpr double QuarantineWeight = 100.0;
/// A step that is blocked for this long is logged; then at each doubling.
constexpr milliseconds FirstBlockedReport{1000};
/// Estimates are often too low; reserved VMs are not used by work that may
/// overrun.
constexpr double BackfillMargin = 1.3;

int tasksOnVm(const StepRecord &Step, const VmRecord &Vm) {
  if (Step.OnVms == 0)
    return 0;
  return static_cast<int>(std::count_if(
      Vm.Tasks.begin(), Vm.Tasks.end(),
      [&Step](const TaskRecord *Task) { return Task->Step == &Step; }));
}

/// Whether the VM runs tasks that the step's would disturb or be disturbed by.
bool conflicts(const StepRecord &Step, const VmRecord &Vm) {
  if (!Step.Plan->Fills && !Step.Plan->serves())
    return false;
  return std::any_of(Vm.Tasks.begin(), Vm.Tasks.end(),
                     [&Step](const TaskRecord *Task) {
                       const StepPlan &Other = *Task->Step->Plan;
                       return Step.Plan->Fills ? Other.serves() : Other.Fills;
                     });
}

} // namespace

void SchedulingPass::run() {
  for (auto &[Id, Vm] : Tables_.Vms) {
    Vm->ReservedUntil.reset();
    if (Vm->takesWork() && (!Vm->inQuarantine(Now_) || Vm->NextProbe <= Now_))
      Open_.push_back(Vm.get());
  }
  for (StepRecord *Step : Queue_.Steps) {
    Step->Blocked = false;
    Step->ReservedVms.clear();
  }
  int Blocked = 0;
  for (StepRecord *Step : Queue_.Steps) {
    if (!isReady(*Step))
      continue;
    placeStep(*Step);
    Blocked += Step->Blocked;
    if (Blocked >= Options_.BlockedLimit)
      return;
  }
}

void SchedulingPass::placeStep(StepRecord &Step) {
  if (Step.Plan->Gang)
    placeGang(Step);
  else
    placeTasks(Step);
  if (!Step.Blocked) {
    Step.BlockedSince.reset();
    return;
  }
  reportBlocked(Step);
  if (Reservations_ < Options_.ReservedSteps)
    reserve(Step);
}

void SchedulingPass::reportBlocked(StepRecord &Step) {
  if (!Step.BlockedSince) {
    Step.BlockedSince = Now_;
    Step.NextReport = FirstBlockedReport;
  }
  const auto Waited =
      std::chrono::duration_cast<milliseconds>(Now_ - *Step.BlockedSince);
  if (Waited < Step.NextReport)
    return;
  Step.NextReport *= 2;
  BlockedStep Report;
  Report.Step = nameOf(Step);
  Report.Waited = Waited;
  Report.Waiting = Step.Waiting;
  const bool Advised = Step.Occurrence->Job->Terms.Advice.has_value();
  for (const auto &[Id, Vm] : Tables_.Vms) {
    if (Advised && !Step.Good.contains(Vm.get()))
      continue;
    ++Report.Good;
    Report.Held += Vm->takesWork();
    Report.Usable +=
        Vm->takesWork() && suits(*Step.Plan, *Vm) && !Vm->inQuarantine(Now_);
    Report.Roomy += Step.Plan->reserved().fitsIn(Vm->free());
  }
  forEachOpen(Step, [&Report](const VmRecord &) { ++Report.Ticketed; });
  Tables_.Notes.Blocked.push_back(std::move(Report));
}

const Capacity &SchedulingPass::largestRoom() {
  if (!LargestKnown_) {
    Largest_ = Capacity{};
    for (const VmRecord *Vm : Open_) {
      const Capacity Free = Vm->free();
      Largest_.MilliCores = std::max(Largest_.MilliCores, Free.MilliCores);
      Largest_.MemoryMb = std::max(Largest_.MemoryMb, Free.MemoryMb);
      Largest_.Accelerators =
          std::max(Largest_.Accelerators, Free.Accelerators);
    }
    LargestKnown_ = true;
  }
  return Largest_;
}

template <typename F>
void SchedulingPass::forEachOpen(const StepRecord &Step, F Visit) const {
  if (!Step.Occurrence->Job->Terms.Advice) {
    for (VmRecord *Vm : Open_)
      Visit(*Vm);
    return;
  }
  for (const auto &[Vm, Ticket] : Step.Good)
    if (Ticket.Born == Vm->Vm.Born &&
        Ticket.ValidUntil > Now_ + Options_.TicketMargin + Options_.StartDelay)
      Visit(*Vm);
}

bool SchedulingPass::takes(const StepRecord &Step, const VmRecord &Vm) const {
  return Step.Plan->reserved().fitsIn(Vm.free()) &&
         reservationAllows(Step, Vm) &&
         (Step.Plan->MaxPerVm == 0 ||
          tasksOnVm(Step, Vm) < Step.Plan->MaxPerVm);
}

void SchedulingPass::placeTasks(StepRecord &Step) {
  if (!Step.Plan->reserved().fitsIn(largestRoom())) {
    Step.Blocked = true;
    return;
  }
  std::vector<ScoredVm> Fitting;
  forEachOpen(Step, [&](VmRecord &Vm) {
    if (eligible(Step, Vm) && takes(Step, Vm))
      Fitting.push_back(ScoredVm{score(Step, Vm), &Vm});
  });
  for (TaskRecord &Task : Step.Tasks) {
    if (Task.Phase != TaskPhase::Waiting || Task.NotBefore > Now_)
      continue;
    const auto Best =
        std::min_element(Fitting.begin(), Fitting.end(),
                         [](const ScoredVm &Left, const ScoredVm &Right) {
                           return std::tie(Left.Score, Left.Vm->Vm.Id) <
                                  std::tie(Right.Score, Right.Vm->Vm.Id);
                         });
    if (Best == Fitting.end()) {
      Step.Blocked = true;
      return;
    }
    start(Task, *Best->Vm, Task.Run + 1);
    if (eligible(Step, *Best->Vm) && takes(Step, *Best->Vm))
      Best->Score = score(Step, *Best->Vm);
    else
      Fitting.erase(Best);
  }
}

void SchedulingPass::placeGang(StepRecord &Step) {
  std::int64_t LastRun = 0;
  for (const TaskRecord &Task : Step.Tasks) {
    // Members of an earlier run may still be there.
    if (Task.Phase != TaskPhase::Waiting || Task.NotBefore > Now_)
      return;
    LastRun = std::max(LastRun, Task.Run);
  }
  if (!Step.Plan->reserved().fitsIn(largestRoom())) {
    Step.Blocked = true;
    return;
  }
  std::vector<VmRecord *> Chosen;
  bool Placed = false;
  if (Step.Plan->SameRack) {
    std::set<std::string_view> Racks;
    for (const auto &[Id, Vm] : Tables_.Vms)
      for (const std::string &Label : Vm->Vm.Labels)
        Racks.insert(Label);
    for (const std::string_view Rack : Racks)
      if (!Placed)
        Placed = spreadGang(Step, Rack, Chosen);
  }
  if (!Placed && !spreadGang(Step, "", Chosen)) {
    Step.Blocked = true;
    return;
  }
  for (std::size_t Index = 0; Index < Step.Tasks.size(); ++Index)
    start(Step.Tasks[Index], *Chosen[Index], LastRun + 1);
}

bool SchedulingPass::spreadGang(StepRecord &Step, std::string_view Rack,
                                std::vector<VmRecord *> &Chosen) {
  std::vector<ScoredVm> Usable;
  forEachOpen(Step, [&](VmRecord &Vm) {
    if (eligible(Step, Vm) && reservationAllows(Step, Vm) &&
        (Rack.empty() || Vm.Vm.hasLabel(Rack)))
      Usable.push_back(ScoredVm{score(Step, Vm), &Vm});
  });
  std::sort(Usable.begin(), Usable.end(),
            [](const ScoredVm &Left, const ScoredVm &Right) {
              return std::tie(Left.Score, Left.Vm->Vm.Id) <
                     std::tie(Right.Score, Right.Vm->Vm.Id);
            });
  Chosen.clear();
  const std::size_t Wanted = Step.Tasks.size();
  for (const auto &[Score, Vm] : Usable) {
    int Room = cuminroad::countFits(Vm->free(), Step.Plan->reserved());
    if (Step.Plan->MaxPerVm > 0)
      Room = std::min(Room, Step.Plan->MaxPerVm);
    while (Room-- > 0 && Chosen.size() < Wanted)
      Chosen.push_back(Vm);
  }
  return Chosen.size() == Wanted;
}

bool SchedulingPass::eligible(const StepRecord &Step,
                              const VmRecord &Vm) const {
  return Vm.takesWork() && suits(*Step.Plan, Vm) &&
         (!Vm.inQuarantine(Now_) || mayProbe(Step, Vm));
}

bool SchedulingPass::mayProbe(const StepRecord &Step,
                              const VmRecord &Vm) const {
  if (!Step.BlockedSince || Now_ < Vm.NextProbe)
    return false;
  const int Attempts = Step.Occurrence->Job->Terms.Attempts;
  const bool LastAttempt = !Step.Plan->LongRunning &&
                           (Step.GangFailures + 1 >= Attempts ||
                            std::any_of(Step.Tasks.begin(), Step.Tasks.end(),
                                        [Attempts](const TaskRecord &Task) {
                                          return Task.Failures + 1 >= Attempts;
                                        }));
  return Now_ - *Step.BlockedSince >=
         Options_.ProbeAfter * (LastAttempt ? 2 : 1);
}

bool SchedulingPass::reservationAllows(const StepRecord &Step,
                                       const VmRecord &Vm) const {
  if (!Vm.ReservedUntil)
    return true;
  if (Step.Plan->reserved().fitsIn(Vm.Spare))
    return true;
  if (Step.Plan->LongRunning)
    return false;
  const auto Length = std::chrono::duration_cast<milliseconds>(
      Step.Plan->Estimate * BackfillMargin * Vm.Slowness);
  return Now_ + Length <= *Vm.ReservedUntil;
}

double SchedulingPass::score(const StepRecord &Step, const VmRecord &Vm) const {
  const StepPlan &Plan = *Step.Plan;
  const Capacity Left = Vm.free() - Plan.reserved();
  const auto Share = [](std::int64_t Part, std::int64_t Whole) {
    return Whole > 0 ? static_cast<double>(Part) / static_cast<double>(Whole)
                     : 0.0;
  };
  double Out =
      Share(Left.MilliCores, Vm.Vm.Total.MilliCores) +
      AcceleratorWeight * Share(Left.Accelerators, Vm.Vm.Total.Accelerators) +
      SlownessWeight * (Vm.Slowness - 1.0);
  if (!Plan.DataRack.empty() && !Vm.Vm.hasLabel(Plan.DataRack))
    Out += RemoteWeight * (Options_.RemoteFactor - 1.0);
  if (conflicts(Step, Vm))
    Out += ConflictWeight;
  if (Vm.inQuarantine(Now_))
    Out += QuarantineWeight;
  if (Plan.LongRunning)
    Out += SpreadWeight * tasksOnVm(Step, Vm);
  return Out;
}

void SchedulingPass::start(TaskRecord &Task, VmRecord &Vm, std::int64_t Run) {
  StepRecord &Step = *Task.Step;
  if (Vm.ReservedUntil)
    Vm.Spare -= Step.Plan->reserved();
  if (Vm.inQuarantine(Now_))
    Vm.NextProbe = Now_ + Options_.ProbeGap;
  Tables_.place(Task, Vm, Run, Now_);
  LargestKnown_ = false;
  JobRecord &Job = *Step.Occurrence->Job;
  if (Job.Stage == JobStage::Queued)
    Job.Stage = JobStage::Running;
  Job.Started = true;
  StartRun Command{Vm.Vm.Id, TaskRun{nameOf(Task), Run}, Task.Checkpoint, ""};
  if (const auto Ticket = Step.Good.find(&Vm); Ticket != Step.Good.end()) {
    Command.Ticket = Ticket->second.Ticket;
    Command.TicketUntil = Ticket->second.ValidUntil;
  }
  Tables_.Commands.push_back(std::move(Command));
}

int SchedulingPass::countFits(const StepRecord &Step, const VmRecord &Vm,
                              TimePoint When) const {
  int Out = cuminroad::countFits(freeAt(Vm, When, Now_), Step.Plan->reserved());
  if (Step.Plan->MaxPerVm > 0)
    Out = std::min(Out, Step.Plan->MaxPerVm);
  return Out;
}

void SchedulingPass::reserve(StepRecord &Step) {
  const bool Advised = Step.Occurrence->Job->Terms.Advice.has_value();
  std::vector<VmRecord *> Usable;
  std::vector<TimePoint> Times{Now_};
  for (VmRecord *Vm : Open_) {
    if (!eligible(Step, *Vm) || Vm->ReservedUntil ||
        (Advised && !Step.Good.contains(Vm)))
      continue;
    Usable.push_back(Vm);
    for (const TaskRecord *Task : Vm->Tasks)
      if (const TimePoint End = expectedEnd(*Task, Now_);
          End != TimePoint::max())
        Times.push_back(End);
  }
  const int Wanted = Step.Plan->Gang ? static_cast<int>(Step.Tasks.size()) : 1;
  const auto Enough = [&](TimePoint When) {
    int Sum = 0;
    for (const VmRecord *Vm : Usable)
      Sum += std::min(countFits(Step, *Vm, When), Wanted);
    return Sum >= Wanted;
  };
  std::sort(Times.begin(), Times.end());
  const auto At =
      std::partition_point(Times.begin(), Times.end(),
                           [&Enough](TimePoint When) { return !Enough(When); });
  if (At == Times.end())
    return;
  ++Reservations_;
  std::vector<std::pair<int, VmRecord *>> ByRoom;
  ByRoom.reserve(Usable.size());
  for (VmRecord *Vm : Usable)
    ByRoom.emplace_back(-countFits(Step, *Vm, *At), Vm);
  std::stable_sort(ByRoom.begin(), ByRoom.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first < Right.first;
                   });
  int Open = Wanted;
  Step.ReservedAt = *At;
  for (const auto &[Less, Vm] : ByRoom) {
    const int Here = std::min(-Less, Open);
    if (Here <= 0)
      return;
    Vm->ReservedUntil = *At;
    Vm->Spare = freeAt(*Vm, *At, Now_) - Step.Plan->reserved() * Here;
    // What fits beside the step must also fit now.
    Vm->Spare = componentwiseMin(Vm->Spare, Vm->free());
    Step.ReservedVms.push_back(Vm);
    Open -= Here;
  }
}

} // namespace cuminroad
