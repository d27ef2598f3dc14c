#include "PackingScheduler.h"

#include <algorithm>
#include <queue>

#include "PlacementPolicy.h"
#include "PreemptionPlan.h"
#include "ReservationPlan.h"

namespace cuminroad {

namespace {

/// Priority classes, highest first.
enum CustomerClass { UrgentCustomer, NearDeadlineCustomer, FairShareCustomer };

} // namespace

void PackingScheduler::schedule() {
  expireQuarantines();
  expireReservation();
  using OrderedCustomer = std::pair<CustomerOrderKey, int>;
  std::priority_queue<OrderedCustomer, std::vector<OrderedCustomer>,
                      std::greater<>>
      OrderedCustomers;
  for (int Index = 0; Index < static_cast<int>(Customers_.size()); ++Index)
    if (!Customers_[Index].Queue.empty())
      OrderedCustomers.emplace(customerOrderKey(Customers_[Index]), Index);
  while (!OrderedCustomers.empty()) {
    const int Index = OrderedCustomers.top().second;
    OrderedCustomers.pop();
    CustomerState &Customer = Customers_[Index];
    if (placeFromQueue(Customer) && !Customer.Queue.empty())
      OrderedCustomers.emplace(customerOrderKey(Customer), Index);
  }
}

PackingScheduler::CustomerOrderKey
PackingScheduler::customerOrderKey(const CustomerState &Customer) const {
  const JobState &Head = Jobs_[Customer.Queue.front()];
  if (Customer.urgent())
    return {UrgentCustomer, 0.0, Head.StartBy};
  const auto Within = Head.StartBy - Head.AcceptedAt;
  const auto Left = Head.StartBy - MonotonicClock_.now();
  if (Left * 100 < Within * Options_.NearDeadlinePercent)
    return {NearDeadlineCustomer, 0.0, Head.StartBy};
  return {FairShareCustomer, Customer.dominantShare(), Head.StartBy};
}

bool PackingScheduler::placeFromQueue(CustomerState &Customer) {
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
  if (Job.RecoveryPending) {
    Job.Reason = WaitReason::Recovery;
    return false;
  }
  if (Job.NotBefore > MonotonicClock_.now()) {
    Job.Reason = WaitReason::RetryDelay;
    return false;
  }
  const bool Gang = Job.Spec.Kind == JobKind::Gang;
  // A gang with tasks still stopping waits for them, since all of its tasks
  // start together.
  if (Gang && std::any_of(Job.Tasks.begin(), Job.Tasks.end(),
                          [](const TaskState &Task) {
                            return Task.Phase == TaskPhase::Stopping;
                          }))
    return false;
  const Capacity Needed =
      Job.TaskSize * (Gang ? static_cast<int>(Job.WaitingTasks.size()) : 1);
  if (!Needed.fitsIn(headroom(Customers_[Job.Customer]))) {
    Job.Reason = WaitReason::CustomerLimit;
    return false;
  }
  return Gang ? placeGang(Index) : placeOneTask(Index);
}

bool PackingScheduler::placeOneTask(int Index) {
  JobState &Job = Jobs_[Index];
  const std::optional<std::span<const int>> CandidateVms =
      Job.Blocked ? FreedVms_.entriesSince(Job.BlockedPosition) : std::nullopt;
  const int Vm = chooseVm(Index, CandidateVms);
  if (Vm < 0) {
    markBlocked(Job, WaitReason::NoRoom);
    return Customers_[Job.Customer].urgent() && placeByPreemption(Index);
  }
  const TaskHandle Handle{Index, Job.WaitingTasks.back()};
  Job.WaitingTasks.pop_back();
  Job.Blocked = false;
  allocate(Handle, Vm, Job.TaskSize, TaskPhase::Starting);
  issueStart(Handle);
  if (Job.WaitingTasks.empty())
    dequeue(Index);
  return true;
}

bool PackingScheduler::placeGang(int Index) {
  JobState &Job = Jobs_[Index];
  if (Job.Blocked) {
    const auto Since = FreedVms_.entriesSince(Job.BlockedPosition);
    if (Since && Since->empty())
      return false;
  }
  std::vector<TaskHandle> PlacedTasks;
  for (const int Task : Job.WaitingTasks) {
    const int Vm = chooseVm(Index, std::nullopt);
    if (Vm < 0)
      break;
    PlacedTasks.push_back(TaskHandle{Index, Task});
    allocate(PlacedTasks.back(), Vm, Job.TaskSize, TaskPhase::Starting);
  }
  if (PlacedTasks.size() < Job.WaitingTasks.size()) {
    // This capacity was free before the attempt, so it isn't appended to
    // FreedVms_: blocked jobs have already been tried against it.
    for (const TaskHandle &Handle : PlacedTasks) {
      deallocate(Handle);
      Job.Tasks[Handle.Index].Phase = TaskPhase::Waiting;
    }
    markBlocked(Job, WaitReason::NoRoom);
    return false;
  }
  Job.WaitingTasks.clear();
  dequeue(Index);
  for (const TaskHandle &Handle : PlacedTasks)
    issueStart(Handle);
  return true;
}

bool PackingScheduler::placeByPreemption(int Index) {
  JobState &Job = Jobs_[Index];
  const auto Plan = planPreemption(Job.TaskSize, Vms_, Jobs_, Customers_);
  if (!Plan)
    return false;
  const TaskHandle Handle{Index, Job.WaitingTasks.back()};
  Job.WaitingTasks.pop_back();
  allocate(Handle, Plan->Vm, Job.TaskSize, TaskPhase::AwaitingPreemption);
  for (const TaskHandle &Victim : Plan->Victims)
    stopTask(Victim, true, true);
  if (Job.WaitingTasks.empty())
    dequeue(Index);
  return true;
}

void PackingScheduler::markBlocked(JobState &Job, WaitReason Reason) {
  Job.Reason = Reason;
  Job.BlockedPosition = FreedVms_.endPosition();
  if (Job.Blocked)
    return;
  Job.Blocked = true;
  Job.BlockedSince = MonotonicClock_.now();
}

void PackingScheduler::issueStart(TaskHandle Handle) {
  JobState &Job = Jobs_[Handle.Job];
  TaskState &Task = Job.Tasks[Handle.Index];
  Task.Phase = TaskPhase::Starting;
  Task.Attempt = ++NextAttempt_;
  Task.StartedAt = MonotonicClock_.now();
  Commands_.push_back(
      StartTask{Vms_[Task.Vm].Spec.Id,
                TaskAttempt{TaskRef{Job.Spec.Id, Handle.Index}, Task.Attempt},
                Task.HeldCapacity, Job.Spec.Duration, !Job.Spec.Restartable});
}

void PackingScheduler::startAfterPreemption(int Index) {
  // Capacity is also freed on VMs that are leaving or lost; tasks don't start
  // there. Negative free capacity means that preempted tasks haven't all
  // stopped.
  if (Vms_[Index].condition() != VmCondition::Usable ||
      !Capacity{}.fitsIn(Vms_[Index].FreeCapacity))
    return;
  const std::vector<TaskHandle> Handles = Vms_[Index].Tasks;
  for (const TaskHandle &Handle : Handles) {
    const JobState &Job = Jobs_[Handle.Job];
    if (Job.Tasks[Handle.Index].Phase != TaskPhase::AwaitingPreemption)
      continue;
    // The customer's limit may have been lowered while the preempted tasks were
    // stopping.
    const CustomerState &Customer = Customers_[Job.Customer];
    if (Customer.Limit && (Customer.HeldCapacity + capacityAwaitingInventory())
                              .fitsIn(Customer.Limit->MaxCapacity)) {
      issueStart(Handle);
      continue;
    }
    deallocate(Handle);
    requeue(Handle);
    FreedVms_.append(Index);
  }
}

bool PackingScheduler::canPlaceOn(const VmState &Vm, int Index) const {
  const JobState &Job = Jobs_[Index];
  if (!Vm.acceptsTasks() || !Job.TaskSize.fitsIn(Vm.FreeCapacity))
    return false;
  if (Vm.ReservedFor < 0 || Vm.ReservedFor == Index ||
      Customers_[Job.Customer].urgent())
    return true;
  if (Job.Spec.Duration.count() == 0)
    return false;
  TaskState NewTask;
  NewTask.StartedAt = MonotonicClock_.now();
  const auto End = expectedEnd(Job, NewTask, Customers_[Job.Customer],
                               MonotonicClock_.now());
  return End && *End <= Vm.ReservedFrom;
}

int PackingScheduler::chooseVm(
    int Index, std::optional<std::span<const int>> CandidateVms) {
  Candidates_.clear();
  if (CandidateVms) {
    for (const int Vm : *CandidateVms)
      if (canPlaceOn(Vms_[Vm], Index))
        Candidates_.push_back(Vm);
  } else {
    for (int Vm = 0; Vm < static_cast<int>(Vms_.size()); ++Vm)
      if (canPlaceOn(Vms_[Vm], Index))
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
      MonotonicClock_.now() - Job.BlockedSince < Options_.ReserveAfter)
    return;
  const auto Plan =
      planReservation(Job, MonotonicClock_.now(), Vms_, Jobs_, Customers_);
  // Restarts the wait, so that a job without a plan, or one whose reservation
  // expired, doesn't keep other jobs from a reservation.
  Job.BlockedSince = MonotonicClock_.now();
  if (!Plan)
    return;
  ReservedJob_ = Index;
  ReservationEnds_ = MonotonicClock_.now() + Options_.ReservationTimeout;
  for (const int Vm : Plan->Vms) {
    Vms_[Vm].ReservedFor = Index;
    Vms_[Vm].ReservedFrom = Plan->StartTime;
  }
}

void PackingScheduler::expireReservation() {
  if (ReservedJob_ >= 0 && MonotonicClock_.now() >= ReservationEnds_)
    clearReservation();
}

void PackingScheduler::clearReservation() {
  ReservedJob_ = -1;
  for (int Vm = 0; Vm < static_cast<int>(Vms_.size()); ++Vm) {
    if (Vms_[Vm].ReservedFor < 0)
      continue;
    Vms_[Vm].ReservedFor = -1;
    FreedVms_.append(Vm);
  }
}

void PackingScheduler::expireQuarantines() {
  const TimePoint Now = MonotonicClock_.now();
  if (Now < NextQuarantineCheck_)
    return;
  NextQuarantineCheck_ = TimePoint::max();
  for (int Index = 0; Index < static_cast<int>(Vms_.size()); ++Index) {
    VmState &Vm = Vms_[Index];
    if (!Vm.Quarantined)
      continue;
    if (Now < Vm.QuarantinedUntil) {
      NextQuarantineCheck_ =
          std::min(NextQuarantineCheck_, Vm.QuarantinedUntil);
      continue;
    }
    Vm.Quarantined = false;
    Vm.Probation = true;
    onCapacityFreed(Index);
  }
  endProbations();
}

void PackingScheduler::endProbations() {
  const TimePoint Now = MonotonicClock_.now();
  for (int Index = 0; Index < static_cast<int>(Vms_.size()); ++Index) {
    if (!Vms_[Index].Probation)
      continue;
    const bool Proven =
        std::any_of(Vms_[Index].Tasks.begin(), Vms_[Index].Tasks.end(),
                    [&](const TaskHandle &Handle) {
                      const TaskState &Task =
                          Jobs_[Handle.Job].Tasks[Handle.Index];
                      return Task.Phase == TaskPhase::Running &&
                             Now - Task.StartedAt > Options_.EarlyFailureTime;
                    });
    if (Proven)
      recordVmSuccess(Index);
    else
      NextQuarantineCheck_ =
          std::min(NextQuarantineCheck_, Now + Options_.EarlyFailureTime);
  }
}

} // namespace cuminroad
