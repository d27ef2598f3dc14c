#ifndef CUMINROAD_POOL_QUEUETERMS_H
#define CUMINROAD_POOL_QUEUETERMS_H

#include <optional>
#include <string>

#include "cuminroad/base/Clock.h"

namespace cuminroad {

/// How long the placement advisor takes, and for how long a ticket holds.
struct AdviceTerms {
  milliseconds DecisionTime{0};
  /// For each VM that is asked about.
  double PerVmMs = 0;
  milliseconds ValidFor{0};
};

/// The terms of a customer's queue, as the contract in force states them.
struct QueueTerms {
  std::string Name;
  /// The pool of VMs that runs the queue's jobs.
  std::string Service;
  /// 0 goes first.
  int Priority = 0;
  /// Failed runs of a task after which its job has failed.
  int MaxAttempts = 1;
  /// A job is on time within Stretch times its longest chain of work, and
  /// LatencyTarget more.
  double Stretch = 1;
  milliseconds LatencyTarget{0};
  /// Only some VMs may run a step, and an advisor knows which.
  std::optional<AdviceTerms> Advice;
};

} // namespace cuminroad

#endif
