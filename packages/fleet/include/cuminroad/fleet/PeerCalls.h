#ifndef CUMINROAD_FLEET_PEERCALLS_H
#define CUMINROAD_FLEET_PEERCALLS_H

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "cuminroad/fleet/OwnedJob.h"
#include "cuminroad/fleet/PlacementAdvisor.h"
#include "cuminroad/net/HttpClient.h"

namespace cuminroad {

/// Calls to other daemons. Callbacks run on the thread of the client's loop.
class PeerCalls {
public:
  using StatusDone = std::function<void(Result<std::optional<OwnedJob>>)>;
  using CountDone = std::function<void(Result<int>)>;

  /// \p Client must outlive the calls.
  explicit PeerCalls(HttpClient &Client) : Client_(Client) {}

  /// Asks the pool's owner for the status and the account of a job. The result
  /// is empty if the owner doesn't know the job, and NoOwner if the daemon
  /// doesn't own the pool.
  void status(const std::string &Address, const std::string &Service,
              const std::string &Job, milliseconds Timeout, StatusDone Done);
  /// Asks the pool's owner how many jobs of a queue haven't started.
  void pending(const std::string &Address, const std::string &Service,
               const std::string &Queue, milliseconds Timeout, CountDone Done);
  /// Requests placement advice through another daemon.
  void advise(const std::string &Address, const StepName &Step,
              std::span<const std::string> Vms, milliseconds Timeout,
              PlacementAdvisor::Done Done);

private:
  HttpClient &Client_;
};

} // namespace cuminroad

#endif
