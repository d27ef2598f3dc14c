#include "FleetMain.h"

#include <csignal>
#include <thread>

#include "cuminroad/base/BootClock.h"
#include "cuminroad/base/EventLog.h"
#include "cuminroad/fleet/FleetDaemon.h"
#include "cuminroad/net/LoopHttp.h"
#include "cuminroad/platform/JobApiHandler.h"
#include "cuminroad/platform/PlatformAdvisor.h"
#include "cuminroad/platform/PlatformRecordDecoder.h"
#include "cuminroad/platform/PlatformStore.h"
#include "cuminroad/platform/PlatformVmCalls.h"
#include "cuminroad/pool/SystemWallClock.h"

namespace cuminroad {

namespace {

/// Events kept in memory for the time line.
constexpr std::size_t EventsKept = 2000;

/// Takes signals on a thread of its own until SIGTERM or SIGINT.
void waitForStop(const sigset_t &Signals, EventLog &Events,
                 const std::string &Name) {
  int Signal = 0;
  while (sigwait(&Signals, &Signal) == 0 && Signal == SIGHUP)
    Events.record(EventId::SettingsChanged, Name, "signal");
}

} // namespace

void serveFleet(const PlatformSettings &Config) {
  sigset_t Signals;
  sigemptyset(&Signals);
  for (const int Signal : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&Signals, Signal);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  const BootClock Time;
  const SystemWallClock Wall;
  EventLog Events(Config.Fleet.Name, EventsKept);
  const auto Home = makeAsioLoop();
  const auto Client = makeLoopHttpClient(*Home);
  PlatformStore Store(Config.StoreAddress, *Client, Time);
  PlatformVmCalls Vms(*Client);
  PlatformAdvisor Advisor(Config.AdvisorAddress, *Client);
  const PlatformRecordDecoder Formats;
  const auto Process =
      makeFleetDaemon(FleetDependencies{Config.Fleet, Time, Wall, Events, *Home,
                                        *Client, Store, Vms, Advisor, Formats},
                      makeJobApiHandler);
  Process->start();
  std::thread Waiter([&] {
    waitForStop(Signals, Events, Config.Fleet.Name);
    Home->post([&Process] { Process->stop(); });
  });
  Home->run();
  // The daemon may end without a signal; the waiter must end all the same.
  pthread_kill(Waiter.native_handle(), SIGTERM);
  Waiter.join();
}

} // namespace cuminroad
