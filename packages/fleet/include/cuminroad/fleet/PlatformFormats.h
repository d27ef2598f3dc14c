#ifndef CUMINROAD_FLEET_PLATFORMFORMATS_H
#define CUMINROAD_FLEET_PLATFORMFORMATS_H

#include <string>

#include "cuminroad/base/Error.h"
#include "cuminroad/fleet/QueueConfig.h"
#include "cuminroad/fleet/VmEntry.h"
#include "cuminroad/store/RowStore.h"

namespace cuminroad {

/// Names and formats of the rows that operators and VMs write to the store.
class PlatformFormats {
public:
  virtual ~PlatformFormats() = default;
  /// The table that operators write to, and the key of the contracts in force.
  virtual std::string configTable() const = 0;
  virtual std::string configKey() const = 0;
  virtual std::string vmTable() const = 0;
  virtual Result<QueueConfig> decodeConfig(std::string_view Bytes) const = 0;
  virtual Result<VmEntry> decodeVm(std::string_view Key,
                                   std::string_view Bytes) const = 0;
};

} // namespace cuminroad

#endif
