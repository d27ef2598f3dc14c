#ifndef CUMINROAD_DAEMON_DAEMON_H
#define CUMINROAD_DAEMON_DAEMON_H

#include <memory>

#include "cuminroad/contract/Settings.h"

namespace cuminroad {

/// The daemon of an entry VM. It runs the frontend for callers' requests and
/// the HTTP API; one daemon of each failure domain at a time also runs the
/// domain's owner, which schedules its jobs.
class Daemon {
public:
  virtual ~Daemon() = default;
  /// Serves until the shutdown that stop() begins is complete.
  virtual void run() = 0;
  /// Begins a graceful shutdown; safe from any thread.
  virtual void stop() = 0;
};

/// Creates a daemon and opens its ports; throws std::exception if that fails.
std::unique_ptr<Daemon> makeDaemon(const Settings &Config);

} // namespace cuminroad

#endif
