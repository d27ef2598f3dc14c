#ifndef CUMINROAD_SCHEDULING_SCHEDULEROPTIONS_H
#define CUMINROAD_SCHEDULING_SCHEDULEROPTIONS_H

#include "cuminroad/base/Clock.h"

namespace cuminroad {

/// Bounds of the scheduler's policies.
struct SchedulerOptions {
  /// Jobs of one customer looked at behind a blocked one.
  int BackfillDepth = 16;
  /// A job blocked this long gets capacity reserved.
  milliseconds ReserveAfter{2000};
  /// A reservation that did not lead to a start ends after this.
  milliseconds ReservationTimeout{120000};
  /// Consecutive failures that put a VM into quarantine.
  int FailuresToQuarantine = 3;
  /// First quarantine; doubles up to the maximum.
  milliseconds QuarantineMin{15000};
  milliseconds QuarantineMax{600000};
  /// A task that fails sooner than this counts against its VM.
  milliseconds EarlyFailureTime{2000};
  /// Share of the waiting time left, in percent, at which a job goes before
  /// fair share.
  int NearDeadlinePercent = 25;
  /// Delay before a refused task is tried again; doubles up to the maximum.
  milliseconds RetryDelayMin{50};
  milliseconds RetryDelayMax{5000};
  /// Use above the declared size, in percent, that is tolerated.
  int OveruseTolerancePercent = 10;
};

} // namespace cuminroad

#endif
