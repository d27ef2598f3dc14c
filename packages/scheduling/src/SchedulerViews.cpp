#include "PackingScheduler.h"

namespace cuminroad {

static JobView makeView(const JobState &Job, TimePoint Now) {
  JobView View;
  View.Spec = Job.Spec;
  View.WaitingCount = static_cast<int>(Job.WaitingTasks.size());
  for (const TaskState &Task : Job.Tasks) {
    View.StartingCount += Task.Phase == TaskPhase::Starting ||
                          Task.Phase == TaskPhase::AwaitingPreemption;
    View.RunningCount +=
        Task.Phase == TaskPhase::Running || Task.Phase == TaskPhase::Stopping;
  }
  View.EndedCount = Job.EndedCount;
  View.FailedCount = Job.FailedCount;
  View.LostCount = Job.LostCount;
  View.Cancelled = Job.Cancelled;
  View.Waited = std::chrono::duration_cast<milliseconds>(Now - Job.AcceptedAt);
  View.StartWithin =
      std::chrono::duration_cast<milliseconds>(Job.StartBy - Job.AcceptedAt);
  View.Reason = Job.WaitingTasks.empty() ? WaitReason::NotWaiting : Job.Reason;
  return View;
}

std::optional<JobView> PackingScheduler::job(std::string_view Id) const {
  const auto Found = JobIndex_.find(std::string(Id));
  if (Found == JobIndex_.end())
    return std::nullopt;
  return makeView(Jobs_[Found->second], MonotonicClock_.now());
}

std::vector<JobView> PackingScheduler::jobs() const {
  std::vector<JobView> Views;
  for (const auto &[Id, Index] : JobIndex_)
    Views.push_back(makeView(Jobs_[Index], MonotonicClock_.now()));
  return Views;
}

std::vector<VmView> PackingScheduler::vms() const {
  std::vector<VmView> Views;
  for (const VmState &Vm : Vms_)
    Views.push_back(VmView{Vm.Spec.Id, Vm.condition(), Vm.Spec.Total,
                           Vm.FreeCapacity, Vm.Quarantined, Vm.ReservedFor >= 0,
                           static_cast<int>(Vm.Tasks.size())});
  return Views;
}

Capacity PackingScheduler::waitingSize(std::string_view Customer) const {
  Capacity Sum;
  const auto Found = CustomerIndex_.find(std::string(Customer));
  if (Found == CustomerIndex_.end())
    return Sum;
  for (const int Job : Customers_[Found->second].Queue)
    Sum += Jobs_[Job].TaskSize *
           static_cast<std::int64_t>(Jobs_[Job].WaitingTasks.size());
  return Sum;
}

Capacity PackingScheduler::held(std::string_view Customer) const {
  const auto Found = CustomerIndex_.find(std::string(Customer));
  return Found == CustomerIndex_.end() ? Capacity{}
                                       : Customers_[Found->second].HeldCapacity;
}

} // namespace cuminroad
