#ifndef CUMINROAD_NET_HTTPMESSAGE_H
#define CUMINROAD_NET_HTTPMESSAGE_H

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cuminroad {

/// Header names and values, in the order of the message.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// \returns the value of the first header called \p Name, ignoring case, or ""
/// if there is none. The view is valid as long as \p Headers is unchanged.
std::string_view findHeader(const HttpHeaders &Headers, std::string_view Name);

/// A request that a server received.
struct HttpRequest {
  std::string Method;
  /// Percent-decoded path without the query.
  std::string Path;
  std::map<std::string, std::string> Query;
  HttpHeaders Headers;
  std::string Body;

  /// \returns the value of the query parameter \p Name, or "".
  std::string_view query(std::string_view Name) const;
};

/// A complete HTTP response.
struct HttpResponse {
  int Status = 200;
  HttpHeaders Headers;
  std::string Body;
  std::string ContentType = "application/json";
  /// For a response that a client received, how often the request was sent: a
  /// connection that was lost may have carried an earlier copy.
  int Sends = 1;
};

} // namespace cuminroad

#endif
