#ifndef CUMINROAD_DAEMON_SRC_DAEMONPARTS_H
#define CUMINROAD_DAEMON_SRC_DAEMONPARTS_H

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
struct DaemonParts {
  explicit DaemonParts(const Settings &Settings);

  /// Tries for a write whose caller waits; some ten seconds.
  static constexpr int CallerTries = 8;
  static constexpr int EndlessTries = std::numeric_limits<int>::max();

  Settings Config;
  Identity Self;
  SteadyClock Time;
  EventLog Events;
  std::unique_ptr<RunnableLoop> Control;
  std::unique_ptr<HttpClient> TrafficClient;
  std::unique_ptr<HttpClient> ControlClient;
  HttpTable PlainTable;
  ResolvingTable Rows;
  ResolvingTable EndlessRows;
  std::unique_ptr<VmList> List;
  ContractBook Contracts;
  MemberBook Members;
  ConfigKeeper Keeper;
  Ownership Owners;
  IdempotencyKeyStore Claims;
  /// Set while this daemon owns its domain.
  std::shared_ptr<DomainOwner> Domain;
  VmListing LastListing;
};

} // namespace cuminroad

#endif
