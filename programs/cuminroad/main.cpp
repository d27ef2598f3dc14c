// The command line of operators and callers.

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
  for (const auto &Each : Commands)
    fmt::print("  {:<18} {}\n", Each->name(), Each->summary());
  fmt::print("\nEvery command takes --server ADDRESS:PORT (several with "
             "commas), --token TOKEN\n(or CUMINROAD_TOKEN) and --output "
             "text|json.\n");
}

std::vector<std::string> splitCommas(const std::string &Text) {
  std::vector<std::string> Out;
  std::stringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    Out.push_back(Part);
  return Out;
}

std::string fromEnvironment(const char *Name, const char *Default) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? Default : Value;
}

/// Parses the options behind the command's name and runs it.
int runCommand(Command &Chosen, std::vector<std::string> Words) {
  TCLAP::CmdLine Line(std::string(Chosen.summary()), ' ', "0.1");
  TCLAP::ValueArg<std::string> Server(
      "", "server", "daemons to call, the first reachable one is taken", false,
      fromEnvironment("CUMINROAD_SERVER", DefaultServer), "ADDRESS:PORT,...",
      Line);
  TCLAP::ValueArg<std::string> Token(
      "", "token", "operators' bearer token", false,
      fromEnvironment("CUMINROAD_TOKEN", ""), "TOKEN", Line);
  std::vector<std::string> Formats{"text", "json"};
  TCLAP::ValuesConstraint<std::string> Allowed(Formats);
  TCLAP::ValueArg<std::string> Output("", "output", "form of the output", false,
                                      "text", &Allowed, Line);
  Chosen.declare(Line);
  // TCLAP would end the process with a code of its own.
  Line.setExceptionHandling(false);
  try {
    Line.parse(Words);
  } catch (const TCLAP::ExitException &End) {
    return End.getExitStatus();
  } catch (const TCLAP::ArgException &Fault) {
    fmt::print(stderr, "cuminroad: {} {}\n", Fault.error(), Fault.argId());
    return ExitUsage;
  }
  Remote Daemons(splitCommas(Server.getValue()), Token.getValue());
  return Chosen.run(Daemons, Output.getValue() == "json");
}

} // namespace

int main(int Argc, char **Argv) {
  const auto Commands = makeCommands();
  std::vector<std::string> Words(Argv + 1, Argv + Argc);
  if (Words.empty() || Words[0] == "--help" || Words[0] == "help") {
    printHelp(Commands);
    return Words.empty() ? ExitUsage : ExitOk;
  }
  for (const auto &Each : Commands) {
    const bool TwoWords = Each->name().find(' ') != std::string_view::npos;
    const std::size_t Used = TwoWords ? 2 : 1;
    if (Words.size() < Used)
      continue;
    const std::string Name = TwoWords ? Words[0] + " " + Words[1] : Words[0];
    if (Name != Each->name())
      continue;
    std::vector<std::string> Rest{"cuminroad " + Name};
    Rest.insert(Rest.end(), Words.begin() + static_cast<std::ptrdiff_t>(Used),
                Words.end());
    return runCommand(*Each, Rest);
  }
  fmt::print(stderr, "cuminroad: unknown command '{}'; see cuminroad --help\n",
             Words[0]);
  return ExitUsage;
}
