#ifndef CUMINROAD_FLEET_ADVICEDISPATCHER_H
#define CUMINROAD_FLEET_ADVICEDISPATCHER_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/fleet/DaemonRow.h"
#include "cuminroad/fleet/PeerCalls.h"
#include "cuminroad/fleet/PlacementAdvisor.h"
#include "cuminroad/fleet/QueueConfig.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/pool/PoolCommand.h"

namespace cuminroad {

/// Spreads questions to the placement advisor over the daemons: it takes one
/// call at a time from each calling machine, so that a pool's owner alone would
/// be too slow. Questions wait here, those of urgent queues first, until a
/// daemon is free. Runs on the control thread.
class AdviceDispatcher : public std::enable_shared_from_this<AdviceDispatcher> {
public:
  struct Answer {
    StepName Step;
    std::vector<std::string> Asked;
    std::vector<AdviceTicket> Allowed;
    /// When the answer arrived.
    TimePoint ReceivedAt{};
  };
  using Done = std::function<void(const StepName &, Result<Answer>)>;
  /// Whether an answer is still of use.
  using StillNeeded = std::function<bool(const StepName &)>;

  AdviceDispatcher(PlacementAdvisor &LocalAdvisor, PeerCalls &Peers,
                   Loop &ControlLoop, const Clock &MonotonicClock,
                   std::string SelfName, StillNeeded StillNeeded, Done Done);

  void close() { Closed_ = true; }
  /// The other daemons that may be asked.
  void setPeers(const DaemonRows &Others);
  /// Tells which queues need advice, and how long it takes.
  void setQueues(std::span<const QueueRoute> Routes);
  void requestAdvice(const AskAdvice &Ask);
  std::size_t waiting() const { return Queue_.size(); }

private:
  struct DaemonState {
    DaemonRow Daemon;
    int OpenCalls = 0;
    TimePoint RetryAt{};
    milliseconds Backoff{0};
    bool Registered = true;
  };
  /// A question; more than one daemon may be asking it.
  struct PendingRequest {
    AskAdvice Ask;
    int Attempts = 0;
    int OpenCalls = 0;
    bool Answered = false;
  };
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;

  void dispatch();
  void dispatchOnce();
  void enqueue(const PendingRequestPtr &Request);
  /// Daemons that answered last and have nothing to do.
  std::vector<std::string> idleDaemons(bool ShortDecision) const;
  /// A daemon that failed and may be tried again, or "".
  std::string failedDaemonToProbe() const;
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
  /// pump() is under way, and is to go through the queue once more.
  bool Dispatching_ = false;
  bool DispatchAgain_ = false;
  bool HasShortDecisions_ = false;
  bool Closed_ = false;
};

} // namespace cuminroad

#endif
