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
  /// The submitted jobs by their ids.
  using Plans = std::map<std::string, JobPlan>;
  /// The label of each VM, from each time on.
  using Labels = std::map<std::string, std::map<TimePoint, std::string>>;
  /// \returns how many tasks may be on a VM at a time.
  using TaskLimit = std::function<int(const std::string &Vm, TimePoint Time)>;

  /// \param Submitted and \p VmLabels must outlive the checks.
  RunRules(const Plans &Submitted, const Labels &VmLabels,
           TaskLimit PermittedTasks);

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
  void checkCompletions(const FakeVms &Vms);

  const Plans &Submitted_;
  const Labels &VmLabels_;
  TaskLimit PermittedTasks_;
  /// The runs on each VM that have not ended, those that are being stopped
  /// included.
  std::map<std::string, std::set<TaskRun>> Running_;
  std::vector<std::string> Violations_;
};

/// \returns the run's name in reports of the model.
std::string formatModelRun(const TaskRun &Run);

/// \returns the time as a number in reports of the model.
std::int64_t millisecondsOf(TimePoint Time);

} // namespace cuminroad

#endif
