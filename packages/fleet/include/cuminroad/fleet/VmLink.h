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
class VmLinkEvents {
public:
  virtual ~VmLinkEvents() = default;
  /// The VM answered a hold that was sent at \p AskedAt.
  virtual void reported(VmLink &Link, const HoldAnswer &Answer,
                        TimePoint AskedAt) = 0;
  /// A hold was not answered; it is repeated.
  virtual void unanswered(VmLink &Link) = 0;
  /// The VM does not answer, or refuses; told again each time that the number
  /// of failed tries has doubled.
  virtual void silent(VmLink &Link, std::string_view Why, int Tries) = 0;
  /// The VM answered for the first time, or again.
  virtual void answering(VmLink &Link) = 0;
  /// The leases on all that ran on the VM have ended.
  virtual void lapsed(VmLink &Link) = 0;
  /// The VM obeys a newer owner.
  virtual void fenced(VmLink &Link) = 0;
  virtual void startAnswered(VmLink &Link, const TaskRun &Run,
                             StartOutcome Outcome, std::string_view Why) = 0;
  virtual void stopAnswered(VmLink &Link, const TaskRun &Run) = 0;
  /// Whether the run should still be started.
  virtual bool wanted(const VmLink &Link, const TaskRun &Run) const = 0;
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
    TimePoint InheritedUntil{};
  };

  VmLink(VmEntry Entry, Options Options, VmCalls &Calls, Loop &ControlLoop,
         const Clock &MonotonicClock, VmLinkEvents &Events);

  void start();
  /// Ends the link; nothing is called back after this.
  void close() { Closed_ = true; }
  void update(const VmEntry &Entry);
  const std::string &vm() const { return Entry_.Vm.Id; }
  bool held() const { return Held_; }
  bool lapsedTold() const { return LapsedTold_; }

  void startRun(const StartRun &Command, const std::string &Spec);
  /// \returns whether a stop is sent; not where one is under way.
  bool stopRun(const TaskRun &Run);
  void paceRun(const TaskRun &Run, int Percent);
  /// The ends reported up to \p Number are recorded.
  void acknowledge(std::int64_t Incarnation, std::int64_t Number);

private:
  void hold();
  void holdAnswered(TimePoint SentAt, Result<HoldAnswer> Answer);
  void holdSucceeded(TimePoint SentAt, const HoldAnswer &Answer);
  void holdFailed(std::string_view Why);
  /// Settles what was sent to the VM's earlier life.
  void noteRestart();
  void holdLater(milliseconds Delay);
  void checkLapse();
  void tellLapsed();
  void noteClock(milliseconds VmClock);
  std::optional<milliseconds> leaseUntil();
  /// \returns the time here at which the VM's clock has passed \p VmTime.
  TimePoint certainlyPast(milliseconds VmTime) const;
  void sendStart(StartOrder Order, int Tries);
  /// Settles the start once the VM can't accept it any more.
  void expireStart(const StartOrder &Order);
  void settleStart(const TaskRun &Run, StartOutcome Outcome,
                   std::string_view Why);
  void startAnswered(const StartOrder &Order, int Tries,
                     const Result<OrderAnswer> &Answer);
  void repeatStart(const StartOrder &Order, int Tries);
  void sendStop(const TaskRun &Run, int Tries);
  VmTarget target() const;
  /// Notes whether an order was answered at all.
  template <typename T> void noteAnswer(const Result<T> &Answer) {
    Unanswered_ = !Answer;
  }

  VmEntry Entry_;
  Options Options_;
  VmCalls &Calls_;
  Loop &ControlLoop_;
  const Clock &MonotonicClock_;
  VmLinkEvents &Events_;
  bool Closed_ = false;
  bool Held_ = false;
  bool LapsedTold_ = false;
  bool Holding_ = false;
  bool HoldPlanned_ = false;
  /// Counts planned holds, so that only the last one comes about.
  std::int64_t HoldPlan_ = 0;
  /// The last order got no answer: its connection may have gone silent.
  bool Unanswered_ = false;
  int Failures_ = 0;
  /// Failures after which the VM counts as silent, or is told of again.
  int NextSilent_ = 0;
  std::int64_t Incarnation_ = 0;
  std::int64_t Acknowledged_ = 0;
  std::int64_t LastEnd_ = 0;
  TimePoint LastHold_{};
  /// The VM's clock, and when it was read here at the latest.
  std::optional<milliseconds> VmClock_;
  TimePoint VmClockAt_{};
  /// Starts that are neither answered for certain nor expired yet.
  std::set<TaskRun> OpenStarts_;
  std::set<TaskRun> OpenStops_;
  /// The latest end of a lease, by the VM's clock, that any order carried.
  milliseconds LatestLease_{0};
};

} // namespace cuminroad

#endif
