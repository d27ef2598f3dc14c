#include "AccountShares.h"

#include <algorithm>

namespace cuminroad {

namespace {

/// Accounts this close to their share are treated alike, so that the order
/// among them does not follow single tasks.
constexpr double Tolerance = 1.1;

double dominantShare(const Capacity &Used, const Capacity &Total) {
  const auto Share = [](std::int64_t Part, std::int64_t Whole) {
    return Whole > 0 ? static_cast<double>(Part) / static_cast<double>(Whole)
                     : 0.0;
  };
  return std::max({Share(Used.MilliCores, Total.MilliCores),
                   Share(Used.MemoryMb, Total.MemoryMb),
                   Share(Used.Accelerators, Total.Accelerators)});
}

} // namespace

void findAccountsOverShare(const PoolTables &Tables) {
  Capacity Total;
  for (const VmRecord *Vm : Tables.OrderedVms)
    if (Vm->acceptsWork())
      Total += Vm->Description.Total;
  double Shares = 0;
  double Weights = 0;
  for (const auto &[Name, Account] : Tables.Accounts)
    if (Account->HasWaiting) {
      Shares += dominantShare(Account->Used, Total);
      Weights += Account->Terms.Weight;
    }
  for (const auto &[Name, Account] : Tables.Accounts)
    Account->OverShare =
        Account->HasWaiting && dominantShare(Account->Used, Total) * Weights >
                                   Tolerance * Shares * Account->Terms.Weight;
}

} // namespace cuminroad
