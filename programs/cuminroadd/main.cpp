// The daemon of an entry VM.

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <sstream>
#include <thread>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "cuminroad/base/EventLog.h"
#include "cuminroad/contract/Settings.h"
#include "cuminroad/daemon/Daemon.h"

#include "FleetMain.h"

using namespace cuminroad;

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;

/// \returns the file's text, or nothing where it can't be read.
std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return std::nullopt;
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

int reportFaults(const std::string &Path, const std::vector<Error> &Faults) {
  for (const Error &Fault : Faults)
    fmt::print(stderr, "{}: {}\n", Path, Fault.text());
  return ExitBadSettings;
}

void serve(const Settings &Config) {
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
}

/// Parses the settings, and runs \p Serve unless they are only to be checked.
template <typename Parse, typename Serve>
int checkAndServe(const std::string &Path, bool CheckOnly, Parse ParseText,
                  Serve Run) {
  const auto Text = readFile(Path);
  if (!Text)
    return reportFaults(
        Path, {Error{ErrorCode::MissingField, "can't read the file " + Path}});
  const auto Config = ParseText(*Text);
  if (!Config)
    return reportFaults(Path, Config.error());
  if (CheckOnly)
    fmt::print("{}: ok\n", Path);
  else
    Run(*Config);
  return ExitOk;
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    TCLAP::CmdLine Line("cuminroadd: the daemon of an entry VM", ' ', "0.2");
    TCLAP::SwitchArg CheckOnly("", "check-settings",
                               "check the settings and end", Line);
    TCLAP::SwitchArg OnPlatform(
        "", "platform",
        "run on the operator platform, with the settings file that it wrote",
        Line);
    TCLAP::UnlabeledValueArg<std::string> File(
        "settings",
        "settings, in JSON with comments; with --platform, the file named by "
        "CUMINROAD_CONFIG where none is given",
        false, "", "FILE", Line);
    Line.parse(Argc, Argv);
    std::string Path = File.getValue();
    if (OnPlatform.getValue()) {
      const char *Given = std::getenv(SettingsPathVariable);
      if (Path.empty() && Given != nullptr)
        Path = Given;
      return checkAndServe(Path, CheckOnly.getValue(), parsePlatformSettings,
                           serveFleet);
    }
    if (Path.empty()) {
      fmt::print(stderr, "cuminroadd: a settings file is required\n");
      return ExitFailed;
    }
    return checkAndServe(Path, CheckOnly.getValue(), parseSettings, serve);
  } catch (const std::exception &Fault) {
    fmt::print(stderr, "cuminroadd: {}\n", Fault.what());
    return ExitFailed;
  }
}
