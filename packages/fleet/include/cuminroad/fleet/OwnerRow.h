#ifndef CUMINROAD_FLEET_OWNERROW_H
#define CUMINROAD_FLEET_OWNERROW_H

#include <cstdint>
#include <string>
#include <string_view>

#include "cuminroad/base/Clock.h"
#include "cuminroad/base/Error.h"

namespace cuminroad {

/// The row that names a pool's owner. Each of the owner's transactions replaces
/// it under a check of its version.
struct OwnerRow {
  /// "" after the owner released the pool.
  std::string Holder;
  /// One life of the holder's process.
  std::string Incarnation;
  /// "address:port" for other daemons.
  std::string PeerAddress;
  /// Rises with each owner; the fencing token of its orders.
  std::int64_t Epoch = 0;
  /// Rises with each transaction of one owner.
  std::int64_t Serial = 0;
  /// The row may be taken over when it has not changed for this long; the owner
  /// asks for more while the store is slow.
  milliseconds LeaseDuration{0};
};

std::string encodeOwner(const OwnerRow &Row);
Result<OwnerRow> decodeOwner(std::string_view Bytes);

} // namespace cuminroad

#endif
