#include "RunRules.h"

#include <iterator>
#include <utility>

#include <fmt/format.h>

namespace cuminroad {

std::string formatModelRun(const TaskRun &Run) {
  return fmt::format("{}.{}.{} run {}", Run.Task.Step.Job.substr(12),
                     Run.Task.Step.Step, Run.Task.Index, Run.Number);
}

std::int64_t millisecondsOf(TimePoint Time) {
  return std::chrono::duration_cast<milliseconds>(Time.time_since_epoch())
      .count();
}

RunRules::RunRules(const Plans &Submitted, const Labels &VmLabels,
                   TaskLimit PermittedTasks)
    : Submitted_(Submitted), VmLabels_(VmLabels),
      PermittedTasks_(std::move(PermittedTasks)) {}

const StepPlan &RunRules::stepOf(const TaskRun &Run) const {
  return Submitted_.at(Run.Task.Step.Job).Steps.at(Run.Task.Step.Step);
}

void RunRules::report(const char *Rule, const RunEvent &Start,
                      const std::string &Details) {
  Violations_.push_back(
      fmt::format("{} at {}: {} on {}{}", Rule, millisecondsOf(Start.Time),
                  formatModelRun(Start.Run), Start.Vm, Details));
}

void RunRules::checkSingleRun(const RunEvent &Start) {
  for (const auto &[Vm, Runs] : Running_)
    for (const TaskRun &Other : Runs)
      if (Other.Task == Start.Run.Task)
        return report("two runs at once", Start,
                      fmt::format(", run {} on {}", Other.Number, Vm));
}

void RunRules::checkCapacity(const RunEvent &Start) {
  const int Permitted = PermittedTasks_(Start.Vm, Start.Time);
  if (Start.RunsOnVm > Permitted)
    report("over capacity", Start,
           fmt::format(", {} of {}", Start.RunsOnVm, Permitted));
}

void RunRules::checkLimitPerVm(const RunEvent &Start) {
  const int Limit = stepOf(Start.Run).MaxPerVm;
  if (Limit == 0)
    return;
  std::set<TaskName> Tasks{Start.Run.Task};
  for (const TaskRun &Other : Running_[Start.Vm])
    if (Other.Task.Step == Start.Run.Task.Step)
      Tasks.insert(Other.Task);
  if (Tasks.size() > static_cast<std::size_t>(Limit))
    report("over the limit per VM", Start,
           fmt::format(", {} of {}", Tasks.size(), Limit));
}

void RunRules::checkLabel(const RunEvent &Start) {
  const std::string &Required = stepOf(Start.Run).RequiredLabel;
  const auto &Labels = VmLabels_.at(Start.Vm);
  const std::string &Present =
      std::prev(Labels.upper_bound(Start.Time))->second;
  if (!Required.empty() && Required != Present)
    report("without the label", Start,
           fmt::format(", {} instead of {}", Present, Required));
}

void RunRules::checkCompletions(const FakeVms &Vms) {
  for (const auto &[Task, DoneAt] : Vms.AcknowledgedCompletions)
    for (const RunEvent &Event : Vms.RunHistory)
      if (Event.IsStart && Event.Run.Task == Task && Event.Time > DoneAt)
        report("started after its end", Event, "");
}

std::vector<std::string> RunRules::violations(const FakeVms &Vms) {
  Running_.clear();
  Violations_.clear();
  for (const RunEvent &Event : Vms.RunHistory) {
    std::set<TaskRun> &Runs = Running_[Event.Vm];
    if (!Event.IsStart) {
      Runs.erase(Event.Run);
      continue;
    }
    checkSingleRun(Event);
    checkCapacity(Event);
    checkLimitPerVm(Event);
    checkLabel(Event);
    Runs.insert(Event.Run);
  }
  checkCompletions(Vms);
  return Violations_;
}

} // namespace cuminroad
