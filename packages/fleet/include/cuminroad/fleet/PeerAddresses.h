#ifndef CUMINROAD_FLEET_PEERADDRESSES_H
#define CUMINROAD_FLEET_PEERADDRESSES_H

#include <deque>
#include <string>
#include <vector>

namespace cuminroad {

/// The addresses of the other daemons, with some that have deregistered: a
/// daemon does so before it restarts at the same address, and a daemon that
/// can't reach the store learns of its return only through a peer.
class PeerAddresses {
public:
  /// Sets the addresses that are registered now.
  void update(std::vector<std::string> Registered);
  /// \returns the registered addresses, then those that deregistered last, the
  /// latest first.
  std::vector<std::string> all() const;

private:
  std::vector<std::string> Registered_;
  /// The latest first.
  std::deque<std::string> Former_;
};

} // namespace cuminroad

#endif
