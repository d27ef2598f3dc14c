#ifndef CUMINROAD_DAEMON_RETRYBUDGET_H
#define CUMINROAD_DAEMON_RETRYBUDGET_H

#include <algorithm>

namespace cuminroad {

/// Keeps retries to a share of the requests, so that a failure of the backend
/// servers isn't multiplied into load.
class RetryBudget {
public:
  /// Adds the share of a retry that each new request earns.
  void earn() { Tokens_ = std::min(Tokens_ + TokensPerRequest, MaxTokens); }
  /// \returns whether a retry may be made, and takes it from the budget.
  bool spend() {
    if (Tokens_ < 1.0)
      return false;
    Tokens_ -= 1.0;
    return true;
  }

private:
  static constexpr double TokensPerRequest = 0.2;
  static constexpr double MaxTokens = 50.0;
  double Tokens_ = MaxTokens;
};

} // namespace cuminroad

#endif
