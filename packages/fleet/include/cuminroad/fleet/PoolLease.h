#ifndef CUMINROAD_FLEET_POOLLEASE_H
#define CUMINROAD_FLEET_POOLLEASE_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cuminroad/base/EventLog.h"
#include "cuminroad/fleet/DaemonIdentity.h"
#include "cuminroad/fleet/OwnerRow.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/store/RowStore.h"

namespace cuminroad {

/// One daemon's term as the owner of a pool.
struct PoolTerm {
  std::string Service;
  std::int64_t Epoch = 0;
  /// Version of the owner row that this daemon wrote when it took over.
  std::int64_t RowVersion = 0;
  /// When that write was sent.
  TimePoint WrittenAt{};
  /// Whether the pool had an owner before, whose runs may still be on VMs.
  bool Inherited = false;
  /// The earlier owner's OwnerRow::MovedQueues.
  std::vector<std::string> MovedQueues;
};

/// Elects the daemon that owns a pool, by a row in the store that each of the
/// owner's transactions replaces. A standby takes the row over when it has not
/// changed for the length of the lease, measured by the standby's own clock and
/// excluding time in which the row could not be read. Standbys add different
/// delays, so that usually one of them comes first; the delay is longer for
/// daemons that own pools already or have little processor time.
class PoolLease : public std::enable_shared_from_this<PoolLease> {
public:
  PoolLease(RowStore &Store, Loop &ControlLoop, const Clock &MonotonicClock,
            EventLog &Events, const DaemonIdentity &Self, std::string Service);

  void start();
  /// Prevents any further takeover by this daemon.
  void stop() { Stopped_ = true; }
  /// Watches the owner row again, after this process stopped owning the pool.
  /// Takes the row over no earlier than after \p Pause.
  void resumeStandby(milliseconds Pause);
  /// \returns the owner as last read from the store, or null before the first
  /// read.
  const OwnerRow *owner() const { return WasRead_ ? &Owner_ : nullptr; }

  std::function<void(PoolTerm)> OnAcquired;
  /// Returns the number of pools that this daemon owns already.
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
  bool WasRead_ = false;
  std::int64_t LastVersion_ = -1;
  TimePoint UnchangedSince_{};
  /// This daemon does not take the row over before this time.
  TimePoint PausedUntil_{};
  TimePoint AcquireSentAt_{};
  bool AcquireInherited_ = false;
  bool Unchanged_ = false;
  bool IsOwner_ = false;
  bool Polling_ = false;
  bool Stopped_ = false;
};

} // namespace cuminroad

#endif
