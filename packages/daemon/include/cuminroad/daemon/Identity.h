#ifndef CUMINROAD_DAEMON_IDENTITY_H
#define CUMINROAD_DAEMON_IDENTITY_H

#include <cstddef>
#include <string>

namespace cuminroad {

/// Digits of the incarnation that ids of requests carry.
inline constexpr std::size_t IncarnationDigits = 8;

/// Who a daemon is, for other daemons.
struct Identity {
  std::string Name;
  /// Random for each start of the process.
  std::string Incarnation;
  std::string Domain;
  /// "address:port" for HTTP.
  std::string Http;
  /// "address:port" for messages between daemons.
  std::string Peer;

  bool operator==(const Identity &) const = default;
};

} // namespace cuminroad

#endif
