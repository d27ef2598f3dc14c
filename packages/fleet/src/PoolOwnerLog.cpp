// The part of PoolOwner that writes events and metrics about its pool.
#include "cuminroad/fleet/PoolOwner.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "RunFormat.h"

namespace cuminroad {

namespace {

constexpr milliseconds LoadReportInterval{1000};
/// A loop that is late by more has too little processor time.
constexpr milliseconds LateLoopDelay{250};

std::string formatLoss(const LostRun &Loss) {
  std::string Out = fmt::format("{} {}", Loss.Vm, Loss.Reason);
  if (Loss.Age)
    Out += fmt::format(" age_ms {}", Loss.Age->count());
  return Out;
}

std::string formatBlockedStep(const BlockedStep &Step) {
  std::string Out =
      fmt::format("{}.{} waited_ms {} tasks {}", Step.Step.Occurrence,
                  Step.Step.Step, Step.Waited.count(), Step.WaitingTasks);
  if (Step.QuotaAccount.empty())
    return Out +
           fmt::format(" vms allowed {} held {} usable {} ticket {} room {}{}",
                       Step.AllowedVms, Step.AvailableVms, Step.UsableVms,
                       Step.VmsWithTicket, Step.VmsWithRoom,
                       Step.BeyondRate ? " beyond_rate" : "");
  const auto Format = [](const Capacity &Amount) {
    return fmt::format("{},{},{}", Amount.MilliCores, Amount.MemoryMb,
                       Amount.Accelerators);
  };
  return Out + fmt::format(" quota of {} used {} limit {}", Step.QuotaAccount,
                           Format(Step.QuotaUsed), Format(Step.QuotaLimit));
}

} // namespace

void PoolOwner::logDiagnostics() {
  const PoolDiagnostics Diagnostics = Scheduler_->takeDiagnostics();
  StartStatistics_.AdviceChecks += Diagnostics.AdviceChecks;
  for (const LostRun &Loss : Diagnostics.LostRuns)
    Context_.Events.record(EventId::RunLost, formatRun(Loss.Run),
                           formatLoss(Loss));
  for (const UnknownRunReport &Each : Diagnostics.UnknownRuns)
    Context_.Events.record(EventId::RunUnknown, formatRun(Each.Run),
                           fmt::format("{} incarnation {} {}", Each.Vm,
                                       Each.VmIncarnation,
                                       Each.Resumed ? "resumed" : "stopped"));
  for (const VmCrash &Each : Diagnostics.Crashes)
    logCrash(Each);
  for (const AbandonedTask &Each : Diagnostics.AbandonedTasks) {
    Context_.Metrics.recordAbandonedJob(Term_.Service);
    Context_.Events.record(
        EventId::JobGivenUp, Each.Task.Step.Job,
        fmt::format("{}.{}.{} crashed_vms {}", Each.Task.Step.Occurrence,
                    Each.Task.Step.Step, Each.Task.Index, Each.Crashes));
  }
  for (const VmQuarantine &Each : Diagnostics.Quarantines)
    Context_.Events.record(EventId::VmQuarantined, Each.Vm,
                           fmt::format("for_ms {}", Each.Duration.count()));
  for (const BlockedStep &Each : Diagnostics.BlockedSteps)
    Context_.Events.record(EventId::StepBlocked, Each.Step.Job,
                           formatBlockedStep(Each));
}

void PoolOwner::logCrash(const VmCrash &Crash) {
  const std::string_view Cause = Crash.CommonCause        ? "common_cause"
                                 : Crash.Conclusive       ? "one_job"
                                 : Crash.Suspects.empty() ? "unknown"
                                                          : "several_jobs";
  Context_.Metrics.recordVmCrash(Term_.Service, Cause);
  Context_.Events.record(EventId::VmCrashed, Crash.Vm,
                         fmt::format("{} lost_runs {} suspects {} {}",
                                     Term_.Service, Crash.LostRuns,
                                     Crash.Suspects.size(), Cause));
  for (const TaskRun &Run : Crash.Suspects)
    Context_.Events.record(EventId::RunSuspected, formatRun(Run), Crash.Vm);
}

void PoolOwner::measureLoopDelay() {
  if (PeriodicWorkDue_ == TimePoint{})
    return;
  const auto Delay = std::chrono::duration_cast<milliseconds>(
      Context_.MonotonicClock.now() - PeriodicWorkDue_);
  StartStatistics_.LoopDelay = std::max(StartStatistics_.LoopDelay, Delay);
}

void PoolOwner::reportLoad() {
  const TimePoint Now = Context_.MonotonicClock.now();
  if (Now - LastLoadReportAt_ < LoadReportInterval)
    return;
  LastLoadReportAt_ = Now;
  StartStatistics Starts = std::exchange(StartStatistics_, {});
  if (!UnsentStarts_.empty())
    Starts.LongestDelay = std::max(
        Starts.LongestDelay,
        std::chrono::duration_cast<milliseconds>(Now - UnsentStarts_.front()));
  LateReports_ = Starts.LoopDelay > LateLoopDelay ? LateReports_ + 1 : 0;
  const PoolLoad Load = Scheduler_->load();
  Context_.Metrics.setPoolLoad(Term_.Service, Load);
  Context_.Metrics.setAccountLoads(Term_.Service, Scheduler_->accountLoads());
  if (Load.Jobs == 0)
    return;
  Context_.Events.record(
      EventId::PoolLoad, Term_.Service,
      fmt::format(
          "vms {} held {} jobs {} waiting {} placed {} running {} "
          "stopping {} unknown {} cpu {} of {} pass_ms {} "
          "write_ms {} advice_requests {} rows {} starts {} late {} "
          "start_ms {} loop_ms {} refused {} unanswered {} answer_ms {} "
          "advice_checks {}",
          Load.Vms, Load.LeasedVms, Load.Jobs, Load.WaitingTasks,
          Load.PlacedTasks, Load.RunningTasks, Load.StoppingTasks,
          Load.UnknownRuns, Load.UsedMilliCores, Load.TotalMilliCores,
          LastPassDuration_.count(), Writer_->expectedDelay().count(),
          AdviceDispatcher_->waiting(), Writer_->queuedRows(), Starts.Sent,
          Starts.Late, Starts.LongestDelay.count(), Starts.LoopDelay.count(),
          Starts.Refused, Starts.Unanswered, Starts.LongestAnswer.count(),
          Starts.AdviceChecks));
}

void PoolOwner::logAcceptedTerms(const std::string &Job,
                                 const QueueTerms &Accepted) {
  if (Context_.Queues.terms(Accepted.Name) != nullptr)
    return;
  Context_.Events.record(EventId::JobQueueNotInForce, Job,
                         Accepted.Known
                             ? fmt::format("{} accepted with attempts {}",
                                           Accepted.Name, Accepted.MaxAttempts)
                             : fmt::format("{} terms unknown", Accepted.Name));
}

} // namespace cuminroad
