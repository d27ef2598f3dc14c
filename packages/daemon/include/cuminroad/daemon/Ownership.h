#ifndef CUMINROAD_DAEMON_OWNERSHIP_H
#define CUMINROAD_DAEMON_OWNERSHIP_H

#include <functional>
#include <string>

#include "cuminroad/base/EventLog.h"
#include "cuminroad/contract/Settings.h"
#include "cuminroad/daemon/Identity.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/store/Table.h"

namespace cuminroad {

/// Who schedules a failure domain, as far as this daemon knows.
struct OwnerInfo {
  std::string Holder;
  std::string Incarnation;
  std::string Http;
  std::string Peer;
  std::int64_t Epoch = 0;
};

/// Decides which daemon of the domain is its owner, by a row in the table that
/// the owner renews. A standby takes a row over that has not changed for the
/// length of the lease, by its own clock. Runs on the control thread.
///
/// An owner that can't reach the table stays owner: what it may do is then
/// bounded by the VMs, which refuse an older epoch once a newer one has claimed
/// them, and by a newer owner's notice.
class Ownership {
public:
  Ownership(Table &Rows, Loop &ControlLoop, const Clock &MonotonicClock,
            EventLog &Events, const Settings &Config, const Identity &Self);

  void start();
  /// Stops being owner, and never becomes it again in this process.
  void release(std::function<void()> Done);
  /// Another daemon holds \p Other.Epoch; takes it as the owner if it is newer.
  void observe(const OwnerInfo &Other);
  /// A VM or the table showed that another daemon has \p Epoch, which may be
  /// this daemon's own number: stops being owner.
  void stepDown(std::int64_t Epoch);
  /// Becomes owner on the word of the VMs alone, while the table is down.
  void takeOverWithoutTable();
  /// This daemon must not become owner before \p Until.
  void forbidTakeoverUntil(TimePoint Until) { TakeoverAllowedAt_ = Until; }

  bool isOwner() const { return IsOwner_; }
  const OwnerInfo &owner() const { return Owner_; }
  /// Whether the row in the table is this daemon's and its lease holds.
  bool isLeaseValid() const;
  /// The version of the row that changes with the epoch only; 0 without one.
  std::int64_t epochRowVersion() const { return EpochRowVersion_; }
  std::string epochKey() const;

  /// Called with whether an earlier owner existed.
  std::function<void(bool Inherited)> OnTaken;
  std::function<void()> OnLost;

private:
  void poll();
  void schedulePoll();
  void examineOwnerRow(const TableRow &Row);
  void takeOver(const TableRow &Row);
  void renewLease();
  void becomeOwner(std::int64_t Epoch, bool Inherited);
  void loseOwnership();
  nlohmann::json rowValue(std::int64_t Epoch) const;
  std::string ownerKey() const;

  Table &Rows_;
  Loop &ControlLoop_;
  const Clock &MonotonicClock_;
  EventLog &Events_;
  const Settings &Config_;
  Identity Self_;
  OwnerInfo Owner_;
  bool IsOwner_ = false;
  bool Released_ = false;
  TimePoint TakeoverAllowedAt_{};
  std::int64_t LastSeenRowVersion_ = -1;
  TimePoint RowUnchangedSince_{};
  TimePoint LastReadAt_{};
  std::int64_t OwnerRowVersion_ = 0;
  std::int64_t EpochRowVersion_ = 0;
  TimePoint LeaseEndsAt_{};
};

} // namespace cuminroad

#endif
