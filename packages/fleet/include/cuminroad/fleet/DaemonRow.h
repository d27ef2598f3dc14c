#ifndef CUMINROAD_FLEET_DAEMONROW_H
#define CUMINROAD_FLEET_DAEMONROW_H

#include <map>
#include <string>
#include <string_view>

#include "cuminroad/base/Error.h"

namespace cuminroad {

/// How a daemon registers itself in the store.
struct DaemonRow {
  /// "address:port" for other daemons.
  std::string PeerAddress;
  /// One life of its process.
  std::string Incarnation;

  bool operator==(const DaemonRow &) const = default;
};

/// The daemons that have registered, by name.
using DaemonRows = std::map<std::string, DaemonRow>;

std::string encodeDaemon(const DaemonRow &Row);
Result<DaemonRow> decodeDaemon(std::string_view Bytes);

} // namespace cuminroad

#endif
