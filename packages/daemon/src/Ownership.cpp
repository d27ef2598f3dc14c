#include "cuminroad/daemon/Ownership.h"

#include <algorithm>

#include <fmt/format.h>

#include "cuminroad/base/Ids.h"

namespace cuminroad {

Ownership::Ownership(Table &Rows, Loop &ControlLoop,
                     const Clock &MonotonicClock, EventLog &Events,
                     const Settings &Config, const Identity &Self)
    : Rows_(Rows), ControlLoop_(ControlLoop), MonotonicClock_(MonotonicClock),
      Events_(Events), Config_(Config), Self_(Self) {}

std::string Ownership::ownerKey() const { return "owner/" + Self_.Domain; }
std::string Ownership::epochKey() const { return "epoch/" + Self_.Domain; }

nlohmann::json Ownership::rowValue(std::int64_t Epoch) const {
  return {{"holder", Self_.Name},
          {"incarnation", Self_.Incarnation},
          {"http", Self_.Http},
          {"peer", Self_.Peer},
          {"epoch", Epoch}};
}

bool Ownership::isLeaseValid() const {
  return IsOwner_ && MonotonicClock_.now() < LeaseEndsAt_;
}

void Ownership::start() { poll(); }

void Ownership::schedulePoll() {
  const milliseconds Delay =
      IsOwner_ ? Config_.Times.OwnerRenewal : Config_.Times.OwnerPoll;
  ControlLoop_.after(Delay, [this] { poll(); });
}

void Ownership::poll() {
  if (Released_)
    return;
  if (IsOwner_ && OwnerRowVersion_ != 0)
    return renewLease();
  Rows_.read(ownerKey(), [this](Result<TableRow> Row) {
    if (Row && !Released_)
      examineOwnerRow(*Row);
    else
      schedulePoll();
  });
}

void Ownership::examineOwnerRow(const TableRow &Row) {
  const TimePoint Now = MonotonicClock_.now();
  // While this daemon can't read the row, the owner may be unable to renew it,
  // or renews it unseen. That time does not count towards the lease.
  const bool ReadsInterrupted =
      Now - LastReadAt_ > Config_.Times.OwnerLease / 2;
  LastReadAt_ = Now;
  if (Row.Version != LastSeenRowVersion_ || ReadsInterrupted) {
    LastSeenRowVersion_ = Row.Version;
    RowUnchangedSince_ = Now;
  }
  if (Row.Version != 0) {
    OwnerInfo Other{Row.Value.value("holder", ""),
                    Row.Value.value("incarnation", ""),
                    Row.Value.value("http", ""), Row.Value.value("peer", ""),
                    Row.Value.value("epoch", std::int64_t(0))};
    // An owner that released its row left no holder in it. A holder with this
    // daemon's name and another incarnation is an earlier process of this
    // daemon, which has ended.
    const bool Vacant =
        Other.Holder.empty() ||
        (Other.Holder == Self_.Name && Other.Incarnation != Self_.Incarnation);
    if (!Vacant)
      observe(Other);
    Owner_.Epoch = std::max(Owner_.Epoch, Other.Epoch);
    const bool Lapsed = Now - RowUnchangedSince_ > Config_.Times.OwnerLease;
    // An owner that took over without the table writes its own row now.
    const bool HoldsNewerEpoch = IsOwner_ && Owner_.Epoch > Other.Epoch;
    if (!Vacant && !Lapsed && !HoldsNewerEpoch)
      return schedulePoll();
  }
  if (Now < TakeoverAllowedAt_)
    return schedulePoll();
  takeOver(Row);
}

void Ownership::takeOver(const TableRow &Row) {
  const bool Inherited = Row.Version != 0;
  const std::int64_t Epoch = Owner_.Epoch + 1;
  const TimePoint SentAt = MonotonicClock_.now();
  Transaction Change;
  Change.WriteId = randomId();
  Change.Checks = {{Row.Key, Row.Version}};
  Change.Writes = {{Row.Key, rowValue(Epoch)},
                   {epochKey(), {{"epoch", Epoch}}}};
  Rows_.commit(std::move(Change),
               [this, Epoch, Inherited, SentAt](Result<CommitOutcome> Outcome) {
                 if (Outcome && Outcome->committed() && !Released_) {
                   OwnerRowVersion_ = Outcome->Revision;
                   EpochRowVersion_ = Outcome->Revision;
                   LeaseEndsAt_ = SentAt + Config_.Times.OwnerLease;
                   // An owner that took over without the table begins a new
                   // term under an epoch that is in the table.
                   if (IsOwner_ && OnLost)
                     OnLost();
                   becomeOwner(Epoch, Inherited);
                 }
                 schedulePoll();
               });
}

void Ownership::becomeOwner(std::int64_t Epoch, bool Inherited) {
  IsOwner_ = true;
  Owner_ =
      OwnerInfo{Self_.Name, Self_.Incarnation, Self_.Http, Self_.Peer, Epoch};
  Events_.record(EventId::OwnershipTaken, Self_.Domain,
                 fmt::format("epoch {}", Epoch));
  if (OnTaken)
    OnTaken(Inherited);
}

void Ownership::renewLease() {
  const TimePoint SentAt = MonotonicClock_.now();
  Transaction Change;
  Change.WriteId = randomId();
  Change.Checks = {{ownerKey(), OwnerRowVersion_}};
  Change.Writes = {{ownerKey(), rowValue(Owner_.Epoch)}};
  Rows_.commit(std::move(Change),
               [this, SentAt](Result<CommitOutcome> Outcome) {
                 if (Outcome && Outcome->committed()) {
                   OwnerRowVersion_ = Outcome->Revision;
                   LeaseEndsAt_ = SentAt + Config_.Times.OwnerLease;
                 } else if (Outcome && IsOwner_) {
                   loseOwnership();
                 }
                 schedulePoll();
               });
}

void Ownership::observe(const OwnerInfo &Other) {
  const bool IsSelf =
      Other.Holder == Self_.Name && Other.Incarnation == Self_.Incarnation;
  if (IsSelf || Other.Epoch < Owner_.Epoch)
    return;
  if (IsOwner_) {
    if (Other.Epoch == Owner_.Epoch)
      return;
    loseOwnership();
  }
  Owner_ = Other;
}

void Ownership::stepDown(std::int64_t Epoch) {
  // The epoch is not raised above the one that was seen: observe() would ignore
  // the actual owner if its epoch were lower.
  if (IsOwner_ && Epoch >= Owner_.Epoch)
    loseOwnership();
  Owner_.Epoch = std::max(Owner_.Epoch, Epoch);
}

void Ownership::takeOverWithoutTable() {
  if (IsOwner_ || Released_ || MonotonicClock_.now() < TakeoverAllowedAt_)
    return;
  OwnerRowVersion_ = 0;
  EpochRowVersion_ = 0;
  becomeOwner(Owner_.Epoch + 1, true);
}

void Ownership::loseOwnership() {
  IsOwner_ = false;
  OwnerRowVersion_ = 0;
  EpochRowVersion_ = 0;
  LastSeenRowVersion_ = -1;
  Events_.record(EventId::OwnershipLost, Self_.Domain,
                 fmt::format("epoch {}", Owner_.Epoch));
  if (OnLost)
    OnLost();
}

void Ownership::release(std::function<void()> Done) {
  Released_ = true;
  const bool HoldsRow = IsOwner_ && OwnerRowVersion_ != 0;
  if (IsOwner_) {
    IsOwner_ = false;
    Events_.record(EventId::OwnershipReleased, Self_.Domain);
    if (OnLost)
      OnLost();
  }
  if (!HoldsRow)
    return Done();
  // The row stays, without a holder, so that the epoch goes on increasing.
  nlohmann::json Vacant = rowValue(Owner_.Epoch);
  Vacant["holder"] = "";
  Transaction Change;
  Change.WriteId = randomId();
  Change.Checks = {{ownerKey(), OwnerRowVersion_}};
  Change.Writes = {{ownerKey(), Vacant}};
  Rows_.commit(std::move(Change),
               [Done = std::move(Done)](Result<CommitOutcome>) { Done(); });
}

} // namespace cuminroad
