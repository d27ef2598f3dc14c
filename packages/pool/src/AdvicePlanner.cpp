#include "AdvicePlanner.h"

#include <algorithm>
#include <tuple>

#include "Forecast.h"

namespace cuminroad {

namespace {

/// Most VMs that one call may name.
constexpr std::size_t MaxAskedVms = 100;

/// A VM to ask about.
struct RankedVm {
  /// Nothing runs on VMs in quarantine, so that by room alone they would always
  /// come first.
  bool InQuarantine;
  /// How many of the step's tasks fit.
  int Room;
  VmRecord *Vm;
};

/// The most room first.
void sortByRoom(std::vector<RankedVm> &Vms) {
  std::sort(Vms.begin(), Vms.end(),
            [](const RankedVm &Left, const RankedVm &Right) {
              return std::tie(Left.InQuarantine, Right.Room, Left.Vm->Vm.Id) <
                     std::tie(Right.InQuarantine, Left.Room, Right.Vm->Vm.Id);
            });
}

/// Keeps the \p Most VMs with the least room that together hold all \p Tasks,
/// or those with the most. Whole VMs are left to steps that need them.
void keepTightest(std::vector<RankedVm> &Vms, int Tasks, std::size_t Most) {
  sortByRoom(Vms);
  const std::size_t Size = std::min(Vms.size(), Most);
  int Room = 0;
  for (std::size_t Index = 0; Index < Size; ++Index)
    Room += Vms[Index].Room;
  std::size_t First = 0;
  for (; First + Size < Vms.size(); ++First) {
    const RankedVm &Next = Vms[First + Size];
    Room += Next.Room - Vms[First].Room;
    if (Room < Tasks || Next.InQuarantine)
      break;
  }
  Vms.erase(Vms.begin(), Vms.begin() + static_cast<std::ptrdiff_t>(First));
  Vms.resize(Size);
}

milliseconds toMillis(double Ms) {
  return milliseconds(static_cast<std::int64_t>(Ms));
}

} // namespace

void AdvicePlanner::run() {
  // In the order of the scheduling pass, which keeps room for the first steps.
  int Open = Queue_.Asking;
  int Fresh = Options_.MaxRenewedSteps;
  int Looks = Options_.MaxRenewalCandidates;
  for (StepRecord *Entry : Queue_.Steps) {
    if (Open >= Options_.MaxPendingAdvice)
      return;
    StepRecord &Step = *Entry;
    // The pass has placed some of them.
    if (Step.Waiting == 0 || Step.Asking || !Step.Occurrence->Job->Terms.Advice)
      continue;
    const bool Ready = isReady(Step);
    if (!Ready && !soonReady(Step))
      continue;
    askAboutNewVms(Step);
    if (Ready && !Step.Asking && Fresh > 0 && Looks-- > 0)
      Fresh -= renewTickets(Step);
    Open += Step.Asking;
  }
}

bool AdvicePlanner::soonReady(const StepRecord &Step) const {
  const std::vector<StepRecord> &Steps = Step.Occurrence->Steps;
  const milliseconds Lead =
      toMillis(expectedMs(
          Step, std::min(Tables_.Vms.size(), Options_.InitialAdviceVms))) +
      Options_.AdviceLead;
  for (const int Before : Step.Plan->DependsOn) {
    const StepRecord &Earlier = Steps[static_cast<std::size_t>(Before)];
    if (Earlier.Waiting > 0)
      return false;
    for (const TaskRecord &Task : Earlier.Tasks)
      if (Task.onVm() && Task.PlacedAt + Earlier.Plan->Estimate > Now_ + Lead)
        return false;
  }
  return true;
}

double AdvicePlanner::expectedMs(const StepRecord &Step,
                                 std::size_t Vms) const {
  const AdviceTerms &Terms = *Step.Occurrence->Job->Terms.Advice;
  return static_cast<double>(Terms.DecisionTime.count()) +
         Terms.PerVmMs * static_cast<double>(Vms);
}

void AdvicePlanner::askAboutNewVms(StepRecord &Step) {
  const bool Stuck = Step.BlockedSince &&
                     Now_ - *Step.BlockedSince > Options_.ExtendAdviceAfter;
  if (Step.VmsVersion == Tables_.VmsVersion && !Stuck)
    return;
  Step.VmsVersion = Tables_.VmsVersion;
  // Enough VMs are known, and new ones come in while the step is not stuck.
  if (!Step.AskedVms.empty() && !Stuck)
    return;
  const Capacity Need = Step.Plan->reservedCapacity();
  std::vector<RankedVm> New;
  for (const auto &[Id, Vm] : Tables_.Vms) {
    const auto Asked = Step.AskedVms.find(Vm.get());
    if (!Vm->takesWork() || !suits(*Step.Plan, *Vm) ||
        (Asked != Step.AskedVms.end() && Asked->second == Vm->Vm.Incarnation))
      continue;
    const int Room = std::min(countFits(Vm->free(), Need), Step.Plan->Tasks);
    New.push_back(RankedVm{Vm->inQuarantine(Now_), Room, Vm.get()});
  }
  if (New.empty())
    return;
  sortByRoom(New);
  // A call costs the advisor's decision whatever it names: a step that is stuck
  // asks about all that is left at once.
  const std::size_t Most =
      Stuck
          ? MaxAskedVms
          : std::clamp(Step.Plan->Gang ? 4 * Step.Tasks.size() : std::size_t{0},
                       Options_.InitialAdviceVms, MaxAskedVms);
  New.resize(std::min(New.size(), Most));
  std::vector<std::string> Vms;
  Vms.reserve(New.size());
  for (const RankedVm &Each : New)
    Vms.push_back(Each.Vm->Vm.Id);
  ask(Step, std::move(Vms), false);
}

std::vector<VmRecord *> AdvicePlanner::nextVms(const StepRecord &Step) const {
  const TimePoint Then =
      Now_ +
      toMillis(
          expectedMs(Step, static_cast<std::size_t>(Options_.MaxRenewedVms))) +
      Options_.RenewalLead;
  // A gang waits for the VMs that are kept for it. To ask for others, while it
  // has none, only takes the advisor's time from those that have.
  if (Step.Plan->Gang)
    return Step.ReservedAt <= Then ? Step.ReservedVms
                                   : std::vector<VmRecord *>();
  const Capacity Need = Step.Plan->reservedCapacity();
  std::vector<RankedVm> Best;
  for (const auto &[Vm, Ticket] : Step.AllowedVms) {
    if (!Vm->takesWork() || !suits(*Step.Plan, *Vm) ||
        Ticket.Incarnation != Vm->Vm.Incarnation)
      continue;
    const int Room = countFits(freeAt(*Vm, Then, Now_), Need);
    if (Room > 0)
      Best.push_back(RankedVm{Vm->inQuarantine(Now_), Room, Vm});
  }
  keepTightest(Best, Step.Waiting,
               static_cast<std::size_t>(Options_.MaxRenewedVms));
  std::vector<VmRecord *> Out;
  Out.reserve(Best.size());
  for (const RankedVm &Each : Best)
    Out.push_back(Each.Vm);
  return Out;
}

bool AdvicePlanner::renewTickets(StepRecord &Step) {
  const std::vector<VmRecord *> Next = nextVms(Step);
  if (Next.empty())
    return false;
  const TimePoint Needed = Now_ + Options_.TicketMargin + Options_.StartDelay +
                           toMillis(expectedMs(Step, Next.size()));
  const bool Stale = std::any_of(Next.begin(), Next.end(), [&](VmRecord *Vm) {
    return Step.AllowedVms[Vm].ValidUntil < Needed;
  });
  if (!Stale)
    return true;
  std::vector<std::string> Vms;
  Vms.reserve(Next.size());
  for (const VmRecord *Vm : Next)
    Vms.push_back(Vm->Vm.Id);
  ask(Step, std::move(Vms), true);
  return true;
}

void AdvicePlanner::ask(StepRecord &Step, std::vector<std::string> Vms,
                        bool Renewal) {
  Step.Asking = true;
  const double Expected = expectedMs(Step, Vms.size());
  Tables_.Commands.push_back(
      RequestAdvice{nameOf(Step), std::move(Vms), Expected,
                    Step.Occurrence->Job->Terms.Priority, Renewal});
}

} // namespace cuminroad
