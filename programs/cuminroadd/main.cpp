// The daemon of an entry VM.

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "cuminroad/base/EventLog.h"
#include "cuminroad/contract/Settings.h"
#include "cuminroad/daemon/Daemon.h"

using namespace cuminroad;

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;

tl::expected<Settings, std::vector<Error>>
readSettings(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return tl::unexpected(std::vector{
        Error{ErrorCode::MissingField, "can't read the file " + Path}});
  std::stringstream Text;
  Text << File.rdbuf();
  return parseSettings(Text.str());
}

int serve(const Settings &Config) {
  // The signals are taken by one thread; all others inherit the block.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  const auto Process = makeDaemon(Config);
  std::thread Waiter([&Signals, &Process] {
    int Signal = 0;
    sigwait(&Signals, &Signal);
    Process->stop();
  });
  Process->run();
  // A daemon may end without a signal; the waiter must end all the same.
  pthread_kill(Waiter.native_handle(), SIGTERM);
  Waiter.join();
  return ExitOk;
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    TCLAP::CmdLine Line("cuminroadd: the daemon of an entry VM", ' ', "0.1");
    TCLAP::SwitchArg CheckOnly("", "check-settings",
                               "check the settings and end", Line);
    TCLAP::UnlabeledValueArg<std::string> File(
        "settings", "settings, in JSON with comments", true, "", "FILE", Line);
    Line.parse(Argc, Argv);
    const auto Config = readSettings(File.getValue());
    if (!Config) {
      for (const Error &Fault : Config.error())
        fmt::print(stderr, "{}: {}\n", File.getValue(), Fault.text());
      return ExitBadSettings;
    }
    if (CheckOnly.getValue()) {
      fmt::print("{}: ok\n", File.getValue());
      return ExitOk;
    }
    return serve(*Config);
  } catch (const std::exception &Fault) {
    fmt::print(stderr, "cuminroadd: {}\n", Fault.what());
    return ExitFailed;
  }
}
