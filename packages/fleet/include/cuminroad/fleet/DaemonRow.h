#ifndef CUMINROAD_FLEET_DAEMONROW_H
#define CUMINROAD_FLEET_DAEMONROW_H

#include <map>
#include <string>
#include <string_view>

#include "cuminroad/base/Error.h"

namespace cuminroad {

/// A daemon's registration in the store.
struct DaemonRow {
  /// "address:port" at which other daemons reach this one.
  std::string PeerAddress;
  /// Identifies one run of the daemon's process.
  std::string Incarnation;
  /// Share of a core that the daemon may use; 0 if unknown.
  double CpuShare = 0.0;

  bool operator==(const DaemonRow &) const = default;
};

/// The registered daemons, by name.
using DaemonRows = std::map<std::string, DaemonRow>;

std::string encodeDaemon(const DaemonRow &Row);
Result<DaemonRow> decodeDaemon(std::string_view Bytes);

} // namespace cuminroad

#endif
