#ifndef CUMINROAD_POOL_POOLVM_H
#define CUMINROAD_POOL_POOLVM_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cuminroad/contract/Capacity.h"
#include "cuminroad/pool/TaskName.h"

namespace cuminroad {

/// Description of a VM of the pool.
struct PoolVm {
  std::string Id;
  std::string Domain;
  /// Network address. VMs that follow each other at an address share a host.
  std::string Host;
  /// Includes the VM's kind and its rack.
  std::vector<std::string> Labels;
  Capacity Total;
  /// The VM accepts no new work and shuts down soon.
  bool Leaving = false;
  /// When the current incarnation of the VM started. A different value means
  /// that no run of an earlier incarnation is left on it.
  std::int64_t Incarnation = 0;

  bool operator==(const PoolVm &) const = default;

  bool hasLabel(std::string_view Label) const;
};

/// A VM's report on a task that it runs.
struct RunningTask {
  TaskRun Run;
  std::string Checkpoint;
  /// Progress of the task; 100 for a long-running task that is ready.
  int ProgressPercent = 0;
  /// For a latency-sensitive task, its tail response time in milliseconds; for
  /// other tasks, its CPU usage in thousandths of a core.
  double Measurement = 0;
};

/// Whether a VM's answer lists all of its ends that are not acknowledged.
enum class EndList {
  /// More may follow once the listed ones are acknowledged.
  Partial,
  Complete,
};

/// A VM's report on its runs. Refers to the rows that it was made of.
class RunReport {
public:
  /// All ends of other runs are known.
  static RunReport complete(std::span<const RunningTask> Running) {
    return {Running, EndList::Complete};
  }
  /// Other runs may have ended without the end being known yet.
  static RunReport partial(std::span<const RunningTask> Running) {
    return {Running, EndList::Partial};
  }
  RunReport(std::span<const RunningTask> Running, EndList Ends)
      : Running_(Running), Ends_(Ends) {}

  /// \returns all runs on the VM.
  std::span<const RunningTask> running() const { return Running_; }
  /// \returns whether a run that neither is on the VM nor has a known end was
  /// lost.
  bool provesLosses() const { return Ends_ == EndList::Complete; }

private:
  std::span<const RunningTask> Running_;
  EndList Ends_;
};

/// How it is known that all runs on a VM have ended without a report.
enum class RunsEndedCause {
  /// The VM was silent until its lease had expired. It may still be up.
  LeaseExpired,
  /// The lease has expired, and the VM's host refused the last connections: its
  /// process was not running.
  ConnectionsRefused,
  /// Another VM answers at the VM's address.
  AddressReused,
};

/// \returns the cause's name in logs.
std::string_view runsEndedCauseName(RunsEndedCause Cause);

/// How a run ended.
enum class RunOutcome {
  Done,
  Failed,
  Stopped,
  /// The VM's lease was not renewed in time.
  LeaseExpired,
  /// Another member of the task's gang has ended.
  GangBroken,
  /// The other members of the task's gang did not start.
  GangIncomplete,
};

/// The end of a run, as reported by its VM.
struct TaskEnd {
  /// Sequence number within an incarnation of the VM.
  std::int64_t Number = 0;
  TaskRun Run;
  RunOutcome Outcome = RunOutcome::Done;
  std::string Checkpoint;
};

/// A VM's response to a start command.
enum class StartOutcome {
  Accepted,
  /// The VM has already seen this run, or a later one, of the task end: an
  /// earlier attempt to send the command reached it.
  OldRun,
  /// The VM is unhealthy or full, or the command arrived too late; the VM did
  /// nothing.
  Refused,
  /// The VM can't interpret the command, which says nothing about the VM.
  Invalid,
  /// The command was not sent because the run is no longer current.
  NotSent,
  /// The ticket has expired.
  TicketExpired,
};

} // namespace cuminroad

#endif
