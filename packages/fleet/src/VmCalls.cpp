#include "cuminroad/fleet/VmCalls.h"

#include <array>

namespace cuminroad {

std::string_view orderOutcomeName(OrderOutcome Outcome) {
  constexpr std::array<std::string_view, 9> Names{
      "done",           "fenced",    "old_run",        "lease_over", "no_room",
      "ticket_expired", "unhealthy", "other_instance", "rejected"};
  return Names[static_cast<std::size_t>(Outcome)];
}

} // namespace cuminroad
