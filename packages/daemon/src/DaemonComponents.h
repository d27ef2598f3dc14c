#ifndef CUMINROAD_DAEMON_SRC_DAEMONCOMPONENTS_H
#define CUMINROAD_DAEMON_SRC_DAEMONCOMPONENTS_H

#include <limits>
#include <memory>

#include "cuminroad/base/EventLog.h"
#include "cuminroad/base/SteadyClock.h"
#include "cuminroad/contract/Settings.h"
#include "cuminroad/daemon/ConfigKeeper.h"
#include "cuminroad/daemon/ContractBook.h"
#include "cuminroad/daemon/DomainOwner.h"
#include "cuminroad/daemon/IdempotencyKeyStore.h"
#include "cuminroad/daemon/Identity.h"
#include "cuminroad/daemon/MemberBook.h"
#include "cuminroad/daemon/Ownership.h"
#include "cuminroad/daemon/RequestFrontend.h"
#include "cuminroad/net/HttpClient.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/store/HttpTable.h"
#include "cuminroad/store/ResolvingTable.h"
#include "cuminroad/store/VmList.h"

namespace cuminroad {

/// What a daemon is made of, in the order in which the parts depend on each
/// other.
struct DaemonComponents {
  explicit DaemonComponents(const Settings &Settings);

  /// Tries for a write whose caller waits; some ten seconds.
  static constexpr int CallerWriteAttempts = 8;
  static constexpr int UnlimitedWriteAttempts = std::numeric_limits<int>::max();

  Settings Config;
  Identity Self;
  SteadyClock MonotonicClock;
  EventLog Events;
  std::unique_ptr<RunnableLoop> ControlLoop;
  std::unique_ptr<HttpClient> TrafficClient;
  std::unique_ptr<HttpClient> ControlClient;
  HttpTable PlatformTable;
  ResolvingTable RetryingTable;
  ResolvingTable UnlimitedRetryTable;
  std::unique_ptr<VmList> VmListSource;
  ContractBook Contracts;
  MemberBook Members;
  ConfigKeeper SharedConfig;
  Ownership DomainOwnership;
  IdempotencyKeyStore IdempotencyKeys;
  /// Set while this daemon owns its domain.
  std::shared_ptr<DomainOwner> LocalOwner;
  VmListing LastListing;
};

} // namespace cuminroad

#endif
