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

/// The daemon that owns a failure domain and schedules its work, as far as this
/// daemon knows.
struct OwnerInfo {
  /// Name of the owner's daemon.
  std::string Holder;
  std::string Incarnation;
  /// "address:port" for HTTP.
  std::string Http;
  /// "address:port" for messages between daemons.
  std::string Peer;
  /// Increases with each change of the owner.
  std::int64_t Epoch = 0;
};

/// Elects the owner of the domain among its daemons, by a row of the table that
/// the owner renews. A standby takes over when the row has not changed for the
/// length of the lease, measured by the standby's own clock. Runs on the
/// control thread.
///
/// An owner that can't reach the table stays owner. What it can do is then
/// limited by the VMs, which refuse an older epoch once a newer one has claimed
/// them, and ends when it receives a newer owner's notice.
class Ownership {
public:
  Ownership(Table &Rows, Loop &ControlLoop, const Clock &MonotonicClock,
            EventLog &Events, const Settings &Config, const Identity &Self);

  /// Begins to poll the owner's row.
  void start();
  /// Gives up ownership and never takes it again in this process. \p Done is
  /// called when the row names no holder, or the attempt to write that failed.
  void release(std::function<void()> Done);
  /// Another daemon holds \p Other.Epoch; it becomes the known owner if that
  /// epoch is newer.
  void observe(const OwnerInfo &Other);
  /// Gives up ownership because a VM or the table showed that another daemon
  /// holds \p Epoch, which may be equal to this daemon's own epoch.
  void stepDown(std::int64_t Epoch);
  /// Becomes owner while the table can't be reached, because the VMs reported
  /// that their leases are not renewed.
  void takeOverWithoutTable();
  /// Prevents this daemon from becoming owner before \p Until.
  void forbidTakeoverUntil(TimePoint Until) { TakeoverAllowedAt_ = Until; }

  bool isOwner() const { return IsOwner_; }
  const OwnerInfo &owner() const { return Owner_; }
  /// Whether the row in the table names this daemon and its lease is valid.
  bool isLeaseValid() const;
  /// \returns the version of the epoch row, which changes only with the epoch;
  /// 0 if this daemon does not own the domain by the table.
  std::int64_t epochRowVersion() const { return EpochRowVersion_; }
  std::string epochKey() const;

  /// Called when this daemon becomes owner. \p Inherited is true if there was
  /// an earlier owner.
  std::function<void(bool Inherited)> OnTaken;
  /// Called when this daemon stops being owner, and before OnTaken when an
  /// owner that took over without the table begins a new term.
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
  /// Since when the row has been read without a change or an interruption.
  TimePoint RowUnchangedSince_{};
  TimePoint LastReadAt_{};
  /// Version of this daemon's owner row; 0 without one.
  std::int64_t OwnerRowVersion_ = 0;
  std::int64_t EpochRowVersion_ = 0;
  TimePoint LeaseEndsAt_{};
};

} // namespace cuminroad

#endif
