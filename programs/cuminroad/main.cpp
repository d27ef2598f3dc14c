// The command line tool for operators and for customers' callers.

#include <algorithm>
#include <cstdlib>
#include <sstream>

#include <fmt/format.h>

#include "Command.h"

using namespace cuminroad;
using namespace cuminroad::cli;

namespace {

constexpr const char *DefaultServer = "127.0.0.1:7400";

void printHelp(const std::vector<std::unique_ptr<Command>> &Commands) {
  fmt::print("usage: cuminroad COMMAND [OPTIONS]\n\n"
             "Commands (each with --help):\n");
  for (const auto &Candidate : Commands)
    fmt::print("  {:<18} {}\n", Candidate->name(), Candidate->summary());
  fmt::print("\nEvery command takes --server ADDRESS:PORT (several with "
             "commas), --token TOKEN\n(or CUMINROAD_TOKEN) and --output "
             "text|json.\n");
}

std::vector<std::string> splitAtCommas(const std::string &Text) {
  std::vector<std::string> Parts;
  std::stringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

std::string fromEnvironment(const char *Name, const char *Default) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? Default : Value;
}

/// Parses the options that follow the command's name and runs the command.
/// \returns the exit code.
int runCommand(Command &Selected, std::vector<std::string> Arguments) {
  TCLAP::CmdLine Line(std::string(Selected.summary()), ' ', "0.1");
  TCLAP::ValueArg<std::string> Server(
      "", "server", "daemons to call; the first reachable one is used", false,
      fromEnvironment("CUMINROAD_SERVER", DefaultServer), "ADDRESS:PORT,...",
      Line);
  TCLAP::ValueArg<std::string> Token(
      "", "token", "operators' bearer token", false,
      fromEnvironment("CUMINROAD_TOKEN", ""), "TOKEN", Line);
  std::vector<std::string> Formats{"text", "json"};
  TCLAP::ValuesConstraint<std::string> Allowed(Formats);
  TCLAP::ValueArg<std::string> Output("", "output", "output format", false,
                                      "text", &Allowed, Line);
  Selected.addOptions(Line);
  // Otherwise TCLAP would end the process with its own exit code.
  Line.setExceptionHandling(false);
  try {
    Line.parse(Arguments);
  } catch (const TCLAP::ExitException &End) {
    return End.getExitStatus();
  } catch (const TCLAP::ArgException &ParseError) {
    fmt::print(stderr, "cuminroad: {} {}\n", ParseError.error(),
               ParseError.argId());
    return ExitUsage;
  }
  DaemonClient Client(splitAtCommas(Server.getValue()), Token.getValue());
  return Selected.run(Client, Output.getValue() == "json");
}

} // namespace

int main(int Argc, char **Argv) {
  const auto Commands = makeCommands();
  std::vector<std::string> Arguments(Argv + 1, Argv + Argc);
  if (Arguments.empty() || Arguments[0] == "--help" || Arguments[0] == "help") {
    printHelp(Commands);
    return Arguments.empty() ? ExitUsage : ExitOk;
  }
  for (const auto &Candidate : Commands) {
    const bool HasTwoWords =
        Candidate->name().find(' ') != std::string_view::npos;
    const std::size_t NameWords = HasTwoWords ? 2 : 1;
    if (Arguments.size() < NameWords)
      continue;
    const std::string Name =
        HasTwoWords ? Arguments[0] + " " + Arguments[1] : Arguments[0];
    if (Name != Candidate->name())
      continue;
    std::vector<std::string> CommandArguments{"cuminroad " + Name};
    CommandArguments.insert(CommandArguments.end(),
                            Arguments.begin() +
                                static_cast<std::ptrdiff_t>(NameWords),
                            Arguments.end());
    return runCommand(*Candidate, CommandArguments);
  }
  fmt::print(stderr, "cuminroad: unknown command '{}'; see cuminroad --help\n",
             Arguments[0]);
  return ExitUsage;
}
