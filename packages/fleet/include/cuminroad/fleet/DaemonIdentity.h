#ifndef CUMINROAD_FLEET_DAEMONIDENTITY_H
#define CUMINROAD_FLEET_DAEMONIDENTITY_H

#include <string>

namespace cuminroad {

/// Identifies one run of a daemon's process.
struct DaemonIdentity {
  std::string Name;
  std::string Incarnation;
  std::string Domain;
  /// "address:port" at which other daemons reach this one.
  std::string PeerAddress;
  /// Share of one processor core that the process may use; 1.0 is a whole core.
  double CpuShare = 1.0;
};

} // namespace cuminroad

#endif
