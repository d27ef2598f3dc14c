// The part of PoolOwner that manages VM links, sends starts through them and
// handles their events.
#include "cuminroad/fleet/PoolOwner.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "RunFormat.h"
#include "cuminroad/fleet/LeaseTimes.h"

namespace cuminroad {

namespace {

/// In pools of LargePoolVms and more, VMs without tasks are held less often
/// than others: an owner sends about IdleHoldsPerSecond holds to them, within
/// the bound of the interval. In smaller pools all VMs are held alike, so that
/// the loss of a VM is noticed within a second.
constexpr std::size_t LargePoolVms = 800;
constexpr std::size_t IdleHoldsPerSecond = 150;
constexpr milliseconds MaxIdleHoldInterval{15000};
/// Many VMs are held in batches, so that the owner renews its ownership between
/// them also if it has little processor time.
constexpr int HoldBatchSize = 40;
constexpr milliseconds HoldBatchInterval{20};
/// A capacity whose age can't be known counts as this old.
constexpr milliseconds UnknownCapacityAge{3600000};

/// \returns the VM, its listed capacity, and how long ago that was in force.
std::string formatCapacity(const VmLink &Link,
                           std::optional<milliseconds> Age) {
  const Capacity &Total = Link.listedCapacity();
  std::string Out =
      fmt::format("{} capacity {}m/{}MB/{}g", Link.vm(), Total.MilliCores,
                  Total.MemoryMb, Total.Accelerators);
  if (Age)
    Out += fmt::format(" age_ms {}", Age->count());
  return Out;
}

/// \returns each run as TASK#RUN, after \p Label; empty without runs.
std::string formatRunsOfStep(std::string_view Label,
                             std::span<const TaskRun> Runs) {
  std::string Out;
  for (const TaskRun &Run : Runs)
    Out += fmt::format("{}{}#{}", Out.empty() ? Label : " ", Run.Task.Index,
                       Run.Number);
  return Out;
}

/// \returns what \p OnVm tells of the VM, with ages at the time of the
/// decision, and how long ago that was.
std::string formatStepOnVm(const StepOnVm &OnVm, TimePoint Now) {
  const auto AgeMs = [](TimePoint Since, TimePoint Until) {
    return std::chrono::duration_cast<milliseconds>(Until - Since).count();
  };
  return fmt::format("step_on_vm {} of {}{}{} incarnation {} report_age_ms {} "
                     "decided_ms {}",
                     OnVm.Runs.size() + OnVm.UnknownRuns.size(), OnVm.Limit,
                     formatRunsOfStep(" runs ", OnVm.Runs),
                     formatRunsOfStep(" unknown ", OnVm.UnknownRuns),
                     OnVm.VmIncarnation, AgeMs(OnVm.ReportedAt, OnVm.DecidedAt),
                     AgeMs(OnVm.DecidedAt, Now));
}

} // namespace

void PoolOwner::syncVms() {
  if (Closed_ || !Context_.Directory.loaded())
    return;
  std::vector<std::string> NewVms;
  for (const auto &[Id, Entry] : Context_.Directory.entries()) {
    if (Entry.Service != Term_.Service)
      continue;
    Scheduler_->vmListed(Entry.Vm);
    std::shared_ptr<VmLink> &Link = Links_[Id];
    if (Link) {
      Link->update(Entry);
      updateCapacityAge(*Link);
      continue;
    }
    Link = std::make_shared<VmLink>(
        Entry,
        VmLink::Options{Context_.Settings.MaxTaskLease, InheritedLeasesUntil_,
                        maxCapacityAge(Context_.Settings)},
        Tokens_, Context_.Vms, Context_.ControlLoop, Context_.MonotonicClock,
        *this);
    NewVms.push_back(Id);
  }
  if (!NewVms.empty())
    claimVms(NewVms);
  schedulePass();
}

void PoolOwner::claimVms(std::span<const std::string> NewVms) {
  const std::vector<std::string> OccupiedVms = Scheduler_->occupiedVms();
  const std::set<std::string_view> Occupied(OccupiedVms.begin(),
                                            OccupiedVms.end());
  // The leases of VMs with tasks are renewed first.
  for (const std::string &Vm : NewVms) {
    if (Occupied.contains(Vm))
      HoldQueue_.push_front(Vm);
    else
      HoldQueue_.push_back(Vm);
  }
  holdQueuedVms();
}

void PoolOwner::holdQueuedVms() {
  if (!HoldBatchScheduled_ && !HoldQueue_.empty())
    holdNextBatch();
}

void PoolOwner::holdNextBatch() {
  HoldBatchScheduled_ = false;
  if (Closed_)
    return;
  for (int Count = 0; Count < HoldBatchSize && !HoldQueue_.empty(); ++Count) {
    if (VmLink *Link = findLink(HoldQueue_.front()))
      Link->start();
    HoldQueue_.pop_front();
  }
  if (HoldQueue_.empty())
    return;
  HoldBatchScheduled_ = true;
  Context_.ControlLoop.after(HoldBatchInterval, [Self = shared_from_this()] {
    Self->holdNextBatch();
  });
}

void PoolOwner::sendStarts(std::span<const StartRun> Starts) {
  if (Starts.empty())
    return;
  for (const StartRun &Start : Starts) {
    const JobPlan *Plan = Scheduler_->plan(Start.Run.Task.Step.Job);
    VmLink *Link = findLink(Start.Vm);
    if (Plan == nullptr || Link == nullptr)
      continue;
    ++StartStatistics_.Sent;
    if (Start.OnVm)
      Context_.Events.record(
          EventId::RunOrdered, formatRun(Start.Run),
          fmt::format(
              "{} {} token {}", Start.Vm,
              formatStepOnVm(*Start.OnVm, Context_.MonotonicClock.now()),
              Link->fencingToken()));
    Link->startRun(Start, Plan->Spec);
  }
  const auto Delay = std::chrono::duration_cast<milliseconds>(
      Context_.MonotonicClock.now() - UnsentStarts_.front());
  UnsentStarts_.pop_front();
  StartStatistics_.LongestDelay =
      std::max(StartStatistics_.LongestDelay, Delay);
}

void PoolOwner::removeUnlistedVms() {
  const TimePoint Now = Context_.MonotonicClock.now();
  const auto &Listed = Context_.Directory.entries();
  for (auto Entry = Links_.begin(); Entry != Links_.end();) {
    const auto Found = Listed.find(Entry->first);
    const bool StillListed =
        Found != Listed.end() && Found->second.Service == Term_.Service;
    // Its next regular hold may be far off.
    if (StillListed)
      UnlistedVms_.erase(Entry->first);
    else if (UnlistedVms_.insert(Entry->first).second)
      HoldQueue_.push_back(Entry->first);
    // A VM whose entry has expired may still run tasks. It is removed when its
    // leases have expired.
    if (StillListed || !Entry->second->leaseExpiryReported()) {
      ++Entry;
      continue;
    }
    Entry->second->close();
    Scheduler_->vmRemoved(Entry->first);
    ReceivedEnds_.erase(Entry->first);
    UnlistedVms_.erase(Entry->first);
    Context_.Events.record(EventId::VmGone, Entry->first, Term_.Service);
    Entry = Links_.erase(Entry);
  }
  holdQueuedVms();
  // VMs that only the records of an earlier owner name, and that have never
  // been listed since.
  if (Now < InheritedLeasesUntil_)
    return;
  for (const std::string &Vm : Scheduler_->occupiedVms())
    if (!Links_.contains(Vm))
      Scheduler_->vmRemoved(Vm);
}

milliseconds PoolOwner::idleHoldInterval() const {
  if (Links_.size() < LargePoolVms)
    return milliseconds(0);
  const milliseconds Interval(
      static_cast<std::int64_t>(Links_.size() * 1000 / IdleHoldsPerSecond));
  return std::min(Interval, MaxIdleHoldInterval);
}

std::optional<milliseconds> PoolOwner::capacityAge(const VmLink &Link) const {
  if (Link.hasEntryClock())
    return Link.entryAge();
  return std::chrono::duration_cast<milliseconds>(
      Context_.MonotonicClock.now() - Context_.Store.lastContact());
}

void PoolOwner::updateCapacityAge(const VmLink &Link) {
  // A start would not be sent, so that its task must not be placed either.
  Scheduler_->vmCapacityAge(Link.vm(),
                            capacityAge(Link).value_or(UnknownCapacityAge));
}

TimePoint PoolOwner::leaseLimit() const {
  return Writer_->renewedAt() + VmLeaseLimit;
}

void PoolOwner::onReport(VmLink &Link, const HoldAnswer &Answer,
                         TimePoint SentAt) {
  ReceivedEnds &Received = ReceivedEnds_[Link.vm()];
  if (Received.Incarnation != Answer.Incarnation) {
    if (Received.Incarnation != 0)
      Context_.Events.record(
          EventId::VmRestarted, Link.vm(),
          fmt::format("{} incarnation {}", Term_.Service, Answer.Incarnation));
    Received = ReceivedEnds{Answer.Incarnation, 0};
  }
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
  if (Answer.ListedEnds == EndList::Partial)
    Context_.Events.record(EventId::VmEndsPartial, Link.vm(),
                           fmt::format("{} ends {} last {}", Term_.Service,
                                       Answer.Ends.size(), LastEnd));
  Scheduler_->vmReported(Link.vm(), Answer.Incarnation, Answer.report(),
                         SentAt);
  updateCapacityAge(Link);
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

void PoolOwner::onLeaseExpired(VmLink &Link, RunsEndedCause Cause) {
  Context_.Events.record(
      EventId::VmLeaseLapsed, Link.vm(),
      fmt::format("{} {}", Term_.Service, runsEndedCauseName(Cause)));
  Scheduler_->vmTasksEnded(Link.vm(), Cause);
  schedulePass();
}

void PoolOwner::onFenced(VmLink &Link) {
  Context_.Events.record(EventId::VmClaimRefused, Link.vm(),
                         fmt::format("epoch {}", Term_.Epoch));
  // Deferred, since it closes the link that is calling.
  Context_.ControlLoop.post(
      [Self = shared_from_this()] { Self->handleReplacement(); });
}

void PoolOwner::onTokenRaised(VmLink &Link, std::string_view Reason) {
  Context_.Events.record(EventId::VmTokenRaised, Link.vm(),
                         fmt::format("{} {} incarnation {} token {}",
                                     Term_.Service, Reason, Link.incarnation(),
                                     Link.fencingToken()));
}

void PoolOwner::onOrderVoided(VmLink &Link, std::string_view Order,
                              const TaskRun *Run, std::int64_t FencingToken) {
  Context_.Events.record(EventId::VmOrderVoided,
                         Run != nullptr ? formatRun(*Run) : Link.vm(),
                         fmt::format("{} {} token {} raised {}", Link.vm(),
                                     Order, FencingToken, Link.fencingToken()));
}

void PoolOwner::onStartAnswered(VmLink &Link, const TaskRun &Run,
                                StartOutcome Outcome, std::string_view Reason) {
  Context_.Metrics.recordRunStart(Outcome == StartOutcome::Accepted ? "accepted"
                                                                    : Reason);
  if (Outcome == StartOutcome::Accepted)
    Context_.Events.record(EventId::RunStarted, formatRun(Run),
                           formatCapacity(Link, capacityAge(Link)));
  else
    Context_.Events.record(EventId::RunRefused, formatRun(Run),
                           fmt::format("{} {}", Link.vm(), Reason));
  StartStatistics_.Refused += Outcome != StartOutcome::Accepted;
  StartStatistics_.Late += Outcome == StartOutcome::TicketExpired;
  Scheduler_->startAnswered(Link.vm(), Run, Outcome);
  if (Outcome != StartOutcome::Accepted)
    schedulePass();
}

void PoolOwner::onStartTried(milliseconds Duration, bool Answered) {
  StartStatistics_.Unanswered += !Answered;
  StartStatistics_.LongestAnswer =
      std::max(StartStatistics_.LongestAnswer, Duration);
}

void PoolOwner::onStopAnswered(VmLink &Link, const TaskRun &Run) {
  Scheduler_->stopAnswered(Link.vm(), Run);
}

bool PoolOwner::isWanted(const VmLink &Link, const TaskRun &Run) const {
  return Scheduler_->isCurrentRun(Link.vm(), Run);
}

} // namespace cuminroad
