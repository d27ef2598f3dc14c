#ifndef CUMINROAD_FLEET_OWNERROW_H
#define CUMINROAD_FLEET_OWNERROW_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/base/Error.h"

namespace cuminroad {

/// The row that names a pool's owner. Each of the owner's transactions replaces
/// it on condition that its version is unchanged.
struct OwnerRow {
  /// Name of the owning daemon; "" after it released the pool.
  std::string Holder;
  /// Identifies one run of the owner's process.
  std::string Incarnation;
  /// "address:port" at which other daemons reach the owner.
  std::string PeerAddress;
  /// Incremented with each change of owner; the fencing token of the owner's
  /// orders.
  std::int64_t Epoch = 0;
  /// Increases with each transaction of one owner.
  std::int64_t Serial = 0;
  /// The row may be taken over when it has not changed for this long. The owner
  /// writes a longer duration while the store is slow.
  milliseconds LeaseDuration{0};
  /// Queues with jobs in the pool of which no task has started, though the
  /// contracts in force send the queue to another service, or lack it. Each
  /// owner takes them over from the one before until it has read the jobs.
  std::vector<std::string> MovedQueues;
};

std::string encodeOwner(const OwnerRow &Row);
Result<OwnerRow> decodeOwner(std::string_view Bytes);

} // namespace cuminroad

#endif
