#ifndef CUMINROAD_FLEET_FLEETDAEMON_H
#define CUMINROAD_FLEET_FLEETDAEMON_H

#include <functional>
#include <memory>

#include "cuminroad/base/Clock.h"
#include "cuminroad/base/EventLog.h"
#include "cuminroad/fleet/FleetSettings.h"
#include "cuminroad/fleet/JobFrontend.h"
#include "cuminroad/fleet/PlacementAdvisor.h"
#include "cuminroad/fleet/PlatformFormats.h"
#include "cuminroad/fleet/QueueRegistry.h"
#include "cuminroad/fleet/VmCalls.h"
#include "cuminroad/net/HttpClient.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/pool/WallClock.h"
#include "cuminroad/store/RowStore.h"

namespace cuminroad {

/// Dependencies of a fleet daemon. All of them outlive the daemon.
struct FleetDependencies {
  FleetSettings Settings;
  const Clock &MonotonicClock;
  const WallClock &SystemClock;
  EventLog &Events;
  RunnableLoop &ControlLoop;
  HttpClient &Client;
  RowStore &Store;
  VmCalls &Vms;
  PlacementAdvisor &Advisor;
  const PlatformFormats &Formats;
};

/// Creates the handler of client requests.
using RequestHandlerFactory = std::function<HttpHandler(
    const QueueRegistry &Queues, JobFrontend &Frontend)>;

/// A daemon of the fleet. It serves clients through its job frontend, and owns
/// the pools whose lease it holds.
class FleetDaemon {
public:
  virtual ~FleetDaemon() = default;
  /// Opens the ports and schedules the first work on the loop, which the caller
  /// then runs.
  virtual void start() = 0;
  /// Begins a graceful shutdown, which stops the loop when it is complete. Must
  /// be called on the loop's thread.
  virtual void stop() = 0;
};

std::unique_ptr<FleetDaemon>
makeFleetDaemon(FleetDependencies Dependencies,
                RequestHandlerFactory MakeRequestHandler);

} // namespace cuminroad

#endif
