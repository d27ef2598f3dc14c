#include "cuminroad/fleet/VmLink.h"

#include <algorithm>
#include <utility>

#include "cuminroad/fleet/LeaseTimes.h"

namespace cuminroad {

namespace {

/// How long a VM may wait for an end before it answers a hold.
constexpr milliseconds HoldWait{1000};
/// Time for an answer beyond what the VM may wait: links and a busy VM.
constexpr milliseconds AnswerTime{800};
/// Pause between holds, so that ends that come together are told together.
constexpr milliseconds HoldPause{80};
/// A hold is repeated after this even if the ends of the last one are not
/// recorded yet, since the lease must go on.
constexpr milliseconds UnrecordedPause{600};
/// Delay before the first and the later repeats of a failed hold.
constexpr milliseconds RetryPause{250};
/// Failures in a row after which the VM counts as silent.
constexpr int SilentAfter = 2;
/// A lease is granted this much shorter than the VM allows, since its clock is
/// only estimated here.
constexpr milliseconds LeaseMargin{400};
/// A VM's clock may run this much slow.
constexpr double SlowClock = 0.98;
constexpr milliseconds LapseMargin{150};
constexpr milliseconds LapseCheck{100};
constexpr milliseconds OrderTimeout{900};
/// A start takes this long to its VM; it is not sent with a ticket that expires
/// on the way.
constexpr milliseconds TicketMargin{20};
constexpr milliseconds OrderRetry{200};
constexpr int StopTries = 6;

StartOutcome startOutcome(OrderOutcome Outcome) {
  switch (Outcome) {
  case OrderOutcome::Done:
    return StartOutcome::Accepted;
  case OrderOutcome::OldRun:
    return StartOutcome::OldRun;
  case OrderOutcome::TicketExpired:
    return StartOutcome::TicketExpired;
  case OrderOutcome::OtherInstance:
  case OrderOutcome::Fenced:
    return StartOutcome::NotSent;
  default:
    return StartOutcome::Refused;
  }
}

} // namespace

VmLink::VmLink(VmEntry Entry, Options Options, VmCalls &Calls,
               Loop &ControlLoop, const Clock &MonotonicClock,
               VmLinkEvents &Events)
    : Entry_(std::move(Entry)), Options_(Options), Calls_(Calls),
      ControlLoop_(ControlLoop), MonotonicClock_(MonotonicClock),
      Events_(Events) {}

void VmLink::start() { hold(); }

void VmLink::update(const VmEntry &Entry) { Entry_ = Entry; }

VmTarget VmLink::target() const {
  return VmTarget{Entry_.Vm.Id, Entry_.Address, Options_.FencingToken,
                  Unanswered_};
}

void VmLink::noteClock(milliseconds VmClock) {
  VmClock_ = VmClock;
  VmClockAt_ = MonotonicClock_.now();
}

std::optional<milliseconds> VmLink::leaseUntil() {
  if (!VmClock_)
    return std::nullopt;
  const TimePoint Now = MonotonicClock_.now();
  const milliseconds Allowed =
      std::chrono::duration_cast<milliseconds>(Events_.leaseLimit() - Now);
  const milliseconds Lease =
      std::min({Options_.MaxLease - LeaseMargin, TaskLease, Allowed});
  if (Lease.count() <= 0)
    return std::nullopt;
  const milliseconds Until =
      *VmClock_ + std::chrono::duration_cast<milliseconds>(Now - VmClockAt_) +
      Lease;
  LatestLease_ = std::max(LatestLease_, Until);
  return Until;
}

void VmLink::hold() {
  HoldPlanned_ = false;
  if (Closed_ || Holding_)
    return;
  Holding_ = true;
  LastHold_ = MonotonicClock_.now();
  HoldOrder Order;
  Order.AcknowledgedEnd = Acknowledged_;
  if (Failures_ == 0 && Held_) {
    Order.LeaseUntil = leaseUntil().value_or(milliseconds(0));
    if (LastEnd_ == Acknowledged_)
      Order.Wait = HoldWait;
  }
  Calls_.hold(target(), Order, Order.Wait + AnswerTime,
              [Self = shared_from_this(),
               SentAt = LastHold_](Result<HoldAnswer> Answer) {
                Self->Holding_ = false;
                Self->noteAnswer(Answer);
                if (!Self->Closed_)
                  Self->holdAnswered(SentAt, std::move(Answer));
              });
}

void VmLink::holdAnswered(TimePoint SentAt, Result<HoldAnswer> Answer) {
  if (!Answer)
    return holdFailed(errorInfo(Answer.error().Code).Name);
  switch (Answer->Outcome) {
  case OrderOutcome::Done:
    return holdSucceeded(SentAt, *Answer);
  case OrderOutcome::Fenced:
    return Events_.fenced(*this);
  case OrderOutcome::OtherInstance:
    // Another VM has the address, so this one has ended.
    holdFailed("other_instance");
    if (!LapsedTold_)
      tellLapsed();
    return;
  default:
    return holdFailed(orderOutcomeName(Answer->Outcome));
  }
}

void VmLink::holdSucceeded(TimePoint SentAt, const HoldAnswer &Answer) {
  noteClock(Answer.VmClock);
  if (Answer.Incarnation != Incarnation_) {
    Incarnation_ = Answer.Incarnation;
    Acknowledged_ = 0;
    LastEnd_ = 0;
    LatestLease_ = milliseconds(0);
    if (Held_)
      noteRestart();
  }
  const bool First = !Held_ || Failures_ > 0;
  if (!Held_ || Failures_ >= SilentAfter)
    Events_.answering(*this);
  Held_ = true;
  Failures_ = 0;
  LapsedTold_ = false;
  for (const TaskEnd &End : Answer.Ends)
    LastEnd_ = std::max(LastEnd_, End.Number);
  Events_.reported(*this, Answer, SentAt);
  if (Closed_)
    return;
  // The lease is extended by the next hold, since the clock is known now.
  if (First)
    return holdLater(milliseconds(0));
  holdLater(LastEnd_ > Acknowledged_ ? UnrecordedPause : HoldPause);
}

void VmLink::noteRestart() {
  // Orders for the earlier life may reach this one, whose clock has just begun,
  // so that no lease in them is over.
  LatestLease_ = *VmClock_ + Options_.MaxLease;
  for (const TaskRun &Run : std::exchange(OpenStarts_, {}))
    stopRun(Run);
}

void VmLink::acknowledge(std::int64_t Incarnation, std::int64_t Number) {
  if (Closed_ || Incarnation != Incarnation_ || Number <= Acknowledged_)
    return;
  Acknowledged_ = Number;
  const auto Since = std::chrono::duration_cast<milliseconds>(
      MonotonicClock_.now() - LastHold_);
  HoldPlanned_ = false;
  holdLater(std::max(HoldPause - Since, milliseconds(0)));
}

void VmLink::holdLater(milliseconds Delay) {
  if (HoldPlanned_ || Holding_ || Closed_)
    return;
  HoldPlanned_ = true;
  ControlLoop_.after(Delay, [Self = shared_from_this(), Plan = ++HoldPlan_] {
    if (Self->HoldPlanned_ && Self->HoldPlan_ == Plan)
      Self->hold();
  });
}

void VmLink::holdFailed(std::string_view Why) {
  // Nothing new is placed there until it answers.
  if (++Failures_ == 1) {
    NextSilent_ = SilentAfter;
    Events_.unanswered(*this);
  }
  if (Failures_ == NextSilent_) {
    NextSilent_ *= 2;
    Events_.silent(*this, Why, Failures_);
  }
  if (Failures_ == SilentAfter)
    checkLapse();
  if (!Closed_)
    holdLater(Failures_ == 1 ? milliseconds(0) : RetryPause);
}

void VmLink::checkLapse() {
  if (Closed_ || Failures_ == 0 || LapsedTold_)
    return;
  const TimePoint Now = MonotonicClock_.now();
  TimePoint LapsesAt = Options_.InheritedUntil;
  if (Held_)
    LapsesAt = TimePoint{};
  if (VmClock_ && LatestLease_ > *VmClock_)
    LapsesAt = std::max(LapsesAt, certainlyPast(LatestLease_));
  if (Now >= LapsesAt)
    return tellLapsed();
  ControlLoop_.after(LapseCheck,
                     [Self = shared_from_this()] { Self->checkLapse(); });
}

TimePoint VmLink::certainlyPast(milliseconds VmTime) const {
  return VmClockAt_ +
         std::chrono::duration_cast<milliseconds>((VmTime - *VmClock_) /
                                                  SlowClock) +
         LapseMargin;
}

void VmLink::tellLapsed() {
  LapsedTold_ = true;
  Events_.lapsed(*this);
}

void VmLink::startRun(const StartRun &Command, const std::string &Spec) {
  if (MonotonicClock_.now() + TicketMargin > Command.TicketUntil)
    return Events_.startAnswered(*this, Command.Run,
                                 StartOutcome::TicketExpired, "not_sent");
  sendStart(StartOrder{Command.Run, Spec, milliseconds(0), Command.Checkpoint,
                       Command.Ticket},
            0);
}

void VmLink::sendStart(StartOrder Order, int Tries) {
  if (Closed_)
    return;
  if (Tries == 0) {
    const auto Lease = leaseUntil();
    if (!Lease || !Events_.wanted(*this, Order.Run) || !Held_ || Failures_ > 0)
      return Events_.startAnswered(*this, Order.Run, StartOutcome::NotSent,
                                   "vm_not_held");
    Order.LeaseUntil = *Lease;
    OpenStarts_.insert(Order.Run);
    expireStart(Order);
  } else if (!OpenStarts_.contains(Order.Run)) {
    return;
  } else if (!Events_.wanted(*this, Order.Run)) {
    // The stop, or the lapse of the lease, settles it.
    OpenStarts_.erase(Order.Run);
    return;
  }
  Calls_.start(target(), Order, OrderTimeout,
               [Self = shared_from_this(), Order,
                Tries](const Result<OrderAnswer> &Answer) {
                 Self->noteAnswer(Answer);
                 if (!Self->Closed_)
                   Self->startAnswered(Order, Tries, Answer);
               });
}

void VmLink::expireStart(const StartOrder &Order) {
  const auto Delay = std::chrono::duration_cast<milliseconds>(
      certainlyPast(Order.LeaseUntil) - MonotonicClock_.now());
  ControlLoop_.after(Delay, [Self = shared_from_this(), Run = Order.Run] {
    // The VM accepts it no more. If it did, its lists tell.
    if (!Self->Closed_ && Self->OpenStarts_.contains(Run))
      Self->settleStart(Run, StartOutcome::OldRun, "no_certain_answer");
  });
}

void VmLink::settleStart(const TaskRun &Run, StartOutcome Outcome,
                         std::string_view Why) {
  if (OpenStarts_.erase(Run) > 0)
    Events_.startAnswered(*this, Run, Outcome, Why);
}

void VmLink::startAnswered(const StartOrder &Order, int Tries,
                           const Result<OrderAnswer> &Answer) {
  if (!Answer) {
    if (Answer.error().Code == ErrorCode::ConnectFailed && Tries == 0)
      return settleStart(Order.Run, StartOutcome::Refused,
                         errorInfo(Answer.error().Code).Name);
    // It may have been carried out, or may be later; the same run again is
    // harmless and settles it.
    return repeatStart(Order, Tries);
  }
  if (Answer->VmClock)
    noteClock(*Answer->VmClock);
  if (Answer->Outcome == OrderOutcome::Fenced)
    return Events_.fenced(*this);
  StartOutcome Outcome = startOutcome(Answer->Outcome);
  if (Tries > 0 && Outcome != StartOutcome::Accepted) {
    // An earlier try may have been carried out. Once the order has expired it
    // can't be any more, and the VM's lists tell; until then it is repeated.
    const bool Expired = Answer->Outcome == OrderOutcome::OldRun ||
                         Answer->Outcome == OrderOutcome::LeaseOver ||
                         Answer->Outcome == OrderOutcome::TicketExpired;
    if (!Expired && Answer->Outcome != OrderOutcome::OtherInstance)
      return repeatStart(Order, Tries);
    if (Expired)
      Outcome = StartOutcome::OldRun;
  }
  settleStart(Order.Run, Outcome, orderOutcomeName(Answer->Outcome));
}

void VmLink::repeatStart(const StartOrder &Order, int Tries) {
  ControlLoop_.after(OrderRetry, [Self = shared_from_this(), Order, Tries] {
    Self->sendStart(Order, Tries + 1);
  });
}

bool VmLink::stopRun(const TaskRun &Run) {
  if (!OpenStops_.insert(Run).second)
    return false;
  sendStop(Run, 0);
  return true;
}

void VmLink::sendStop(const TaskRun &Run, int Tries) {
  if (Closed_)
    return;
  Calls_.stop(target(), Run, OrderTimeout,
              [Self = shared_from_this(), Run,
               Tries](const Result<OrderAnswer> &Answer) {
                if (Self->Closed_)
                  return;
                Self->noteAnswer(Answer);
                if (Answer && Answer->Outcome == OrderOutcome::Fenced)
                  return Self->Events_.fenced(*Self);
                if (Answer && Answer->Outcome != OrderOutcome::Unhealthy) {
                  Self->OpenStops_.erase(Run);
                  return Self->Events_.stopAnswered(*Self, Run);
                }
                // Asked for again while the VM lists the run.
                if (Tries + 1 >= StopTries) {
                  Self->OpenStops_.erase(Run);
                  return;
                }
                Self->ControlLoop_.after(OrderRetry, [Self, Run, Tries] {
                  Self->sendStop(Run, Tries + 1);
                });
              });
}

void VmLink::paceRun(const TaskRun &Run, int Percent) {
  Calls_.pace(target(), Run, Percent, OrderTimeout,
              [Self = shared_from_this()](const Result<OrderAnswer> &Answer) {
                if (!Self->Closed_ && Answer &&
                    Answer->Outcome == OrderOutcome::Fenced)
                  Self->Events_.fenced(*Self);
              });
}

} // namespace cuminroad
