#ifndef CUMINROAD_PROGRAMS_CUMINROADD_FLEETDAEMONMAIN_H
#define CUMINROAD_PROGRAMS_CUMINROADD_FLEETDAEMONMAIN_H

#include "cuminroad/platform/PlatformSettings.h"

namespace cuminroad {

/// Runs a daemon on the operator platform until SIGTERM or SIGINT arrives or
/// the daemon ends by itself.
void runFleetDaemon(const PlatformSettings &Config);

} // namespace cuminroad

#endif
