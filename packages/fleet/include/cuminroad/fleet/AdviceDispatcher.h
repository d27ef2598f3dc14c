#ifndef CUMINROAD_FLEET_ADVICEDISPATCHER_H
#define CUMINROAD_FLEET_ADVICEDISPATCHER_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/fleet/DaemonRow.h"
#include "cuminroad/fleet/PeerCalls.h"
#include "cuminroad/fleet/PlacementAdvisor.h"
#include "cuminroad/fleet/QueueConfig.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/pool/PoolCommand.h"

namespace cuminroad {

/// Distributes requests for placement advice over the daemons. The advisor
/// serves one call at a time from each machine, so that the machine of a pool's
/// owner alone would be too slow. Requests are queued here, those of urgent
/// queues first, until a daemon is idle. Runs on the control thread.
class AdviceDispatcher : public std::enable_shared_from_this<AdviceDispatcher> {
public:
  struct Answer {
    StepName Step;
    std::vector<std::string> QueriedVms;
    std::vector<AdviceTicket> Allowed;
    /// When the answer arrived.
    TimePoint ReceivedAt{};
  };
  using Done = std::function<void(const StepName &, Result<Answer>)>;
  /// Whether the answer to a request about this step is still needed.
  using StillNeeded = std::function<bool(const StepName &)>;

  AdviceDispatcher(PlacementAdvisor &LocalAdvisor, PeerCalls &Peers,
                   Loop &ControlLoop, const Clock &MonotonicClock,
                   std::string SelfName, StillNeeded StillNeeded, Done Done);

  void close() { Closed_ = true; }
  /// Sets the other daemons that can call the advisor for this one.
  void setPeers(const DaemonRows &Others);
  /// Determines from the queues whether any of them makes short decisions.
  void setQueues(std::span<const QueueRoute> Routes);
  void requestAdvice(const RequestAdvice &Command);
  std::size_t waiting() const { return Queue_.size(); }
  /// \returns whether another daemon, whose last call did not fail, has at
  /// least this share of a core.
  bool hasHealthyPeer(double CpuShare) const;

private:
  struct DaemonState {
    DaemonRow Daemon;
    int OpenCalls = 0;
    TimePoint RetryAt{};
    milliseconds Backoff{0};
    bool Registered = true;
  };
  /// A queued request. It may be sent to several daemons at once.
  struct PendingRequest {
    RequestAdvice Command;
    int Attempts = 0;
    int OpenCalls = 0;
    bool Answered = false;
    /// A call for the step failed, so that another failure need not be the
    /// daemon's.
    bool Failed = false;

    TimePoint RequestedAt{};

    /// \returns the position in the queue at \p Now; lower values are sent
    /// first. A step without any advice can't start at all: once its request
    /// has waited for long, it goes before more urgent ones. Second copies of
    /// slow requests only get what the others leave.
    std::tuple<bool, bool, int, bool, bool> rank(TimePoint Now) const;
  };
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;

  void dispatch();
  void dispatchOnce();
  void enqueue(const PendingRequestPtr &Request);
  /// \returns the daemons whose last call succeeded and that can take another
  /// one.
  std::vector<std::string> idleDaemons(bool ShortDecision) const;
  /// \returns a daemon whose last call failed and whose backoff is over, or "".
  std::string failedDaemonToProbe() const;
  /// Leaves the daemon out for a while.
  void setAside(DaemonState &Daemon);
  void send(const std::string &Name, const PendingRequestPtr &Request);
  void hedge(const PendingRequestPtr &Request);
  void handleAnswer(const std::string &Name, const PendingRequestPtr &Request,
                    Result<std::vector<AdviceTicket>> Allowed);

  void completeOrRetry(const PendingRequestPtr &Request,
                       Result<std::vector<AdviceTicket>> Allowed);

  PlacementAdvisor &LocalAdvisor_;
  PeerCalls &Peers_;
  Loop &ControlLoop_;
  const Clock &MonotonicClock_;
  std::string SelfName_;
  StillNeeded StillNeeded_;
  Done Done_;
  std::map<std::string, DaemonState> Daemons_;
  std::vector<PendingRequestPtr> Queue_;
  std::size_t NextDaemon_ = 0;
  /// Set while dispatch() runs; DispatchAgain_ makes it process the queue once
  /// more.
  bool Dispatching_ = false;
  bool DispatchAgain_ = false;
  bool HasShortDecisions_ = false;
  bool Closed_ = false;
};

} // namespace cuminroad

#endif
