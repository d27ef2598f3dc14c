#include "cuminroad/fleet/PeerAddresses.h"

#include <algorithm>

namespace cuminroad {

namespace {

/// Daemons of a planned restart that are down at the same time, and some more.
constexpr std::size_t MaxFormerAddresses = 16;

bool contains(const std::vector<std::string> &Addresses,
              const std::string &Address) {
  return std::find(Addresses.begin(), Addresses.end(), Address) !=
         Addresses.end();
}

} // namespace

void PeerAddresses::update(std::vector<std::string> Registered) {
  for (std::string &Address : Registered_)
    if (!contains(Registered, Address))
      Former_.push_front(std::move(Address));
  Registered_ = std::move(Registered);
  std::erase_if(Former_, [this](const std::string &Address) {
    return contains(Registered_, Address);
  });
  if (Former_.size() > MaxFormerAddresses)
    Former_.resize(MaxFormerAddresses);
}

std::vector<std::string> PeerAddresses::all() const {
  std::vector<std::string> Out = Registered_;
  Out.insert(Out.end(), Former_.begin(), Former_.end());
  return Out;
}

} // namespace cuminroad
