#include <iterator>

#include <fmt/format.h>

#include "Command.h"

namespace cuminroad::cli {

int exitCode(const Result<DaemonResponse> &Response) {
  if (!Response)
    return isNotSent(Response.error().Code) ? ExitUnreachable : ExitUnknown;
  if (Response->Outcome == "unknown")
    return ExitUnknown;
  return Response->ok() ? ExitOk : ExitRefused;
}

int printResponse(const Result<DaemonResponse> &Response) {
  if (!Response) {
    fmt::print(stderr, "cuminroad: {}\n", Response.error().text());
    return exitCode(Response);
  }
  fmt::print("{}", Response->Body);
  if (!Response->Body.empty() && Response->Body.back() != '\n')
    fmt::print("\n");
  return exitCode(Response);
}

std::vector<std::unique_ptr<Command>> makeCommands() {
  std::vector<std::unique_ptr<Command>> Commands = makeContractCommands();
  for (auto *MakeGroup : {makeWorkloadCommands, makeInspectionCommands}) {
    auto Group = MakeGroup();
    std::move(Group.begin(), Group.end(), std::back_inserter(Commands));
  }
  Commands.push_back(makeExplainCommand());
  return Commands;
}

} // namespace cuminroad::cli
