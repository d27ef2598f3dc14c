#ifndef CUMINROAD_SCHEDULING_SCHEDULEROPTIONS_H
#define CUMINROAD_SCHEDULING_SCHEDULEROPTIONS_H

#include "cuminroad/base/Clock.h"

namespace cuminroad {

/// Limits and delays of the scheduler's policies.
struct SchedulerOptions {
  /// Number of jobs tried at the front of a customer's queue.
  int BackfillDepth = 16;
  /// A job that has been blocked for this long gets VMs reserved.
  milliseconds ReserveAfter{2000};
  /// A reservation that hasn't led to a start expires after this time.
  milliseconds ReservationTimeout{120000};
  /// Consecutive failures after which a VM is quarantined.
  int FailuresToQuarantine = 3;
  /// Length of the first quarantine; each further one doubles it, up to the
  /// maximum.
  milliseconds QuarantineMin{15000};
  milliseconds QuarantineMax{600000};
  /// A task that fails within this time of its start counts as a failure of its
  /// VM.
  milliseconds EarlyFailureTime{2000};
  /// A job with less than this percentage of its time to start left is placed
  /// before the jobs in fair share order.
  int NearDeadlinePercent = 25;
  /// Delay before a refused start is retried; each further refusal of the job
  /// doubles it, up to the maximum.
  milliseconds RetryDelayMin{50};
  milliseconds RetryDelayMax{5000};
  /// Percentage by which a task may exceed its declared size.
  int OveruseTolerancePercent = 10;
};

} // namespace cuminroad

#endif
