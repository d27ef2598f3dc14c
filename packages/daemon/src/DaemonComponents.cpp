#include "DaemonComponents.h"

#include "cuminroad/base/Ids.h"

namespace cuminroad {

DaemonComponents::DaemonComponents(const Settings &Settings)
    : Config(Settings), Self{Config.Name, randomId(), Config.Domain,
                             Config.Http.text(), Config.Peer.text()},
      Events(Config.Name, static_cast<std::size_t>(Config.EventsKept)),
      ControlLoop(makeAsioLoop()), TrafficClient(makeHttpClient()),
      ControlClient(makeHttpClient()),
      PlatformTable(Config.PlatformUrl, *ControlClient, *ControlLoop),
      RetryingTable(PlatformTable, *ControlLoop, CallerWriteAttempts),
      UnlimitedRetryTable(PlatformTable, *ControlLoop, UnlimitedWriteAttempts),
      VmListSource(
          makeHttpVmList(Config.PlatformUrl, *ControlClient, *ControlLoop)),
      SharedConfig(RetryingTable, *ControlLoop, MonotonicClock, Events, Config,
                   Self, Contracts, Members),
      DomainOwnership(RetryingTable, *ControlLoop, MonotonicClock, Events,
                      Config, Self),
      IdempotencyKeys(RetryingTable, *ControlLoop, Self) {}

} // namespace cuminroad
