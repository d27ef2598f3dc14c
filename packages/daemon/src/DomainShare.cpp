#include "cuminroad/daemon/DomainShare.h"

#include <algorithm>
#include <functional>

namespace cuminroad {

namespace {

/// FNV-1a. Every daemon must get the same result, which std::hash does not
/// guarantee.
std::size_t stableHash(const std::string &Text) {
  std::uint64_t Hash = 14695981039346656037ULL;
  for (const unsigned char Byte : Text)
    Hash = (Hash ^ Byte) * 1099511628211ULL;
  return Hash;
}

} // namespace

ContractTerms domainShare(const ContractTerms &Terms,
                          const std::string &Customer,
                          const std::string &Domain,
                          std::vector<std::string> Domains) {
  std::sort(Domains.begin(), Domains.end());
  const auto Count = static_cast<std::int64_t>(Domains.size());
  const auto Found = std::find(Domains.begin(), Domains.end(), Domain);
  const auto Position = static_cast<std::int64_t>(
      (static_cast<std::size_t>(Found - Domains.begin()) +
       stableHash(Customer)) %
      Domains.size());
  const auto Part = [&](std::int64_t Total) {
    return Total / Count + (Position < Total % Count ? 1 : 0);
  };
  ContractTerms Out = Terms;
  Out.MaxCapacity = Capacity{Part(Terms.MaxCapacity.MilliCores),
                             Part(Terms.MaxCapacity.MemoryMb),
                             Part(Terms.MaxCapacity.Accelerators)};
  Out.MaxRequests = Part(Terms.MaxRequests);
  return Out;
}

} // namespace cuminroad
