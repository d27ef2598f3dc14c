#ifndef CUMINROAD_POOL_POOLCOMMAND_H
#define CUMINROAD_POOL_POOLCOMMAND_H

#include <string>
#include <variant>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/pool/TaskName.h"

namespace cuminroad {

/// Start a run. It must be in the store before it is sent.
struct StartRun {
  std::string Vm;
  TaskRun Run;
  std::string Checkpoint;
  std::string Ticket;
  /// Not sent later than this, since the ticket would have expired.
  TimePoint TicketExpiry = TimePoint::max();
};

/// Stop a run; the VM saves a checkpoint where the task has them.
struct StopRun {
  std::string Vm;
  TaskRun Run;
};

/// Let a task work at a share of its speed.
struct ThrottleRun {
  std::string Vm;
  TaskRun Run;
  int SpeedPercent = 100;
};

/// Ask which of some VMs may run a step.
struct RequestAdvice {
  StepName Step;
  std::vector<std::string> Vms;
  /// How long the advisor is expected to take.
  double ExpectedLatencyMs = 0;
  /// Of the step's queue; 0 goes first.
  int Priority = 0;
  /// The VMs are known to be good, and new tickets are wanted.
  bool Renewal = false;
};

using PoolCommand = std::variant<StartRun, StopRun, ThrottleRun, RequestAdvice>;

/// A ticket for one VM.
struct AdviceTicket {
  std::string Vm;
  std::string Ticket;
};

} // namespace cuminroad

#endif
