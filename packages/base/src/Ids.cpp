#include "cuminroad/base/Ids.h"

#include <random>

#include <fmt/format.h>

namespace cuminroad {

std::string randomId() {
  static thread_local std::random_device Device;
  return fmt::format("{:08x}{:08x}{:08x}{:08x}", Device(), Device(), Device(),
                     Device());
}

} // namespace cuminroad
