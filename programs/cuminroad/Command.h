#ifndef CUMINROAD_PROGRAMS_CUMINROAD_COMMAND_H
#define CUMINROAD_PROGRAMS_CUMINROAD_COMMAND_H

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <tclap/CmdLine.h>

#include "DaemonClient.h"

namespace cuminroad::cli {

/// Exit codes, documented in docs/CLI.md.
enum ExitCode {
  ExitOk = 0,
  /// The daemon refused, or the request was certainly not run.
  ExitRefused = 1,
  /// The command line or a file is wrong.
  ExitUsage = 2,
  /// It is unknown whether the request ran or the change was taken.
  ExitUnknown = 3,
  /// No daemon could be reached; nothing was done.
  ExitUnreachable = 4,
  /// The change is not yet accepted.
  ExitPending = 5,
};

/// One subcommand, such as "contract create".
class Command {
public:
  virtual ~Command() = default;
  virtual std::string_view name() const = 0;
  virtual std::string_view summary() const = 0;
  /// Adds the subcommand's own options.
  virtual void addOptions(TCLAP::CmdLine &Line) = 0;
  virtual int run(DaemonClient &Client, bool JsonOutput) = 0;
};

/// \returns all subcommands, in the order of the help text.
std::vector<std::unique_ptr<Command>> makeCommands();
std::vector<std::unique_ptr<Command>> makeContractCommands();
std::vector<std::unique_ptr<Command>> makeWorkloadCommands();
std::vector<std::unique_ptr<Command>> makeInspectionCommands();
std::unique_ptr<Command> makeExplainCommand();

/// Prints an answer as it is, or the failure. \returns the exit code.
int printResponse(const Result<DaemonResponse> &Response);
/// \returns the exit code of an answer.
int exitCode(const Result<DaemonResponse> &Response);

} // namespace cuminroad::cli

#endif
