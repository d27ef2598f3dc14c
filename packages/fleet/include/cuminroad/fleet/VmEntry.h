#ifndef CUMINROAD_FLEET_VMENTRY_H
#define CUMINROAD_FLEET_VMENTRY_H

#include <string>

#include "cuminroad/pool/PoolVm.h"

namespace cuminroad {

/// A VM as it registered with the platform.
struct VmEntry {
  PoolVm Vm;
  /// The pool that the VM belongs to.
  std::string Service;
  /// "address:port" at which the VM accepts orders.
  std::string Address;
};

} // namespace cuminroad

#endif
