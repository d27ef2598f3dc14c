#ifndef CUMINROAD_FLEET_QUEUECONFIG_H
#define CUMINROAD_FLEET_QUEUECONFIG_H

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "cuminroad/base/Error.h"
#include "cuminroad/pool/ClientAccount.h"
#include "cuminroad/pool/QueueTerms.h"

namespace cuminroad {

/// The routes by which clients reach a queue, and its terms.
struct QueueRoute {
  std::string Host;
  std::string PathPrefix;
  /// Longest time that a client may have to wait for an answer.
  milliseconds Timeout{3000};
  QueueTerms Terms;
  /// Whether requests need no key of a client account.
  bool AllowAnonymous = false;
};

/// A client account and the keys with which its requests are authenticated.
struct AccountEntry {
  ClientAccount Account;
  std::vector<std::string> Keys;
};

/// All contracts in force, as operators last wrote them.
struct QueueConfig {
  std::int64_t Version = 0;
  std::vector<QueueRoute> Routes;
  std::vector<std::string> Services;
  /// Absent where the contracts know no accounts: requests then need no keys.
  std::optional<std::vector<AccountEntry>> Accounts;
  std::size_t MaxBodyBytes = 1 << 20;
  std::size_t MaxHeaderBytes = 64 << 10;
  /// By how much the head of a request may be late.
  milliseconds HeaderTimeout{10000};
  /// For how long a client's connection may make no progress.
  milliseconds IdleTimeout{60000};
};

inline constexpr std::size_t MaxAccounts = 100'000;
/// Largest limit of an account that isn't UnlimitedAmount. A share of it in
/// millionths fits an integer, and so do sums over all accounts.
inline constexpr std::int64_t MaxAccountAmount = 1'000'000'000'000;
/// Sums over all accounts are exact to the unit.
inline constexpr double MaxAccountWeight = 1e9;

/// Checks names, numbers and keys. The error names the field, and never repeats
/// a key.
Result<void> checkAccounts(std::span<const AccountEntry> Accounts);

} // namespace cuminroad

#endif
