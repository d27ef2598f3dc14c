#ifndef CUMINROAD_DAEMON_DAEMON_H
#define CUMINROAD_DAEMON_DAEMON_H

#include <memory>

#include "cuminroad/contract/Settings.h"

namespace cuminroad {

/// The daemon of an entry VM: front door, and in one daemon of each failure
/// domain at a time the domain's owner.
class Daemon {
public:
  virtual ~Daemon() = default;
  /// Serves until stop() has run to its end.
  virtual void run() = 0;
  /// Begins a graceful shutdown; safe from any thread.
  virtual void stop() = 0;
};

/// Opens the daemon's ports; throws std::exception where that fails.
std::unique_ptr<Daemon> makeDaemon(const Settings &Config);

} // namespace cuminroad

#endif
