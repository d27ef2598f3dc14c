#ifndef CUMINROAD_DAEMON_RETRYBUDGET_H
#define CUMINROAD_DAEMON_RETRYBUDGET_H

#include <algorithm>

namespace cuminroad {

/// Limits retries to a proportion of the requests, so that retries don't
/// multiply the load on backend servers that fail. A token bucket: each request
/// adds a fraction of a token, each retry takes one token.
class RetryBudget {
public:
  /// Adds the fraction of a retry that each new request allows.
  void earn() { Tokens_ = std::min(Tokens_ + TokensPerRequest, MaxTokens); }
  /// Takes a token for a retry. \returns false if none is left; then no retry
  /// may be made.
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
