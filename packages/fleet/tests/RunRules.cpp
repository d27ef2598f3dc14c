#include "RunRules.h"

#include <algorithm>
#include <iterator>

#include <fmt/format.h>

namespace cuminroad {

namespace {

constexpr milliseconds MaxCancelTime{3000};
constexpr milliseconds MaxStopTime{900};
/// Part of a quota, in percent, by which it may be exceeded, beside one task.
constexpr int QuotaOveragePercent = 10;

} // namespace

std::string formatModelJob(const std::string &Job) { return Job.substr(12); }

std::string formatModelRun(const TaskRun &Run) {
  return fmt::format("{}.{}.{} run {}", formatModelJob(Run.Task.Step.Job),
                     Run.Task.Step.Step, Run.Task.Index, Run.Number);
}

std::int64_t millisecondsOf(TimePoint Time) {
  return std::chrono::duration_cast<milliseconds>(Time.time_since_epoch())
      .count();
}

const StepPlan &RunRules::stepOf(const TaskRun &Run) const {
  return Known_.Submitted.at(Run.Task.Step.Job).Steps.at(Run.Task.Step.Step);
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
  const int Permitted = Known_.PermittedTasks(Start.Vm, Start.Time);
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
  const auto &Labels = Known_.Labels.at(Start.Vm);
  const std::string &Present =
      std::prev(Labels.upper_bound(Start.Time))->second;
  if (!Required.empty() && Required != Present)
    report("without the label", Start,
           fmt::format(", {} instead of {}", Present, Required));
}

void RunRules::checkOrder(const RunEvent &Start) {
  const StepName &Step = Start.Run.Task.Step;
  for (const int Earlier : stepOf(Start.Run).DependsOn) {
    const StepName Needed{Step.Job, Step.Occurrence, Earlier};
    const int Tasks = Known_.Submitted.at(Step.Job).Steps.at(Earlier).Tasks;
    for (int Index = 0; Index < Tasks; ++Index)
      if (!Done_.contains(TaskName{Needed, Index}))
        return report("before an earlier step", Start,
                      fmt::format(", task {} of step {}", Index, Earlier));
  }
}

void RunRules::checkQuota(const RunEvent &Start) {
  const std::string &Account =
      Known_.Submitted.at(Start.Run.Task.Step.Job).Account;
  const auto Quota = Known_.Quotas.find(Account);
  if (Quota == Known_.Quotas.end())
    return;
  int Running = 1;
  for (const auto &[Vm, Runs] : Running_)
    for (const TaskRun &Other : Runs)
      Running += Known_.Submitted.at(Other.Task.Step.Job).Account == Account;
  // Orders that are carried out late may bring an account over its quota.
  const int Permitted =
      Quota->second + Quota->second * QuotaOveragePercent / 100 + 1;
  if (Running > Permitted)
    report("over the quota", Start,
           fmt::format(", {} of {} for {}", Running, Quota->second, Account));
}

void RunRules::checkCancellation(const RunEvent &Event) {
  const auto Cancelled = Known_.CancelledAt.find(Event.Run.Task.Step.Job);
  if (Cancelled == Known_.CancelledAt.end())
    return;
  const TimePoint Since =
      std::max(Cancelled->second + MaxCancelTime, Known_.InTouchSince);
  if (Event.IsStart && Event.Time > Since)
    report("started after its cancellation", Event, "");
  if (!Event.IsStart && Event.Time > Since + MaxStopTime)
    report("runs after its cancellation", Event, "");
}

void RunRules::checkAttempts(const FakeVms &Vms) {
  std::map<TaskName, std::vector<TimePoint>> Failures;
  for (const auto &[Task, FailedAt] : Vms.AcknowledgedFailures)
    Failures[Task].push_back(FailedAt);
  for (auto &[Task, Times] : Failures) {
    if (static_cast<int>(Times.size()) < Known_.MaxAttempts)
      continue;
    std::sort(Times.begin(), Times.end());
    const TimePoint LastAttempt = Times[Known_.MaxAttempts - 1];
    for (const RunEvent &Event : Vms.RunHistory)
      if (Event.IsStart && Event.Run.Task == Task && Event.Time > LastAttempt)
        report("started after its last attempt", Event, "");
  }
}

void RunRules::checkCompletions(const FakeVms &Vms) {
  for (const auto &[Task, DoneAt] : Vms.AcknowledgedCompletions)
    for (const RunEvent &Event : Vms.RunHistory)
      if (Event.IsStart && Event.Run.Task == Task && Event.Time > DoneAt)
        report("started after its end", Event, "");
}

std::vector<std::string> RunRules::violations(const FakeVms &Vms) {
  Running_.clear();
  Done_.clear();
  Violations_.clear();
  for (const RunEvent &Event : Vms.RunHistory) {
    checkCancellation(Event);
    std::set<TaskRun> &Runs = Running_[Event.Vm];
    if (!Event.IsStart) {
      Runs.erase(Event.Run);
      if (Event.Outcome == RunOutcome::Done)
        Done_.insert(Event.Run.Task);
      continue;
    }
    checkSingleRun(Event);
    checkCapacity(Event);
    checkLimitPerVm(Event);
    checkLabel(Event);
    checkOrder(Event);
    checkQuota(Event);
    Runs.insert(Event.Run);
  }
  checkCompletions(Vms);
  checkAttempts(Vms);
  return Violations_;
}

} // namespace cuminroad
