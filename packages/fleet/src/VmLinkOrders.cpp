// The part of VmLink that sends orders about runs: starts, stops and speeds.
#include "cuminroad/fleet/VmLink.h"

#include <algorithm>
#include <utility>

namespace cuminroad {

namespace {

/// Timeout of an order's first try, and of the later ones. The first repeat is
/// sent at once: an order that gets no answer soon usually gets none at all,
/// and repeating it is harmless.
constexpr milliseconds FirstOrderTimeout{350};
constexpr milliseconds OrderTimeout{900};
/// A start takes this long to reach its VM. It is not sent if its ticket would
/// expire on the way.
constexpr milliseconds TicketMargin{20};
constexpr milliseconds OrderRetryDelay{200};
/// A start is repeated only if the VM has answered within this time. A VM that
/// has restarted since then may be of another kind, and would run a task that
/// it must not run.
constexpr milliseconds MaxAnswerAgeOfRepeat{800};
/// The delay before a stop is repeated doubles up to this.
constexpr milliseconds MaxStopRetryDelay{800};

StartOutcome startOutcome(OrderOutcome Outcome) {
  switch (Outcome) {
  case OrderOutcome::Done:
    return StartOutcome::Accepted;
  case OrderOutcome::OldRun:
    return StartOutcome::OldRun;
  case OrderOutcome::TicketExpired:
    return StartOutcome::TicketExpired;
  case OrderOutcome::Rejected:
    return StartOutcome::Invalid;
  case OrderOutcome::OtherInstance:
  case OrderOutcome::Fenced:
  // The start took too long; the VM is not at fault.
  case OrderOutcome::LeaseOver:
    return StartOutcome::NotSent;
  default:
    return StartOutcome::Refused;
  }
}

} // namespace

void VmLink::startRun(const StartRun &Command, const std::string &Spec) {
  if (MonotonicClock_.now() + TicketMargin > Command.TicketExpiry)
    return Listener_.onStartAnswered(*this, Command.Run,
                                     StartOutcome::TicketExpired, "not_sent");
  sendStart(StartOrder{Command.Run, Spec, milliseconds(0), Command.Checkpoint,
                       Command.Ticket},
            0);
}

void VmLink::sendStart(StartOrder Order, int Attempts) {
  if (Closed_)
    return;
  if (Attempts == 0) {
    const auto Lease = leaseUntil();
    if (!Lease || !Listener_.isWanted(*this, Order.Run) || !Held_ ||
        mayHaveRestarted())
      return Listener_.onStartAnswered(*this, Order.Run, StartOutcome::NotSent,
                                       "vm_not_held");
    if (Entry_.Vm.Leaving)
      return Listener_.onStartAnswered(*this, Order.Run, StartOutcome::NotSent,
                                       "vm_leaving");
    const auto CapacityAge = Listener_.capacityAge(*this);
    if (!CapacityAge || *CapacityAge >= Options_.MaxCapacityAge)
      return Listener_.onStartAnswered(*this, Order.Run, StartOutcome::NotSent,
                                       "capacity_old");
    // The VM itself refuses the start if it arrives, or is repeated, too late.
    Order.LeaseUntil = *Lease;
    if (Entry_.Clock)
      Order.LeaseUntil =
          std::min(*Lease, *Entry_.Clock + Options_.MaxCapacityAge);
    PendingStarts_.insert(Order.Run);
    LastStartSentAt_ = MonotonicClock_.now();
    // The start's own lease may be shorter than the interval between holds.
    if (std::exchange(Idle_, false))
      rescheduleHold(milliseconds(0));
    scheduleStartExpiry(Order);
  } else if (!PendingStarts_.contains(Order.Run)) {
    return;
  } else if (!Listener_.isWanted(*this, Order.Run)) {
    // The answer to the stop, or the expiry of the lease, completes the start.
    PendingStarts_.erase(Order.Run);
    return;
  } else if (mayHaveRestarted()) {
    // The next hold tells.
    PausedStarts_.emplace_back(std::move(Order), Attempts);
    return;
  } else if (MonotonicClock_.now() - LastAnsweredAt_ > MaxAnswerAgeOfRepeat) {
    PausedStarts_.emplace_back(std::move(Order), Attempts);
    rescheduleHold(milliseconds(0));
    return;
  }
  recordLeaseSent();
  Calls_.start(
      target(), Order,
      Attempts == 0 || isUnreliable() ? FirstOrderTimeout : OrderTimeout,
      [Self = shared_from_this(), Order, Attempts, Incarnation = Incarnation_,
       FencingToken = FencingToken_,
       SentAt = MonotonicClock_.now()](const Result<OrderAnswer> &Answer) {
        Self->recordAnswered(Answer);
        if (Self->Closed_)
          return;
        Self->Listener_.onStartTried(std::chrono::duration_cast<milliseconds>(
                                         Self->MonotonicClock_.now() - SentAt),
                                     Answer.has_value());
        if (Answer && Answer->VmClock && Incarnation == Self->Incarnation_)
          Self->recordVmClockOfStart(*Answer->VmClock);
        Self->handleStartAnswer(Order, Attempts, FencingToken, Answer);
      });
}

void VmLink::scheduleStartExpiry(const StartOrder &Order) {
  const auto Delay = std::chrono::duration_cast<milliseconds>(
      whenVmClockHasPassed(Order.LeaseUntil) - MonotonicClock_.now());
  ControlLoop_.after(Delay, [Self = shared_from_this(), Run = Order.Run] {
    if (Self->Closed_ || !Self->PendingStarts_.contains(Run))
      return;
    // The VM can't accept the start any more once it has seen the raised token.
    // If it did accept it, its reports list the run.
    Self->raiseToken("start_given_up");
    Self->completeStart(Run, StartOutcome::OldRun, "no_certain_answer");
  });
}

void VmLink::completeStart(const TaskRun &Run, StartOutcome Outcome,
                           std::string_view Reason) {
  if (PendingStarts_.erase(Run) > 0)
    Listener_.onStartAnswered(*this, Run, Outcome, Reason);
}

void VmLink::handleStartAnswer(const StartOrder &Order, int Attempts,
                               std::int64_t FencingToken,
                               const Result<OrderAnswer> &Answer) {
  if (!Answer) {
    if (Answer.error().Code == ErrorCode::ConnectFailed)
      handleRefusedConnection();
    if (isNotSent(Answer.error().Code) && Attempts == 0)
      return completeStart(Order.Run, StartOutcome::Refused,
                           errorInfo(Answer.error().Code).Name);
    // The order may have been carried out, or may still be. Repeating the same
    // run is harmless and determines the outcome.
    return retryStart(Order, Attempts, /*Answered=*/false);
  }
  if (Answer->Outcome == OrderOutcome::Fenced) {
    if (!handleFenced(FencingToken, "start", &Order.Run))
      retryStart(Order, Attempts);
    return;
  }
  StartOutcome Outcome = startOutcome(Answer->Outcome);
  if (Attempts > 0 && Outcome != StartOutcome::Accepted) {
    // An earlier attempt may have been carried out. After the order has expired
    // this can't happen any more, and the VM's reports show whether it did;
    // until then the start is repeated.
    const bool Expired = Answer->Outcome == OrderOutcome::OldRun ||
                         Answer->Outcome == OrderOutcome::LeaseOver ||
                         Answer->Outcome == OrderOutcome::TicketExpired;
    if (!Expired)
      return retryStart(Order, Attempts);
    Outcome = StartOutcome::OldRun;
  }
  completeStart(Order.Run, Outcome, orderOutcomeName(Answer->Outcome));
}

void VmLink::retryStart(const StartOrder &Order, int Attempts, bool Answered) {
  ControlLoop_.after(Attempts == 0 || (!Answered && isUnreliable())
                         ? milliseconds(0)
                         : OrderRetryDelay,
                     [Self = shared_from_this(), Order, Attempts] {
                       Self->sendStart(Order, Attempts + 1);
                     });
}

bool VmLink::stopRun(const TaskRun &Run) {
  if (!PendingStops_.insert(Run).second)
    return false;
  sendStop(Run, OrderRetryDelay);
  return true;
}

void VmLink::sendStop(const TaskRun &Run, milliseconds RetryDelay) {
  if (Closed_ || !PendingStops_.contains(Run))
    return;
  Calls_.stop(
      target(), Run, std::max(FirstOrderTimeout, RetryDelay),
      [Self = shared_from_this(), Run, RetryDelay,
       FencingToken = FencingToken_](const Result<OrderAnswer> &Answer) {
        if (Self->Closed_)
          return;
        Self->recordAnswered(Answer);
        const bool Fenced = Answer && Answer->Outcome == OrderOutcome::Fenced;
        if (Fenced && Self->handleFenced(FencingToken, "stop", &Run))
          return;
        if (Answer && !Fenced && Answer->Outcome != OrderOutcome::Unhealthy &&
            Answer->Outcome != OrderOutcome::OtherInstance) {
          Self->PendingStops_.erase(Run);
          return Self->Listener_.onStopAnswered(*Self, Run);
        }
        // Until it answers, the VM may run the task, or start it on an
        // order that is still under way.
        Self->ControlLoop_.after(RetryDelay, [Self, Run, RetryDelay] {
          Self->sendStop(Run, std::min(RetryDelay * 2, MaxStopRetryDelay));
        });
      });
}

void VmLink::throttleRun(const TaskRun &Run, int Percent) {
  const auto [Entry, IsNew] = PendingThrottles_.emplace(Run, Percent);
  // An earlier speed that is still under way must not be set after this one.
  if (!IsNew || UnansweredThrottles_.contains(Run))
    raiseToken("speed_replaced");
  Entry->second = Percent;
  sendThrottle(Run, Percent);
}

void VmLink::sendThrottle(const TaskRun &Run, int Percent) {
  const auto Pending = PendingThrottles_.find(Run);
  if (Closed_ || Pending == PendingThrottles_.end() ||
      Pending->second != Percent)
    return;
  if (!Listener_.isWanted(*this, Run)) {
    PendingThrottles_.erase(Pending);
    UnansweredThrottles_.erase(Run);
    return;
  }
  Calls_.throttle(
      target(), Run, Percent, OrderTimeout,
      [Self = shared_from_this(), Run, Percent,
       FencingToken = FencingToken_](const Result<OrderAnswer> &Answer) {
        if (Self->Closed_)
          return;
        const bool Fenced = Answer && Answer->Outcome == OrderOutcome::Fenced;
        if (Fenced && Self->handleFenced(FencingToken, "throttle", &Run))
          return;
        if (!Answer && !isNotSent(Answer.error().Code) &&
            FencingToken == Self->FencingToken_)
          Self->UnansweredThrottles_.insert(Run);
        const auto Pending = Self->PendingThrottles_.find(Run);
        if (Pending == Self->PendingThrottles_.end() ||
            Pending->second != Percent)
          return;
        if (Answer && !Fenced && Answer->Outcome != OrderOutcome::Unhealthy) {
          Self->PendingThrottles_.erase(Pending);
          return;
        }
        Self->ControlLoop_.after(OrderRetryDelay, [Self, Run, Percent] {
          Self->sendThrottle(Run, Percent);
        });
      });
}

} // namespace cuminroad
