#ifndef CUMINROAD_DAEMON_SHAREROW_H
#define CUMINROAD_DAEMON_SHAREROW_H

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "cuminroad/base/Error.h"
#include "cuminroad/contract/ContractTerms.h"

namespace cuminroad {

/// The parts of a limit that can move between failure domains.
struct ShareAmount {
  Capacity Held;
  std::int64_t Requests = 0;

  bool operator==(const ShareAmount &) const = default;
  ShareAmount &operator+=(const ShareAmount &Other);
  ShareAmount &operator-=(const ShareAmount &Other);
  /// \returns whether any part is above zero.
  bool anyPositive() const;
};

/// \returns the smaller of each part.
ShareAmount componentMin(const ShareAmount &Left, const ShareAmount &Right);
/// \returns each part, or 0 where it is negative.
ShareAmount clampToZero(const ShareAmount &Amount);

/// What a domain would use if it had it.
struct TransferRequest {
  ShareAmount Amount;
  /// Rises with each new want. Who wanted first is served first, also by those
  /// who want themselves: two that wait for each other's unused parts would
  /// wait for ever.
  std::int64_t Order = 0;

  bool operator==(const TransferRequest &) const = default;
};

/// How one customer's limits are shared out over failure domains: a row of the
/// table that exists once parts have moved.
///
/// Invariant: the parts never add up to more than Limit. Only a domain's owner
/// lowers the domain's part, after it has stopped using what it gives away.
struct ShareRow {
  /// The limits for which the parts were made.
  ShareAmount Limit;
  std::map<std::string, ShareAmount> Parts;
  std::map<std::string, TransferRequest> TransferRequests;

  /// Notes what \p Domain wants; it keeps its place in the line.
  void requestTransfer(const std::string &Domain, const ShareAmount &Amount);
  /// \returns the domain that is first in the line, or "".
  std::string nextRecipient() const;
  /// Moves \p Amount from one domain to another.
  void transfer(const std::string &From, const std::string &To,
                const ShareAmount &Amount);
};

Result<ShareRow> parseShareRow(const nlohmann::json &Input);
nlohmann::json toJson(const ShareRow &Row);

/// \returns the movable limits of a contract.
ShareAmount transferableLimits(const ContractTerms &Terms);
/// \returns the row from which all domains start.
ShareRow evenShares(const ContractTerms &Terms, const std::string &Customer,
                    const std::vector<std::string> &Domains);
/// \returns \p Row brought to the limits of \p Terms: parts are scaled and
/// rounded down, so that what a domain may use by any version of the contract
/// does not grow. Limits that were 0 are shared out evenly; for limits that are
/// 0 now, the row keeps what it has for later.
ShareRow scaledToTerms(const ShareRow &Row, const ContractTerms &Terms,
                       const std::string &Customer,
                       const std::vector<std::string> &Domains);
/// \returns the terms with the limits that \p Domain may use under \p Row.
ContractTerms termsForDomain(const ShareRow &Row, const ContractTerms &Terms,
                             const std::string &Customer,
                             const std::string &Domain,
                             const std::vector<std::string> &Domains);
/// \returns what a domain does not give away, so that it can start the next
/// work at once: half of its even part, for requests and for urgent customers.
ShareAmount reservedShare(const ContractTerms &Terms,
                          const std::string &Customer,
                          const std::string &Domain,
                          const std::vector<std::string> &Domains);

} // namespace cuminroad

#endif
