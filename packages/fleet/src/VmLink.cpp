#include "cuminroad/fleet/VmLink.h"

#include <algorithm>
#include <utility>

#include "cuminroad/fleet/FencingTokens.h"
#include "cuminroad/fleet/LeaseTimes.h"

namespace cuminroad {

namespace {

/// How long a VM may delay its answer to a hold while no task ends.
constexpr milliseconds MaxEndWait{1000};
/// Timeout of a hold beyond the delay that the VM is allowed: time for the
/// network and for a busy VM.
constexpr milliseconds HoldAnswerMargin{800};
/// Interval between holds, so that tasks that end together are reported
/// together.
constexpr milliseconds HoldInterval{80};
/// Interval to the next hold while ends of the last one are not yet durable.
/// The lease must be renewed all the same.
constexpr milliseconds UnacknowledgedHoldInterval{600};
/// An answer that is older than this doesn't tell which incarnation of the VM
/// the next order reaches.
constexpr milliseconds MaxAnswerAge{300};
/// An acknowledgement that needs a hold of its own waits for the ends that are
/// being recorded, up to this long after the last one.
constexpr milliseconds MaxAcknowledgementDelay{1000};
/// Delay before a failed hold is repeated. The first repeat is sent at once.
constexpr milliseconds HoldRetryDelay{250};
/// How long a VM counts as unreliable after it left some holds unanswered and
/// answered the next one soon. It is held with short timeouts, so that its
/// lease is renewed in time and its ends are known soon.
constexpr milliseconds UnreliablePeriod{10000};
/// A VM that leaves more holds in a row unanswered was cut off instead.
constexpr int MaxUnreliableFailures = 3;
constexpr milliseconds UnreliableMaxEndWait{200};
constexpr milliseconds UnreliableHoldAnswerMargin{350};
/// An unreliable VM may have become slow: one in so many failed holds has the
/// usual timeout.
constexpr int HoldsPerLongTimeout = 3;
/// Failures in a row after which the VM is reported as unreachable.
constexpr int FailuresUntilUnreachable = 2;
/// Leases are granted this much shorter than the VM allows, since its clock is
/// only estimated here.
constexpr milliseconds LeaseMargin{400};
/// Lowest rate of a VM's clock relative to the local one.
constexpr double MinVmClockRate = 0.98;
/// An order without an answer may be carried out this much later.
constexpr milliseconds MaxOrderDelay{15000};
/// The VM's clock is read this late from its answers, at most.
constexpr milliseconds MaxVmClockError{1000};
/// Entries older than this are equally useless.
constexpr milliseconds MaxEntryAge{3600000};
constexpr milliseconds LeaseExpiryMargin{150};
constexpr milliseconds LeaseExpiryCheckInterval{100};

} // namespace

VmLink::VmLink(VmEntry Entry, Options Options, FencingTokens &Tokens,
               VmCalls &Calls, Loop &ControlLoop, const Clock &MonotonicClock,
               VmLinkListener &Listener)
    : Entry_(std::move(Entry)), Options_(Options), Tokens_(Tokens),
      FencingToken_(Tokens.next()), Calls_(Calls), ControlLoop_(ControlLoop),
      MonotonicClock_(MonotonicClock), Listener_(Listener) {}

void VmLink::start() { hold(); }

void VmLink::update(const VmEntry &Entry) { Entry_ = Entry; }

std::optional<milliseconds> VmLink::entryAge() const {
  if (!VmClock_ || !Entry_.Clock || Entry_.Vm.Incarnation != Incarnation_)
    return std::nullopt;
  const milliseconds Age = vmClockNow() - *Entry_.Clock;
  if (Age < -MaxVmClockError)
    return std::nullopt;
  return std::clamp(Age, milliseconds(0), MaxEntryAge);
}

VmTarget VmLink::target() const {
  // The listed address may be another VM's: a VM that answers is not moved.
  const bool Reached = Held_ && Failures_ < FailuresUntilUnreachable;
  return VmTarget{Entry_.Vm.Id, Reached ? ReachedAddress_ : Entry_.Address,
                  FencingToken_, LastOrderUnanswered_};
}

milliseconds VmLink::vmClockNow() const {
  return *VmClock_ + std::chrono::duration_cast<milliseconds>(
                         MonotonicClock_.now() - VmClockReadAt_);
}

void VmLink::recordVmClock(milliseconds VmClock) {
  VmClock_ = VmClock;
  VmClockReadAt_ = MonotonicClock_.now();
}

void VmLink::recordVmClockOfStart(milliseconds VmClock) {
  // The clock of another incarnation would differ. A hold tells which it is.
  if (VmClock_ && std::chrono::abs(vmClockNow() - VmClock) >= MaxVmClockError)
    RestartSuspected_ = true;
  else
    LastAnsweredAt_ = MonotonicClock_.now();
  // The VM may have restarted since its last report. Its clock has started anew
  // then, and the leases that were granted by the earlier one are over.
  if (VmClock_ && VmClock < *VmClock_)
    LatestLeaseEnd_ = std::min(LatestLeaseEnd_, VmClock + Options_.MaxLease);
  recordVmClock(VmClock);
}

std::optional<milliseconds> VmLink::leaseUntil() {
  if (!VmClock_)
    return std::nullopt;
  const TimePoint Now = MonotonicClock_.now();
  const milliseconds Allowed =
      std::chrono::duration_cast<milliseconds>(Listener_.leaseLimit() - Now);
  const milliseconds Lease =
      std::min({Options_.MaxLease - LeaseMargin, TaskLease, Allowed});
  if (Lease.count() <= 0)
    return std::nullopt;
  const milliseconds Until = vmClockNow() + Lease;
  LatestLeaseEnd_ = std::max(LatestLeaseEnd_, Until);
  return Until;
}

bool VmLink::answeredRecently(TimePoint Now) const {
  return !RestartSuspected_ && Now - LastAnsweredAt_ <= MaxAnswerAge;
}

void VmLink::recordLeaseSent() {
  const TimePoint Now = MonotonicClock_.now();
  if (!answeredRecently(Now))
    UnseenLeaseUntil_ = Now + std::chrono::duration_cast<milliseconds>(
                                  Options_.MaxLease / MinVmClockRate);
}

bool VmLink::isUnreliable() const {
  return RecoveredAt_ &&
         MonotonicClock_.now() - *RecoveredAt_ < UnreliablePeriod;
}

bool VmLink::leftFewHoldsUnanswered() const {
  return HoldUnanswered_ && Failures_ > 0 && Failures_ <= MaxUnreliableFailures;
}

bool VmLink::mayBeUnreliable() const {
  return isUnreliable() || leftFewHoldsUnanswered();
}

void VmLink::updateReliability(const SentHold &Sent) {
  const TimePoint Now = MonotonicClock_.now();
  if (Now - Sent.At >= Sent.Wait + UnreliableHoldAnswerMargin)
    RecoveredAt_.reset();
  else if (leftFewHoldsUnanswered())
    RecoveredAt_ = Now;
}

void VmLink::hold() {
  HoldScheduled_ = false;
  if (Closed_ || HoldInFlight_)
    return;
  HoldInFlight_ = true;
  LastHoldSentAt_ = MonotonicClock_.now();
  HoldOrder Order;
  const bool Unreliable = isUnreliable();
  // A VM that has been silent for longer than the lease runs nothing any more.
  // Another lease would only delay the time at which that is certain.
  if (Held_ &&
      (Failures_ == 0 ||
       (Unreliable && LastHoldSentAt_ - LastAnsweredAt_ < TaskLease))) {
    Order.LeaseUntil = leaseUntil().value_or(milliseconds(0));
    recordLeaseSent();
  }
  if (Failures_ == 0 && Held_) {
    // After a failure, or a long interval, the VM may have restarted under its
    // id. Its new incarnation numbers its ends from one, and would forget ends
    // that it has not reported. For the same reason nothing is acknowledged
    // again.
    if (answeredRecently(LastHoldSentAt_) &&
        AcknowledgedEnd_ > AnsweredAcknowledgement_)
      Order.AcknowledgedEnd = AcknowledgedEnd_;
    if (LastEnd_ == AcknowledgedEnd_ && !MoreEnds_ && !Idle_ &&
        !mayHaveRestarted() &&
        AcknowledgedEnd_ ==
            std::max(AnsweredAcknowledgement_, Order.AcknowledgedEnd))
      Order.Wait = Unreliable ? UnreliableMaxEndWait : MaxEndWait;
  }
  const bool ShortTimeout =
      mayBeUnreliable() &&
      Failures_ % HoldsPerLongTimeout != HoldsPerLongTimeout - 1;
  const milliseconds AnswerMargin =
      ShortTimeout ? UnreliableHoldAnswerMargin : HoldAnswerMargin;
  const VmTarget Target = target();
  Calls_.hold(
      Target, Order, Order.Wait + AnswerMargin,
      [Self = shared_from_this(),
       Sent = SentHold{LastHoldSentAt_, Target.Address, Target.FencingToken,
                       Order.AcknowledgedEnd, Order.LeaseUntil,
                       Order.Wait}](Result<HoldAnswer> Answer) {
        Self->HoldInFlight_ = false;
        Self->recordAnswered(Answer);
        if (!Self->Closed_)
          Self->handleHoldAnswer(Sent, std::move(Answer));
      });
}

void VmLink::handleHoldAnswer(const SentHold &Sent, Result<HoldAnswer> Answer) {
  const bool Refused =
      !Answer && Answer.error().Code == ErrorCode::ConnectFailed;
  if (!Answer)
    return handleHoldFailure(errorInfo(Answer.error().Code).Name,
                             Refused ? RunsEndedCause::ConnectionsRefused
                                     : RunsEndedCause::LeaseExpired,
                             !Refused);
  switch (Answer->Outcome) {
  case OrderOutcome::Done:
    ReachedAddress_ = Sent.Address;
    return handleHoldSuccess(Sent, *Answer);
  case OrderOutcome::Fenced:
    if (!handleFenced(Sent.FencingToken, "hold", nullptr))
      scheduleHold(milliseconds(0));
    return;
  case OrderOutcome::OtherInstance:
    return handleOtherVm(Sent.Address);
  default:
    return handleHoldFailure(orderOutcomeName(Answer->Outcome),
                             RunsEndedCause::LeaseExpired, false);
  }
}

void VmLink::handleOtherVm(const std::string &Address) {
  // Only where the VM has answered does another one prove that it has ended. An
  // entry may give a wrong address.
  const bool HasEnded = Address == ReachedAddress_;
  handleHoldFailure("other_instance",
                    HasEnded || ReachedAddress_.empty()
                        ? RunsEndedCause::AddressReused
                        : RunsEndedCause::LeaseExpired,
                    false);
  if (HasEnded &&
      (!LeaseExpiryReported_ || ReportedCause_ == RunsEndedCause::LeaseExpired))
    reportLeaseExpired();
}

void VmLink::handleHoldSuccess(const SentHold &Sent, const HoldAnswer &Answer) {
  RestartSuspected_ = false;
  recordVmClock(Answer.VmClock);
  if (Answer.Incarnation != Incarnation_) {
    Incarnation_ = Answer.Incarnation;
    AcknowledgedEnd_ = 0;
    AnsweredAcknowledgement_ = 0;
    LastEnd_ = 0;
    LatestLeaseEnd_ = milliseconds(0);
    if (Held_)
      return handleRestart();
  } else {
    AnsweredAcknowledgement_ =
        std::max(AnsweredAcknowledgement_, Sent.AcknowledgedEnd);
    if (Sent.AcknowledgedEnd > 0)
      LastAcknowledgedAt_ = Sent.At;
  }
  const bool First =
      !Held_ || (Failures_ > 0 && Sent.LeaseUntil <= milliseconds(0));
  updateReliability(Sent);
  LastAnsweredAt_ = MonotonicClock_.now();
  if (!Held_ || Failures_ >= FailuresUntilUnreachable)
    Listener_.onReachable(*this);
  Held_ = true;
  if (std::exchange(RestartUnsettled_, false))
    LatestLeaseEnd_ = *VmClock_ + Options_.MaxLease;
  if (RefusedAt_ && Sent.At >= *RefusedAt_)
    RefusedAt_.reset();
  Failures_ = 0;
  LeaseExpiryReported_ = false;
  for (const TaskEnd &End : Answer.Ends)
    LastEnd_ = std::max(LastEnd_, End.Number);
  MoreEnds_ = Answer.ListedEnds == EndList::Partial;
  Listener_.onReport(*this, Answer, Sent.At);
  for (auto &[Order, Attempts] : std::exchange(PausedStarts_, {}))
    sendStart(std::move(Order), Attempts);
  if (Closed_)
    return;
  const milliseconds IdleInterval = Listener_.idleHoldInterval();
  Idle_ = IdleInterval > milliseconds(0) && Answer.Running.empty() &&
          Answer.Ends.empty() && PendingStarts_.empty() &&
          PendingStops_.empty() && LastStartSentAt_ < Sent.At && !RefusedAt_;
  if (Idle_)
    return scheduleHold(IdleInterval);
  // The first hold only reads the VM's clock; the next one, sent at once,
  // extends the lease. Ends are likewise acknowledged by the hold after one
  // that has read the VM's incarnation.
  const bool EndsAreRecorded = LastEnd_ == AcknowledgedEnd_;
  if (First || (AcknowledgedEnd_ > AnsweredAcknowledgement_ &&
                (EndsAreRecorded || LastAnsweredAt_ - LastAcknowledgedAt_ >=
                                        MaxAcknowledgementDelay)))
    return scheduleHold(milliseconds(0));
  scheduleHold(EndsAreRecorded ? HoldInterval : UnacknowledgedHoldInterval);
}

void VmLink::rescheduleHold(milliseconds Delay) {
  HoldScheduled_ = false;
  scheduleHold(Delay);
}

void VmLink::handleRestart() {
  // Until this incarnation has received the raised token, late orders for the
  // earlier one extend its lease: its clock has just started, so that the
  // leases in those orders have not expired by it.
  LatestLeaseEnd_ = *VmClock_ + MaxOrderDelay + Options_.MaxLease;
  LastAnsweredAt_ = MonotonicClock_.now();
  raiseToken("vm_restarted");
  RestartUnsettled_ = true;
  if (Failures_ == 0)
    Listener_.onNoAnswer(*this);
  // Reports of the VM from the next one on tell which of them were carried out.
  PausedStarts_.clear();
  for (const TaskRun &Run : std::exchange(PendingStarts_, {}))
    Listener_.onStartAnswered(*this, Run, StartOutcome::OldRun, "vm_restarted");
  scheduleHold(milliseconds(0));
}

void VmLink::raiseToken(std::string_view Reason) {
  FencingToken_ = Tokens_.next();
  UnansweredThrottles_.clear();
  Listener_.onTokenRaised(*this, Reason);
}

bool VmLink::handleFenced(std::int64_t FencingToken, std::string_view Order,
                          const TaskRun *Run) {
  if (FencingToken == FencingToken_) {
    Listener_.onFenced(*this);
    return true;
  }
  Listener_.onOrderVoided(*this, Order, Run, FencingToken);
  return false;
}

void VmLink::handleRefusedConnection() {
  const bool First = !mayHaveRestarted();
  RefusedAt_ = MonotonicClock_.now();
  if (!First)
    return;
  Listener_.onNoAnswer(*this);
  rescheduleHold(milliseconds(0));
}

void VmLink::acknowledge(std::int64_t Incarnation, std::int64_t Number) {
  if (Closed_ || Incarnation != Incarnation_ || Number <= AcknowledgedEnd_)
    return;
  AcknowledgedEnd_ = Number;
  // The VM lists further ends once these are acknowledged.
  if (MoreEnds_ && AcknowledgedEnd_ == LastEnd_)
    return rescheduleHold(milliseconds(0));
  const auto Since = std::chrono::duration_cast<milliseconds>(
      MonotonicClock_.now() - LastHoldSentAt_);
  rescheduleHold(std::max(HoldInterval - Since, milliseconds(0)));
}

void VmLink::scheduleHold(milliseconds Delay) {
  if (HoldScheduled_ || HoldInFlight_ || Closed_)
    return;
  HoldScheduled_ = true;
  ControlLoop_.after(
      Delay, [Self = shared_from_this(), Schedule = ++HoldSchedule_] {
        if (Self->HoldScheduled_ && Self->HoldSchedule_ == Schedule)
          Self->hold();
      });
}

void VmLink::handleHoldFailure(std::string_view Reason, RunsEndedCause Cause,
                               bool NoAnswer) {
  FailureCause_ = Cause;
  HoldUnanswered_ = NoAnswer;
  // No task is placed on the VM until it answers again.
  if (++Failures_ == 1) {
    NextUnreachableReport_ = FailuresUntilUnreachable;
    Listener_.onNoAnswer(*this);
  }
  if (Failures_ == NextUnreachableReport_) {
    NextUnreachableReport_ *= 2;
    Listener_.onUnreachable(*this, Reason, Failures_);
  }
  if (Failures_ == FailuresUntilUnreachable)
    checkLeaseExpiry();
  const bool RepeatAtOnce =
      Failures_ == 1 || (HoldUnanswered_ && mayBeUnreliable());
  if (!Closed_)
    scheduleHold(RepeatAtOnce ? milliseconds(0) : HoldRetryDelay);
}

void VmLink::checkLeaseExpiry() {
  if (Closed_ || Failures_ == 0 || LeaseExpiryReported_)
    return;
  const TimePoint Now = MonotonicClock_.now();
  TimePoint ExpiresAt = Options_.InheritedLeasesUntil;
  if (Held_)
    ExpiresAt = TimePoint{};
  if (VmClock_ && LatestLeaseEnd_ > *VmClock_)
    ExpiresAt = std::max(ExpiresAt, whenVmClockHasPassed(LatestLeaseEnd_));
  ExpiresAt = std::max(ExpiresAt, UnseenLeaseUntil_ + LeaseExpiryMargin);
  if (Now >= ExpiresAt)
    return reportLeaseExpired();
  ControlLoop_.after(LeaseExpiryCheckInterval,
                     [Self = shared_from_this()] { Self->checkLeaseExpiry(); });
}

TimePoint VmLink::whenVmClockHasPassed(milliseconds VmTime) const {
  return VmClockReadAt_ +
         std::chrono::duration_cast<milliseconds>((VmTime - *VmClock_) /
                                                  MinVmClockRate) +
         LeaseExpiryMargin;
}

void VmLink::reportLeaseExpired() {
  LeaseExpiryReported_ = true;
  ReportedCause_ = FailureCause_;
  // A new incarnation would not know that the leases in earlier orders are
  // over.
  raiseToken("lease_expired");
  // All runs have ended, and orders to start one have expired.
  PendingStops_.clear();
  Listener_.onLeaseExpired(*this, FailureCause_);
}

} // namespace cuminroad
