#ifndef CUMINROAD_DAEMON_CONTRACTREGISTRY_H
#define CUMINROAD_DAEMON_CONTRACTREGISTRY_H

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cuminroad/contract/ContractTerms.h"

namespace cuminroad {

/// The terms that this daemon applies, by customer.
using ContractTermsByCustomer = std::map<std::string, ContractTerms>;

/// The terms that this daemon applies. Written on the control thread, read on
/// any.
class ContractRegistry {
public:
  /// Replaces all terms at once.
  void publish(ContractTermsByCustomer Terms) {
    Current_.store(
        std::make_shared<const ContractTermsByCustomer>(std::move(Terms)));
  }
  /// \returns the customer's terms, or nothing if it has no contract in force.
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
