#ifndef CUMINROAD_BENCHMARK_FIRSTCOMEFIRSTFIT_H
#define CUMINROAD_BENCHMARK_FIRSTCOMEFIRSTFIT_H

#include <deque>
#include <map>
#include <unordered_map>

#include "cuminroad/scheduling/Scheduler.h"

namespace cuminroad {

/// The baseline scheduler: jobs start in order of arrival, each on the first VM
/// with enough free capacity. A job that cannot start blocks all later ones.
class FirstComeFirstFit final : public Scheduler {
public:
  void listVm(const VmSpec &Spec) override;
  void vmClaimed(std::string_view, std::span<const InventoryTask>) override {}
  void vmLeaving(std::string_view) override {}
  void vmTasksEnded(std::string_view, bool) override {}
  void setLimit(std::string_view, const ContractTerms &) override {}
  void removeLimit(std::string_view) override {}
  Result<void> checkFeasible(const JobSpec &, const Capacity &) const override {
    return {};
  }
  void submit(const JobSpec &Spec) override;
  void recover(const RecoveredJob &) override {}
  void cancel(std::string_view) override {}
  void taskStarted(const TaskAttempt &) override {}
  void startRefused(const TaskAttempt &) override {}
  void taskEnded(const TaskAttempt &Task, bool Failed, bool Stopped) override;
  void usageReported(const TaskAttempt &, const Capacity &) override {}
  void schedule() override;
  std::vector<Command> takeCommands() override;
  std::optional<JobView> job(std::string_view) const override { return {}; }
  std::vector<JobView> jobs() const override { return {}; }
  std::vector<VmView> vms() const override;
  Capacity held(std::string_view) const override { return {}; }
  Capacity waitingSize(std::string_view) const override { return {}; }
  bool inventoriesKnown() const override { return true; }

private:
  struct Vm {
    VmSpec Spec;
    Capacity Free;
  };
  /// Starts task \p FirstTask of a job, or all tasks if the job is a gang.
  /// \returns false, with nothing started, if there is not enough free
  /// capacity.
  bool startTasks(const JobSpec &Spec, int FirstTask);

  std::vector<Vm> Vms_;
  /// Waiting jobs, each with the index of its next task.
  std::deque<std::pair<JobSpec, int>> Queue_;
  /// The VM's index and the size of each running task.
  std::map<TaskRef, std::pair<std::size_t, Capacity>> Running_;
  std::vector<Command> Commands_;
};

} // namespace cuminroad

#endif
