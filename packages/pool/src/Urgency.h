#ifndef CUMINROAD_POOL_SRC_URGENCY_H
#define CUMINROAD_POOL_SRC_URGENCY_H

#include <tuple>

#include "Records.h"
#include "cuminroad/pool/PoolOptions.h"

namespace cuminroad {

/// The order in which steps get room and tickets: less goes first.
struct Urgency {
  /// So late that it is of little value to its caller.
  bool Hopeless = false;
  int Priority = 0;
  /// Behind its objective: those that can still meet theirs go first.
  bool Late = false;
  TimePoint Deadline{};

  friend bool operator<(const Urgency &Left, const Urgency &Right) {
    return std::tie(Left.Hopeless, Left.Priority, Left.Late, Left.Deadline) <
           std::tie(Right.Hopeless, Right.Priority, Right.Late, Right.Deadline);
  }
};

/// The urgency of all steps of an occurrence.
Urgency urgencyOf(const OccurrenceRecord &Occurrence,
                  const PoolOptions &Options, TimePoint Now);

} // namespace cuminroad

#endif
