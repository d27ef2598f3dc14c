#include "cuminroad/daemon/JobRow.h"

#include <array>

#include <nlohmann/json.hpp>

namespace cuminroad {

namespace {

constexpr std::array OutcomeNames{std::pair{JobOutcome::Done, "done"},
                                  std::pair{JobOutcome::Failed, "failed"},
                                  std::pair{JobOutcome::Cancelled, "cancelled"},
                                  std::pair{JobOutcome::Unknown, "unknown"}};

/// Packs sorted numbers into [first, last] ranges. This is compact, because the
/// ended tasks of a job are mostly consecutive.
template <typename Range> nlohmann::json packRanges(const Range &Numbers) {
  nlohmann::json Ranges = nlohmann::json::array();
  for (const int Number : Numbers) {
    if (!Ranges.empty() && Ranges.back().at(1) == Number - 1)
      Ranges.back()[1] = Number;
    else
      Ranges.push_back({Number, Number});
  }
  return Ranges;
}

std::set<int> unpackRanges(const nlohmann::json &Input) {
  std::set<int> Numbers;
  for (const nlohmann::json &Range : Input)
    for (int Number = Range.at(0); Number <= Range.at(1); ++Number)
      Numbers.insert(Number);
  return Numbers;
}

} // namespace

std::string_view jobOutcomeName(JobOutcome Outcome) {
  for (const auto &[Value, Name] : OutcomeNames)
    if (Value == Outcome)
      return Name;
  return "unknown";
}

Result<JobRow> parseJobRow(const nlohmann::json &Input) {
  try {
    auto Spec = parseJobSpec(Input.at("spec"));
    if (!Spec)
      return tl::unexpected(Spec.error());
    JobRow Row;
    Row.Spec = *Spec;
    Row.Name = Input.at("name").get<std::string>();
    Row.AcceptedMs = Input.at("accepted_ms").get<std::int64_t>();
    for (const int Index : unpackRanges(Input.at("ended")))
      Row.Ended[Index] = false;
    for (const int Index : unpackRanges(Input.at("failed")))
      Row.Ended[Index] = true;
    Row.RecordedStarts = unpackRanges(Input.at("recorded"));
    Row.Cancelled = Input.at("cancelled").get<bool>();
    const std::string Outcome = Input.value("outcome", "");
    for (const auto &[Value, Name] : OutcomeNames)
      if (Outcome == Name)
        Row.Outcome = Value;
    return Row;
  } catch (const nlohmann::json::exception &Exception) {
    return failure(ErrorCode::MalformedInput, Exception.what());
  }
}

nlohmann::json toJson(const JobRow &Row) {
  std::set<int> Ended;
  std::set<int> Failed;
  for (const auto &[Index, HasFailed] : Row.Ended)
    (HasFailed ? Failed : Ended).insert(Index);
  nlohmann::json Output{{"spec", toJson(Row.Spec)},
                        {"name", Row.Name},
                        {"accepted_ms", Row.AcceptedMs},
                        {"ended", packRanges(Ended)},
                        {"failed", packRanges(Failed)},
                        {"recorded", packRanges(Row.RecordedStarts)},
                        {"cancelled", Row.Cancelled}};
  if (Row.Outcome)
    Output["outcome"] = jobOutcomeName(*Row.Outcome);
  return Output;
}

} // namespace cuminroad
