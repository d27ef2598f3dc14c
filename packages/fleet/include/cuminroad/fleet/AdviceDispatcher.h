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
    std::vector<AdviceTicket> Good;
    /// When the answer arrived.
    TimePoint At{};
  };
  using Done = std::function<void(const StepName &, Result<Answer>)>;
  /// Whether an answer is still of use.
  using Needed = std::function<bool(const StepName &)>;

  AdviceDispatcher(PlacementAdvisor &Own, PeerCalls &Peers, Loop &ControlLoop,
                   const Clock &MonotonicClock, std::string SelfName,
                   Needed Needed, Done Done);

  void close() { Closed_ = true; }
  /// The other daemons that may be asked.
  void setPeers(const DaemonRows &Others);
  /// Tells which queues need advice, and how long it takes.
  void setQueues(std::span<const QueueRoute> Routes);
  void ask(const AskAdvice &Question);
  std::size_t waiting() const { return Queue_.size(); }

private:
  struct Caller {
    DaemonRow Daemon;
    int Open = 0;
    TimePoint NotBefore{};
    milliseconds Pause{0};
    bool Listed = true;
  };
  /// A question; more than one daemon may be asking it.
  struct Question {
    AskAdvice Ask;
    int Tries = 0;
    int Open = 0;
    bool Answered = false;
  };
  using QuestionPtr = std::shared_ptr<Question>;

  void pump();
  void pumpOnce();
  void enqueue(const QuestionPtr &Next);
  /// Daemons that answered last and have nothing to do.
  std::vector<std::string> freeCallers(bool Quick) const;
  /// A daemon that failed and may be tried again, or "".
  std::string suspectToProbe() const;
  void send(const std::string &Name, const QuestionPtr &Next);
  void hedge(const QuestionPtr &Sent);
  void answered(const std::string &Name, const QuestionPtr &Sent,
                Result<std::vector<AdviceTicket>> Good);

  void settle(const QuestionPtr &Sent, Result<std::vector<AdviceTicket>> Good);

  PlacementAdvisor &Own_;
  PeerCalls &Peers_;
  Loop &ControlLoop_;
  const Clock &MonotonicClock_;
  std::string SelfName_;
  Needed Needed_;
  Done Done_;
  std::map<std::string, Caller> Callers_;
  std::vector<QuestionPtr> Queue_;
  std::size_t NextCaller_ = 0;
  /// pump() is under way, and is to go through the queue once more.
  bool Pumping_ = false;
  bool PumpAgain_ = false;
  bool QuickWork_ = false;
  bool Closed_ = false;
};

} // namespace cuminroad

#endif
