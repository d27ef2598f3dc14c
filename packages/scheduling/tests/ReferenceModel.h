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

/// The naive version that the scheduler is held against: it adds up every
/// running task anew for each question, decides by trying every VM, and knows
/// no policy. It plays the VMs and the table as well.
class ReferenceModel {
public:
  ReferenceModel();

  /// Plays one event chosen by \p Word, lets the scheduler decide, and checks
  /// what it decided.
  void applyEvent(std::uint32_t RandomBits);
  /// Lets everything end; then every job must have ended.
  void finish();
  /// \returns the violations seen so far, one a line.
  const std::string &violations() const { return Violations_; }
  int starts() const { return Starts_; }

private:
  struct RunningTask {
    Capacity Size;
    std::string Customer;
    bool StartAnswered = false;
    bool Stopping = false;
  };
  struct ModelVm {
    VmSpec Spec;
    bool Claimed = false;
    bool Leaving = false;
    bool Gone = false;
    /// A task may run there that the present scheduler does not know of.
    bool InventoryUnknown = true;
    std::map<TaskAttempt, RunningTask> Tasks;
    /// Ends that the scheduler hears of when it claims the VM again.
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
