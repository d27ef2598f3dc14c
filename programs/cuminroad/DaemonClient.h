#ifndef CUMINROAD_PROGRAMS_CUMINROAD_DAEMONCLIENT_H
#define CUMINROAD_PROGRAMS_CUMINROAD_DAEMONCLIENT_H

#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cuminroad/base/Error.h"
#include "cuminroad/net/HttpClient.h"

namespace cuminroad::cli {

/// A daemon's HTTP response.
struct DaemonResponse {
  int Status = 0;
  /// Value of the X-Outcome header; empty if there is none.
  std::string Outcome;
  std::string Body;

  bool ok() const { return Status >= 200 && Status < 300; }
  /// \returns the body parsed as JSON; a discarded value if it is not JSON.
  nlohmann::json json() const;
};

/// Sends HTTP calls to daemons and blocks until they respond.
class DaemonClient {
public:
  /// \param Servers "address:port" of each daemon.
  /// \param Token bearer token that is sent with each call, unless it is empty.
  DaemonClient(std::vector<std::string> Servers, std::string Token);

  /// Calls the first daemon that a connection can be made to. A call that may
  /// have been sent is not repeated with another daemon.
  Result<DaemonResponse> call(const std::string &Method,
                              const std::string &Path,
                              const std::string &Body = {},
                              HttpHeaders Headers = {});
  /// Calls the daemon at \p Server ("address:port").
  Result<DaemonResponse> callServer(const std::string &Server,
                                    const std::string &Method,
                                    const std::string &Path,
                                    const std::string &Body = {},
                                    HttpHeaders Headers = {});
  const std::vector<std::string> &servers() const { return Servers_; }

private:
  std::vector<std::string> Servers_;
  std::string Token_;
  std::unique_ptr<HttpClient> Client_;
};

} // namespace cuminroad::cli

#endif
