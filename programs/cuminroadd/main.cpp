// The daemon that runs on an entry VM.

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

#include "FleetDaemonMain.h"

using namespace cuminroad;

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;

/// \returns the contents of the file, or nothing if it cannot be read.
std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return std::nullopt;
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

int printSettingsErrors(const std::string &Path,
                        const std::vector<Error> &Errors) {
  for (const Error &SettingsError : Errors)
    fmt::print(stderr, "{}: {}\n", Path, SettingsError.text());
  return ExitBadSettings;
}

void runDaemon(const Settings &Config) {
  // Only the thread below waits for the signals; all threads started from now
  // on inherit the blocked mask.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  const auto RunningDaemon = makeDaemon(Config);
  std::thread SignalThread([&Signals, &RunningDaemon] {
    int Signal = 0;
    sigwait(&Signals, &Signal);
    RunningDaemon->stop();
  });
  RunningDaemon->run();
  // If the daemon ended without a signal, the thread is still blocked in
  // sigwait().
  pthread_kill(SignalThread.native_handle(), SIGTERM);
  SignalThread.join();
}

/// Reads and parses the settings file, then calls \p Run with the settings
/// unless \p CheckOnly is set. \returns the exit code.
template <typename Parser, typename Runner>
int checkAndRun(const std::string &Path, bool CheckOnly, Parser ParseSettings,
                Runner Run) {
  const auto Text = readFile(Path);
  if (!Text)
    return printSettingsErrors(
        Path, {Error{ErrorCode::MissingField, "cannot read the file " + Path}});
  const auto Config = ParseSettings(*Text);
  if (!Config)
    return printSettingsErrors(Path, Config.error());
  if (CheckOnly)
    fmt::print("{}: ok\n", Path);
  else
    Run(*Config);
  return ExitOk;
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    TCLAP::CmdLine Line("cuminroadd: the daemon that runs on an entry VM", ' ',
                        "0.2");
    TCLAP::SwitchArg CheckOnly("", "check-settings",
                               "check the settings file and exit", Line);
    TCLAP::SwitchArg UsePlatform(
        "", "platform",
        "run on the operator platform, with the settings file that the "
        "platform wrote",
        Line);
    TCLAP::UnlabeledValueArg<std::string> File(
        "settings",
        "settings file, in JSON with comments; with --platform it may be "
        "omitted, and is then taken from CUMINROAD_CONFIG",
        false, "", "FILE", Line);
    Line.parse(Argc, Argv);
    std::string Path = File.getValue();
    if (UsePlatform.getValue()) {
      const char *SettingsPath = std::getenv(SettingsPathVariable);
      if (Path.empty() && SettingsPath != nullptr)
        Path = SettingsPath;
      return checkAndRun(Path, CheckOnly.getValue(), parsePlatformSettings,
                         runFleetDaemon);
    }
    if (Path.empty()) {
      fmt::print(stderr, "cuminroadd: a settings file is required\n");
      return ExitFailed;
    }
    return checkAndRun(Path, CheckOnly.getValue(), parseSettings, runDaemon);
  } catch (const std::exception &Exception) {
    fmt::print(stderr, "cuminroadd: {}\n", Exception.what());
    return ExitFailed;
  }
}
