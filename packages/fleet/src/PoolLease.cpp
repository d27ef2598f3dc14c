#include "cuminroad/fleet/PoolLease.h"

#include <algorithm>

#include <fmt/format.h>

#include "cuminroad/fleet/JobRows.h"
#include "cuminroad/fleet/LeaseTimes.h"

namespace cuminroad {

namespace {

constexpr milliseconds ReadTimeout{800};
constexpr milliseconds TakeTimeout{1000};
/// How often a row is read that has not changed since the last look.
constexpr milliseconds SuspiciousPoll{150};
/// Standbys are spread over this time.
constexpr std::int64_t RankSpreadMs = 400;
/// A daemon that owns a pool already leaves the next one to others.
constexpr milliseconds OwnerHandicap{600};
/// A share of a core that carries a pool of the sizes of today, by the slopes
/// in docs/CAPACITY.md. Daemons with less leave pools to others, the longer the
/// less they have.
constexpr double EnoughCpu = 0.25;
constexpr double WeaknessMs = 1000;
constexpr double LeastCpu = 0.05;

} // namespace

PoolLease::PoolLease(RowStore &Store, Loop &ControlLoop,
                     const Clock &MonotonicClock, EventLog &Events,
                     const DaemonIdentity &Self, std::string Service)
    : Store_(Store), ControlLoop_(ControlLoop), MonotonicClock_(MonotonicClock),
      Events_(Events), Self_(Self), Service_(std::move(Service)),
      Rank_(static_cast<std::int64_t>(
          std::hash<std::string>{}(Self.Name + "/" + Service_) %
          RankSpreadMs)) {}

void PoolLease::start() { poll(); }

void PoolLease::lost() {
  Mine_ = false;
  SeenVersion_ = -1;
  if (!Polling_)
    pollLater(OwnerPollInterval);
}

milliseconds PoolLease::standbyDelay() const {
  const int Owned = PoolsOwned ? PoolsOwned() : 0;
  const double Cpu = std::clamp(Self_.CpuShare, LeastCpu, EnoughCpu);
  const auto Weakness =
      static_cast<std::int64_t>((EnoughCpu / Cpu - 1.0) * WeaknessMs);
  return Rank_ + OwnerHandicap * Owned + milliseconds(Weakness);
}

milliseconds PoolLease::pollDelay() const {
  // A row that did not change since the last look may be about to lapse.
  return Unchanged_ ? SuspiciousPoll : OwnerPollInterval + Rank_;
}

void PoolLease::pollLater(milliseconds Delay) {
  Polling_ = true;
  ControlLoop_.after(Delay, [Self = shared_from_this()] { Self->poll(); });
}

void PoolLease::poll() {
  Polling_ = false;
  if (Stopped_ || Mine_)
    return;
  Polling_ = true;
  const RowName Row = ownerRow(Service_);
  Store_.read(RowRange{Row.Table, Row.Partition, Row.Key, "", 1}, ReadTimeout,
              [Self = shared_from_this()](Result<RowPage> Page) {
                Self->Polling_ = false;
                if (Self->Stopped_ || Self->Mine_)
                  return;
                if (Page)
                  Self->examine(*Page);
                else
                  Self->SeenAt_ = Self->MonotonicClock_.now();
                if (!Self->Mine_ && !Self->Polling_)
                  Self->pollLater(Self->pollDelay());
              });
}

void PoolLease::examine(const RowPage &Page) {
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
    return taken(Version, TakeSentAt_);
  Unchanged_ = Version == SeenVersion_;
  if (!Unchanged_) {
    SeenVersion_ = Version;
    SeenAt_ = Now;
  }
  // The holder's process has ended where this is its next life.
  const bool Vacant = Owner_.Holder.empty() || Owner_.Holder == Self_.Name;
  const milliseconds Wait =
      standbyDelay() +
      (Vacant ? milliseconds(0)
              : std::clamp(Owner_.LeaseDuration, MinOwnerLease, MaxOwnerLease));
  if (Now - SeenAt_ >= Wait)
    take(Version, Owner_.Epoch > 0);
}

void PoolLease::take(std::int64_t Version, bool Inherited) {
  const OwnerRow Row{
      Self_.Name, Self_.Incarnation, Self_.PeerAddress, Owner_.Epoch + 1,
      0,          MaxOwnerLease};
  RowTransaction Change;
  Change.Checks.push_back(RowCheck{ownerRow(Service_), Version});
  Change.Puts.push_back(RowPut{ownerRow(Service_), encodeOwner(Row)});
  TakeSentAt_ = MonotonicClock_.now();
  TakeInherited_ = Inherited;
  Polling_ = true;
  Store_.commit(std::move(Change), TakeTimeout,
                [Self = shared_from_this(), Row](Result<RowCommit> Outcome) {
                  Self->Polling_ = false;
                  if (Self->Stopped_ || Self->Mine_)
                    return;
                  if (Outcome && Outcome->committed()) {
                    Self->Owner_ = Row;
                    return Self->taken(Outcome->Version, Self->TakeSentAt_);
                  }
                  Self->pollLater(milliseconds(0));
                });
}

void PoolLease::taken(std::int64_t Version, TimePoint SentAt) {
  Mine_ = true;
  Events_.record(
      EventId::OwnershipTaken, Service_,
      fmt::format("epoch {} inherited {}", Owner_.Epoch, TakeInherited_));
  if (OnTaken)
    OnTaken(PoolTerm{Service_, Owner_.Epoch, Version, SentAt, TakeInherited_});
}

} // namespace cuminroad
