#include "DaemonParts.h"

#include "cuminroad/base/Ids.h"

namespace cuminroad {

DaemonParts::DaemonParts(const Settings &Settings)
    : Config(Settings), Self{Config.Name, randomId(), Config.Domain,
                             Config.Http.text(), Config.Peer.text()},
      Events(Config.Name, static_cast<std::size_t>(Config.EventsKept)),
      Control(makeAsioLoop()), TrafficClient(makeHttpClient()),
      ControlClient(makeHttpClient()),
      PlainTable(Config.PlatformUrl, *ControlClient, *Control),
      Rows(PlainTable, *Control, CallerTries),
      EndlessRows(PlainTable, *Control, EndlessTries),
      List(makeHttpVmList(Config.PlatformUrl, *ControlClient, *Control)),
      Keeper(Rows, *Control, Time, Events, Config, Self, Contracts, Members),
      Owners(Rows, *Control, Time, Events, Config, Self),
      Claims(Rows, *Control, Self) {}

} // namespace cuminroad
