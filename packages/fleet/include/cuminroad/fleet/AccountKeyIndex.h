#ifndef CUMINROAD_FLEET_ACCOUNTKEYINDEX_H
#define CUMINROAD_FLEET_ACCOUNTKEYINDEX_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "cuminroad/base/SipHash.h"
#include "cuminroad/fleet/QueueConfig.h"

namespace cuminroad {

/// Finds the account of an API key in constant expected time. Holds only hashes
/// of the keys. How long a search takes tells nothing about the keys: the
/// places in the index and the compared hashes depend on a random salt.
class AccountKeyIndex {
public:
  /// \returns a random salt.
  static Bits128 makeSalt();

  explicit AccountKeyIndex(const Bits128 &Salt) : Salt_(Salt) {}

  /// Replaces the contents. Of a key that several accounts have, the first
  /// account counts; checkAccounts() reports such keys.
  void build(std::span<const AccountEntry> Accounts);
  /// \returns the position in the accounts of the one that has \p Key.
  std::optional<std::size_t> find(std::string_view Key) const;

private:
  struct Slot {
    Bits128 Hash;
    /// Position of the account plus 1; 0 in an empty slot.
    std::uint32_t Owner = 0;
  };

  Bits128 Salt_;
  /// Open addressing with linear probing. Either empty or a power of two, at
  /// most half full.
  std::vector<Slot> Slots_;
};

} // namespace cuminroad

#endif
