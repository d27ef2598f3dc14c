#ifndef CUMINROAD_PROGRAMS_CUMINROAD_REMOTE_H
#define CUMINROAD_PROGRAMS_CUMINROAD_REMOTE_H

#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cuminroad/base/Error.h"
#include "cuminroad/net/HttpClient.h"

namespace cuminroad::cli {

/// A daemon's answer.
struct Reply {
  int Status = 0;
  std::string Outcome;
  std::string Body;

  bool ok() const { return Status >= 200 && Status < 300; }
  /// \returns the body as JSON, or null where it is none.
  nlohmann::json json() const;
};

/// Calls daemons and waits for their answers.
class Remote {
public:
  /// \param Servers "address:port" of daemons; a call goes to the first one
  /// that a connection can be made to.
  Remote(std::vector<std::string> Servers, std::string Token);

  Result<Reply> call(const std::string &Method, const std::string &Path,
                     const std::string &Body = {}, HttpHeaders Headers = {});
  /// Calls one certain daemon.
  Result<Reply> callAt(const std::string &Server, const std::string &Method,
                       const std::string &Path, const std::string &Body = {},
                       HttpHeaders Headers = {});
  const std::vector<std::string> &servers() const { return Servers_; }

private:
  std::vector<std::string> Servers_;
  std::string Token_;
  std::unique_ptr<HttpClient> Client_;
};

} // namespace cuminroad::cli

#endif
