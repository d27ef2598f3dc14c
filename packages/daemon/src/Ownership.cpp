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

bool Ownership::leaseHolds() const {
  return Mine_ && MonotonicClock_.now() < LeaseEnds_;
}

void Ownership::start() { poll(); }

void Ownership::pollSoon() {
  const milliseconds Pause =
      Mine_ ? Config_.Times.OwnerRenewal : Config_.Times.OwnerPoll;
  ControlLoop_.after(Pause, [this] { poll(); });
}

void Ownership::poll() {
  if (Released_)
    return;
  if (Mine_ && RowVersion_ != 0)
    return renew();
  Rows_.read(ownerKey(), [this](Result<TableRow> Row) {
    if (Row && !Released_)
      examine(*Row);
    else
      pollSoon();
  });
}

void Ownership::examine(const TableRow &Row) {
  const TimePoint Now = MonotonicClock_.now();
  // While the row can't be read, its owner can't renew it either, or renews it
  // unseen: that time doesn't count.
  const bool Blind = Now - ReadAt_ > Config_.Times.OwnerLease / 2;
  ReadAt_ = Now;
  if (Row.Version != SeenVersion_ || Blind) {
    SeenVersion_ = Row.Version;
    SeenAt_ = Now;
  }
  if (Row.Version != 0) {
    OwnerInfo Other{Row.Value.value("holder", ""),
                    Row.Value.value("incarnation", ""),
                    Row.Value.value("http", ""), Row.Value.value("peer", ""),
                    Row.Value.value("epoch", std::int64_t(0))};
    // The row of an owner that handed over names no holder, and one of this
    // name's earlier process has nobody behind it.
    const bool Vacant =
        Other.Holder.empty() ||
        (Other.Holder == Self_.Name && Other.Incarnation != Self_.Incarnation);
    if (!Vacant)
      observe(Other);
    Owner_.Epoch = std::max(Owner_.Epoch, Other.Epoch);
    const bool Lapsed = Now - SeenAt_ > Config_.Times.OwnerLease;
    // An owner that was chosen without the table writes itself in.
    const bool Newer = Mine_ && Owner_.Epoch > Other.Epoch;
    if (!Vacant && !Lapsed && !Newer)
      return pollSoon();
  }
  if (Now < NotBefore_)
    return pollSoon();
  take(Row);
}

void Ownership::take(const TableRow &Row) {
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
                   RowVersion_ = Outcome->Revision;
                   EpochRow_ = Outcome->Revision;
                   LeaseEnds_ = SentAt + Config_.Times.OwnerLease;
                   // An owner chosen without the table begins a new term.
                   if (Mine_ && OnLost)
                     OnLost();
                   become(Epoch, Inherited);
                 }
                 pollSoon();
               });
}

void Ownership::become(std::int64_t Epoch, bool Inherited) {
  Mine_ = true;
  Owner_ =
      OwnerInfo{Self_.Name, Self_.Incarnation, Self_.Http, Self_.Peer, Epoch};
  Events_.record(EventId::OwnershipTaken, Self_.Domain,
                 fmt::format("epoch {}", Epoch));
  if (OnTaken)
    OnTaken(Inherited);
}

void Ownership::renew() {
  const TimePoint SentAt = MonotonicClock_.now();
  Transaction Change;
  Change.WriteId = randomId();
  Change.Checks = {{ownerKey(), RowVersion_}};
  Change.Writes = {{ownerKey(), rowValue(Owner_.Epoch)}};
  Rows_.commit(std::move(Change),
               [this, SentAt](Result<CommitOutcome> Outcome) {
                 if (Outcome && Outcome->committed()) {
                   RowVersion_ = Outcome->Revision;
                   LeaseEnds_ = SentAt + Config_.Times.OwnerLease;
                 } else if (Outcome && Mine_) {
                   lose();
                 }
                 pollSoon();
               });
}

void Ownership::observe(const OwnerInfo &Other) {
  const bool Same =
      Other.Holder == Self_.Name && Other.Incarnation == Self_.Incarnation;
  if (Same || Other.Epoch < Owner_.Epoch)
    return;
  if (Mine_) {
    if (Other.Epoch == Owner_.Epoch)
      return;
    lose();
  }
  Owner_ = Other;
}

void Ownership::supersede(std::int64_t Epoch) {
  // The number is not raised beyond what was seen: a higher one would make
  // this daemon deaf to the real owner.
  if (Mine_ && Epoch >= Owner_.Epoch)
    lose();
  Owner_.Epoch = std::max(Owner_.Epoch, Epoch);
}

void Ownership::takeWithoutTable() {
  if (Mine_ || Released_ || MonotonicClock_.now() < NotBefore_)
    return;
  RowVersion_ = 0;
  EpochRow_ = 0;
  become(Owner_.Epoch + 1, true);
}

void Ownership::lose() {
  Mine_ = false;
  RowVersion_ = 0;
  EpochRow_ = 0;
  SeenVersion_ = -1;
  Events_.record(EventId::OwnershipLost, Self_.Domain,
                 fmt::format("epoch {}", Owner_.Epoch));
  if (OnLost)
    OnLost();
}

void Ownership::release(std::function<void()> Done) {
  Released_ = true;
  const bool Held = Mine_ && RowVersion_ != 0;
  if (Mine_) {
    Mine_ = false;
    Events_.record(EventId::OwnershipReleased, Self_.Domain);
    if (OnLost)
      OnLost();
  }
  if (!Held)
    return Done();
  // The row stays, with no holder, so that the epoch goes on rising.
  nlohmann::json Vacant = rowValue(Owner_.Epoch);
  Vacant["holder"] = "";
  Transaction Change;
  Change.WriteId = randomId();
  Change.Checks = {{ownerKey(), RowVersion_}};
  Change.Writes = {{ownerKey(), Vacant}};
  Rows_.commit(std::move(Change),
               [Done = std::move(Done)](Result<CommitOutcome>) { Done(); });
}

} // namespace cuminroad
