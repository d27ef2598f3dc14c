#ifndef CUMINROAD_POOL_QUEUETERMS_H
#define CUMINROAD_POOL_QUEUETERMS_H

#include <optional>
#include <string>

#include "cuminroad/base/Clock.h"

namespace cuminroad {

/// Latency of the placement advisor, and the validity of its tickets.
struct AdviceTerms {
  /// Fixed part of the latency of a call.
  milliseconds DecisionTime{0};
  /// Additional latency for each VM in a request, in milliseconds.
  double PerVmMs = 0;
  /// Validity of a ticket.
  milliseconds ValidFor{0};
};

/// The terms of a customer's queue.
struct QueueTerms {
  std::string Name;
  /// The pool of VMs that runs the queue's jobs.
  std::string Service;
  /// 0 is the highest priority.
  int Priority = 0;
  /// Number of failed runs of a task after which its job fails.
  int MaxAttempts = 1;
  /// A job is on time if it takes at most Stretch times the length of its
  /// critical path, plus LatencyTarget.
  double Stretch = 1;
  milliseconds LatencyTarget{0};
  /// Set if only some VMs may run a step and the placement advisor decides
  /// which.
  std::optional<AdviceTerms> Advice;
  /// False while only Name is certain: the queue is in no contract in force,
  /// and the job was stored by a version that did not store terms.
  bool Known = true;
};

} // namespace cuminroad

#endif
