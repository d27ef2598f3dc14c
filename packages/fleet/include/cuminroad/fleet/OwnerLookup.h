#ifndef CUMINROAD_FLEET_OWNERLOOKUP_H
#define CUMINROAD_FLEET_OWNERLOOKUP_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminroad {

struct OwnerRow;

/// Looks up the owners of pools.
class OwnerLookup {
public:
  virtual ~OwnerLookup() = default;
  /// \returns the owner as last read from the store, or null.
  virtual const OwnerRow *ownerOf(std::string_view Service) const = 0;
  /// \returns the services of all pools that may have jobs, also of those that
  /// are in no contract any more; nothing before they have been read.
  virtual std::optional<std::vector<std::string>> pools() const = 0;
};

} // namespace cuminroad

#endif
