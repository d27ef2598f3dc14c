#include "cuminroad/pool/JobPlan.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cuminroad {

bool JobPlan::isLongRunning() const {
  return std::any_of(Steps.begin(), Steps.end(),
                     [](const StepPlan &Step) { return Step.LongRunning; });
}

namespace {

/// Far above the numbers that a pool can run, and sums of them fit in an int.
constexpr int MaxTasksPerStep = 1'000'000'000;
constexpr int MaxOccurrences = 1'000'000'000;
/// Upper bound of sizes, and of times in milliseconds.
constexpr std::int64_t MaxNumber = 1'000'000'000'000;

bool isAllowedNumber(std::int64_t Value) {
  return Value >= 0 && Value <= MaxNumber;
}

} // namespace

Result<void> checkPlan(const JobPlan &Plan) {
  if (Plan.Steps.empty())
    return failure(ErrorCode::MissingField, "steps");
  for (std::size_t Index = 0; Index < Plan.Steps.size(); ++Index) {
    const StepPlan &Step = Plan.Steps[Index];
    if (Step.Tasks < 1 || Step.Tasks > MaxTasksPerStep)
      return failure(ErrorCode::ValueOutOfRange, "count");
    if (!isAllowedNumber(Step.PerTask.MilliCores) ||
        !isAllowedNumber(Step.PerTask.MemoryMb) ||
        !isAllowedNumber(Step.PerTask.Accelerators))
      return failure(ErrorCode::ValueOutOfRange, "size of a task");
    if (!isAllowedNumber(Step.Estimate.count()) ||
        !isAllowedNumber(Step.LatencyTarget.count()) || Step.MaxPerVm < 0 ||
        Step.MaxUnavailable < 0)
      return failure(ErrorCode::ValueOutOfRange, "step");
    for (const int Dependency : Step.DependsOn)
      if (Dependency < 0 || Dependency >= static_cast<int>(Index))
        return failure(ErrorCode::ValueOutOfRange, "after");
  }
  if (Plan.Occurrences < 0 || Plan.Occurrences > MaxOccurrences)
    return failure(ErrorCode::ValueOutOfRange, "times");
  if (!isAllowedNumber(Plan.Interval.count()))
    return failure(ErrorCode::ValueOutOfRange, "interval");
  return {};
}

namespace {

nlohmann::json stepToJson(const StepPlan &Step) {
  nlohmann::json Out{{"n", Step.Tasks},
                     {"c", Step.PerTask.MilliCores},
                     {"m", Step.PerTask.MemoryMb},
                     {"e", Step.Estimate.count()}};
  // Fields with their default value are omitted; that is most of them.
  if (Step.PerTask.Accelerators != 0)
    Out["a"] = Step.PerTask.Accelerators;
  if (!Step.DependsOn.empty())
    Out["after"] = Step.DependsOn;
  const std::pair<const char *, bool> Flags[] = {
      {"ck", Step.Checkpointing}, {"gang", Step.Gang},
      {"rack", Step.SameRack},    {"spec", Step.Speculative},
      {"long", Step.LongRunning}, {"fills", Step.BestEffort}};
  for (const auto &[Name, Set] : Flags)
    if (Set)
      Out[Name] = true;
  const std::pair<const char *, const std::string &> Texts[] = {
      {"label", Step.RequiredLabel},
      {"data", Step.DataRack},
      {"image", Step.Image}};
  for (const auto &[Name, Value] : Texts)
    if (!Value.empty())
      Out[Name] = Value;
  const std::pair<const char *, std::int64_t> Numbers[] = {
      {"per_vm", Step.MaxPerVm},
      {"target", Step.LatencyTarget.count()},
      {"miss", Step.MaxUnavailable}};
  for (const auto &[Name, Value] : Numbers)
    if (Value != 0)
      Out[Name] = Value;
  return Out;
}

StepPlan stepFromJson(const nlohmann::json &Input) {
  StepPlan Out;
  Out.Tasks = Input.at("n").get<int>();
  Out.PerTask.MilliCores = Input.at("c").get<std::int64_t>();
  Out.PerTask.MemoryMb = Input.at("m").get<std::int64_t>();
  Out.PerTask.Accelerators = Input.value("a", std::int64_t{0});
  Out.Estimate = milliseconds(Input.at("e").get<std::int64_t>());
  Out.DependsOn = Input.value("after", std::vector<int>());
  Out.Checkpointing = Input.value("ck", false);
  Out.Gang = Input.value("gang", false);
  Out.SameRack = Input.value("rack", false);
  Out.Speculative = Input.value("spec", false);
  Out.LongRunning = Input.value("long", false);
  Out.BestEffort = Input.value("fills", false);
  Out.RequiredLabel = Input.value("label", std::string());
  Out.DataRack = Input.value("data", std::string());
  Out.Image = Input.value("image", std::string());
  Out.MaxPerVm = Input.value("per_vm", 0);
  Out.LatencyTarget = milliseconds(Input.value("target", std::int64_t{0}));
  Out.MaxUnavailable = Input.value("miss", 0);
  return Out;
}

} // namespace

nlohmann::json toJson(const JobPlan &Plan) {
  nlohmann::json Out{{"spec", Plan.Spec}, {"steps", nlohmann::json::array()}};
  for (const StepPlan &Step : Plan.Steps)
    Out["steps"].push_back(stepToJson(Step));
  if (Plan.Occurrences > 0) {
    Out["times"] = Plan.Occurrences;
    Out["first"] = Plan.FirstDue.count();
    Out["every"] = Plan.Interval.count();
  }
  if (!Plan.Account.empty())
    Out["account"] = Plan.Account;
  return Out;
}

Result<JobPlan> jobPlanFromJson(const nlohmann::json &Input) {
  try {
    JobPlan Out;
    Out.Spec = Input.at("spec").get<std::string>();
    Out.Account = Input.value("account", std::string());
    for (const nlohmann::json &Step : Input.at("steps"))
      Out.Steps.push_back(stepFromJson(Step));
    Out.Occurrences = Input.value("times", 0);
    Out.FirstDue = milliseconds(Input.value("first", std::int64_t{0}));
    Out.Interval = milliseconds(Input.value("every", std::int64_t{0}));
    if (const auto Checked = checkPlan(Out); !Checked)
      return tl::unexpected(Checked.error());
    return Out;
  } catch (const nlohmann::json::exception &Exception) {
    return failure(ErrorCode::MalformedInput, Exception.what());
  }
}

} // namespace cuminroad
