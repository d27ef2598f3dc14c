#ifndef CUMINROAD_POOL_CLIENTACCOUNT_H
#define CUMINROAD_POOL_CLIENTACCOUNT_H

#include <limits>
#include <string>

#include "cuminroad/contract/Capacity.h"

namespace cuminroad {

/// A component of a limit that is this large never binds. Sums of a few such
/// values don't overflow.
inline constexpr std::int64_t UnlimitedAmount =
    std::numeric_limits<std::int64_t>::max() / 8;
inline constexpr Capacity UnlimitedCapacity{UnlimitedAmount, UnlimitedAmount,
                                            UnlimitedAmount};

/// A client account, as the contracts in force describe it.
struct ClientAccount {
  std::string Name;
  /// Jobs a second that are owed to the account, over all daemons and queues.
  /// Also the account's share, relative to the others', while there is too
  /// little room.
  double Weight = 1;
  /// Most capacity that the account's runs may occupy on all VMs of all pools
  /// together.
  Capacity MaxRunning = UnlimitedCapacity;

  bool operator==(const ClientAccount &) const = default;
};

/// \returns the quota and a part of it more; a component that never binds stays
/// as it is.
inline Capacity quotaWithOverage(const Capacity &Quota, double Part) {
  const auto Raise = [Part](std::int64_t Amount) {
    return Amount >= UnlimitedAmount
               ? Amount
               : Amount + static_cast<std::int64_t>(
                              static_cast<double>(Amount) * Part);
  };
  return Capacity{Raise(Quota.MilliCores), Raise(Quota.MemoryMb),
                  Raise(Quota.Accelerators)};
}

/// What an account has in one pool, for logs, metrics and the division of its
/// quota among pools.
struct AccountLoad {
  std::string Name;
  /// Whether the contracts in force have the account.
  bool InForce = false;
  /// Capacity of runs that may be on VMs, including those being stopped.
  Capacity Used;
  /// Capacity of the tasks that could start now if there was room.
  Capacity Waiting;
  /// Used, and what the pool's VMs could hold of Waiting if they were empty.
  Capacity Needed;
  /// The least limit with which the account's most urgent step could start that
  /// has waited long for its quota, once runs that end have ended; all 0 if
  /// there is none.
  Capacity Claim;
  /// Most that the account may use in this pool.
  Capacity Limit = UnlimitedCapacity;
};

} // namespace cuminroad

#endif
