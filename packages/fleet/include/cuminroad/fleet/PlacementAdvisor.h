#ifndef CUMINROAD_FLEET_PLACEMENTADVISOR_H
#define CUMINROAD_FLEET_PLACEMENTADVISOR_H

#include <functional>
#include <span>
#include <string>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/base/Error.h"
#include "cuminroad/pool/PoolCommand.h"

namespace cuminroad {

/// The external service that decides which VMs a queue's policy allows. It
/// serves one call at a time from each machine. Results arrive on the loop's
/// thread.
class PlacementAdvisor {
public:
  using Done = std::function<void(Result<std::vector<AdviceTicket>>)>;

  virtual ~PlacementAdvisor() = default;
  virtual void advise(const StepName &Step, std::span<const std::string> Vms,
                      milliseconds Timeout, Done Done) = 0;
};

} // namespace cuminroad

#endif
