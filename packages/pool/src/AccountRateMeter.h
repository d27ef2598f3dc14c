#ifndef CUMINROAD_POOL_SRC_ACCOUNTRATEMETER_H
#define CUMINROAD_POOL_SRC_ACCOUNTRATEMETER_H

#include <algorithm>

#include "cuminroad/base/Clock.h"

namespace cuminroad {

/// Tells which jobs of an account are within its rate, by a token bucket. The
/// result depends only on the times at which the jobs were accepted, so that
/// each owner of a pool, and a later one, gets the same.
class AccountRateMeter {
public:
  /// Counts a job. Jobs are passed in the order of their acceptance; one that
  /// was accepted before the last one counts as accepted together with it.
  /// \param Rate tokens per second, at least 0.
  /// \param Burst the time in which tokens are saved up.
  /// \returns whether there was a token for the job.
  bool take(TimePoint AcceptedAt, double Rate, milliseconds Burst) {
    const double Depth =
        std::max(1.0, Rate * std::chrono::duration<double>(Burst).count());
    if (!Started_) {
      Tokens_ = Depth;
      Started_ = true;
      RefilledAt_ = AcceptedAt;
    }
    const auto Elapsed = std::chrono::duration<double>(
        std::max(AcceptedAt, RefilledAt_) - RefilledAt_);
    Tokens_ = std::min(Depth, Tokens_ + Elapsed.count() * Rate);
    RefilledAt_ = std::max(AcceptedAt, RefilledAt_);
    // Sums of many small refills may stay just below a whole token.
    constexpr double Rounding = 1e-6;
    if (Tokens_ < 1 - Rounding)
      return false;
    Tokens_ -= 1;
    return true;
  }

private:
  bool Started_ = false;
  double Tokens_ = 0;
  TimePoint RefilledAt_{};
};

} // namespace cuminroad

#endif
