#ifndef CUMINROAD_FLEET_PEERSERVICE_H
#define CUMINROAD_FLEET_PEERSERVICE_H

#include <functional>
#include <optional>
#include <string_view>

#include "cuminroad/base/Clock.h"
#include "cuminroad/fleet/OwnedJob.h"
#include "cuminroad/fleet/PlacementAdvisor.h"
#include "cuminroad/net/HttpServer.h"
#include "cuminroad/store/RowStore.h"

namespace cuminroad {

/// Answers other daemons' queries about the pools that this daemon owns.
class OwnedPools {
public:
  virtual ~OwnedPools() = default;
  /// Whether this daemon owns the pool and has loaded its jobs.
  virtual bool owns(std::string_view Service) const = 0;
  /// \returns the job's status according to the persisted state, and its
  /// account, or nothing if the owner doesn't know the job.
  virtual std::optional<OwnedJob> status(std::string_view Service,
                                         std::string_view Job) const = 0;
  /// \returns how many jobs of the queue haven't started.
  virtual int pending(std::string_view Service,
                      std::string_view Queue) const = 0;
};

/// \returns the handler of calls from other daemons, which are made by
/// PeerCalls and RelayedStore. All arguments must outlive it.
/// \param Store a store without relay, so that no call is relayed twice.
HttpHandler makePeerHandler(const OwnedPools &Pools, PlacementAdvisor &Advisor,
                            RowStore &Store, const Clock &MonotonicClock);

} // namespace cuminroad

#endif
