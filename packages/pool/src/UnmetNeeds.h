#ifndef CUMINROAD_POOL_SRC_UNMETNEEDS_H
#define CUMINROAD_POOL_SRC_UNMETNEEDS_H

#include <vector>

#include "PlacementNeed.h"

namespace cuminroad {

/// Needs that a scheduling pass has found to be unmet. Free capacity only
/// shrinks within a pass, so that all needs that are at least as hard are unmet
/// too, and need no look at the VMs.
class UnmetNeeds {
public:
  /// \p Need is unmet. Ignored once MaxNeeds needs are held.
  /// \returns whether the set covers it now.
  bool add(const PlacementNeed &Need);
  /// \returns whether \p Need is known to be unmet.
  bool cover(const PlacementNeed &Need) const;

private:
  /// Bounds the time of a lookup.
  static constexpr std::size_t MaxNeeds = 64;

  /// None is at least as hard as another one.
  std::vector<PlacementNeed> Needs_;
};

} // namespace cuminroad

#endif
