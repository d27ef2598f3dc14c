#ifndef CUMINROAD_PROGRAMS_CUMINROAD_COMMAND_H
#define CUMINROAD_PROGRAMS_CUMINROAD_COMMAND_H

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <tclap/CmdLine.h>

#include "DaemonClient.h"

namespace cuminroad::cli {

/// Exit codes of the tool; docs/CLI.md documents them.
enum ExitCode {
  ExitOk = 0,
  /// The daemon refused the call, or the request was certainly not run.
  ExitRefused = 1,
  /// The command line or an input file is invalid.
  ExitUsage = 2,
  /// It is unknown whether the request was run or the change was accepted.
  ExitUnknown = 3,
  /// No connection to a daemon could be made, so nothing was done.
  ExitUnreachable = 4,
  /// The contract change is recorded but not yet accepted.
  ExitPending = 5,
};

/// One subcommand, such as "contract create".
class Command {
public:
  virtual ~Command() = default;
  virtual std::string_view name() const = 0;
  virtual std::string_view summary() const = 0;
  /// Adds the subcommand's options and arguments to the command line.
  virtual void addOptions(TCLAP::CmdLine &Line) = 0;
  /// Runs the subcommand. \returns the exit code.
  virtual int run(DaemonClient &Client, bool JsonOutput) = 0;
};

/// \returns all subcommands, in the order of the help text.
std::vector<std::unique_ptr<Command>> makeCommands();
std::vector<std::unique_ptr<Command>> makeContractCommands();
std::vector<std::unique_ptr<Command>> makeWorkloadCommands();
std::vector<std::unique_ptr<Command>> makeInspectionCommands();
std::unique_ptr<Command> makeExplainCommand();

/// Prints the body of the response, or the error to stderr.
/// \returns the exit code.
int printResponse(const Result<DaemonResponse> &Response);
/// \returns the exit code for a response or a failed call.
int exitCode(const Result<DaemonResponse> &Response);

} // namespace cuminroad::cli

#endif
