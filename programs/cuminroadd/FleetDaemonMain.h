#ifndef CUMINROAD_PROGRAMS_CUMINROADD_FLEETDAEMONMAIN_H
#define CUMINROAD_PROGRAMS_CUMINROADD_FLEETDAEMONMAIN_H

#include "cuminroad/platform/PlatformSettings.h"

namespace cuminroad {

/// Runs a daemon of the fleet on the platform until it is told to stop.
void runFleetDaemon(const PlatformSettings &Config);

} // namespace cuminroad

#endif
