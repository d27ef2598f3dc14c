#ifndef CUMINROAD_FLEET_OWNEDJOB_H
#define CUMINROAD_FLEET_OWNEDJOB_H

#include <string>

#include "cuminroad/pool/JobStatus.h"

namespace cuminroad {

/// What the owner of a pool tells about one of the pool's jobs.
struct OwnedJob {
  JobStatus Status;
  /// The client account that the job belongs to; "" if none.
  std::string Account;

  bool operator==(const OwnedJob &) const = default;
};

} // namespace cuminroad

#endif
