#ifndef CUMINROAD_FLEET_VMLINK_H
#define CUMINROAD_FLEET_VMLINK_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/fleet/VmCalls.h"
#include "cuminroad/fleet/VmEntry.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/pool/PoolCommand.h"
#include "cuminroad/pool/PoolVm.h"

namespace cuminroad {

class FencingTokens;
class VmLink;

/// Receives the events of a VM link; implemented by the pool's owner.
class VmLinkListener {
public:
  virtual ~VmLinkListener() = default;
  /// The VM answered a hold that was sent at \p SentAt.
  virtual void onReport(VmLink &Link, const HoldAnswer &Answer,
                        TimePoint SentAt) = 0;
  /// A hold got no answer or was refused, for the first time since the last
  /// success. It will be repeated.
  virtual void onNoAnswer(VmLink &Link) = 0;
  /// The VM does not answer, or refuses. Called again each time that the number
  /// of failed attempts has doubled.
  virtual void onUnreachable(VmLink &Link, std::string_view Reason,
                             int Attempts) = 0;
  /// The VM answered for the first time, or after it was reported as
  /// unreachable.
  virtual void onReachable(VmLink &Link) = 0;
  /// All leases on what ran on the VM have expired. Called again if another VM
  /// answers at the address later.
  virtual void onLeaseExpired(VmLink &Link, RunsEndedCause Cause) = 0;
  /// The VM has accepted a newer owner.
  virtual void onFenced(VmLink &Link) = 0;
  /// The link has raised its token, so that the VM refuses earlier orders.
  virtual void onTokenRaised(VmLink &Link, std::string_view Reason) = 0;
  /// The VM refused an order with \p FencingToken, which the link has raised
  /// since. \p Run is null for a hold.
  virtual void onOrderVoided(VmLink &Link, std::string_view Order,
                             const TaskRun *Run, std::int64_t FencingToken) = 0;
  virtual void onStartAnswered(VmLink &Link, const TaskRun &Run,
                               StartOutcome Outcome,
                               std::string_view Reason) = 0;
  /// A try of a start was answered, or was given up, \p Duration after it was
  /// sent.
  virtual void onStartTried(milliseconds Duration, bool Answered) = 0;
  virtual void onStopAnswered(VmLink &Link, const TaskRun &Run) = 0;
  /// Whether the run should still be started.
  virtual bool isWanted(const VmLink &Link, const TaskRun &Run) const = 0;
  /// \returns how long ago the VM's listed capacity was in force; none if that
  /// is unknown, so that no start may go by it.
  virtual std::optional<milliseconds> capacityAge(const VmLink &Link) const = 0;
  /// Time by this process's clock beyond which no lease may be extended.
  virtual TimePoint leaseLimit() const = 0;
  /// \returns the interval between holds of a VM without tasks; zero to hold it
  /// like any other.
  virtual milliseconds idleHoldInterval() const = 0;
};

/// A pool owner's link to one VM. It renews the VM's lease by holds, long polls
/// that the VM answers when a task ended there, and sends orders.
///
/// onLeaseExpired() is called only when every lease that this link may have
/// granted has expired by the VM's clock, which may run two percent slow, or
/// when another VM answers at the address at which this one answered last.
class VmLink : public std::enable_shared_from_this<VmLink> {
public:
  struct Options {
    /// Longest lease that the VM grants.
    milliseconds MaxLease{6000};
    /// Until this time, leases that an earlier owner granted may be in force.
    TimePoint InheritedLeasesUntil{};
    /// Starts must reach the VM before its listed capacity is older than this.
    milliseconds MaxCapacityAge{3500};
  };

  /// \param Tokens must outlive the link until it is closed.
  VmLink(VmEntry Entry, Options Options, FencingTokens &Tokens, VmCalls &Calls,
         Loop &ControlLoop, const Clock &MonotonicClock,
         VmLinkListener &Listener);

  /// Holds the VM at once: for the first time, or before its next regular hold.
  void start();
  /// Ends the link; the listener is not called after this.
  void close() { Closed_ = true; }
  void update(const VmEntry &Entry);
  const std::string &vm() const { return Entry_.Vm.Id; }
  bool held() const { return Held_; }
  /// \returns the incarnation that last answered; 0 before the first answer.
  std::int64_t incarnation() const { return Incarnation_; }
  /// \returns the token that the next order carries.
  std::int64_t fencingToken() const { return FencingToken_; }
  const Capacity &listedCapacity() const { return Entry_.Vm.Total; }
  /// \returns whether the VM's entry has the VM's clock.
  bool hasEntryClock() const { return Entry_.Clock.has_value(); }
  /// \returns how long ago the VM wrote its entry, by its own clock; none if
  /// the entry has no clock, or not that of the incarnation in the last report.
  std::optional<milliseconds> entryAge() const;
  bool leaseExpiryReported() const { return LeaseExpiryReported_; }

  void startRun(const StartRun &Command, const std::string &Spec);
  /// Repeats the stop until the VM answers or its lease has expired.
  /// \returns whether a stop is sent; false if one is already pending.
  bool stopRun(const TaskRun &Run);
  void throttleRun(const TaskRun &Run, int Percent);
  /// Tells the VM that its ends up to \p Number are durable.
  void acknowledge(std::int64_t Incarnation, std::int64_t Number);

private:
  /// What a hold was sent with.
  struct SentHold {
    TimePoint At{};
    std::string Address;
    std::int64_t FencingToken = 0;
    std::int64_t AcknowledgedEnd = 0;
    /// Zero if the hold carried no lease.
    milliseconds LeaseUntil{0};
    milliseconds Wait{0};
  };

  void hold();
  /// \returns whether the VM leaves single orders unanswered, and answers the
  /// others soon.
  bool isUnreliable() const;
  /// \returns whether the last holds got no answer, and too few of them for a
  /// VM that was cut off.
  bool leftFewHoldsUnanswered() const;
  /// \returns whether the VM is unreliable or has just left some holds
  /// unanswered.
  bool mayBeUnreliable() const;
  /// Determines whether the VM is unreliable, when it has answered a hold.
  void updateReliability(const SentHold &Sent);
  void handleHoldAnswer(const SentHold &Sent, Result<HoldAnswer> Answer);
  void handleOtherVm(const std::string &Address);
  void handleHoldSuccess(const SentHold &Sent, const HoldAnswer &Answer);
  /// \param NoAnswer The hold got neither an answer nor a refused connection.
  void handleHoldFailure(std::string_view Reason, RunsEndedCause Cause,
                         bool NoAnswer);
  /// Voids what was sent to the VM's earlier incarnation.
  void handleRestart();
  /// Handles that the VM's process was not running.
  void handleRefusedConnection();
  /// \returns whether an order may reach another incarnation than the last one
  /// that was reported.
  bool mayHaveRestarted() const {
    return Failures_ > 0 || RestartUnsettled_ || RefusedAt_;
  }
  void raiseToken(std::string_view Reason);
  /// Handles that the VM has refused an order for its \p FencingToken. \p Run
  /// is null for a hold. \returns whether another owner has taken the VM over;
  /// otherwise this link has raised its token since, and the order was void.
  bool handleFenced(std::int64_t FencingToken, std::string_view Order,
                    const TaskRun *Run);
  void scheduleHold(milliseconds Delay);
  /// Replaces the scheduled hold, if there is one.
  void rescheduleHold(milliseconds Delay);
  void checkLeaseExpiry();
  void reportLeaseExpired();
  /// \returns the VM's clock, from the last answer that told it; there must
  /// have been one.
  milliseconds vmClockNow() const;
  void recordVmClock(milliseconds VmClock);
  /// Records the clock in the answer to a start, which doesn't tell the VM's
  /// incarnation.
  void recordVmClockOfStart(milliseconds VmClock);
  std::optional<milliseconds> leaseUntil();
  /// Records that an order with a lease is sent. A VM that has restarted unseen
  /// grants the longest lease for it, since its clock has just started.
  void recordLeaseSent();
  /// \returns whether the VM's present incarnation is the one that answered
  /// last, as far as is known at \p Now.
  bool answeredRecently(TimePoint Now) const;
  /// \returns the local time at which the VM's clock has certainly passed \p
  /// VmTime.
  TimePoint whenVmClockHasPassed(milliseconds VmTime) const;
  void sendStart(StartOrder Order, int Attempts);
  /// Completes the start at the time after which the VM can't accept it any
  /// more.
  void scheduleStartExpiry(const StartOrder &Order);
  void completeStart(const TaskRun &Run, StartOutcome Outcome,
                     std::string_view Reason);
  void handleStartAnswer(const StartOrder &Order, int Attempts,
                         std::int64_t FencingToken,
                         const Result<OrderAnswer> &Answer);
  void retryStart(const StartOrder &Order, int Attempts, bool Answered = true);
  void sendStop(const TaskRun &Run, milliseconds RetryDelay);
  void sendThrottle(const TaskRun &Run, int Percent);
  VmTarget target() const;
  /// Records whether the last order got any answer.
  template <typename T> void recordAnswered(const Result<T> &Answer) {
    LastOrderUnanswered_ = !Answer;
  }

  VmEntry Entry_;
  /// Where the VM last answered a hold; empty before the first answer.
  std::string ReachedAddress_;
  Options Options_;
  FencingTokens &Tokens_;
  std::int64_t FencingToken_;
  VmCalls &Calls_;
  Loop &ControlLoop_;
  const Clock &MonotonicClock_;
  VmLinkListener &Listener_;
  bool Closed_ = false;
  bool Held_ = false;
  /// The VM has restarted and has not answered the raised token yet. Orders for
  /// its earlier incarnation may still be carried out.
  bool RestartUnsettled_ = false;
  /// When the VM last refused a connection, unless a later hold was answered.
  std::optional<TimePoint> RefusedAt_;
  bool LeaseExpiryReported_ = false;
  bool HoldInFlight_ = false;
  bool HoldScheduled_ = false;
  /// Number of the last scheduled hold; timers of earlier ones do nothing.
  std::int64_t HoldSchedule_ = 0;
  /// The last order got no answer, so that its connection may be dead.
  bool LastOrderUnanswered_ = false;
  int Failures_ = 0;
  /// The last failed hold got neither an answer nor a refused connection.
  bool HoldUnanswered_ = false;
  /// When the VM last answered a hold after unanswered ones.
  std::optional<TimePoint> RecoveredAt_;
  /// What the last failed hold says about the VM, should its lease expire.
  RunsEndedCause FailureCause_ = RunsEndedCause::LeaseExpired;
  RunsEndedCause ReportedCause_ = RunsEndedCause::LeaseExpired;
  /// Number of failures at which the VM is next reported as unreachable.
  int NextUnreachableReport_ = 0;
  std::int64_t Incarnation_ = 0;
  std::int64_t AcknowledgedEnd_ = 0;
  /// The highest acknowledgement that the VM has answered.
  std::int64_t AnsweredAcknowledgement_ = 0;
  /// When the last hold with an acknowledgement that was answered was sent.
  TimePoint LastAcknowledgedAt_{};
  std::int64_t LastEnd_ = 0;
  /// The last answer may have left ends out.
  bool MoreEnds_ = false;
  TimePoint LastHoldSentAt_{};
  /// When the VM's present incarnation last answered.
  TimePoint LastAnsweredAt_{};
  /// An answer to a start was by another clock than the VM's last one, and no
  /// hold was answered since.
  bool RestartSuspected_ = false;
  /// The VM's clock, and the local time at which the answer with it arrived.
  std::optional<milliseconds> VmClock_;
  TimePoint VmClockReadAt_{};
  /// The last hold found no task, so that the next one is due after
  /// idleHoldInterval(), or after the next start.
  bool Idle_ = false;
  TimePoint LastStartSentAt_{};
  /// Starts that are neither definitely answered nor expired.
  std::set<TaskRun> PendingStarts_;
  /// Starts whose next try waits until the VM answers a hold, with the number
  /// of tries before.
  std::vector<std::pair<StartOrder, int>> PausedStarts_;
  /// Stops that the VM has not answered.
  std::set<TaskRun> PendingStops_;
  /// Speeds that the VM has not confirmed.
  std::map<TaskRun, int> PendingThrottles_;
  /// Runs with an order for a speed that got no answer under the present
  /// fencing token, and may still be carried out.
  std::set<TaskRun> UnansweredThrottles_;
  /// The latest end of a lease, by the VM's clock, that any order carried.
  milliseconds LatestLeaseEnd_{0};
  /// Until then a lease may be in force on an incarnation of the VM that has
  /// not answered yet.
  TimePoint UnseenLeaseUntil_{};
};

} // namespace cuminroad

#endif
