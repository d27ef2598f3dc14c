#ifndef CUMINROAD_FLEET_VMENTRY_H
#define CUMINROAD_FLEET_VMENTRY_H

#include <optional>
#include <string>

#include "cuminroad/base/Clock.h"
#include "cuminroad/pool/PoolVm.h"

namespace cuminroad {

/// A VM as it registered with the platform.
struct VmEntry {
  PoolVm Vm;
  /// The pool that the VM belongs to.
  std::string Service;
  /// "address:port" at which the VM accepts orders.
  std::string Address;
  /// The VM's clock when it wrote the entry; none if the entry doesn't have it.
  std::optional<milliseconds> Clock;
};

} // namespace cuminroad

#endif
