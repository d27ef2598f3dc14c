#include "cuminroad/fleet/PoolLease.h"

#include <algorithm>

#include <fmt/format.h>

#include "cuminroad/fleet/JobRows.h"
#include "cuminroad/fleet/LeaseTimes.h"

namespace cuminroad {

namespace {

constexpr milliseconds ReadTimeout{800};
constexpr milliseconds AcquireTimeout{1000};
/// How often a row is read that has not changed since the last look.
constexpr milliseconds UnchangedPollInterval{150};
/// Standbys are spread over this time.
constexpr std::int64_t StandbyOffsetSpreadMs = 400;
/// A daemon that owns a pool already leaves the next one to others.
constexpr milliseconds DelayPerOwnedPool{600};
/// A share of a core that carries a pool of the sizes of today, by the slopes
/// in docs/CAPACITY.md. Daemons with less leave pools to others, the longer the
/// less they have.
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

void PoolLease::resumeStandby() {
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
  // A row that did not change since the last look may be about to lapse.
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
  if (!Page.Rows.empty()) {
    auto Row = decodeOwner(Page.Rows.front().Value);
    if (Row)
      Owner_ = std::move(*Row);
    else
      Events_.record(EventId::RowUnreadable, Service_, Row.error().text());
  }
  // The answer to this daemon's own write was lost.
  if (!Owner_.Incarnation.empty() && Owner_.Incarnation == Self_.Incarnation &&
      Owner_.Serial == 0)
    return handleAcquired(Version, AcquireSentAt_);
  Unchanged_ = Version == LastVersion_;
  if (!Unchanged_) {
    LastVersion_ = Version;
    UnchangedSince_ = Now;
  }
  // The holder's process has ended where this is its next life.
  const bool Vacant = Owner_.Holder.empty() || Owner_.Holder == Self_.Name;
  const milliseconds TakeoverDelay =
      standbyDelay() +
      (Vacant ? milliseconds(0)
              : std::clamp(Owner_.LeaseDuration, MinOwnerLease, MaxOwnerLease));
  if (Now - UnchangedSince_ >= TakeoverDelay)
    tryAcquire(Version, Owner_.Epoch > 0);
}

void PoolLease::tryAcquire(std::int64_t Version, bool Inherited) {
  const OwnerRow Row{
      Self_.Name, Self_.Incarnation, Self_.PeerAddress, Owner_.Epoch + 1,
      0,          MaxOwnerLease};
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
    OnAcquired(
        PoolTerm{Service_, Owner_.Epoch, Version, SentAt, AcquireInherited_});
}

} // namespace cuminroad
