// A pool owner's VMs: which are held, and what they tell.
#include "cuminroad/fleet/PoolOwner.h"

#include <algorithm>

#include <fmt/format.h>

#include "RunFormat.h"
#include "cuminroad/fleet/LeaseTimes.h"

namespace cuminroad {

void PoolOwner::syncVms() {
  if (Closed_ || !Context_.Directory.known())
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
                        InheritedUntil_},
        Context_.Vms, Context_.ControlLoop, Context_.MonotonicClock, *this);
    Link->start();
  }
  wake();
}

void PoolOwner::checkUnlistedVms() {
  const TimePoint Now = Context_.MonotonicClock.now();
  const auto &Listed = Context_.Directory.entries();
  for (auto Entry = Links_.begin(); Entry != Links_.end();) {
    const auto Found = Listed.find(Entry->first);
    const bool Here =
        Found != Listed.end() && Found->second.Service == Term_.Service;
    // A VM whose entry has expired may be alive: it goes when its leases have.
    if (Here || !Entry->second->lapsedTold()) {
      ++Entry;
      continue;
    }
    Entry->second->close();
    Scheduler_->vmRemoved(Entry->first);
    SeenEnds_.erase(Entry->first);
    Context_.Events.record(EventId::VmGone, Entry->first, Term_.Service);
    Entry = Links_.erase(Entry);
  }
  // VMs of an earlier owner's records that never were listed since.
  if (Now < InheritedUntil_)
    return;
  for (const std::string &Vm : Scheduler_->occupiedVms())
    if (!Links_.contains(Vm))
      Scheduler_->vmRemoved(Vm);
}

TimePoint PoolOwner::leaseLimit() const {
  return Writer_->renewedAt() + VmLeaseLimit;
}

void PoolOwner::reported(VmLink &Link, const HoldAnswer &Answer,
                         TimePoint AskedAt) {
  SeenEnds &Seen = SeenEnds_[Link.vm()];
  if (Seen.Incarnation != Answer.Incarnation)
    Seen = SeenEnds{Answer.Incarnation, 0};
  std::int64_t Last = 0;
  for (const TaskEnd &End : Answer.Ends) {
    Last = std::max(Last, End.Number);
    // Ends are listed again until they are acknowledged.
    if (End.Number <= Seen.Last)
      continue;
    Context_.Metrics.recordRunEnd(runEndName(End.How));
    Context_.Events.record(
        EventId::RunEnded, formatRun(End.Run),
        fmt::format("{} {}", Link.vm(), runEndName(End.How)));
    Scheduler_->taskEnded(Link.vm(), End);
  }
  Seen.Last = std::max(Seen.Last, Last);
  Scheduler_->vmReported(Link.vm(), Answer.Incarnation, Answer.Running,
                         AskedAt);
  if (Last > 0) {
    recordChanges();
    Writer_->whenCommitted([Self = shared_from_this(), Vm = Link.vm(),
                            Incarnation = Answer.Incarnation, Last] {
      VmLink *Target = Self->link(Vm);
      if (!Self->Closed_ && Target != nullptr)
        Target->acknowledge(Incarnation, Last);
    });
  }
  wake();
}

void PoolOwner::silent(VmLink &Link, std::string_view Why, int Tries) {
  Context_.Events.record(EventId::VmUnreachable, Link.vm(),
                         fmt::format("{} tries {}", Why, Tries));
}

void PoolOwner::answering(VmLink &Link) {
  Context_.Events.record(EventId::VmClaimed, Link.vm(), Term_.Service);
}

void PoolOwner::unanswered(VmLink &Link) { Scheduler_->vmSilent(Link.vm()); }

void PoolOwner::lapsed(VmLink &Link) {
  Context_.Events.record(EventId::VmLeaseLapsed, Link.vm(), Term_.Service);
  Scheduler_->vmEmptied(Link.vm());
  wake();
}

void PoolOwner::fenced(VmLink &Link) {
  Context_.Events.record(EventId::VmClaimRefused, Link.vm(),
                         fmt::format("epoch {}", Term_.Epoch));
  // Later, since the link that calls is ended by it.
  Context_.ControlLoop.post([Self = shared_from_this()] { Self->replaced(); });
}

void PoolOwner::startAnswered(VmLink &Link, const TaskRun &Run,
                              StartOutcome Outcome, std::string_view Why) {
  Context_.Metrics.recordRunStart(Outcome == StartOutcome::Accepted ? "accepted"
                                                                    : Why);
  if (Outcome == StartOutcome::Accepted)
    Context_.Events.record(EventId::RunStarted, formatRun(Run), Link.vm());
  else
    Context_.Events.record(EventId::RunRefused, formatRun(Run),
                           fmt::format("{} {}", Link.vm(), Why));
  Scheduler_->startAnswered(Link.vm(), Run, Outcome);
  if (Outcome != StartOutcome::Accepted)
    wake();
}

void PoolOwner::stopAnswered(VmLink &Link, const TaskRun &Run) {
  Scheduler_->stopAnswered(Link.vm(), Run);
}

bool PoolOwner::wanted(const VmLink &Link, const TaskRun &Run) const {
  return Scheduler_->wants(Link.vm(), Run);
}

} // namespace cuminroad
