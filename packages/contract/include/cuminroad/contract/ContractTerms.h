#ifndef CUMINROAD_CONTRACT_CONTRACTTERMS_H
#define CUMINROAD_CONTRACT_CONTRACTTERMS_H

#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "cuminroad/base/Clock.h"
#include "cuminroad/base/Error.h"
#include "cuminroad/contract/Capacity.h"

namespace cuminroad {

/// What operators promise one customer. Every limit on the customer's work
/// follows from these fields.
struct ContractTerms {
  /// The most that all running tasks of the customer hold together, over all
  /// failure domains.
  Capacity MaxCapacity;
  /// The most service requests in flight at a time, over all domains.
  std::int64_t MaxRequests = 0;
  /// How soon a task must start after its job was accepted.
  milliseconds TaskStartWithin{0};
  /// How soon a service request must be sent to a backend server.
  milliseconds RequestStartWithin{0};
  /// Urgent work goes first and may preempt what can be checkpointed.
  bool Urgent = false;
  /// Services whose requests are never sent twice, whatever the caller says.
  std::vector<std::string> NeverRetriedServices;

  bool operator==(const ContractTerms &) const = default;
};

/// Parses the terms of a contract; every field is checked.
/// \returns the terms, or all faults joined.
Result<ContractTerms> parseContractTerms(const nlohmann::json &Input);
nlohmann::json toJson(const ContractTerms &Terms);

/// \returns the terms that satisfy both; used between the acknowledgement and
/// the acceptance of a change.
ContractTerms stricterTerms(const ContractTerms &Left,
                            const ContractTerms &Right);

} // namespace cuminroad

#endif
