#ifndef CUMINROAD_SCHEDULING_TESTS_REFERENCEMODEL_H
#define CUMINROAD_SCHEDULING_TESTS_REFERENCEMODEL_H

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cuminroad/base/ManualClock.h"
#include "cuminroad/scheduling/Scheduler.h"

namespace cuminroad {

/// A simple model that the scheduler's decisions are checked against. It adds
/// up all running tasks for each check, tries every VM and has no policies. It
/// also simulates the VMs and the persisted jobs.
class ReferenceModel {
public:
  ReferenceModel();

  /// Applies an event chosen by \p RandomBits, runs the scheduler, and checks
  /// its commands.
  void applyEvent(std::uint32_t RandomBits);
  /// Lets all tasks start and end, and checks that every job ends.
  void finish();
  /// \returns the violations found so far, one a line.
  const std::string &violations() const { return Violations_; }
  /// \returns the number of start commands.
  int starts() const { return Starts_; }

private:
  struct RunningTask {
    Capacity Size;
    std::string Customer;
    /// Whether the VM has answered the start or received a stop.
    bool StartAnswered = false;
    bool Stopping = false;
  };
  struct ModelVm {
    VmSpec Spec;
    bool Claimed = false;
    bool Leaving = false;
    bool Gone = false;
    /// Tasks may run there that the current scheduler doesn't know.
    bool InventoryUnknown = true;
    std::map<TaskAttempt, RunningTask> Tasks;
    /// Ends of tasks that the scheduler learns when it claims the VM again.
    std::vector<TaskAttempt> LateEnds;
  };
  struct ModelJob {
    JobSpec Spec;
    std::map<int, bool> Ended;
    std::set<int> RecordedStarts;
    std::set<int> Lost;
    bool Cancelled = false;
    bool Finished = false;
  };

  void submit(std::uint32_t RandomBits);
  void takeOver();
  void claim(ModelVm &Target);
  void answerStarts(ModelVm &Target, bool Refuse);
  void endRandomTask(std::uint32_t RandomBits);
  void confirmStops();
  void changeLimit(std::uint32_t RandomBits);
  void loseVm(ModelVm &Target, bool Permanently);
  ModelVm *pickVm(std::uint32_t RandomBits);

  void runScheduler();
  void applyCommand(const StartTask &Start);
  void applyCommand(const StopTask &Stop);
  void applyCommand(const ThrottleTask &) {}
  void applyCommand(const EndJob &End);
  void checkCapacities();
  void checkNoStartableTask();
  void checkGangs(const std::map<std::string, int> &Started);
  bool canEverRun(const JobSpec &Spec) const;
  Capacity usedCapacity(const ModelVm &Vm) const;
  Capacity heldCapacity(const std::string &Customer) const;
  Capacity capacityAwaitingInventory() const;
  void addViolation(const std::string &Message);

  ManualClock Clock_;
  std::int64_t Epoch_ = 1;
  std::unique_ptr<Scheduler> Scheduler_;
  std::map<std::string, ModelVm> Vms_;
  std::map<std::string, ModelJob> Jobs_;
  std::map<std::string, ContractTerms> Limits_;
  int NextVm_ = 0;
  int NextJob_ = 0;
  int Starts_ = 0;
  std::string Violations_;
};

} // namespace cuminroad

#endif
