#include "FleetDaemonMain.h"

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

/// Capacity of the in-memory event log, from which the 'timeline' command
/// reads.
constexpr std::size_t MaxEvents = 2000;

/// Blocks until SIGTERM or SIGINT arrives. A SIGHUP is recorded in the event
/// log and otherwise ignored.
void waitForStopSignal(const sigset_t &Signals, EventLog &Events,
                       const std::string &Name) {
  int Signal = 0;
  while (sigwait(&Signals, &Signal) == 0 && Signal == SIGHUP)
    Events.record(EventId::SettingsChanged, Name, "signal");
}

} // namespace

void runFleetDaemon(const PlatformSettings &Config) {
  sigset_t Signals;
  sigemptyset(&Signals);
  for (const int Signal : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&Signals, Signal);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  const BootClock MonotonicClock;
  const SystemWallClock SystemClock;
  EventLog Events(Config.Fleet.Name, MaxEvents);
  const auto ControlLoop = makeAsioLoop();
  const auto Client = makeLoopHttpClient(*ControlLoop);
  PlatformStore Store(Config.StoreAddress, *Client, MonotonicClock);
  PlatformVmCalls Vms(*Client);
  PlatformAdvisor Advisor(Config.AdvisorAddress, *Client);
  const PlatformRecordDecoder RecordFormats;
  const auto RunningDaemon = makeFleetDaemon(
      FleetDependencies{Config.Fleet, MonotonicClock, SystemClock, Events,
                        *ControlLoop, *Client, Store, Vms, Advisor,
                        RecordFormats},
      makeJobApiHandler);
  RunningDaemon->start();
  std::thread SignalThread([&] {
    waitForStopSignal(Signals, Events, Config.Fleet.Name);
    ControlLoop->post([&RunningDaemon] { RunningDaemon->stop(); });
  });
  ControlLoop->run();
  // If the daemon ended without a signal, the thread is still blocked in
  // sigwait().
  pthread_kill(SignalThread.native_handle(), SIGTERM);
  SignalThread.join();
}

} // namespace cuminroad
