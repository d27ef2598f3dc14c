#ifndef CUMINROAD_FLEET_PEERCALLS_H
#define CUMINROAD_FLEET_PEERCALLS_H

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "cuminroad/fleet/PlacementAdvisor.h"
#include "cuminroad/net/HttpClient.h"
#include "cuminroad/pool/JobStage.h"

namespace cuminroad {

/// Calls to other daemons. Each answers on the loop's thread.
class PeerCalls {
public:
  using StageDone = std::function<void(Result<std::optional<JobStage>>)>;
  using CountDone = std::function<void(Result<int>)>;

  /// \p Client must outlive the calls.
  explicit PeerCalls(HttpClient &Client) : Client_(Client) {}

  /// Asks a pool's owner how far a job is; nothing where it does not know it.
  /// NoOwner where the daemon does not own the pool.
  void stage(const std::string &Address, const std::string &Service,
             const std::string &Job, milliseconds Timeout, StageDone Done);
  /// Asks a pool's owner for the jobs of a queue that have not begun.
  void pending(const std::string &Address, const std::string &Service,
               const std::string &Queue, milliseconds Timeout, CountDone Done);
  /// Lets a daemon ask the placement advisor.
  void advise(const std::string &Address, const StepName &Step,
              std::span<const std::string> Vms, milliseconds Timeout,
              PlacementAdvisor::Done Done);

private:
  HttpClient &Client_;
};

} // namespace cuminroad

#endif
