#ifndef CUMINROAD_CONTRACT_CONTRACTRECORD_H
#define CUMINROAD_CONTRACT_CONTRACTRECORD_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "cuminroad/contract/ContractTerms.h"

namespace cuminroad {

/// A change that an operator proposed and that is not yet accepted.
struct PendingChange {
  /// Names the change, so that a lost reply can be resolved by reading back.
  std::string ChangeId;
  /// Who proposed it.
  std::string Operator;
  /// The new terms; none when the contract is to be retired.
  std::optional<ContractTerms> Terms;
};

/// A change that was accepted.
struct AcceptedChange {
  std::int64_t Version = 0;
  std::string ChangeId;
  std::string Operator;
};

/// The row that the platform's table holds for one customer.
struct ContractRecord {
  std::string Customer;
  /// Counts accepted changes; 0 while the first one is pending.
  std::int64_t Version = 0;
  /// The accepted terms; none before the first acceptance and when retired.
  std::optional<ContractTerms> Terms;
  std::optional<PendingChange> Pending;
  /// The last accepted changes, oldest first.
  std::vector<AcceptedChange> History;

  /// \returns the terms to apply now: the stricter of accepted and pending
  /// ones, or none where either leaves the customer without a contract.
  std::optional<ContractTerms> effectiveTerms() const;
  /// Turns the pending change into the accepted one.
  void acceptPending();
};

Result<ContractRecord> parseContractRecord(const nlohmann::json &Input);
nlohmann::json toJson(const ContractRecord &Record);

} // namespace cuminroad

#endif
