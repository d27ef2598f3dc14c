#ifndef CUMINROAD_CONTRACT_CONTRACTRECORD_H
#define CUMINROAD_CONTRACT_CONTRACTRECORD_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "cuminroad/contract/ContractTerms.h"

namespace cuminroad {

/// A change of a contract that an operator proposed and that not all daemons
/// have acknowledged.
struct PendingChange {
  /// Identifies the change: if the response to its write is lost, reading the
  /// row shows whether the write took effect.
  std::string ChangeId;
  /// The operator who proposed it.
  std::string Operator;
  /// The new terms; none to retire the contract.
  std::optional<ContractTerms> Terms;
};

/// An accepted change of a contract.
struct AcceptedChange {
  std::int64_t Version = 0;
  std::string ChangeId;
  std::string Operator;
};

/// The row of one customer's contract in the platform's table.
struct ContractRecord {
  std::string Customer;
  /// Number of accepted changes; 0 while the first one is pending.
  std::int64_t Version = 0;
  /// The accepted terms; none before the first change is accepted, and none
  /// after the contract was retired.
  std::optional<ContractTerms> Terms;
  std::optional<PendingChange> Pending;
  /// The most recent accepted changes, oldest first.
  std::vector<AcceptedChange> History;

  /// \returns the terms to apply now: while a change is pending, the stricter
  /// of the accepted and the proposed terms. None if either leaves the customer
  /// without a contract.
  std::optional<ContractTerms> effectiveTerms() const;
  /// Accepts the pending change, which must exist.
  void acceptPending();
};

Result<ContractRecord> parseContractRecord(const nlohmann::json &Input);
nlohmann::json toJson(const ContractRecord &Record);

} // namespace cuminroad

#endif
