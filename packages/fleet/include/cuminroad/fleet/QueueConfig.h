#ifndef CUMINROAD_FLEET_QUEUECONFIG_H
#define CUMINROAD_FLEET_QUEUECONFIG_H

#include <cstdint>
#include <string>
#include <vector>

#include "cuminroad/pool/QueueTerms.h"

namespace cuminroad {

/// The routes by which clients reach a queue, and its terms.
struct QueueRoute {
  std::string Host;
  std::string PathPrefix;
  /// Longest time that a client may have to wait for an answer.
  milliseconds Timeout{3000};
  QueueTerms Terms;
};

/// All contracts in force, as operators last wrote them.
struct QueueConfig {
  std::int64_t Version = 0;
  std::vector<QueueRoute> Routes;
  std::vector<std::string> Services;
  std::size_t MaxBodyBytes = 1 << 20;
};

} // namespace cuminroad

#endif
