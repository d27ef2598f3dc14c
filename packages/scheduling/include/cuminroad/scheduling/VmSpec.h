#ifndef CUMINROAD_SCHEDULING_VMSPEC_H
#define CUMINROAD_SCHEDULING_VMSPEC_H

#include <string>

#include "cuminroad/contract/Capacity.h"

namespace cuminroad {

/// A VM as listed by the platform.
struct VmSpec {
  std::string Id;
  std::string Domain;
  std::string Rack;
  /// The service whose requests the VM's backend server answers.
  std::string Service;
  /// Base URL of the backend server.
  std::string Url;
  Capacity Total;
  /// Number of service requests that the backend server runs concurrently.
  int Slots = 0;
  int Connections = 0;

  bool operator==(const VmSpec &) const = default;
};

} // namespace cuminroad

#endif
