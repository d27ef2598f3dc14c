#ifndef CUMINROAD_FLEET_POOLLEASE_H
#define CUMINROAD_FLEET_POOLLEASE_H

#include <functional>
#include <memory>
#include <string>

#include "cuminroad/base/EventLog.h"
#include "cuminroad/fleet/DaemonIdentity.h"
#include "cuminroad/fleet/OwnerRow.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/store/RowStore.h"

namespace cuminroad {

/// A term of ownership of a pool.
struct PoolTerm {
  std::string Service;
  std::int64_t Epoch = 0;
  /// Version of the owner row as this daemon wrote it.
  std::int64_t RowVersion = 0;
  /// When the write was sent.
  TimePoint WrittenAt{};
  /// Whether an earlier owner may have left runs on VMs.
  bool Inherited = false;
};

/// Decides which daemon owns a pool, by a row of the store that each of the
/// owner's transactions replaces. A standby takes over a row that has not
/// changed for the length of the lease, by its own clock; time in which it
/// could not read does not count. Standbys wait for different times, so that
/// one is usually first; those that own a pool already, and those with little
/// processor time, wait longer.
class PoolLease : public std::enable_shared_from_this<PoolLease> {
public:
  PoolLease(RowStore &Store, Loop &ControlLoop, const Clock &MonotonicClock,
            EventLog &Events, const DaemonIdentity &Self, std::string Service);

  void start();
  /// Never takes the pool over again.
  void stop() { Stopped_ = true; }
  /// The owner stepped down; watch the row again.
  void resumeStandby();
  /// The owner as last read.
  const OwnerRow &owner() const { return Owner_; }

  std::function<void(PoolTerm)> OnAcquired;
  /// How many pools this daemon owns already.
  std::function<int()> OwnedPoolCount;

private:
  void poll();
  void pollLater(milliseconds Delay);
  void evaluateRow(const RowPage &Page);
  void tryAcquire(std::int64_t Version, bool Inherited);
  void handleAcquired(std::int64_t Version, TimePoint SentAt);
  milliseconds standbyDelay() const;
  milliseconds pollDelay() const;

  RowStore &Store_;
  Loop &ControlLoop_;
  const Clock &MonotonicClock_;
  EventLog &Events_;
  const DaemonIdentity &Self_;
  std::string Service_;
  milliseconds StandbyOffset_;
  OwnerRow Owner_;
  std::int64_t LastVersion_ = -1;
  TimePoint UnchangedSince_{};
  TimePoint AcquireSentAt_{};
  bool AcquireInherited_ = false;
  bool Unchanged_ = false;
  bool IsOwner_ = false;
  bool Polling_ = false;
  bool Stopped_ = false;
};

} // namespace cuminroad

#endif
