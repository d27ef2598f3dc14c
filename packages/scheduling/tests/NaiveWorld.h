#ifndef CUMINROAD_SCHEDULING_TESTS_NAIVEWORLD_H
#define CUMINROAD_SCHEDULING_TESTS_NAIVEWORLD_H

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
class NaiveWorld {
public:
  NaiveWorld();

  /// Plays one event chosen by \p Word, lets the scheduler decide, and checks
  /// what it decided.
  void play(std::uint32_t Word);
  /// Lets everything end; then every job must have ended.
  void finish();
  /// \returns the violations seen so far, one a line.
  const std::string &violations() const { return Violations_; }
  int starts() const { return Starts_; }

private:
  struct RunningTask {
    Capacity Size;
    std::string Customer;
    bool Answered = false;
    bool Stopping = false;
  };
  struct Vm {
    VmSpec Spec;
    bool Claimed = false;
    bool Leaving = false;
    bool Gone = false;
    /// A task may run there that the present scheduler does not know of.
    bool Unresolved = true;
    std::map<TaskAttempt, RunningTask> Tasks;
    /// Ends that the scheduler hears of when it claims the VM again.
    std::vector<TaskAttempt> LateEnds;
  };
  struct Job {
    JobSpec Spec;
    std::map<int, bool> Ended;
    std::set<int> Recorded;
    std::set<int> Lost;
    bool Cancelled = false;
    bool Finished = false;
  };

  void submit(std::uint32_t Word);
  void takeOver();
  void claim(Vm &Target);
  void answerStarts(Vm &Target, bool Refuse);
  void endOne(std::uint32_t Word);
  void confirmStops();
  void changeLimit(std::uint32_t Word);
  void loseVm(Vm &Target, bool ForGood);
  Vm *pickVm(std::uint32_t Word);

  void decide();
  void apply(const StartTask &Do);
  void apply(const StopTask &Do);
  void apply(const ThrottleTask &) {}
  void apply(const EndJob &Do);
  void checkCapacities();
  void checkNothingStartable();
  void checkGangs(const std::map<std::string, int> &Started);
  bool canEverRun(const JobSpec &Spec) const;
  Capacity used(const Vm &Of) const;
  Capacity heldBy(const std::string &Customer) const;
  Capacity unknown() const;
  void fail(const std::string &What);

  ManualClock Clock_;
  std::int64_t Epoch_ = 1;
  std::unique_ptr<Scheduler> Scheduler_;
  std::map<std::string, Vm> Vms_;
  std::map<std::string, Job> Jobs_;
  std::map<std::string, ContractTerms> Limits_;
  int NextVm_ = 0;
  int NextJob_ = 0;
  int Starts_ = 0;
  std::string Violations_;
};

} // namespace cuminroad

#endif
