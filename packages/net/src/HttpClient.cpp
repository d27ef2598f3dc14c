#include "cuminroad/net/HttpClient.h"

#include <fmt/format.h>

namespace cuminroad {

std::string describeResult(const HttpResult &Result) {
  if (!Result)
    return std::string(errorInfo(Result.error().Code).Name);
  return fmt::format("status {} sends {}", Result->Status, Result->Sends);
}

} // namespace cuminroad
