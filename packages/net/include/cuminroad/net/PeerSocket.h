#ifndef CUMINROAD_NET_PEERSOCKET_H
#define CUMINROAD_NET_PEERSOCKET_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cuminroad {

/// Called with the bytes of each message received, on a thread of NNG's.
using PeerHandler = std::function<void(std::string)>;

/// Sends and receives one-way messages between daemons. A message to a peer
/// that is not connected is dropped and not queued, since an outdated control
/// message does more harm than a lost one.
class PeerSocket {
public:
  virtual ~PeerSocket() = default;
  /// Sends \p Bytes to the peer that listens at \p Address ("address:port"),
  /// connecting in the background where needed. Call from one thread only.
  virtual void send(const std::string &Address, std::string_view Bytes) = 0;
  /// \returns the total size in bytes of the messages that were sent.
  virtual std::uint64_t bytesSent() const = 0;
};

/// Opens a socket that listens at \p Address ("address:port"). Throws
/// std::exception if that fails.
std::unique_ptr<PeerSocket> openPeerSocket(const std::string &Address,
                                           PeerHandler Handler);

} // namespace cuminroad

#endif
