#ifndef CUMINROAD_NET_PEERSOCKET_H
#define CUMINROAD_NET_PEERSOCKET_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cuminroad {

/// Called with the bytes of each message, on a thread of the library's.
using PeerHandler = std::function<void(std::string)>;

/// One-way messages between daemons. A message to a peer that is not connected
/// is dropped, never kept for later: a stale control message is worth less
/// than none.
class PeerSocket {
public:
  virtual ~PeerSocket() = default;
  /// Sends \p Bytes to the peer that listens at \p Address ("address:port"),
  /// connecting in the background where needed. Call from one thread only.
  virtual void send(const std::string &Address, std::string_view Bytes) = 0;
  /// \returns the bytes of all messages that were handed to the network.
  virtual std::uint64_t bytesSent() const = 0;
};

/// Listens at \p Address; throws std::exception where that fails.
std::unique_ptr<PeerSocket> openPeerSocket(const std::string &Address,
                                           PeerHandler Handler);

} // namespace cuminroad

#endif
