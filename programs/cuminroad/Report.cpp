#include <iterator>

#include <fmt/format.h>

#include "Command.h"

namespace cuminroad::cli {

int exitCode(const Result<Reply> &Answer) {
  if (!Answer)
    return Answer.error().Code == ErrorCode::ConnectFailed ? ExitUnreachable
                                                           : ExitUnknown;
  if (Answer->Outcome == "unknown")
    return ExitUnknown;
  return Answer->ok() ? ExitOk : ExitRefused;
}

int report(const Result<Reply> &Answer) {
  if (!Answer) {
    fmt::print(stderr, "cuminroad: {}\n", Answer.error().text());
    return exitCode(Answer);
  }
  fmt::print("{}", Answer->Body);
  if (!Answer->Body.empty() && Answer->Body.back() != '\n')
    fmt::print("\n");
  return exitCode(Answer);
}

std::vector<std::unique_ptr<Command>> makeCommands() {
  std::vector<std::unique_ptr<Command>> Out = makeContractCommands();
  for (auto *Make : {makeWorkCommands, makeViewCommands}) {
    auto More = Make();
    std::move(More.begin(), More.end(), std::back_inserter(Out));
  }
  Out.push_back(makeExplainCommand());
  return Out;
}

} // namespace cuminroad::cli
