#include "RunFormat.h"

#include <fmt/format.h>

namespace cuminroad {

std::string formatRun(const TaskRun &Run) {
  return fmt::format("{}.{}.{}.{}#{}", Run.Task.Step.Job,
                     Run.Task.Step.Occurrence, Run.Task.Step.Step,
                     Run.Task.Index, Run.Number);
}

std::string_view runOutcomeName(RunOutcome Outcome) {
  constexpr std::string_view Names[] = {"done",   "failed", "stopped",
                                        "lapsed", "broken", "alone"};
  return Names[static_cast<std::size_t>(Outcome)];
}

} // namespace cuminroad
