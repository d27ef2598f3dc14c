#ifndef CUMINROAD_DAEMON_DOMAINSHARE_H
#define CUMINROAD_DAEMON_DOMAINSHARE_H

#include <string>
#include <vector>

#include "cuminroad/contract/ContractTerms.h"

namespace cuminroad {

/// \returns the terms with the even part of the customer's limits that one
/// failure domain may use without asking others. The parts of all domains add
/// up to the limits exactly, so the contract holds while domains can't
/// communicate. Which domains get the remainders depends on the customer's
/// name, so that the remainders of all customers are spread over the domains.
/// \param Domains all failure domains, in any order.
ContractTerms domainShare(const ContractTerms &Terms,
                          const std::string &Customer,
                          const std::string &Domain,
                          std::vector<std::string> Domains);

} // namespace cuminroad

#endif
