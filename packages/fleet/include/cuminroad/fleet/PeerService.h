#ifndef CUMINROAD_FLEET_PEERSERVICE_H
#define CUMINROAD_FLEET_PEERSERVICE_H

#include <functional>
#include <optional>
#include <string_view>

#include "cuminroad/base/Clock.h"
#include "cuminroad/fleet/PlacementAdvisor.h"
#include "cuminroad/net/HttpServer.h"
#include "cuminroad/pool/JobStage.h"
#include "cuminroad/store/RowStore.h"

namespace cuminroad {

/// The pools that this daemon owns, as other daemons ask about them.
class OwnedPools {
public:
  virtual ~OwnedPools() = default;
  /// Whether this daemon owns the pool and has read its jobs.
  virtual bool owns(std::string_view Service) const = 0;
  /// \returns how far the job is, by what is recorded; nothing where the owner
  /// does not know it.
  virtual std::optional<JobStage> stage(std::string_view Service,
                                        std::string_view Job) const = 0;
  virtual int pending(std::string_view Service,
                      std::string_view Queue) const = 0;
};

/// \returns the handler of calls from other daemons; see PeerCalls and
/// RelayedStore. All arguments must outlive it.
/// \param Store without relay, so that no call is passed on twice.
HttpHandler makePeerHandler(const OwnedPools &Pools, PlacementAdvisor &Advisor,
                            RowStore &Store, const Clock &Time);

} // namespace cuminroad

#endif
