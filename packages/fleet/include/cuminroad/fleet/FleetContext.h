#ifndef CUMINROAD_FLEET_FLEETCONTEXT_H
#define CUMINROAD_FLEET_FLEETCONTEXT_H

#include "cuminroad/base/Clock.h"
#include "cuminroad/base/EventLog.h"
#include "cuminroad/fleet/DaemonIdentity.h"
#include "cuminroad/fleet/FleetMetrics.h"
#include "cuminroad/fleet/FleetSettings.h"
#include "cuminroad/fleet/PeerCalls.h"
#include "cuminroad/fleet/PlacementAdvisor.h"
#include "cuminroad/fleet/QueueRegistry.h"
#include "cuminroad/fleet/VmCalls.h"
#include "cuminroad/fleet/VmDirectory.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/pool/WallClock.h"
#include "cuminroad/store/RowStore.h"

namespace cuminroad {

/// Shared dependencies of the components of a fleet daemon. All of them outlive
/// the components.
struct FleetContext {
  const FleetSettings &Settings;
  const DaemonIdentity &Self;
  const Clock &MonotonicClock;
  const WallClock &SystemClock;
  EventLog &Events;
  Loop &ControlLoop;
  RowStore &Store;
  VmCalls &Vms;
  PlacementAdvisor &Advisor;
  PeerCalls &Peers;
  const QueueRegistry &Queues;
  VmDirectory &Directory;
  FleetMetrics &Metrics;
};

} // namespace cuminroad

#endif
