#ifndef CUMINROAD_FLEET_FLEETSETTINGS_H
#define CUMINROAD_FLEET_FLEETSETTINGS_H

#include <algorithm>
#include <string>

#include "cuminroad/base/Clock.h"

namespace cuminroad {

/// An IP address of this VM and a port.
struct ListenAddress {
  std::string Address;
  int Port = 0;

  std::string text() const { return Address + ":" + std::to_string(Port); }
};

/// Settings of a fleet daemon; the platform's adapter fills them in.
struct FleetSettings {
  std::string Name;
  /// The failure domain of this VM.
  std::string Domain;
  /// For client requests.
  ListenAddress FrontendAddress;
  /// For the load balancer's readiness check.
  ListenAddress ReadinessAddress;
  /// For other daemons.
  ListenAddress PeerAddress;
  /// For scrapes of the metrics.
  ListenAddress MetricsAddress;
  /// Share of one processor core that this VM may use; 1.0 is a whole core.
  double CpuShare = 1.0;
  /// Memory that the process may use, in megabytes; 0 if there is no limit.
  int MemoryMb = 0;
  /// File descriptors that the process may have open; 0 if there is no limit.
  int MaxDescriptors = 0;
  /// Longest lease that a VM grants for the tasks that it runs.
  milliseconds MaxTaskLease{6000};
  /// How often a VM rewrites its entry in the list of VMs.
  milliseconds VmHeartbeatInterval{1500};
  /// How long a daemon that has lost contact may act on what it knew before.
  milliseconds ContactTime{3000};
  /// How long changed contracts may take to come into force in each daemon.
  milliseconds ConfigApplyTime{2000};
  /// How much longer than ConfigApplyTime the contracts may be unconfirmed
  /// before a daemon accepts no more jobs. Applies if they have client
  /// accounts.
  milliseconds ConfigStaleTolerance{6000};
  /// Part of its quota by which an account may have more running.
  double QuotaOverage = 0;
  /// Factor by which a task takes longer away from its data, or in a gang that
  /// spans racks.
  double RemoteFactor = 1.0;
  /// Most bytes in the value of a row of the store.
  std::size_t MaxRowBytes = 49152;
  /// How long the state of a finished job can be queried.
  seconds FinishedJobRetention{120};
  /// Time between SIGTERM and the forced end of the process.
  milliseconds StopGracePeriod{6000};
};

/// For the error of a VM's clock as read by the owner, and the way to the VM.
inline constexpr milliseconds CapacityAgeMargin{1000};

/// \returns how old the capacity that a VM has listed may be when a start
/// reaches the VM.
inline milliseconds maxCapacityAge(const FleetSettings &Settings) {
  return std::max(Settings.ContactTime + Settings.VmHeartbeatInterval -
                      CapacityAgeMargin,
                  Settings.VmHeartbeatInterval);
}

} // namespace cuminroad

#endif
