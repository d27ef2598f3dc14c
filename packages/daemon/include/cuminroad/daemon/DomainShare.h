#ifndef CUMINROAD_DAEMON_DOMAINSHARE_H
#define CUMINROAD_DAEMON_DOMAINSHARE_H

#include <string>
#include <vector>

#include "cuminroad/contract/ContractTerms.h"

namespace cuminroad {

/// \returns the part of a customer's limits that one failure domain may use on
/// its own. The parts of all domains add up to the limits exactly, so the
/// contract holds while domains can't talk. Remainders go to a domain that
/// depends on the customer's name, so that they spread.
/// \param Domains all failure domains, in any order.
ContractTerms domainShare(const ContractTerms &Terms,
                          const std::string &Customer,
                          const std::string &Domain,
                          std::vector<std::string> Domains);

} // namespace cuminroad

#endif
