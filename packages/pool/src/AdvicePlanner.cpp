#include "AdvicePlanner.h"

#include <algorithm>
#include <tuple>

#include "Forecast.h"

namespace cuminroad {

namespace {

/// Maximum number of VMs in one call to the advisor.
constexpr std::size_t MaxVmsPerCall = 100;

milliseconds toMillis(double Ms) {
  return milliseconds(static_cast<std::int64_t>(Ms));
}

} // namespace

void AdvicePlanner::sortByRoom(std::vector<RankedVm> &Vms) {
  std::sort(Vms.begin(), Vms.end(),
            [](const RankedVm &Left, const RankedVm &Right) {
              return std::tie(Left.Avoided, Right.FittingTasks,
                              Left.Vm->Description.Id) <
                     std::tie(Right.Avoided, Left.FittingTasks,
                              Right.Vm->Description.Id);
            });
}

void AdvicePlanner::keepTightest(std::vector<RankedVm> &Vms, int Tasks,
                                 std::size_t MaxVms) {
  sortByRoom(Vms);
  const std::size_t Size = std::min(Vms.size(), MaxVms);
  int FittingTasks = 0;
  for (std::size_t Index = 0; Index < Size; ++Index)
    FittingTasks += Vms[Index].FittingTasks;
  std::size_t First = 0;
  for (; First + Size < Vms.size(); ++First) {
    const RankedVm &Next = Vms[First + Size];
    FittingTasks += Next.FittingTasks - Vms[First].FittingTasks;
    if (FittingTasks < Tasks || Next.Avoided)
      break;
  }
  Vms.erase(Vms.begin(), Vms.begin() + static_cast<std::ptrdiff_t>(First));
  Vms.resize(Size);
}

void AdvicePlanner::run() {
  // In the order of the scheduling pass, which reserves VMs for the first
  // steps.
  std::map<int, int> PendingAdvice = Waiting_.PendingAdvice;
  PendingExtensions_ = Waiting_.PendingExtensions;
  int RenewalsLeft = Options_.MaxRenewedSteps;
  int CandidatesLeft = Options_.MaxRenewalCandidates;
  for (StepRecord *Entry : Waiting_.Steps) {
    StepRecord &Step = *Entry;
    const QueueTerms &Terms = Step.Occurrence->Job->Terms;
    // The scheduling pass may have placed all tasks of the step.
    if (Step.WaitingTasks == 0 || Step.PendingAdvice || !Terms.Advice)
      continue;
    int &Pending = PendingAdvice[Terms.Priority];
    if (Pending >= Options_.MaxPendingAdvice)
      continue;
    const bool Ready = isReady(Step);
    if (!Ready && !isReadySoon(Step))
      continue;
    if (Step.QueriedVms.empty())
      requestFirstAdvice(Step);
    else
      requestFurtherVms(Step);
    if (Ready && !Step.PendingAdvice && RenewalsLeft > 0 &&
        CandidatesLeft-- > 0)
      RenewalsLeft -= renewTickets(Step);
    Pending += Step.PendingAdvice.has_value();
  }
}

bool AdvicePlanner::isReadySoon(const StepRecord &Step) const {
  const std::vector<StepRecord> &Steps = Step.Occurrence->Steps;
  const milliseconds Lead =
      toMillis(expectedLatencyMs(
          Step, std::min(Tables_.Vms.size(), Options_.InitialAdviceVms))) +
      Options_.AdviceLead;
  for (const int Dependency : Step.Plan->DependsOn) {
    const StepRecord &Earlier = Steps[static_cast<std::size_t>(Dependency)];
    if (Earlier.WaitingTasks > 0)
      return false;
    for (const TaskRecord &Task : Earlier.Tasks)
      if (Task.isOnVm() && Task.PlacedAt + Earlier.Plan->Estimate > Now_ + Lead)
        return false;
  }
  return true;
}

double AdvicePlanner::expectedLatencyMs(const StepRecord &Step,
                                        std::size_t Vms) const {
  const AdviceTerms &Terms = *Step.Occurrence->Job->Terms.Advice;
  return static_cast<double>(Terms.DecisionTime.count()) +
         Terms.PerVmMs * static_cast<double>(Vms);
}

std::vector<AdvicePlanner::RankedVm>
AdvicePlanner::rankNewVms(const StepRecord &Step) const {
  const Capacity TaskSize = Step.Plan->reservedCapacity();
  std::vector<RankedVm> Out;
  for (const auto &[Id, Vm] : Tables_.Vms) {
    const auto Queried = Step.QueriedVms.find(Vm.get());
    if (!Vm->acceptsWork() || !canHost(*Step.Plan, *Vm) ||
        (Queried != Step.QueriedVms.end() &&
         Queried->second == Vm->Description.Incarnation))
      continue;
    const int FittingTasks =
        std::min(countFits(Vm->freeCapacity(), TaskSize), Step.Plan->Tasks);
    Out.push_back(RankedVm{isAvoided(*Vm), FittingTasks, Vm.get()});
  }
  sortByRoom(Out);
  return Out;
}

bool AdvicePlanner::isAvoided(const VmRecord &Vm) const {
  return Vm.inQuarantine(Now_) || Vm.isSuspect(Now_, Options_.SuspectDuration);
}

void AdvicePlanner::requestFirstAdvice(StepRecord &Step) {
  if (Step.SeenVmsVersion == Tables_.VmsVersion)
    return;
  Step.SeenVmsVersion = Tables_.VmsVersion;
  const std::size_t MaxVms =
      std::clamp(Step.Plan->Gang ? 4 * Step.Tasks.size() : std::size_t{0},
                 Options_.InitialAdviceVms, MaxVmsPerCall);
  std::vector<VmRecord *> Vms;
  for (const RankedVm &Each : rankNewVms(Step))
    if (Vms.size() < MaxVms)
      Vms.push_back(Each.Vm);
  if (!Vms.empty())
    requestAdvice(Step, Vms, AdvicePurpose::First);
}

void AdvicePlanner::requestFurtherVms(StepRecord &Step) {
  if (!Step.BlockedSince ||
      Now_ - *Step.BlockedSince <= Options_.ExtendAdviceAfter ||
      Now_ < Step.NextExtension ||
      PendingExtensions_ >= Options_.MaxPendingExtensions)
    return;
  // Most of a call's latency is independent of the number of VMs, so it names
  // as many as possible. VMs without room are of use to gangs, for which VMs
  // are reserved until they have room.
  std::vector<VmRecord *> Vms;
  for (const RankedVm &Each : rankNewVms(Step))
    if ((Step.Plan->Gang || Each.FittingTasks > 0) &&
        Vms.size() < MaxVmsPerCall)
      Vms.push_back(Each.Vm);
  Step.NextExtension = Now_ + Options_.ExtendAdviceAfter;
  if (Vms.empty())
    return;
  ++PendingExtensions_;
  requestAdvice(Step, Vms, AdvicePurpose::Extension);
}

std::vector<VmRecord *>
AdvicePlanner::vmsForNextTasks(const StepRecord &Step) const {
  const TimePoint AnswerTime =
      Now_ +
      toMillis(expectedLatencyMs(
          Step, static_cast<std::size_t>(Options_.MaxRenewedVms))) +
      Options_.RenewalLead;
  // A gang waits for its reserved VMs. Requests for a gang without reservations
  // would only delay the requests of those that have them.
  if (Step.Plan->Gang)
    return Step.ReservationStart <= AnswerTime ? Step.ReservedVms
                                               : std::vector<VmRecord *>();
  const Capacity TaskSize = Step.Plan->reservedCapacity();
  std::vector<RankedVm> Candidates;
  for (const auto &[Vm, Ticket] : Step.AllowedVms) {
    if (!Vm->acceptsWork() || !canHost(*Step.Plan, *Vm) ||
        Ticket.VmIncarnation != Vm->Description.Incarnation)
      continue;
    const int FittingTasks =
        countFits(freeCapacityAt(*Vm, AnswerTime, Now_), TaskSize);
    if (FittingTasks > 0)
      Candidates.push_back(RankedVm{isAvoided(*Vm), FittingTasks, Vm});
  }
  keepTightest(Candidates, Step.WaitingTasks,
               static_cast<std::size_t>(Options_.MaxRenewedVms));
  std::vector<VmRecord *> Out;
  Out.reserve(Candidates.size());
  for (const RankedVm &Each : Candidates)
    Out.push_back(Each.Vm);
  return Out;
}

bool AdvicePlanner::renewTickets(StepRecord &Step) {
  const std::vector<VmRecord *> NextVms = vmsForNextTasks(Step);
  if (NextVms.empty())
    return false;
  const TimePoint RequiredUntil =
      Now_ + Options_.TicketMargin + Options_.StartDelay +
      toMillis(expectedLatencyMs(Step, NextVms.size()));
  const bool AnyExpiring =
      std::any_of(NextVms.begin(), NextVms.end(), [&](VmRecord *Vm) {
        return Step.AllowedVms[Vm].ValidUntil < RequiredUntil;
      });
  if (!AnyExpiring)
    return true;
  requestAdvice(Step, NextVms, AdvicePurpose::Renewal);
  return true;
}

void AdvicePlanner::requestAdvice(StepRecord &Step,
                                  std::span<VmRecord *const> Vms,
                                  AdvicePurpose Purpose) {
  Step.PendingAdvice = Purpose;
  RequestAdvice Command;
  Command.Step = nameOf(Step);
  Command.Vms.reserve(Vms.size());
  for (const VmRecord *Vm : Vms)
    Command.Vms.push_back(Vm->Description.Id);
  Command.ExpectedLatencyMs = expectedLatencyMs(Step, Vms.size());
  Command.Priority = Step.Occurrence->Job->Terms.Priority;
  Command.Purpose = Purpose;
  Tables_.Commands.push_back(std::move(Command));
}

} // namespace cuminroad
