#ifndef CUMINROAD_POOL_POOLCOMMAND_H
#define CUMINROAD_POOL_POOLCOMMAND_H

#include <limits>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/pool/StepOnVm.h"
#include "cuminroad/pool/TaskName.h"

namespace cuminroad {

/// Starts a run on a VM. The run must be recorded in the store before the
/// command is sent.
struct StartRun {
  std::string Vm;
  TaskRun Run;
  std::string Checkpoint;
  std::string Ticket;
  /// The command must not be sent after this time: the ticket has then expired.
  TimePoint TicketExpiry = TimePoint::max();
  /// For the log; none if the step has no limit per VM.
  std::optional<StepOnVm> OnVm = std::nullopt;
};

/// Stops a run; the VM saves a checkpoint if the task supports checkpoints.
struct StopRun {
  std::string Vm;
  TaskRun Run;
};

/// Limits the speed of a run.
struct ThrottleRun {
  std::string Vm;
  TaskRun Run;
  /// 100 for full speed, 0 to pause the run.
  int SpeedPercent = 100;
};

/// Comes after the priorities of all queues.
inline constexpr int LowestPriority = std::numeric_limits<int>::max();

/// Requests advice from the placement advisor: which of some VMs may run a
/// step.
struct RequestAdvice {
  StepName Step;
  std::vector<std::string> Vms;
  /// Expected latency of the advisor's response, in milliseconds.
  double ExpectedLatencyMs = 0;
  /// Priority of the step's queue; 0 is the highest. LowestPriority for a job
  /// beyond the rate of its account.
  int Priority = 0;
  /// The VMs are known to be allowed; the request is for new tickets only.
  bool Renewal = false;
  /// The step's last request failed.
  bool AfterFailure = false;
  /// Advice on other VMs is known already.
  bool Extension = false;
};

using PoolCommand = std::variant<StartRun, StopRun, ThrottleRun, RequestAdvice>;

/// The advisor's permission to run a step on one VM.
struct AdviceTicket {
  std::string Vm;
  std::string Ticket;
};

} // namespace cuminroad

#endif
