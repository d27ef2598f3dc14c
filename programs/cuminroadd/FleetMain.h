#ifndef CUMINROAD_PROGRAMS_CUMINROADD_FLEETMAIN_H
#define CUMINROAD_PROGRAMS_CUMINROADD_FLEETMAIN_H

#include "cuminroad/platform/PlatformSettings.h"

namespace cuminroad {

/// Runs a daemon of the fleet on the platform until it is told to stop.
void serveFleet(const PlatformSettings &Config);

} // namespace cuminroad

#endif
