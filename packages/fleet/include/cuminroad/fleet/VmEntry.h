#ifndef CUMINROAD_FLEET_VMENTRY_H
#define CUMINROAD_FLEET_VMENTRY_H

#include <string>

#include "cuminroad/pool/PoolVm.h"

namespace cuminroad {

/// A VM as it registered itself with the platform.
struct VmEntry {
  PoolVm Vm;
  /// The pool that it belongs to.
  std::string Service;
  /// "address:port" at which it takes orders.
  std::string Address;
};

} // namespace cuminroad

#endif
