#include "cuminroad/base/EventId.h"

#include <algorithm>
#include <array>

namespace cuminroad {

namespace {

constexpr std::array EventRows{
    EventInfo{EventId::DaemonStarted, Severity::Info, "daemon_started",
              "The process read its settings and opened its ports."},
    EventInfo{EventId::DaemonReady, Severity::Info, "daemon_ready",
              "The daemon knows all contracts and serves callers."},
    EventInfo{EventId::DaemonStopping, Severity::Info, "daemon_stopping",
              "A graceful shutdown began; work in flight is finished."},
    EventInfo{EventId::DaemonStopped, Severity::Info, "daemon_stopped",
              "The graceful shutdown is complete."},
    EventInfo{EventId::SettingsRejected, Severity::Error, "settings_rejected",
              "The settings file has errors; the process ends."},
    EventInfo{EventId::SettingsChanged, Severity::Info, "settings_changed",
              "The process was told that its settings file changed."},
    EventInfo{EventId::OwnershipTaken, Severity::Info, "ownership_taken",
              "This daemon became the scheduler of its failure domain."},
    EventInfo{EventId::OwnershipLost, Severity::Warning, "ownership_lost",
              "Another daemon holds a newer epoch; this one stopped "
              "scheduling."},
    EventInfo{EventId::OwnershipReleased, Severity::Info, "ownership_released",
              "The scheduler handed its failure domain over."},
    EventInfo{EventId::VmClaimed, Severity::Info, "vm_claimed",
              "The scheduler holds the VM's lease and knows its inventory."},
    EventInfo{EventId::VmClaimRefused, Severity::Warning, "vm_claim_refused",
              "The VM is held under a newer epoch."},
    EventInfo{EventId::VmUnreachable, Severity::Warning, "vm_unreachable",
              "A lease renewal to the VM failed."},
    EventInfo{EventId::VmLeaving, Severity::Info, "vm_leaving",
              "The VM takes no new work."},
    EventInfo{EventId::VmGone, Severity::Warning, "vm_gone",
              "The platform lists the VM as gone."},
    EventInfo{EventId::VmQuarantined, Severity::Warning, "vm_quarantined",
              "The VM failed the work it started; it gets none for a while."},
    EventInfo{EventId::VmLeaseLapsed, Severity::Warning, "vm_lease_lapsed",
              "The VM's lease certainly lapsed; its tasks restart elsewhere."},
    EventInfo{EventId::PlatformLost, Severity::Error, "platform_lost",
              "The platform's table service can't be reached."},
    EventInfo{EventId::PlatformBack, Severity::Info, "platform_back",
              "The platform's table service answers again."},
    EventInfo{
        EventId::RowUnreadable, Severity::Warning, "row_unreadable",
        "A row of the store does not have the agreed form; it is left out."},
    EventInfo{EventId::StoreLost, Severity::Warning, "store_lost",
              "The store stopped answering; what needs it waits."},
    EventInfo{EventId::StoreBack, Severity::Info, "store_back",
              "The store answers again."},
    EventInfo{EventId::StoreRelayed, Severity::Warning, "store_relayed",
              "The store turns this daemon away; its calls go through others."},
    EventInfo{EventId::StoreRelayEnded, Severity::Info, "store_relay_ended",
              "The store answers this daemon directly again."},
    EventInfo{EventId::ContractProposed, Severity::Info, "contract_proposed",
              "An operator's change was written; the stricter of old and new "
              "limits applies."},
    EventInfo{EventId::ContractAccepted, Severity::Info, "contract_accepted",
              "Every daemon acknowledged the change; it can't revert."},
    EventInfo{EventId::ContractApplied, Severity::Info, "contract_applied",
              "This daemon applies a new version of a contract."},
    EventInfo{EventId::ContractConflict, Severity::Warning, "contract_conflict",
              "An operator's change lost against another one."},
    EventInfo{EventId::ConfigApplied, Severity::Info, "config_applied",
              "A version of the contracts came into force in this process."},
    EventInfo{EventId::JobAccepted, Severity::Info, "job_accepted",
              "The job's row is in the table."},
    EventInfo{EventId::JobRefused, Severity::Info, "job_refused",
              "The job was refused, with the reason."},
    EventInfo{EventId::JobFinished, Severity::Info, "job_finished",
              "All tasks of the job ended."},
    EventInfo{EventId::JobCancelled, Severity::Info, "job_cancelled",
              "The caller cancelled the job."},
    EventInfo{EventId::JobKnown, Severity::Info, "job_known",
              "A job came in again that had been accepted before."},
    EventInfo{
        EventId::JobOutcomeUnknown, Severity::Warning, "job_outcome_unknown",
        "The caller was told that it is unknown whether the job was accepted."},
    EventInfo{EventId::JobsLoaded, Severity::Info, "jobs_loaded",
              "A new owner read the jobs of its pool."},
    EventInfo{EventId::JobStage, Severity::Info, "job_stage",
              "The job reached a final stage."},
    EventInfo{EventId::TaskStarted, Severity::Info, "task_started",
              "A VM started the task."},
    EventInfo{EventId::TaskStartFailed, Severity::Warning, "task_start_failed",
              "A VM refused or failed to start the task."},
    EventInfo{EventId::TaskEnded, Severity::Info, "task_ended",
              "A VM reported the task's end."},
    EventInfo{EventId::TaskPreempted, Severity::Info, "task_preempted",
              "A task is checkpointed and stopped for urgent work."},
    EventInfo{EventId::TaskLost, Severity::Warning, "task_lost",
              "The task's VM is gone; it restarts if it may."},
    EventInfo{EventId::TaskThrottled, Severity::Warning, "task_throttled",
              "The task uses more than it declared and is held to that."},
    EventInfo{EventId::StepBlocked, Severity::Info, "step_blocked",
              "A step waits for room; logged after 1 s, 2 s, 4 s and so on."},
    EventInfo{EventId::RunStarted, Severity::Info, "run_started",
              "A start was sent to a VM."},
    EventInfo{EventId::RunRefused, Severity::Warning, "run_refused",
              "A start was not carried out; the task is placed again."},
    EventInfo{EventId::RunEnded, Severity::Info, "run_ended",
              "A VM reported the end of a run."},
    EventInfo{EventId::RunLost, Severity::Warning, "run_lost",
              "A run ended without its own end; the task is placed again."},
    EventInfo{EventId::RunStopped, Severity::Info, "run_stopped",
              "A VM was told to stop a run."},
    EventInfo{EventId::RunPaced, Severity::Info, "run_paced",
              "A VM was told to let a run work at a share of its speed."},
    EventInfo{EventId::AdviceFailed, Severity::Warning, "advice_failed",
              "The placement advisor did not answer; it is asked again."},
    EventInfo{EventId::AdviceCame, Severity::Info, "advice_came",
              "The placement advisor named the VMs that may run a step."},
    EventInfo{
        EventId::PoolLoad, Severity::Info, "pool_load",
        "What a pool's owner holds; logged each second while it has work."},
    EventInfo{EventId::RequestUnknown, Severity::Warning, "request_unknown",
              "It is unknown whether a request ran."},
    EventInfo{EventId::RequestNotRun, Severity::Info, "request_not_run",
              "A request was certainly not run."},
    EventInfo{EventId::PeerMessageRejected, Severity::Warning,
              "peer_message_rejected",
              "A message between daemons could not be read."},
    EventInfo{EventId::LinesDropped, Severity::Warning, "lines_dropped",
              "Log lines were left out to keep the volume bounded."},
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
