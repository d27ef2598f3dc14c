#ifndef CUMINROAD_FLEET_FLEETSETTINGS_H
#define CUMINROAD_FLEET_FLEETSETTINGS_H

#include <string>

#include "cuminroad/base/Clock.h"

namespace cuminroad {

/// A port on an address of this VM.
struct ListenAddress {
  std::string Address;
  int Port = 0;

  std::string text() const { return Address + ":" + std::to_string(Port); }
};

/// What a daemon of the fleet must know of its place; the platform's adapter
/// fills it in.
struct FleetSettings {
  std::string Name;
  /// The failure domain of this VM.
  std::string Domain;
  /// For callers.
  ListenAddress FrontendAddress;
  /// For the balancer, which asks whether to send callers here.
  ListenAddress ReadinessAddress;
  /// For the other daemons.
  ListenAddress PeerAddress;
  /// For metrics.
  ListenAddress MetricsAddress;
  /// The part of a processor core that this VM may use.
  double CpuShare = 1.0;
  /// Longest lease that a VM grants on what it runs.
  milliseconds MaxTaskLease{6000};
  /// How much longer work takes away from its data.
  double RemoteFactor = 1.0;
  /// How long the state of a finished job can be asked for.
  seconds FinishedJobRetention{120};
  /// From SIGTERM until the process is killed.
  milliseconds StopGracePeriod{6000};
};

} // namespace cuminroad

#endif
