#ifndef CUMINROAD_FLEET_HTTPBUDGETS_H
#define CUMINROAD_FLEET_HTTPBUDGETS_H

#include <array>
#include <string_view>

#include "cuminroad/fleet/FleetSettings.h"
#include "cuminroad/fleet/QueueConfig.h"
#include "cuminroad/net/ConnectionBudget.h"

namespace cuminroad {

/// The HTTP servers of a daemon.
enum class ServerRole { Frontend, Readiness, Peers, Metrics };
inline constexpr std::array ServerRoles{ServerRole::Frontend,
                                        ServerRole::Readiness,
                                        ServerRole::Peers, ServerRole::Metrics};

/// \returns the name of \p Role in logs and metrics.
std::string_view serverRoleName(ServerRole Role);

/// The limits of one server of a daemon.
struct HttpBudget {
  ConnectionLimits Limits;
  /// Whether the settings allow less than the server needs, so that its budget
  /// was raised.
  bool Raised = false;
};

/// \returns the limits of a server: its part of the daemon's memory and
/// descriptors, and the limits on requests from the contracts.
HttpBudget makeHttpBudget(ServerRole Role, const FleetSettings &Settings,
                          const QueueConfig &Config);

} // namespace cuminroad

#endif
