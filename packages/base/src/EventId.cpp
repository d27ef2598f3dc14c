#include "cuminroad/base/EventId.h"

#include <algorithm>
#include <array>

namespace cuminroad {

namespace {

constexpr std::array EventRows{
    EventInfo{EventId::DaemonStarted, Severity::Info, "daemon_started",
              "The process read its settings and opened its ports."},
    EventInfo{EventId::DaemonReady, Severity::Info, "daemon_ready",
              "The daemon has loaded the contracts and serves requests."},
    EventInfo{EventId::DaemonStopping, Severity::Info, "daemon_stopping",
              "A graceful shutdown began; work in flight is completed."},
    EventInfo{EventId::DaemonStopped, Severity::Info, "daemon_stopped",
              "The graceful shutdown is complete."},
    EventInfo{EventId::SettingsRejected, Severity::Error, "settings_rejected",
              "The settings file has errors; the process exits."},
    EventInfo{EventId::SettingsChanged, Severity::Info, "settings_changed",
              "The process was notified that its settings file changed."},
    EventInfo{EventId::OwnershipTaken, Severity::Info, "ownership_taken",
              "This daemon became the owner of a failure domain or pool and "
              "schedules its work."},
    EventInfo{EventId::OwnershipLost, Severity::Warning, "ownership_lost",
              "Another daemon holds a newer epoch; this one stopped "
              "scheduling."},
    EventInfo{EventId::OwnershipReleased, Severity::Info, "ownership_released",
              "The owner released its failure domain, so that a standby can "
              "take over."},
    EventInfo{EventId::VmClaimed, Severity::Info, "vm_claimed",
              "The owner holds the VM's lease and knows what runs on it."},
    EventInfo{
        EventId::VmClaimRefused, Severity::Warning, "vm_claim_refused",
        "The VM refused the claim, because it is held under a newer epoch."},
    EventInfo{EventId::VmUnreachable, Severity::Warning, "vm_unreachable",
              "A lease renewal to the VM failed."},
    EventInfo{EventId::VmLeaving, Severity::Info, "vm_leaving",
              "The VM is leaving and accepts no new work."},
    EventInfo{EventId::VmGone, Severity::Warning, "vm_gone",
              "The platform lists the VM as gone."},
    EventInfo{EventId::VmQuarantined, Severity::Warning, "vm_quarantined",
              "Work failed on the VM; it is assigned no new work for a while."},
    EventInfo{EventId::VmLeaseLapsed, Severity::Warning, "vm_lease_lapsed",
              "The VM's lease has certainly lapsed; its tasks are restarted "
              "elsewhere."},
    EventInfo{
        EventId::VmRestarted, Severity::Warning, "vm_restarted",
        "The VM answers as a new incarnation; all runs of the earlier one "
        "have ended."},
    EventInfo{
        EventId::VmCrashed, Severity::Warning, "vm_crashed",
        "A VM crashed under runs; the detail says how many were lost, how "
        "many may have caused it, and whether one job alone did."},
    EventInfo{EventId::VmTokenRaised, Severity::Info, "vm_token_raised",
              "The owner raised the VM's fencing token, so that the VM refuses "
              "its earlier orders; with the incarnation known and the reason."},
    EventInfo{EventId::VmOrderVoided, Severity::Warning, "vm_order_voided",
              "The VM refused an order, because its owner had raised the token "
              "since."},
    EventInfo{EventId::VmEndsPartial, Severity::Info, "vm_ends_partial",
              "A VM listed as many ends as an answer can hold, so that others "
              "may follow; with their number and the last one's."},
    EventInfo{EventId::PlatformLost, Severity::Error, "platform_lost",
              "The platform's table service can't be reached."},
    EventInfo{EventId::PlatformBack, Severity::Info, "platform_back",
              "The platform's table service is reachable again."},
    EventInfo{EventId::RowUnreadable, Severity::Warning, "row_unreadable",
              "A row of the store can't be parsed and is skipped."},
    EventInfo{EventId::StoreLost, Severity::Warning, "store_lost",
              "The store stopped responding; work that needs it waits."},
    EventInfo{EventId::StoreBack, Severity::Info, "store_back",
              "The store responds again."},
    EventInfo{EventId::StoreRelayed, Severity::Warning, "store_relayed",
              "Direct calls to the store fail; they are relayed through other "
              "daemons."},
    EventInfo{EventId::StoreRelayEnded, Severity::Info, "store_relay_ended",
              "Direct calls to the store succeed again."},
    EventInfo{
        EventId::StoreWriteUnknown, Severity::Info, "store_write_unknown",
        "The answer to a write was lost: it may have taken effect, or may "
        "still do so. The subject is its first row's key."},
    EventInfo{EventId::ContractProposed, Severity::Info, "contract_proposed",
              "An operator's change was written; until it is accepted, the "
              "stricter of the old and new limits applies."},
    EventInfo{
        EventId::ContractAccepted, Severity::Info, "contract_accepted",
        "Every daemon acknowledged the change; it can no longer be reverted."},
    EventInfo{EventId::ContractApplied, Severity::Info, "contract_applied",
              "This daemon applies a new version of a contract."},
    EventInfo{EventId::ContractConflict, Severity::Warning, "contract_conflict",
              "An operator's change was rejected, because it conflicts with "
              "another change."},
    EventInfo{EventId::ConfigApplied, Severity::Info, "config_applied",
              "This process applied a new version of the contracts."},
    EventInfo{EventId::ConfigStale, Severity::Warning, "config_stale",
              "The contracts in force were last confirmed by the store longer "
              "ago than changes may take to apply; with their version, their "
              "age and the last failure."},
    EventInfo{EventId::ConfigCurrent, Severity::Info, "config_current",
              "The store has confirmed the contracts in force again."},
    EventInfo{EventId::JobAccepted, Severity::Info, "job_accepted",
              "The job was accepted: its row is in the table."},
    EventInfo{EventId::JobRefused, Severity::Info, "job_refused",
              "The job was refused; the detail has the reason."},
    EventInfo{EventId::JobFinished, Severity::Info, "job_finished",
              "All tasks of the job ended."},
    EventInfo{EventId::JobCancelled, Severity::Info, "job_cancelled",
              "The caller cancelled the job."},
    EventInfo{EventId::JobKnown, Severity::Info, "job_known",
              "A job was submitted again that had been accepted before; it "
              "remains one job."},
    EventInfo{EventId::JobOutcomeUnknown, Severity::Warning,
              "job_outcome_unknown",
              "It is unknown whether the job was accepted; the response to the "
              "caller says so."},
    EventInfo{EventId::JobsLoaded, Severity::Info, "jobs_loaded",
              "A new owner loaded the jobs of its pool."},
    EventInfo{EventId::JobStage, Severity::Info, "job_stage",
              "The job reached a final stage."},
    EventInfo{EventId::JobGivenUp, Severity::Warning, "job_given_up",
              "The job fails because one of its tasks crashed several VMs."},
    EventInfo{EventId::JobQueueNotInForce, Severity::Info,
              "job_queue_not_in_force",
              "A pool's owner reads a job whose queue its contracts lack; the "
              "detail says whether the terms are known under which the job was "
              "accepted."},
    EventInfo{EventId::TaskStarted, Severity::Info, "task_started",
              "A VM started the task."},
    EventInfo{EventId::TaskStartFailed, Severity::Warning, "task_start_failed",
              "A VM refused or failed to start the task."},
    EventInfo{EventId::TaskEnded, Severity::Info, "task_ended",
              "A VM reported the task's end."},
    EventInfo{EventId::TaskPreempted, Severity::Info, "task_preempted",
              "A task is checkpointed and stopped for urgent work."},
    EventInfo{
        EventId::TaskLost, Severity::Warning, "task_lost",
        "The task's VM is gone; the task is restarted if its job allows it."},
    EventInfo{EventId::TaskThrottled, Severity::Warning, "task_throttled",
              "The task uses more than its declared capacity and is throttled "
              "to it."},
    EventInfo{EventId::StepBlocked, Severity::Info, "step_blocked",
              "A step waits for capacity or for its account's quota; logged "
              "after 1 s, 2 s, 4 s and so on. Of the steps that wait for one "
              "quota, the most urgent one is logged."},
    EventInfo{EventId::RunStarted, Severity::Info, "run_started",
              "A VM accepted the start of a run; with the listed capacity that "
              "the start was decided by, and its age."},
    EventInfo{EventId::RunRefused, Severity::Warning, "run_refused",
              "The start of a run was not accepted; unless the run may have "
              "started, its task is placed again."},
    EventInfo{EventId::RunEnded, Severity::Info, "run_ended",
              "A VM reported the end of a run."},
    EventInfo{EventId::RunLost, Severity::Warning, "run_lost",
              "A run was lost before it ended; its task is placed again."},
    EventInfo{EventId::RunStopped, Severity::Info, "run_stopped",
              "A VM was instructed to stop a run."},
    EventInfo{
        EventId::RunPaced, Severity::Info, "run_paced",
        "A VM was instructed to limit a run to a percentage of its speed."},
    EventInfo{EventId::RunSuspected, Severity::Warning, "run_suspected",
              "The run may have crashed its VM; its task is tried apart from "
              "other new runs."},
    EventInfo{EventId::RunOrdered, Severity::Info, "run_ordered",
              "A start of a step with a limit per VM was sent; with the runs "
              "of the step that the owner believed to be on the VM when it "
              "decided the start, and the start's fencing token."},
    EventInfo{EventId::RunUnknown, Severity::Warning, "run_unknown",
              "A VM reported a run that its owner didn't count; the owner "
              "stops it or, if its task waits, takes it for the task's run."},
    EventInfo{EventId::AdviceFailed, Severity::Warning, "advice_failed",
              "A request to the placement advisor failed; it is retried."},
    EventInfo{EventId::AdviceCame, Severity::Info, "advice_came",
              "The placement advisor returned the VMs that may run a step."},
    EventInfo{EventId::PoolLoad, Severity::Info, "pool_load",
              "The load of a pool, reported by its owner each second while it "
              "has jobs."},
    EventInfo{EventId::PoolCountFailed, Severity::Info, "pool_count_failed",
              "The owner of a pool could not be asked how many jobs of a queue "
              "wait there; the caller's answer is that the number is unknown."},
    EventInfo{EventId::RequestUnknown, Severity::Warning, "request_unknown",
              "It is unknown whether a request ran."},
    EventInfo{EventId::RequestNotRun, Severity::Info, "request_not_run",
              "A request was certainly not run."},
    EventInfo{EventId::RouteUnknown, Severity::Info, "route_unknown",
              "No route matches a request; with the version of the contracts "
              "and the time since the store confirmed it."},
    EventInfo{EventId::KeyUnknown, Severity::Info, "key_unknown",
              "A request of the queue was refused, because it has no key of an "
              "account in force; with the version of the contracts and the "
              "time since the store confirmed it."},
    EventInfo{EventId::HttpLimitHit, Severity::Warning, "http_limit_hit",
              "A server refused a request or closed a connection because of "
              "a limit; with the cause, the peer and the number since the "
              "last line."},
    EventInfo{EventId::HttpLimitRaised, Severity::Warning, "http_limit_raised",
              "The settings allow less memory or fewer descriptors than a "
              "server needs; it uses the lowest usable limits."},
    EventInfo{EventId::PeerMessageRejected, Severity::Warning,
              "peer_message_rejected",
              "A message between daemons could not be parsed and was ignored."},
    EventInfo{EventId::LinesDropped, Severity::Warning, "lines_dropped",
              "Log lines were dropped to limit the log's volume, or because "
              "their reader did not keep up."},
};

} // namespace

std::span<const EventInfo> eventCatalogue() { return EventRows; }

const EventInfo &eventInfo(EventId Id) {
  const auto *Row =
      std::find_if(EventRows.begin(), EventRows.end(),
                   [Id](const EventInfo &Info) { return Info.Id == Id; });
  return Row == EventRows.end() ? EventRows.front() : *Row;
}

std::string_view severityName(Severity Level) {
  switch (Level) {
  case Severity::Info:
    return "info";
  case Severity::Warning:
    return "warning";
  case Severity::Error:
    return "error";
  }
  return "error";
}

} // namespace cuminroad
