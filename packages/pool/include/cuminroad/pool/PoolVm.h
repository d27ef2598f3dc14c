#ifndef CUMINROAD_POOL_POOLVM_H
#define CUMINROAD_POOL_POOLVM_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cuminroad/contract/Capacity.h"
#include "cuminroad/pool/TaskName.h"

namespace cuminroad {

/// A VM of the pool as it describes itself.
struct PoolVm {
  std::string Id;
  std::string Domain;
  /// Its kind and its rack, among others.
  std::vector<std::string> Labels;
  Capacity Total;
  /// It takes no new work and ends soon.
  bool Leaving = false;
  /// When its present life began; another value means that nothing of before
  /// is left on it.
  std::int64_t Incarnation = 0;

  bool hasLabel(std::string_view Label) const;
};

/// What a VM says of a task that it runs.
struct RunningTask {
  TaskRun Run;
  std::string Checkpoint;
  /// Progress of the task, or 100 for one that serves and is at work.
  int ProgressPercent = 0;
  /// For a task that serves: the tail of its response times in milliseconds.
  /// For any other: the thousandths of a core that it uses.
  double Measurement = 0;
};

/// How a run ended.
enum class RunOutcome {
  Done,
  Failed,
  Stopped,
  LeaseLapsed,
  /// Another member of its gang ended.
  GangBroken,
  /// The other members of its gang did not come.
  GangIncomplete,
};

/// The end of a run as a VM reports it.
struct TaskEnd {
  /// Counts up in each life of the VM.
  std::int64_t Number = 0;
  TaskRun Run;
  RunOutcome Outcome = RunOutcome::Done;
  std::string Checkpoint;
};

/// How a VM answered a start.
enum class StartOutcome {
  Accepted,
  /// The run is not above one that ended there: it was started before.
  OldRun,
  /// The VM is unhealthy, full, or the order came too late; it did nothing.
  Refused,
  /// It was not sent, since the run is no longer wanted.
  NotSent,
  /// The ticket has expired.
  TicketExpired,
};

} // namespace cuminroad

#endif
