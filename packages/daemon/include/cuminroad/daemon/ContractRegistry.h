#ifndef CUMINROAD_DAEMON_CONTRACTREGISTRY_H
#define CUMINROAD_DAEMON_CONTRACTREGISTRY_H

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cuminroad/contract/ContractTerms.h"

namespace cuminroad {

/// The terms in force in this daemon, by customer.
using ContractTermsByCustomer = std::map<std::string, ContractTerms>;

/// Hands the terms in force from the control thread to the traffic threads.
class ContractRegistry {
public:
  /// Replaces all terms at once.
  void publish(ContractTermsByCustomer Terms) {
    Current_.store(
        std::make_shared<const ContractTermsByCustomer>(std::move(Terms)));
  }
  /// \returns the customer's terms, or nothing without a contract in force.
  std::optional<ContractTerms> find(const std::string &Customer) const {
    const auto Terms = Current_.load();
    const auto Found = Terms->find(Customer);
    if (Found == Terms->end())
      return std::nullopt;
    return Found->second;
  }

private:
  std::atomic<std::shared_ptr<const ContractTermsByCustomer>> Current_{
      std::make_shared<const ContractTermsByCustomer>()};
};

} // namespace cuminroad

#endif
