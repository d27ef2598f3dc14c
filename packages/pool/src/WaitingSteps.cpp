#include "WaitingSteps.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

#include "AccountShares.h"

namespace cuminroad {

namespace {

/// The order in which steps get VMs and tickets; lower values go first.
struct Urgency {
  /// Comes after all jobs that are within the rate of their account.
  bool BeyondRate = false;
  /// So late that the job is of little value to its client.
  bool VeryLate = false;
  int Priority = 0;
  /// Past its deadline, or certain to be: steps that can still meet theirs go
  /// first.
  bool Late = false;
  /// The account uses more for its weight than others with waiting work.
  bool OverShare = false;
  TimePoint Deadline{};

  friend bool operator<(const Urgency &Left, const Urgency &Right) {
    const auto Key = [](const Urgency &Of) {
      return std::tie(Of.BeyondRate, Of.VeryLate, Of.Priority, Of.Late,
                      Of.OverShare, Of.Deadline);
    };
    return Key(Left) < Key(Right);
  }
};

/// \returns the urgency of all steps of an occurrence.
Urgency urgencyOf(const OccurrenceRecord &Occurrence,
                  const PoolOptions &Options, TimePoint Now) {
  const JobRecord &Job = *Occurrence.Job;
  PathLengths Path{Job.CriticalPath, milliseconds(0)};
  if (Options.SlackOrder || Job.QueueRunTimes != nullptr)
    Path = predictedPath(Occurrence);
  const milliseconds Objective = Job.objectiveOf(Path.Whole);
  Urgency Out;
  Out.BeyondRate = Job.BeyondRate;
  Out.Priority = Job.Terms.Priority;
  Out.Deadline = Occurrence.Due + Objective;
  // A long-running job does not end and so is never late.
  if (Job.Plan.isLongRunning())
    return Out;
  TimePoint EndsAt = Now;
  if (Options.SlackOrder)
    EndsAt += Path.Remaining;
  Out.Late = EndsAt > Out.Deadline;
  Out.VeryLate =
      EndsAt > Occurrence.Due + milliseconds(static_cast<std::int64_t>(
                                    Options.VeryLateFactor *
                                    static_cast<double>(Objective.count())));
  // A late job is worth a fraction of one in time, but not nothing: it yields
  // to jobs in time of the next priority, not of all priorities. In
  // overload_experiment, yielding to all loses value where jobs of low priority
  // have much time left, and yielding to none where they have little.
  if (Options.SlackOrder && Out.Late &&
      Out.Priority < std::numeric_limits<int>::max())
    ++Out.Priority;
  return Out;
}

using Entry = std::pair<Urgency, StepRecord *>;

/// Marks the steps of accounts that use more for their weight than the others
/// with ready steps that are within the rate.
void markOverShare(std::vector<Entry> &Entries, const PoolTables &Tables) {
  for (const auto &[Name, Account] : Tables.Accounts)
    Account->HasWaiting = false;
  for (const auto &[StepUrgency, Step] : Entries)
    if (AccountRecord *Account = Step->Occurrence->Job->Account;
        Account != nullptr && !Account->HasWaiting && !StepUrgency.BeyondRate)
      Account->HasWaiting = isReady(*Step);
  findAccountsOverShare(Tables);
  for (auto &[StepUrgency, Step] : Entries)
    if (const AccountRecord *Account = Step->Occurrence->Job->Account)
      StepUrgency.OverShare = Account->OverShare;
}

} // namespace

WaitingSteps collectWaitingSteps(const PoolTables &Tables,
                                 const PoolOptions &Options, TimePoint Now) {
  WaitingSteps Out;
  std::vector<Entry> Entries;
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
  if (Tables.AnyAccountInForce)
    markOverShare(Entries, Tables);
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
