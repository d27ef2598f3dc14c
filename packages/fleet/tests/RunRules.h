#ifndef CUMINROAD_FLEET_TESTS_RUNRULES_H
#define CUMINROAD_FLEET_TESTS_RUNRULES_H

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cuminroad/fakes/FakeVms.h"
#include "cuminroad/pool/JobPlan.h"

namespace cuminroad {

/// Checks the rules on runs by what the VMs saw.
class RunRules {
public:
  /// What the runs are judged by.
  struct Facts {
    /// The submitted jobs by their ids.
    std::map<std::string, JobPlan> Submitted;
    /// When jobs were cancelled.
    std::map<std::string, TimePoint> CancelledAt;
    /// The label of each VM, from each time on.
    std::map<std::string, std::map<TimePoint, std::string>> Labels;
    /// Returns how many tasks may be on a VM at a time.
    std::function<int(const std::string &Vm, TimePoint Time)> PermittedTasks;
    /// The most tasks that each account may have running.
    std::map<std::string, int> Quotas;
    /// Failed runs of a task after which it is not started again.
    int MaxAttempts = 1;
    /// From then on cancellations are acted on in time.
    TimePoint InTouchSince = TimePoint::max();
  };

  /// \param Known must outlive the checks.
  explicit RunRules(const Facts &Known) : Known_(Known) {}

  /// \returns what broke the rules in the history of \p Vms.
  std::vector<std::string> violations(const FakeVms &Vms);

private:
  const StepPlan &stepOf(const TaskRun &Run) const;
  void report(const char *Rule, const RunEvent &Start,
              const std::string &Details);
  void checkSingleRun(const RunEvent &Start);
  void checkCapacity(const RunEvent &Start);
  void checkLimitPerVm(const RunEvent &Start);
  void checkLabel(const RunEvent &Start);
  void checkOrder(const RunEvent &Start);
  void checkQuota(const RunEvent &Start);
  void checkCancellation(const RunEvent &Event);
  void checkCompletions(const FakeVms &Vms);
  void checkAttempts(const FakeVms &Vms);

  const Facts &Known_;
  /// The runs on each VM that have not ended, those that are being stopped
  /// included.
  std::map<std::string, std::set<TaskRun>> Running_;
  /// The tasks that have ended as Done, whether or not this was acknowledged.
  std::set<TaskName> Done_;
  std::vector<std::string> Violations_;
};

/// \returns the job's name in reports of the model.
std::string formatModelJob(const std::string &Job);

/// \returns the run's name in reports of the model.
std::string formatModelRun(const TaskRun &Run);

/// \returns the time as a number in reports of the model.
std::int64_t millisecondsOf(TimePoint Time);

} // namespace cuminroad

#endif
