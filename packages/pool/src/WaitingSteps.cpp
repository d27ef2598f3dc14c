#include "WaitingSteps.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace cuminroad {

namespace {

/// The order in which steps get VMs and tickets; lower values go first.
struct Urgency {
  /// Comes after all jobs that are within the rate of their account.
  bool BeyondRate = false;
  /// So late that the job is of little value to its client.
  bool VeryLate = false;
  int Priority = 0;
  /// Past its deadline: steps that can still meet theirs go first.
  bool Late = false;
  TimePoint Deadline{};

  friend bool operator<(const Urgency &Left, const Urgency &Right) {
    return std::tie(Left.BeyondRate, Left.VeryLate, Left.Priority, Left.Late,
                    Left.Deadline) < std::tie(Right.BeyondRate, Right.VeryLate,
                                              Right.Priority, Right.Late,
                                              Right.Deadline);
  }
};

/// \returns the urgency of all steps of an occurrence.
Urgency urgencyOf(const OccurrenceRecord &Occurrence,
                  const PoolOptions &Options, TimePoint Now) {
  const JobRecord &Job = *Occurrence.Job;
  const milliseconds Objective = Job.objective();
  Urgency Out;
  Out.BeyondRate = Job.BeyondRate;
  Out.Priority = Job.Terms.Priority;
  Out.Deadline = Occurrence.Due + Objective;
  // A long-running job does not end and so is never late.
  if (Job.Plan.isLongRunning())
    return Out;
  Out.Late = Now > Out.Deadline;
  Out.VeryLate =
      Now > Occurrence.Due + milliseconds(static_cast<std::int64_t>(
                                 Options.VeryLateFactor *
                                 static_cast<double>(Objective.count())));
  return Out;
}

} // namespace

WaitingSteps collectWaitingSteps(const PoolTables &Tables,
                                 const PoolOptions &Options, TimePoint Now) {
  WaitingSteps Out;
  std::vector<std::pair<Urgency, StepRecord *>> Entries;
  for (const auto &[Id, Job] : Tables.Jobs) {
    if (isFinal(Job->Stage))
      continue;
    for (const auto &[Number, Occurrence] : Job->Occurrences) {
      std::optional<Urgency> StepUrgency;
      for (StepRecord &Step : Occurrence->Steps) {
        if (Job->Terms.Advice && Step.AdvicePending) {
          ++Out.PendingAdvice;
          Out.PendingRetries += Step.AdviceRetryDelay > milliseconds(0);
        }
        if (Step.WaitingTasks == 0)
          continue;
        // The next run might be one more than the unknown terms allow.
        if (!Job->Terms.Known && Step.failures() > 0)
          continue;
        if (!StepUrgency)
          StepUrgency = urgencyOf(*Occurrence, Options, Now);
        Entries.emplace_back(*StepUrgency, &Step);
      }
    }
  }
  std::stable_sort(Entries.begin(), Entries.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first < Right.first;
                   });
  Out.Steps.reserve(Entries.size());
  for (const auto &[StepUrgency, Step] : Entries)
    Out.Steps.push_back(Step);
  return Out;
}

} // namespace cuminroad
