#ifndef CUMINROAD_POOL_POOLOPTIONS_H
#define CUMINROAD_POOL_POOLOPTIONS_H

#include "cuminroad/base/Clock.h"

namespace cuminroad {

/// Bounds of the pool scheduler's policies.
struct PoolOptions {
  /// How much longer work takes away from its data, or a gang across racks;
  /// the platform states it.
  double RemoteFactor = 1.0;
  /// Blocked steps that get VMs reserved at a time. Each holds room back from
  /// steps behind it, so that a few of them suffice.
  int MaxReservedSteps = 6;
  /// A ticket is used only if it holds this much longer than a start takes.
  milliseconds TicketMargin{150};
  /// How long a start takes to reach its VM: it is recorded before it is sent.
  /// Measured while running; this is the value at the start.
  milliseconds StartDelay{100};
  /// Waiting steps whose tickets are kept fresh.
  int MaxRenewedSteps = 16;
  /// Waiting steps that are looked at for that; to look at hundreds that have
  /// no room coming would take the time from those that have.
  int MaxRenewalCandidates = 64;
  /// Blocked steps after which a pass ends: those behind are less urgent, and
  /// looking at thousands of them would take the time from those before.
  int MaxBlockedSteps = 150;
  /// Steps that may be asked about at the same time.
  int MaxPendingAdvice = 64;
  /// VMs asked about first: the objective allows for a call about 30. Others
  /// are asked about when these have no room.
  std::size_t InitialAdviceVms = 40;
  /// A step that is blocked for this long asks about more VMs.
  milliseconds ExtendAdviceAfter{400};
  /// VMs asked about again when a step's tickets are renewed.
  int MaxRenewedVms = 6;
  /// Tickets are renewed when room is expected within the advisor's time and
  /// this.
  milliseconds RenewalLead{250};
  /// A step's advice is asked for when the steps before it are expected to end
  /// within the advisor's time and this.
  milliseconds AdviceLead{300};
  /// Failed starts and runs in a row after which a VM gets nothing new.
  int FailuresToQuarantine = 3;
  milliseconds QuarantineMin{3000};
  milliseconds QuarantineMax{30000};
  /// A step that is blocked for this long may try a VM in quarantine, with a
  /// task's last attempt after twice as long. It is below the 3 s within which
  /// work that could run must start.
  milliseconds ProbeAfter{1000};
  /// Least time between two such tries of a VM: each may cost an attempt.
  milliseconds MinProbeInterval{1000};
  /// A task whose progress stands still this long is stopped and run elsewhere.
  milliseconds StuckAfter{3000};
  /// Delay before a task whose start was refused is placed again.
  milliseconds RefusedStartDelay{150};
  /// A job is of little value to its caller this many objectives late.
  double VeryLateFactor = 3.0;
};

} // namespace cuminroad

#endif
