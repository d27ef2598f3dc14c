#include "AdvicePlanner.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "AccountQuota.h"
#include "Forecast.h"

namespace cuminroad {

namespace {

/// Maximum number of VMs in one call to the advisor.
constexpr std::size_t MaxVmsPerCall = 100;

/// A candidate VM for a request.
struct RankedVm {
  /// VMs in quarantine are ranked last: nothing runs on them, so they would
  /// otherwise always have the most room.
  bool InQuarantine;
  /// Number of the step's tasks that fit.
  int FittingTasks;
  VmRecord *Vm;
};

/// Orders by decreasing room, VMs in quarantine last.
bool hasMoreRoom(const RankedVm &Left, const RankedVm &Right) {
  return std::tie(Left.InQuarantine, Right.FittingTasks, Left.Vm->Position) <
         std::tie(Right.InQuarantine, Left.FittingTasks, Right.Vm->Position);
}

void sortByRoom(std::vector<RankedVm> &Vms) {
  std::sort(Vms.begin(), Vms.end(), hasMoreRoom);
}

/// Keeps the \p MaxVms VMs with the least room that together fit all \p Tasks,
/// or those with the most room if no such VMs exist. This leaves empty VMs to
/// steps that need whole VMs.
void keepTightest(std::vector<RankedVm> &Vms, int Tasks, std::size_t MaxVms) {
  sortByRoom(Vms);
  const std::size_t Size = std::min(Vms.size(), MaxVms);
  std::int64_t FittingTasks = 0;
  for (std::size_t Index = 0; Index < Size; ++Index)
    FittingTasks += Vms[Index].FittingTasks;
  std::size_t First = 0;
  for (; First + Size < Vms.size(); ++First) {
    const RankedVm &Next = Vms[First + Size];
    FittingTasks += std::int64_t{Next.FittingTasks} - Vms[First].FittingTasks;
    if (FittingTasks < Tasks || Next.InQuarantine)
      break;
  }
  Vms.erase(Vms.begin(), Vms.begin() + static_cast<std::ptrdiff_t>(First));
  Vms.resize(Size);
}

/// \returns whether the VM, for which the advisor has issued \p Ticket, can
/// still take tasks of the step.
bool isUsable(const StepRecord &Step, const VmRecord &Vm,
              const TicketRecord &Ticket) {
  return Vm.acceptsWork() && canHost(*Step.Plan, Vm) &&
         Ticket.VmIncarnation == Vm.Description.Incarnation;
}

milliseconds toMillis(double Ms) {
  return milliseconds(static_cast<std::int64_t>(Ms));
}

} // namespace

void AdvicePlanner::run() {
  // In the order of the scheduling pass, which reserves VMs for the first
  // steps.
  int PendingAdvice = Waiting_.PendingAdvice;
  int RenewalsLeft = Options_.MaxRenewedSteps;
  int PendingRetries = Waiting_.PendingRetries;
  ExaminationBudget Candidates({.MostUrgent = Options_.MaxRenewalCandidates,
                                .InTurn = Options_.MaxRenewalCandidatesInTurn,
                                .RoundTime = Options_.ExaminationRoundTime},
                               Tables_.RenewalRound, Now_);
  for (StepRecord *Entry : Waiting_.Steps) {
    if (PendingAdvice >= Options_.MaxPendingAdvice)
      return;
    StepRecord &Step = *Entry;
    const bool Retries = Step.AdviceRetryDelay > milliseconds(0);
    if (Retries && PendingRetries >= Options_.MaxPendingRetries)
      continue;
    // The scheduling pass may have placed all tasks of the step.
    if (Step.WaitingTasks == 0 || Step.AdvicePending ||
        Now_ < Step.NoAdviceBefore || !Step.Occurrence->Job->Terms.Advice)
      continue;
    const bool Ready = isReady(Step);
    if (Step.Occurrence->Job->BeyondRate &&
        (!Ready || Step.HeldBack ||
         PendingAdvice >= Options_.MaxPendingAdvice / 2))
      continue;
    if (!Ready && !isReadySoon(Step))
      continue;
    if (Ready ? isBlockedByQuota(Step) : isBlockedByQuotaWhenReady(Step))
      continue;
    requestAdviceOnNewVms(Step);
    if (Ready && !Step.AdvicePending && RenewalsLeft > 0 &&
        Candidates.admit(Step.RenewalRound)) {
      Candidates.spend();
      RenewalsLeft -= renewTickets(Step);
    }
    PendingAdvice += Step.AdvicePending;
    PendingRetries += Retries && Step.AdvicePending;
  }
  Candidates.finish();
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
    for (const auto &[Index, Task] : Earlier.Tasks.records())
      if (Task.isOnVm() && expectedEnd(Task) > Now_ + Lead)
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

void AdvicePlanner::requestAdviceOnNewVms(StepRecord &Step) {
  const bool BlockedLong = Step.BlockedSince && Now_ - *Step.BlockedSince >
                                                    Options_.ExtendAdviceAfter;
  if (Step.SeenVmsVersion == Tables_.VmsVersion &&
      (!BlockedLong || Step.NoNewVms))
    return;
  Step.SeenVmsVersion = Tables_.VmsVersion;
  Step.NoNewVms = false;
  // Advice on enough VMs is known until the step has been blocked for long.
  if (!Step.QueriedVms.empty() && !BlockedLong)
    return;
  // Most of a call's latency is independent of the number of VMs, so a step
  // that has been blocked for long requests as many of the remaining VMs as
  // possible.
  const std::size_t MaxVms =
      BlockedLong
          ? MaxVmsPerCall
          : std::clamp(Step.Plan->Gang
                           ? 4 * static_cast<std::size_t>(Step.Tasks.size())
                           : std::size_t{0},
                       Options_.InitialAdviceVms, MaxVmsPerCall);
  const Capacity TaskSize = Step.Plan->reservedCapacity();
  const int MostFittingTasks =
      std::min(countFits(LargestFree_, TaskSize), Step.Plan->Tasks);
  std::vector<RankedVm> NewVms;
  std::size_t VmsWithMostRoom = 0;
  for (VmRecord *Vm : Tables_.OrderedVms) {
    ++Tables_.Diagnostics.AdviceChecks;
    if (!Vm->acceptsWork() || !canHost(*Step.Plan, *Vm))
      continue;
    if (!Step.QueriedVms.empty()) {
      const auto Queried = Step.QueriedVms.find(Vm);
      if (Queried != Step.QueriedVms.end() &&
          Queried->second == Vm->Description.Incarnation)
        continue;
    }
    const int FittingTasks =
        std::min(countFits(Vm->freeCapacity(), TaskSize), Step.Plan->Tasks);
    NewVms.push_back(RankedVm{Vm->inQuarantine(Now_), FittingTasks, Vm});
    VmsWithMostRoom +=
        !NewVms.back().InQuarantine && FittingTasks == MostFittingTasks;
    // No VM after these can be ranked before them.
    if (VmsWithMostRoom == MaxVms)
      break;
  }
  Step.NoNewVms = NewVms.empty();
  if (Step.NoNewVms)
    return;
  const std::size_t Size = std::min(NewVms.size(), MaxVms);
  std::partial_sort(NewVms.begin(),
                    NewVms.begin() + static_cast<std::ptrdiff_t>(Size),
                    NewVms.end(), hasMoreRoom);
  NewVms.resize(Size);
  std::vector<std::string> Vms;
  Vms.reserve(NewVms.size());
  for (const RankedVm &Each : NewVms)
    Vms.push_back(Each.Vm->Description.Id);
  requestAdvice(Step, std::move(Vms), false);
}

std::vector<VmRecord *>
AdvicePlanner::vmsWithRoomForGang(const StepRecord &Step) {
  const Capacity TaskSize = Step.Plan->reservedCapacity();
  int MissingTasks = Step.WaitingTasks;
  std::vector<RankedVm> Candidates;
  for (const auto &[Vm, Ticket] : Step.AllowedVms) {
    if (!isUsable(Step, *Vm, Ticket) || Vm->inQuarantine(Now_))
      continue;
    Capacity Free =
        Vm->ReservationStart ? Vm->BackfillRoom : Vm->freeCapacity();
    if (const auto Claim = Claimed_.find(Vm); Claim != Claimed_.end())
      Free -= Claim->second;
    int FittingTasks = countFits(Free, TaskSize);
    if (Step.Plan->MaxPerVm > 0)
      FittingTasks = std::min(FittingTasks, Step.Plan->MaxPerVm);
    if (FittingTasks > 0)
      Candidates.push_back(RankedVm{false, FittingTasks, Vm});
  }
  sortByRoom(Candidates);
  std::vector<std::pair<VmRecord *, int>> TasksOnVms;
  for (const RankedVm &Each : Candidates) {
    if (MissingTasks == 0)
      break;
    TasksOnVms.emplace_back(Each.Vm, std::min(Each.FittingTasks, MissingTasks));
    MissingTasks -= TasksOnVms.back().second;
  }
  if (MissingTasks > 0)
    return {};
  std::vector<VmRecord *> Out;
  for (const auto &[Vm, Tasks] : TasksOnVms) {
    Claimed_[Vm] += TaskSize * Tasks;
    Out.push_back(Vm);
  }
  return Out;
}

std::vector<VmRecord *> AdvicePlanner::vmsForNextTasks(const StepRecord &Step) {
  const TimePoint AnswerTime =
      Now_ +
      toMillis(expectedLatencyMs(
          Step, static_cast<std::size_t>(Options_.MaxRenewedVms))) +
      Options_.RenewalLead;
  if (Step.Plan->Gang && Step.ReservedVms.empty())
    return vmsWithRoomForGang(Step);
  // A gang waits for its reserved VMs.
  if (Step.Plan->Gang)
    return Step.ReservationStart <= AnswerTime ? Step.ReservedVms
                                               : std::vector<VmRecord *>();
  const Capacity TaskSize = Step.Plan->reservedCapacity();
  std::vector<RankedVm> Candidates;
  for (const auto &[Vm, Ticket] : Step.AllowedVms) {
    if (!isUsable(Step, *Vm, Ticket))
      continue;
    int FittingTasks =
        countFits(freeCapacityAt(*Vm, AnswerTime, Now_), TaskSize);
    if (Step.Plan->MaxPerVm > 0)
      FittingTasks =
          std::min(FittingTasks, Step.Plan->MaxPerVm - tasksOnVm(Step, *Vm));
    if (FittingTasks > 0)
      Candidates.push_back(RankedVm{Vm->inQuarantine(Now_), FittingTasks, Vm});
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
  if (!mayStartTasks(Step, Options_))
    return false;
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
  std::vector<std::string> Vms;
  Vms.reserve(NextVms.size());
  for (const VmRecord *Vm : NextVms)
    Vms.push_back(Vm->Description.Id);
  requestAdvice(Step, std::move(Vms), true);
  return true;
}

void AdvicePlanner::requestAdvice(StepRecord &Step,
                                  std::vector<std::string> Vms, bool Renewal) {
  Step.AdvicePending = true;
  Step.AdviceRequestedAt = Now_;
  const double ExpectedLatencyMs = expectedLatencyMs(Step, Vms.size());
  Tables_.Commands.push_back(RequestAdvice{
      nameOf(Step), std::move(Vms), ExpectedLatencyMs,
      Step.Occurrence->Job->BeyondRate ? LowestPriority
                                       : Step.Occurrence->Job->Terms.Priority,
      Renewal, Step.AdviceRetryDelay > milliseconds(0),
      !Renewal && !Step.QueriedVms.empty()});
}

} // namespace cuminroad
