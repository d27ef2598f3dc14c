#ifndef CUMINROAD_CONTRACT_CONTRACTTERMS_H
#define CUMINROAD_CONTRACT_CONTRACTTERMS_H

#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "cuminroad/base/Clock.h"
#include "cuminroad/base/Error.h"
#include "cuminroad/contract/Capacity.h"

namespace cuminroad {

/// The terms of one customer's contract. All limits on the customer's work are
/// derived from these fields.
struct ContractTerms {
  /// Limit on the total capacity of the customer's running tasks in all failure
  /// domains.
  Capacity MaxCapacity;
  /// Limit on concurrent service requests in all failure domains.
  std::int64_t MaxRequests = 0;
  /// Time within which a task must start after its job was accepted.
  milliseconds TaskStartWithin{0};
  /// Time within which a service request must be sent to a backend server.
  milliseconds RequestStartWithin{0};
  /// Urgent work is scheduled first and may preempt tasks that can be
  /// checkpointed.
  bool Urgent = false;
  /// Services whose requests are never sent twice, even if the caller marks
  /// them as idempotent.
  std::vector<std::string> NeverRetriedServices;

  bool operator==(const ContractTerms &) const = default;
};

/// Parses and validates the terms of a contract.
/// \returns the terms, or all errors joined into one.
Result<ContractTerms> parseContractTerms(const nlohmann::json &Input);
nlohmann::json toJson(const ContractTerms &Terms);

/// \returns the terms that satisfy both, which apply while a change is pending.
ContractTerms stricterTerms(const ContractTerms &Left,
                            const ContractTerms &Right);

} // namespace cuminroad

#endif
