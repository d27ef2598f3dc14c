#ifndef CUMINROAD_DAEMON_IDENTITY_H
#define CUMINROAD_DAEMON_IDENTITY_H

#include <cstddef>
#include <string>

namespace cuminroad {

/// Number of leading digits of the incarnation that request ids contain.
inline constexpr std::size_t IncarnationDigits = 8;

/// A daemon's name, failure domain and addresses, as other daemons know them.
struct Identity {
  std::string Name;
  /// Random id of this run of the process.
  std::string Incarnation;
  std::string Domain;
  /// "ADDRESS:PORT" of its HTTP API.
  std::string Http;
  /// "ADDRESS:PORT" for messages between daemons.
  std::string Peer;

  bool operator==(const Identity &) const = default;
};

} // namespace cuminroad

#endif
