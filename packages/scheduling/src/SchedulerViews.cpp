#include "PackingScheduler.h"

namespace cuminroad {

static JobView makeView(const JobState &Job, TimePoint Now) {
  JobView View;
  View.Spec = Job.Spec;
  View.Waiting = static_cast<int>(Job.Waiting.size());
  for (const TaskState &Task : Job.Tasks) {
    View.Starting +=
        Task.Phase == TaskPhase::Starting || Task.Phase == TaskPhase::Earmarked;
    View.Running +=
        Task.Phase == TaskPhase::Running || Task.Phase == TaskPhase::Stopping;
  }
  View.Ended = Job.EndedCount;
  View.Failed = Job.FailedCount;
  View.Lost = Job.LostCount;
  View.Cancelled = Job.Cancelled;
  View.Waited = std::chrono::duration_cast<milliseconds>(Now - Job.AcceptedAt);
  View.StartWithin =
      std::chrono::duration_cast<milliseconds>(Job.StartBy - Job.AcceptedAt);
  View.Reason = Job.Waiting.empty() ? WaitReason::NotWaiting : Job.Reason;
  return View;
}

std::optional<JobView> PackingScheduler::job(std::string_view Id) const {
  const auto Found = JobIndex_.find(std::string(Id));
  if (Found == JobIndex_.end())
    return std::nullopt;
  return makeView(Jobs_[Found->second], Clock_.now());
}

std::vector<JobView> PackingScheduler::jobs() const {
  std::vector<JobView> Out;
  for (const auto &[Id, Index] : JobIndex_)
    Out.push_back(makeView(Jobs_[Index], Clock_.now()));
  return Out;
}

std::vector<VmView> PackingScheduler::vms() const {
  std::vector<VmView> Out;
  for (const VmState &Vm : Vms_)
    Out.push_back(VmView{Vm.Spec.Id, Vm.condition(), Vm.Spec.Total, Vm.Free,
                         Vm.Quarantined, Vm.ReservedFor >= 0,
                         static_cast<int>(Vm.Tasks.size())});
  return Out;
}

Capacity PackingScheduler::waitingSize(std::string_view Customer) const {
  Capacity Sum;
  const auto Found = CustomerIndex_.find(std::string(Customer));
  if (Found == CustomerIndex_.end())
    return Sum;
  for (const int Job : Customers_[Found->second].Queue)
    Sum +=
        Jobs_[Job].Size * static_cast<std::int64_t>(Jobs_[Job].Waiting.size());
  return Sum;
}

Capacity PackingScheduler::held(std::string_view Customer) const {
  const auto Found = CustomerIndex_.find(std::string(Customer));
  return Found == CustomerIndex_.end() ? Capacity{}
                                       : Customers_[Found->second].Held;
}

} // namespace cuminroad
