#ifndef CUMINROAD_PROGRAMS_CUMINROAD_DAEMONCLIENT_H
#define CUMINROAD_PROGRAMS_CUMINROAD_DAEMONCLIENT_H

#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cuminroad/base/Error.h"
#include "cuminroad/net/HttpClient.h"

namespace cuminroad::cli {

/// A daemon's answer.
struct DaemonResponse {
  int Status = 0;
  std::string Outcome;
  std::string Body;

  bool ok() const { return Status >= 200 && Status < 300; }
  /// \returns the body as JSON, or null where it is none.
  nlohmann::json json() const;
};

/// Calls daemons and waits for their answers.
class DaemonClient {
public:
  /// \param Servers "address:port" of daemons; a call goes to the first one
  /// that a connection can be made to.
  DaemonClient(std::vector<std::string> Servers, std::string Token);

  Result<DaemonResponse> call(const std::string &Method,
                              const std::string &Path,
                              const std::string &Body = {},
                              HttpHeaders Headers = {});
  /// Calls one certain daemon.
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
