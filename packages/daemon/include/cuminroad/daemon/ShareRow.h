#ifndef CUMINROAD_DAEMON_SHAREROW_H
#define CUMINROAD_DAEMON_SHAREROW_H

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "cuminroad/base/Error.h"
#include "cuminroad/contract/ContractTerms.h"

namespace cuminroad {

/// An amount of those limits that can be transferred between failure domains.
struct ShareAmount {
  /// Capacity held by tasks.
  Capacity Held;
  /// Requests in flight.
  std::int64_t Requests = 0;

  bool operator==(const ShareAmount &) const = default;
  ShareAmount &operator+=(const ShareAmount &Other);
  ShareAmount &operator-=(const ShareAmount &Other);
  /// \returns whether any component is above zero.
  bool anyPositive() const;
};

/// \returns the smaller value of each component.
ShareAmount componentMin(const ShareAmount &Left, const ShareAmount &Right);
/// \returns \p Amount with 0 for each negative component.
ShareAmount clampToZero(const ShareAmount &Amount);

/// A domain's request for a larger part of a customer's limits.
struct TransferRequest {
  /// What is still missing.
  ShareAmount Amount;
  /// Increases with each new request. The oldest request is served first, also
  /// by domains that have requests themselves; otherwise two domains could wait
  /// for each other's unused parts forever.
  std::int64_t Order = 0;

  bool operator==(const TransferRequest &) const = default;
};

/// How one customer's limits are divided among the failure domains. The table
/// has such a row for a customer from the first transfer request on; before
/// that, evenShares() applies.
///
/// Invariant: the parts never add up to more than Limit. Only a domain's owner
/// lowers the domain's part, after the domain has stopped using the difference.
struct ShareRow {
  /// The contract's limits that the parts were computed for.
  ShareAmount Limit;
  /// Parts and requests by domain.
  std::map<std::string, ShareAmount> Parts;
  std::map<std::string, TransferRequest> TransferRequests;

  /// Sets the amount that \p Domain requests. A domain that has a request keeps
  /// its place in the order.
  void requestTransfer(const std::string &Domain, const ShareAmount &Amount);
  /// \returns the domain with the oldest request, or "".
  std::string nextRecipient() const;
  /// Moves \p Amount from the part of one domain to that of another, and lowers
  /// the recipient's request by it.
  void transfer(const std::string &From, const std::string &To,
                const ShareAmount &Amount);
};

Result<ShareRow> parseShareRow(const nlohmann::json &Input);
nlohmann::json toJson(const ShareRow &Row);

/// \returns the limits of a contract that can be transferred between domains.
ShareAmount transferableLimits(const ContractTerms &Terms);
/// \returns the row that applies before any transfer: even parts, no requests.
ShareRow evenShares(const ContractTerms &Terms, const std::string &Customer,
                    const std::vector<std::string> &Domains);
/// \returns \p Row adjusted to the limits of \p Terms. Parts are scaled and
/// rounded down, so that this never increases what a domain may use under any
/// version of the contract. Limits that were 0 are divided evenly. For limits
/// that are 0 now, the row keeps its parts, in case the limit is raised again.
ShareRow scaledToTerms(const ShareRow &Row, const ContractTerms &Terms,
                       const std::string &Customer,
                       const std::vector<std::string> &Domains);
/// \returns \p Terms with the limits that \p Row allows \p Domain to use.
ContractTerms termsForDomain(const ShareRow &Row, const ContractTerms &Terms,
                             const std::string &Customer,
                             const std::string &Domain,
                             const std::vector<std::string> &Domains);
/// \returns the part that a domain never transfers, so that it can start its
/// next work at once: half of its even part of the requests and, for urgent
/// customers, of the capacity for tasks.
ShareAmount reservedShare(const ContractTerms &Terms,
                          const std::string &Customer,
                          const std::string &Domain,
                          const std::vector<std::string> &Domains);

} // namespace cuminroad

#endif
