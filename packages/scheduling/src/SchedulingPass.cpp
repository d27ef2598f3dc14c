#include "PackingScheduler.h"

#include <algorithm>
#include <queue>

#include "PlacementPolicy.h"
#include "Preemption.h"
#include "ReservationPlan.h"

namespace cuminroad {

namespace {

enum TurnClass { UrgentTurn, NearDeadlineTurn, FairShareTurn };

} // namespace

void PackingScheduler::schedule() {
  endQuarantines();
  endReservation();
  using Turn = std::pair<TurnKey, int>;
  std::priority_queue<Turn, std::vector<Turn>, std::greater<>> Turns;
  for (int Index = 0; Index < static_cast<int>(Customers_.size()); ++Index)
    if (!Customers_[Index].Queue.empty())
      Turns.emplace(turnKey(Customers_[Index]), Index);
  while (!Turns.empty()) {
    const int Index = Turns.top().second;
    Turns.pop();
    CustomerState &Customer = Customers_[Index];
    if (placeNext(Customer) && !Customer.Queue.empty())
      Turns.emplace(turnKey(Customer), Index);
  }
}

PackingScheduler::TurnKey
PackingScheduler::turnKey(const CustomerState &Customer) const {
  const JobState &Head = Jobs_[Customer.Queue.front()];
  if (Customer.urgent())
    return {UrgentTurn, 0.0, Head.StartBy};
  const auto Within = Head.StartBy - Head.AcceptedAt;
  const auto Left = Head.StartBy - Clock_.now();
  if (Left * 100 < Within * Options_.NearDeadlinePercent)
    return {NearDeadlineTurn, 0.0, Head.StartBy};
  return {FairShareTurn, Customer.dominantShare(), Head.StartBy};
}

bool PackingScheduler::placeNext(CustomerState &Customer) {
  const int Depth =
      std::min(static_cast<int>(Customer.Queue.size()), Options_.BackfillDepth);
  for (int Position = 0; Position < Depth; ++Position) {
    const int Job = Customer.Queue[Position];
    if (placeJob(Job))
      return true;
    reserveIfDue(Job);
  }
  return false;
}

bool PackingScheduler::placeJob(int Index) {
  JobState &Job = Jobs_[Index];
  if (Job.Suspect) {
    Job.Reason = WaitReason::Recovery;
    return false;
  }
  if (Job.NotBefore > Clock_.now()) {
    Job.Reason = WaitReason::RetryDelay;
    return false;
  }
  const bool Gang = Job.Spec.Kind == JobKind::Gang;
  // A gang that is being stopped starts again only as a whole.
  if (Gang && std::any_of(Job.Tasks.begin(), Job.Tasks.end(),
                          [](const TaskState &Task) {
                            return Task.Phase == TaskPhase::Stopping;
                          }))
    return false;
  const Capacity Needed =
      Job.Size * (Gang ? static_cast<int>(Job.Waiting.size()) : 1);
  if (!Needed.fitsIn(headroom(Customers_[Job.Customer]))) {
    Job.Reason = WaitReason::CustomerLimit;
    return false;
  }
  return Gang ? placeGang(Index) : placeSingle(Index);
}

bool PackingScheduler::placeSingle(int Index) {
  JobState &Job = Jobs_[Index];
  const std::optional<std::span<const int>> Among =
      Job.Blocked ? Freed_.since(Job.BlockedAt) : std::nullopt;
  const int Vm = chooseVm(Index, Among);
  if (Vm < 0) {
    block(Job, WaitReason::NoRoom);
    return Customers_[Job.Customer].urgent() && placeUrgent(Index);
  }
  const TaskPlace Place{Index, Job.Waiting.back()};
  Job.Waiting.pop_back();
  Job.Blocked = false;
  hold(Place, Vm, Job.Size, TaskPhase::Starting);
  startOn(Place);
  if (Job.Waiting.empty())
    dequeue(Index);
  return true;
}

bool PackingScheduler::placeGang(int Index) {
  JobState &Job = Jobs_[Index];
  if (Job.Blocked) {
    const auto Since = Freed_.since(Job.BlockedAt);
    if (Since && Since->empty())
      return false;
  }
  std::vector<TaskPlace> Placed;
  for (const int Task : Job.Waiting) {
    const int Vm = chooseVm(Index, std::nullopt);
    if (Vm < 0)
      break;
    Placed.push_back(TaskPlace{Index, Task});
    hold(Placed.back(), Vm, Job.Size, TaskPhase::Starting);
  }
  if (Placed.size() < Job.Waiting.size()) {
    // The room was there before, so other blocked jobs need not look again.
    for (const TaskPlace &Place : Placed) {
      unhold(Place);
      Job.Tasks[Place.Index].Phase = TaskPhase::Waiting;
    }
    block(Job, WaitReason::NoRoom);
    return false;
  }
  Job.Waiting.clear();
  dequeue(Index);
  for (const TaskPlace &Place : Placed)
    startOn(Place);
  return true;
}

bool PackingScheduler::placeUrgent(int Index) {
  JobState &Job = Jobs_[Index];
  const auto Plan = planPreemption(Job.Size, Vms_, Jobs_, Customers_);
  if (!Plan)
    return false;
  const TaskPlace Place{Index, Job.Waiting.back()};
  Job.Waiting.pop_back();
  hold(Place, Plan->Vm, Job.Size, TaskPhase::Earmarked);
  for (const TaskPlace &Victim : Plan->Victims)
    stopTask(Victim, true, true);
  if (Job.Waiting.empty())
    dequeue(Index);
  return true;
}

void PackingScheduler::block(JobState &Job, WaitReason Reason) {
  Job.Reason = Reason;
  Job.BlockedAt = Freed_.end();
  if (Job.Blocked)
    return;
  Job.Blocked = true;
  Job.BlockedSince = Clock_.now();
}

void PackingScheduler::startOn(TaskPlace Place) {
  JobState &Job = Jobs_[Place.Job];
  TaskState &Task = Job.Tasks[Place.Index];
  Task.Phase = TaskPhase::Starting;
  Task.Attempt = ++NextAttempt_;
  Task.StartedAt = Clock_.now();
  Commands_.push_back(
      StartTask{Vms_[Task.Vm].Spec.Id,
                TaskAttempt{TaskRef{Job.Spec.Id, Place.Index}, Task.Attempt},
                Task.Held, Job.Spec.Duration, !Job.Spec.Restartable});
}

void PackingScheduler::startEarmarked(int Index) {
  // A VM that is being given up frees room too.
  if (Vms_[Index].condition() != VmCondition::Usable ||
      !Capacity{}.fitsIn(Vms_[Index].Free))
    return;
  const std::vector<TaskPlace> Places = Vms_[Index].Tasks;
  for (const TaskPlace &Place : Places) {
    const JobState &Job = Jobs_[Place.Job];
    if (Job.Tasks[Place.Index].Phase != TaskPhase::Earmarked)
      continue;
    // The limit may have been lowered while the room was being made.
    const CustomerState &Customer = Customers_[Job.Customer];
    if (Customer.Limit &&
        (Customer.Held + unknownCapacity()).fitsIn(Customer.Limit->MaxHeld)) {
      startOn(Place);
      continue;
    }
    unhold(Place);
    requeue(Place);
    Freed_.note(Index);
  }
}

bool PackingScheduler::mayUse(const VmState &Vm, int Index) const {
  const JobState &Job = Jobs_[Index];
  if (!Vm.takesWork() || !Job.Size.fitsIn(Vm.Free))
    return false;
  if (Vm.ReservedFor < 0 || Vm.ReservedFor == Index ||
      Customers_[Job.Customer].urgent())
    return true;
  if (Job.Spec.Duration.count() == 0)
    return false;
  TaskState Fresh;
  Fresh.StartedAt = Clock_.now();
  const auto End =
      expectedEnd(Job, Fresh, Customers_[Job.Customer], Clock_.now());
  return End && *End <= Vm.ReservedFrom;
}

int PackingScheduler::chooseVm(int Index,
                               std::optional<std::span<const int>> Among) {
  Candidates_.clear();
  if (Among) {
    for (const int Vm : *Among)
      if (mayUse(Vms_[Vm], Index))
        Candidates_.push_back(Vm);
  } else {
    for (int Vm = 0; Vm < static_cast<int>(Vms_.size()); ++Vm)
      if (mayUse(Vms_[Vm], Index))
        Candidates_.push_back(Vm);
  }
  if (Candidates_.empty())
    return -1;
  const JobState &Job = Jobs_[Index];
  return placementPolicy(Job.Spec.Kind).choose(Vms_, Job, Candidates_);
}

void PackingScheduler::reserveIfDue(int Index) {
  JobState &Job = Jobs_[Index];
  if (ReservedJob_ >= 0 || !Job.Blocked || Job.Reason != WaitReason::NoRoom ||
      Clock_.now() - Job.BlockedSince < Options_.ReserveAfter)
    return;
  const auto Plan = planReservation(Job, Clock_.now(), Vms_, Jobs_, Customers_);
  // Counts from here again, so that a job without a plan, or one whose
  // reservation ended, leaves the next turn to others.
  Job.BlockedSince = Clock_.now();
  if (!Plan)
    return;
  ReservedJob_ = Index;
  ReservationEnds_ = Clock_.now() + Options_.ReservationTime;
  for (const int Vm : Plan->Vms) {
    Vms_[Vm].ReservedFor = Index;
    Vms_[Vm].ReservedFrom = Plan->From;
  }
}

void PackingScheduler::endReservation() {
  if (ReservedJob_ >= 0 && Clock_.now() >= ReservationEnds_)
    clearReservation();
}

void PackingScheduler::clearReservation() {
  ReservedJob_ = -1;
  for (int Vm = 0; Vm < static_cast<int>(Vms_.size()); ++Vm) {
    if (Vms_[Vm].ReservedFor < 0)
      continue;
    Vms_[Vm].ReservedFor = -1;
    Freed_.note(Vm);
  }
}

void PackingScheduler::endQuarantines() {
  const TimePoint Now = Clock_.now();
  if (Now < NextQuarantineEnd_)
    return;
  NextQuarantineEnd_ = TimePoint::max();
  for (int Index = 0; Index < static_cast<int>(Vms_.size()); ++Index) {
    VmState &Vm = Vms_[Index];
    if (!Vm.Quarantined)
      continue;
    if (Now < Vm.QuarantinedUntil) {
      NextQuarantineEnd_ = std::min(NextQuarantineEnd_, Vm.QuarantinedUntil);
      continue;
    }
    Vm.Quarantined = false;
    Vm.Probation = true;
    noteRoom(Index);
  }
  endProbations();
}

void PackingScheduler::endProbations() {
  const TimePoint Now = Clock_.now();
  for (int Index = 0; Index < static_cast<int>(Vms_.size()); ++Index) {
    if (!Vms_[Index].Probation)
      continue;
    const bool Proven =
        std::any_of(Vms_[Index].Tasks.begin(), Vms_[Index].Tasks.end(),
                    [&](const TaskPlace &Place) {
                      const TaskState &Task =
                          Jobs_[Place.Job].Tasks[Place.Index];
                      return Task.Phase == TaskPhase::Running &&
                             Now - Task.StartedAt > Options_.EarlyFailure;
                    });
    if (Proven)
      countSuccess(Index);
    else
      NextQuarantineEnd_ =
          std::min(NextQuarantineEnd_, Now + Options_.EarlyFailure);
  }
}

} // namespace cuminroad
