#ifndef CUMINROAD_POOL_QUOTAROW_H
#define CUMINROAD_POOL_QUOTAROW_H

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cuminroad/base/Error.h"

namespace cuminroad {

/// Fractions of quotas are in millionths.
inline constexpr std::int64_t WholeQuota = 1'000'000;
/// Parts of the components of a quota: CPU, memory, accelerators.
using QuotaFractions = std::array<std::int64_t, 3>;

/// What a pool's row says about one account.
struct QuotaEntry {
  /// What the pool uses and what it would use if it could.
  QuotaFractions Needed{};
  /// The least part with which the pool's most urgent task or gang could start
  /// that waits for the quota; all 0 if equal parts suffice for it.
  QuotaFractions Claim{};
  /// Since when the pool claims that, by the store's clock. The oldest claim is
  /// met first.
  std::int64_t ClaimedSinceMs = 0;
  /// All that the pool has ever given to each other pool.
  std::map<std::string, QuotaFractions> Given;

  bool operator==(const QuotaEntry &) const = default;
};

/// A row by which the owner of a pool tells the owners of the other pools what
/// it needs and gives of the quotas of accounts.
struct QuotaRow {
  /// The pools that divide the quotas, in order. Rows for another set of pools
  /// give nothing.
  std::vector<std::string> Pools;
  std::map<std::string, QuotaEntry, std::less<>> Accounts;

  bool operator==(const QuotaRow &) const = default;
};

std::string encodeQuotaRow(const QuotaRow &Row);
Result<QuotaRow> decodeQuotaRow(std::string_view Bytes);

} // namespace cuminroad

#endif
