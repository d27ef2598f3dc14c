#include "UnmetNeeds.h"

#include <algorithm>

namespace cuminroad {

bool UnmetNeeds::add(const PlacementNeed &Need) {
  if (cover(Need))
    return true;
  std::erase_if(Needs_, [&Need](const PlacementNeed &Each) {
    return isAtLeastAsHard(Each, Need);
  });
  if (Needs_.size() == MaxNeeds)
    return false;
  Needs_.push_back(Need);
  return true;
}

bool UnmetNeeds::cover(const PlacementNeed &Need) const {
  return std::any_of(Needs_.begin(), Needs_.end(),
                     [&Need](const PlacementNeed &Each) {
                       return isAtLeastAsHard(Need, Each);
                     });
}

} // namespace cuminroad
