#include "cuminroad/fleet/PoolLease.h"

#include <algorithm>

#include <fmt/format.h>

#include "cuminroad/fleet/JobRows.h"
#include "cuminroad/fleet/LeaseTimes.h"

namespace cuminroad {

namespace {

constexpr milliseconds ReadTimeout{800};
/// An acquisition whose response is lost is found by the read that follows.
constexpr milliseconds AcquireTimeout{400};
/// Poll interval while the row has not changed since the last read.
constexpr milliseconds UnchangedPollInterval{150};
/// Range of the delays by which standbys differ.
constexpr std::int64_t StandbyOffsetSpreadMs = 400;
/// Delay of a daemon's takeover for each pool that it owns already, so that
/// other daemons come first.
constexpr milliseconds DelayPerOwnedPool{600};
/// Share of a core that is sufficient for a pool of the present size, by the
/// slopes in docs/CAPACITY.md. A daemon with less delays its takeovers, the
/// longer the less it has.
constexpr double SufficientCpuShare = 0.25;
constexpr double LowCpuDelayMs = 1000;
constexpr double MinCpuShare = 0.05;

} // namespace

PoolLease::PoolLease(RowStore &Store, Loop &ControlLoop,
                     const Clock &MonotonicClock, EventLog &Events,
                     const DaemonIdentity &Self, std::string Service)
    : Store_(Store), ControlLoop_(ControlLoop), MonotonicClock_(MonotonicClock),
      Events_(Events), Self_(Self), Service_(std::move(Service)),
      StandbyOffset_(static_cast<std::int64_t>(
          std::hash<std::string>{}(Self.Name + "/" + Service_) %
          StandbyOffsetSpreadMs)) {}

void PoolLease::start() { poll(); }

void PoolLease::resumeStandby(milliseconds Pause) {
  PausedUntil_ = MonotonicClock_.now() + Pause;
  IsOwner_ = false;
  LastVersion_ = -1;
  if (!Polling_)
    pollLater(OwnerPollInterval);
}

milliseconds PoolLease::standbyDelay() const {
  const int Owned = OwnedPoolCount ? OwnedPoolCount() : 0;
  const double Cpu =
      std::clamp(Self_.CpuShare, MinCpuShare, SufficientCpuShare);
  const auto LowCpuDelay = static_cast<std::int64_t>(
      (SufficientCpuShare / Cpu - 1.0) * LowCpuDelayMs);
  return StandbyOffset_ + DelayPerOwnedPool * Owned + milliseconds(LowCpuDelay);
}

milliseconds PoolLease::pollDelay() const {
  // The owner's lease may be about to expire.
  return Unchanged_ ? UnchangedPollInterval
                    : OwnerPollInterval + StandbyOffset_;
}

void PoolLease::pollLater(milliseconds Delay) {
  Polling_ = true;
  ControlLoop_.after(Delay, [Self = shared_from_this()] { Self->poll(); });
}

void PoolLease::poll() {
  Polling_ = false;
  if (Stopped_ || IsOwner_)
    return;
  Polling_ = true;
  const RowName Row = ownerRow(Service_);
  Store_.read(RowRange{Row.Table, Row.Partition, Row.Key, "", 1}, ReadTimeout,
              [Self = shared_from_this()](Result<RowPage> Page) {
                Self->Polling_ = false;
                if (Self->Stopped_ || Self->IsOwner_)
                  return;
                if (Page)
                  Self->evaluateRow(*Page);
                else
                  Self->UnchangedSince_ = Self->MonotonicClock_.now();
                if (!Self->IsOwner_ && !Self->Polling_)
                  Self->pollLater(Self->pollDelay());
              });
}

void PoolLease::evaluateRow(const RowPage &Page) {
  const TimePoint Now = MonotonicClock_.now();
  const std::int64_t Version =
      Page.Rows.empty() ? 0 : Page.Rows.front().Version;
  Owner_ = OwnerRow{};
  WasRead_ = true;
  if (!Page.Rows.empty()) {
    auto Row = decodeOwner(Page.Rows.front().Value);
    if (Row)
      Owner_ = std::move(*Row);
    else
      Events_.record(EventId::RowUnreadable, Service_, Row.error().text());
  }
  // This daemon's own write succeeded, but the response to it was lost.
  if (!Owner_.Incarnation.empty() && Owner_.Incarnation == Self_.Incarnation &&
      Owner_.Serial == 0)
    return handleAcquired(Version, AcquireSentAt_);
  Unchanged_ = Version == LastVersion_;
  if (!Unchanged_) {
    LastVersion_ = Version;
    UnchangedSince_ = Now;
  }
  // A holder of the same name is an earlier process of this daemon, which has
  // ended.
  const bool Vacant = Owner_.Holder.empty() || Owner_.Holder == Self_.Name;
  const milliseconds TakeoverDelay =
      standbyDelay() +
      (Vacant ? milliseconds(0)
              : std::clamp(Owner_.LeaseDuration, MinOwnerLease, MaxOwnerLease));
  if (Now - UnchangedSince_ >= TakeoverDelay && Now >= PausedUntil_)
    tryAcquire(Version, Owner_.Epoch > 0);
}

void PoolLease::tryAcquire(std::int64_t Version, bool Inherited) {
  const OwnerRow Row{
      Self_.Name, Self_.Incarnation, Self_.PeerAddress, Owner_.Epoch + 1,
      0,          MaxOwnerLease,     Owner_.MovedQueues};
  RowTransaction Change;
  Change.Checks.push_back(RowCheck{ownerRow(Service_), Version});
  Change.Puts.push_back(RowPut{ownerRow(Service_), encodeOwner(Row)});
  AcquireSentAt_ = MonotonicClock_.now();
  AcquireInherited_ = Inherited;
  Polling_ = true;
  Store_.commit(std::move(Change), AcquireTimeout,
                [Self = shared_from_this(), Row](Result<RowCommit> Outcome) {
                  Self->Polling_ = false;
                  if (Self->Stopped_ || Self->IsOwner_)
                    return;
                  if (Outcome && Outcome->committed()) {
                    Self->Owner_ = Row;
                    return Self->handleAcquired(Outcome->Version,
                                                Self->AcquireSentAt_);
                  }
                  Self->pollLater(milliseconds(0));
                });
}

void PoolLease::handleAcquired(std::int64_t Version, TimePoint SentAt) {
  IsOwner_ = true;
  Events_.record(
      EventId::OwnershipTaken, Service_,
      fmt::format("epoch {} inherited {}", Owner_.Epoch, AcquireInherited_));
  if (OnAcquired)
    OnAcquired(PoolTerm{Service_, Owner_.Epoch, Version, SentAt,
                        AcquireInherited_, Owner_.MovedQueues});
}

} // namespace cuminroad
