#include "CrashAttribution.h"

#include <algorithm>

namespace cuminroad {

namespace {

/// Losses of VMs at about the same time are taken to have a common cause from
/// this number on: a share of the pool, within bounds.
constexpr std::size_t MinCommonLosses = 3;
constexpr std::size_t MaxCommonLosses = 9;
constexpr std::size_t CommonLossDivisor = 20;

bool hasCommonCause(const PoolTables &Tables, TimePoint CrashedAt,
                    milliseconds Window) {
  const std::size_t Needed = std::clamp(Tables.Vms.size() / CommonLossDivisor,
                                        MinCommonLosses, MaxCommonLosses);
  const auto SameTime = std::count_if(
      Tables.Losses.begin(), Tables.Losses.end(),
      [CrashedAt, Window](TimePoint Loss) {
        return Loss >= CrashedAt - Window && Loss <= CrashedAt + Window;
      });
  return static_cast<std::size_t>(SameTime) >= Needed;
}

/// \returns whether the run was started by an earlier owner, at an unknown
/// time.
bool hasUnknownAge(const TaskRecord &Task) {
  return Task.ConfirmedAt == TimePoint::min();
}

} // namespace

CrashVerdict attributeCrash(const PoolTables &Tables, const VmRecord &Vm,
                            std::span<TaskRecord *const> Lost,
                            const PoolOptions &Options, TimePoint Now) {
  const TimePoint CrashedAt = Vm.UnreachableSince.value_or(Now);
  CrashVerdict Out;
  Out.CommonCause =
      hasCommonCause(Tables, CrashedAt, Options.CommonCauseWindow);
  bool AnyUnknownAge = false;
  for (TaskRecord *Task : Lost) {
    const bool New = Task->isNewRun(CrashedAt, Options.NewRunDuration);
    Out.NewRuns = Out.NewRuns || New;
    AnyUnknownAge = AnyUnknownAge || hasUnknownAge(*Task);
    if (New || hasUnknownAge(*Task))
      Out.Suspects.push_back(Task);
  }
  if (!Out.Suspects.empty()) {
    const auto *Job = Out.Suspects.front()->Step->Occurrence->Job;
    Out.Conclusive = !AnyUnknownAge && !Out.CommonCause &&
                     !Vm.hasSuspectHost(Now) &&
                     std::all_of(Out.Suspects.begin(), Out.Suspects.end(),
                                 [Job](const TaskRecord *Task) {
                                   return Task->Step->Occurrence->Job == Job;
                                 });
  } else if (!Out.CommonCause && !Vm.hasSuspectHost(Now)) {
    std::copy_if(Lost.begin(), Lost.end(), std::back_inserter(Out.Suspects),
                 [CrashedAt, &Options](const TaskRecord *Task) {
                   return CrashedAt - Task->PlacedAt < Options.CrashFreeRunTime;
                 });
  }
  return Out;
}

} // namespace cuminroad
