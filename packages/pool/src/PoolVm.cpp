#include "cuminroad/pool/PoolVm.h"

#include <algorithm>

namespace cuminroad {

bool PoolVm::hasLabel(std::string_view Label) const {
  return std::find(Labels.begin(), Labels.end(), Label) != Labels.end();
}

std::string_view runsEndedCauseName(RunsEndedCause Cause) {
  switch (Cause) {
  case RunsEndedCause::LeaseExpired:
    return "lease_lapsed";
  case RunsEndedCause::ConnectionsRefused:
    return "connections_refused";
  case RunsEndedCause::AddressReused:
    return "address_reused";
  }
  return "lease_lapsed";
}

} // namespace cuminroad
