#include "cuminroad/net/HttpMessage.h"

#include <algorithm>
#include <cctype>

namespace cuminroad {

static bool equalIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::equal(
      Left.begin(), Left.end(), Right.begin(), Right.end(),
      [](unsigned char LeftCharacter, unsigned char RightCharacter) {
        return std::tolower(LeftCharacter) == std::tolower(RightCharacter);
      });
}

std::string_view findHeader(const HttpHeaders &Headers, std::string_view Name) {
  for (const auto &[Key, Value] : Headers)
    if (equalIgnoringCase(Key, Name))
      return Value;
  return {};
}

std::string_view HttpRequest::query(std::string_view Name) const {
  const auto Found = Query.find(std::string(Name));
  return Found == Query.end() ? std::string_view() : Found->second;
}

} // namespace cuminroad
