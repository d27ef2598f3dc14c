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

namespace cuminroad {

class VmLink;

/// What happens on a link, told to the pool's owner.
class VmLinkListener {
public:
  virtual ~VmLinkListener() = default;
  /// The VM answered a hold that was sent at \p AskedAt.
  virtual void onReport(VmLink &Link, const HoldAnswer &Answer,
                        TimePoint SentAt) = 0;
  /// A hold was not answered; it is repeated.
  virtual void onNoAnswer(VmLink &Link) = 0;
  /// The VM does not answer, or refuses; told again each time that the number
  /// of failed tries has doubled.
  virtual void onUnreachable(VmLink &Link, std::string_view Reason,
                             int Attempts) = 0;
  /// The VM answered for the first time, or again.
  virtual void onReachable(VmLink &Link) = 0;
  /// The leases on all that ran on the VM have ended.
  virtual void onLeaseExpired(VmLink &Link) = 0;
  /// The VM obeys a newer owner.
  virtual void onFenced(VmLink &Link) = 0;
  virtual void onStartAnswered(VmLink &Link, const TaskRun &Run,
                               StartOutcome Outcome,
                               std::string_view Reason) = 0;
  virtual void onStopAnswered(VmLink &Link, const TaskRun &Run) = 0;
  /// Whether the run should still be started.
  virtual bool isWanted(const VmLink &Link, const TaskRun &Run) const = 0;
  /// Until when, by this process's clock, leases may be extended.
  virtual TimePoint leaseLimit() const = 0;
};

/// A pool owner's conversation with one VM: holds its lease by calls that the
/// VM answers when something ended there, and sends orders.
///
/// lapsed() is called only when every lease that this link may have granted has
/// ended by the VM's clock, which may run two percent slow.
class VmLink : public std::enable_shared_from_this<VmLink> {
public:
  struct Options {
    std::int64_t FencingToken = 0;
    /// Longest lease that the VM grants.
    milliseconds MaxLease{6000};
    /// Before this, an earlier owner's leases may hold.
    TimePoint InheritedLeasesUntil{};
  };

  VmLink(VmEntry Entry, Options Options, VmCalls &Calls, Loop &ControlLoop,
         const Clock &MonotonicClock, VmLinkListener &Listener);

  void start();
  /// Ends the link; nothing is called back after this.
  void close() { Closed_ = true; }
  void update(const VmEntry &Entry);
  const std::string &vm() const { return Entry_.Vm.Id; }
  bool held() const { return Held_; }
  bool leaseExpiryReported() const { return LeaseExpiryReported_; }

  void startRun(const StartRun &Command, const std::string &Spec);
  /// \returns whether a stop is sent; not where one is under way.
  bool stopRun(const TaskRun &Run);
  void paceRun(const TaskRun &Run, int Percent);
  /// The ends reported up to \p Number are recorded.
  void acknowledge(std::int64_t Incarnation, std::int64_t Number);

private:
  void hold();
  void handleHoldAnswer(TimePoint SentAt, Result<HoldAnswer> Answer);
  void handleHoldSuccess(TimePoint SentAt, const HoldAnswer &Answer);
  void handleHoldFailure(std::string_view Reason);
  /// Settles what was sent to the VM's earlier life.
  void handleRestart();
  void scheduleHold(milliseconds Delay);
  void checkLeaseExpiry();
  void reportLeaseExpired();
  void recordVmClock(milliseconds VmClock);
  std::optional<milliseconds> leaseUntil();
  /// \returns the time here at which the VM's clock has passed \p VmTime.
  TimePoint whenVmClockHasPassed(milliseconds VmTime) const;
  void sendStart(StartOrder Order, int Attempts);
  /// Settles the start once the VM can't accept it any more.
  void scheduleStartExpiry(const StartOrder &Order);
  void completeStart(const TaskRun &Run, StartOutcome Outcome,
                     std::string_view Reason);
  void handleStartAnswer(const StartOrder &Order, int Attempts,
                         const Result<OrderAnswer> &Answer);
  void retryStart(const StartOrder &Order, int Attempts);
  void sendStop(const TaskRun &Run, int Attempts);
  VmTarget target() const;
  /// Notes whether an order was answered at all.
  template <typename T> void recordAnswered(const Result<T> &Answer) {
    LastOrderUnanswered_ = !Answer;
  }

  VmEntry Entry_;
  Options Options_;
  VmCalls &Calls_;
  Loop &ControlLoop_;
  const Clock &MonotonicClock_;
  VmLinkListener &Listener_;
  bool Closed_ = false;
  bool Held_ = false;
  bool LeaseExpiryReported_ = false;
  bool HoldInFlight_ = false;
  bool HoldScheduled_ = false;
  /// Counts planned holds, so that only the last one comes about.
  std::int64_t HoldSchedule_ = 0;
  /// The last order got no answer: its connection may have gone silent.
  bool LastOrderUnanswered_ = false;
  int Failures_ = 0;
  /// Failures after which the VM counts as silent, or is told of again.
  int NextUnreachableReport_ = 0;
  std::int64_t Incarnation_ = 0;
  std::int64_t AcknowledgedEnd_ = 0;
  std::int64_t LastEnd_ = 0;
  TimePoint LastHoldSentAt_{};
  /// The VM's clock, and when it was read here at the latest.
  std::optional<milliseconds> VmClock_;
  TimePoint VmClockReadAt_{};
  /// Starts that are neither answered for certain nor expired yet.
  std::set<TaskRun> PendingStarts_;
  std::set<TaskRun> PendingStops_;
  /// The latest end of a lease, by the VM's clock, that any order carried.
  milliseconds LatestLeaseEnd_{0};
};

} // namespace cuminroad

#endif
