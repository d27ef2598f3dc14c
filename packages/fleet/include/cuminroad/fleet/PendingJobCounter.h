#ifndef CUMINROAD_FLEET_PENDINGJOBCOUNTER_H
#define CUMINROAD_FLEET_PENDINGJOBCOUNTER_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "cuminroad/base/Error.h"
#include "cuminroad/fleet/FleetContext.h"
#include "cuminroad/fleet/QueryResult.h"

namespace cuminroad {

class OwnedPools;
class OwnerLookup;

/// Counts the jobs of a queue of which no task has started. A job stays in the
/// pool of the service that its queue had when the job was accepted, so that a
/// queue that has moved to another service has jobs in several pools. Runs on
/// the control thread.
///
/// Calls the owner of the queue's present service, the owners of services that
/// the queue has just left, and the owners whose rows name the queue as moved.
class PendingJobCounter {
public:
  using CountDone = std::function<void(QueryResult<int>)>;

  PendingJobCounter(const FleetContext &Context, const OwnedPools &Owned,
                    const OwnerLookup &Owners)
      : Context_(Context), Owned_(Owned), Owners_(Owners) {}

  /// Takes note of changed contracts.
  void queuesChanged();
  /// \param Timeout of each call to an owner.
  /// \param Done receives an unknown answer if one of the owners can't be
  /// asked, or the pools have not been read yet.
  void count(const QueueTerms &Queue, milliseconds Timeout, CountDone Done);

private:
  using Add = std::function<void(std::optional<int>)>;
  /// A queue and a service.
  using QueuePool = std::pair<std::string, std::string>;
  /// The jobs of one queue in one pool by its owner's last answer.
  struct PoolCount {
    int Jobs = 0;
    std::optional<TimePoint> AnsweredAt;
    /// Callers that wait for the same call to the owner.
    std::vector<Add> Waiting;
  };

  /// \returns those of \p Pools that may have jobs of the queue.
  std::set<std::string> poolsOf(const QueueTerms &Queue,
                                std::span<const std::string> Pools) const;
  void countInPool(const QueuePool &Pool, milliseconds Timeout, Add Done);
  void askOwner(const QueuePool &Pool, milliseconds Timeout);
  void handleAnswer(const QueuePool &Pool, const Result<int> &Answer);

  FleetContext Context_;
  const OwnedPools &Owned_;
  const OwnerLookup &Owners_;
  std::map<QueuePool, PoolCount> Counts_;
  /// The service of each queue in the contracts in force.
  std::map<std::string, std::string> Services_;
  /// Services that queues have left, and when.
  std::map<QueuePool, TimePoint> LeftAt_;
};

} // namespace cuminroad

#endif
