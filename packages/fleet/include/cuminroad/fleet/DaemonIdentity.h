#ifndef CUMINROAD_FLEET_DAEMONIDENTITY_H
#define CUMINROAD_FLEET_DAEMONIDENTITY_H

#include <string>

namespace cuminroad {

/// One life of a daemon's process.
struct DaemonIdentity {
  std::string Name;
  std::string Incarnation;
  std::string Domain;
  /// "address:port" for other daemons.
  std::string PeerAddress;
  /// The part of a processor core that the process may use.
  double CpuShare = 1.0;
};

} // namespace cuminroad

#endif
