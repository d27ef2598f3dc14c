#ifndef CUMINROAD_DAEMON_SRC_DAEMONCOMPONENTS_H
#define CUMINROAD_DAEMON_SRC_DAEMONCOMPONENTS_H

#include <limits>
#include <memory>

#include "cuminroad/base/EventLog.h"
#include "cuminroad/base/SteadyClock.h"
#include "cuminroad/contract/Settings.h"
#include "cuminroad/daemon/ConfigManager.h"
#include "cuminroad/daemon/ContractRegistry.h"
#include "cuminroad/daemon/DomainOwner.h"
#include "cuminroad/daemon/IdempotencyKeyStore.h"
#include "cuminroad/daemon/Identity.h"
#include "cuminroad/daemon/MemberRegistry.h"
#include "cuminroad/daemon/Ownership.h"
#include "cuminroad/daemon/RequestFrontend.h"
#include "cuminroad/net/HttpClient.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/store/HttpTable.h"
#include "cuminroad/store/ResolvingTable.h"
#include "cuminroad/store/VmList.h"

namespace cuminroad {

/// The components of a daemon. Each depends only on those declared before it.
struct DaemonComponents {
  explicit DaemonComponents(const Settings &Settings);

  /// How often a transaction is sent at most while its caller waits for the
  /// outcome; all attempts together take about ten seconds.
  static constexpr int CallerWriteAttempts = 8;
  /// For transactions whose outcome must be known before work can continue.
  static constexpr int UnlimitedWriteAttempts = std::numeric_limits<int>::max();

  Settings Config;
  Identity Self;
  SteadyClock MonotonicClock;
  EventLog Events;
  /// Runs on the control thread.
  std::unique_ptr<RunnableLoop> ControlLoop;
  /// For callers' requests to backend servers and to other daemons.
  std::unique_ptr<HttpClient> TrafficClient;
  /// For calls to the platform, to VMs and to other daemons' APIs.
  std::unique_ptr<HttpClient> ControlClient;
  HttpTable PlatformTable;
  /// PlatformTable with CallerWriteAttempts.
  ResolvingTable RetryingTable;
  /// PlatformTable with UnlimitedWriteAttempts.
  ResolvingTable UnlimitedRetryTable;
  std::unique_ptr<VmList> VmListSource;
  ContractRegistry Contracts;
  MemberRegistry Members;
  /// The contracts and members that all daemons share.
  ConfigManager SharedConfig;
  /// Which daemon owns this daemon's failure domain.
  Ownership DomainOwnership;
  IdempotencyKeyStore IdempotencyKeys;
  /// The owner of the failure domain; null unless it is this daemon.
  std::shared_ptr<DomainOwner> LocalOwner;
  /// The VM list as last read.
  VmListing LastListing;
};

} // namespace cuminroad

#endif
