// The part of PoolOwner that manages VM links and handles their events.
#include "cuminroad/fleet/PoolOwner.h"

#include <algorithm>

#include <fmt/format.h>

#include "RunFormat.h"
#include "cuminroad/fleet/LeaseTimes.h"

namespace cuminroad {

namespace {

/// An owner of a large pool sends at most this many holds a second to VMs
/// without tasks, within the interval's bounds. In smaller pools all VMs are
/// held alike, so that a VM that is lost is noticed within a second.
constexpr std::int64_t IdleHoldsPerSecond = 400;
constexpr milliseconds MinIdleHoldInterval{2000};
constexpr milliseconds MaxIdleHoldInterval{5000};

} // namespace

void PoolOwner::syncVms() {
  if (Closed_ || !Context_.Directory.loaded())
    return;
  for (const auto &[Id, Entry] : Context_.Directory.entries()) {
    if (Entry.Service != Term_.Service)
      continue;
    Scheduler_->vmListed(Entry.Vm);
    std::shared_ptr<VmLink> &Link = Links_[Id];
    if (Link) {
      Link->update(Entry);
      continue;
    }
    Link = std::make_shared<VmLink>(
        Entry,
        VmLink::Options{Term_.Epoch, Context_.Settings.MaxTaskLease,
                        InheritedLeasesUntil_},
        Context_.Vms, Context_.ControlLoop, Context_.MonotonicClock, *this);
    Link->start();
  }
  schedulePass();
}

void PoolOwner::removeUnlistedVms() {
  const TimePoint Now = Context_.MonotonicClock.now();
  const auto &Listed = Context_.Directory.entries();
  for (auto Entry = Links_.begin(); Entry != Links_.end();) {
    const auto Found = Listed.find(Entry->first);
    const bool StillListed =
        Found != Listed.end() && Found->second.Service == Term_.Service;
    // A VM whose entry has expired may still run tasks. It is removed when its
    // leases have expired.
    if (StillListed || !Entry->second->leaseExpiryReported()) {
      ++Entry;
      continue;
    }
    Entry->second->close();
    Scheduler_->vmRemoved(Entry->first);
    ReceivedEnds_.erase(Entry->first);
    Context_.Events.record(EventId::VmGone, Entry->first, Term_.Service);
    Entry = Links_.erase(Entry);
  }
  // VMs that only the records of an earlier owner name, and that have never
  // been listed since.
  if (Now < InheritedLeasesUntil_)
    return;
  for (const std::string &Vm : Scheduler_->occupiedVms())
    if (!Links_.contains(Vm))
      Scheduler_->vmRemoved(Vm);
}

milliseconds PoolOwner::idleHoldInterval() const {
  const milliseconds Interval(static_cast<std::int64_t>(Links_.size()) * 1000 /
                              IdleHoldsPerSecond);
  return Interval < MinIdleHoldInterval
             ? milliseconds(0)
             : std::min(Interval, MaxIdleHoldInterval);
}

TimePoint PoolOwner::leaseLimit() const {
  return Writer_->renewedAt() + VmLeaseLimit;
}

void PoolOwner::onReport(VmLink &Link, const HoldAnswer &Answer,
                         TimePoint SentAt) {
  ReceivedEnds &Received = ReceivedEnds_[Link.vm()];
  if (Received.Incarnation != Answer.Incarnation)
    Received = ReceivedEnds{Answer.Incarnation, 0};
  std::int64_t LastEnd = 0;
  for (const TaskEnd &End : Answer.Ends) {
    LastEnd = std::max(LastEnd, End.Number);
    // A VM lists its ends again until they are acknowledged.
    if (End.Number <= Received.LastEnd)
      continue;
    Context_.Metrics.recordRunEnd(runOutcomeName(End.Outcome));
    Context_.Events.record(
        EventId::RunEnded, formatRun(End.Run),
        fmt::format("{} {}", Link.vm(), runOutcomeName(End.Outcome)));
    Scheduler_->taskEnded(Link.vm(), End);
  }
  Received.LastEnd = std::max(Received.LastEnd, LastEnd);
  Scheduler_->vmReported(Link.vm(), Answer.Incarnation, Answer.Running, SentAt);
  if (LastEnd > 0) {
    recordChanges();
    Writer_->whenCommitted([Self = shared_from_this(), Vm = Link.vm(),
                            Incarnation = Answer.Incarnation, LastEnd] {
      VmLink *Target = Self->findLink(Vm);
      if (!Self->Closed_ && Target != nullptr)
        Target->acknowledge(Incarnation, LastEnd);
    });
  }
  schedulePass();
}

void PoolOwner::onUnreachable(VmLink &Link, std::string_view Reason,
                              int Attempts) {
  Context_.Events.record(EventId::VmUnreachable, Link.vm(),
                         fmt::format("{} tries {}", Reason, Attempts));
}

void PoolOwner::onReachable(VmLink &Link) {
  Context_.Events.record(EventId::VmClaimed, Link.vm(), Term_.Service);
}

void PoolOwner::onNoAnswer(VmLink &Link) {
  Scheduler_->vmUnreachable(Link.vm());
}

void PoolOwner::onLeaseExpired(VmLink &Link) {
  Context_.Events.record(EventId::VmLeaseLapsed, Link.vm(), Term_.Service);
  Scheduler_->vmTasksEnded(Link.vm());
  schedulePass();
}

void PoolOwner::onFenced(VmLink &Link) {
  Context_.Events.record(EventId::VmClaimRefused, Link.vm(),
                         fmt::format("epoch {}", Term_.Epoch));
  // Deferred, since it closes the link that is calling.
  Context_.ControlLoop.post(
      [Self = shared_from_this()] { Self->handleReplacement(); });
}

void PoolOwner::onStartAnswered(VmLink &Link, const TaskRun &Run,
                                StartOutcome Outcome, std::string_view Reason) {
  Context_.Metrics.recordRunStart(Outcome == StartOutcome::Accepted ? "accepted"
                                                                    : Reason);
  if (Outcome == StartOutcome::Accepted)
    Context_.Events.record(EventId::RunStarted, formatRun(Run), Link.vm());
  else
    Context_.Events.record(EventId::RunRefused, formatRun(Run),
                           fmt::format("{} {}", Link.vm(), Reason));
  Scheduler_->startAnswered(Link.vm(), Run, Outcome);
  if (Outcome != StartOutcome::Accepted)
    schedulePass();
}

void PoolOwner::onStopAnswered(VmLink &Link, const TaskRun &Run) {
  Scheduler_->stopAnswered(Link.vm(), Run);
}

bool PoolOwner::isWanted(const VmLink &Link, const TaskRun &Run) const {
  return Scheduler_->isCurrentRun(Link.vm(), Run);
}

} // namespace cuminroad
