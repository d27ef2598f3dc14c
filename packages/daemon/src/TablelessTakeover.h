#ifndef CUMINROAD_DAEMON_SRC_TABLELESSTAKEOVER_H
#define CUMINROAD_DAEMON_SRC_TABLELESSTAKEOVER_H

#include <memory>

#include "DaemonComponents.h"

namespace cuminroad {

/// Lets a standby take over its domain while the table can't be reached, if it
/// has no contact with the owner and the VMs report that their leases are not
/// renewed. Without the VMs' reports, a standby that is itself cut off from the
/// network would displace a healthy owner. Runs on the control thread.
class TablelessTakeover {
public:
  explicit TablelessTakeover(DaemonComponents &Components);
  /// Begins to check regularly whether a takeover is due.
  void start();
  /// To be called when a message of the owner arrives.
  void recordOwnerContact() {
    LastContactAt_ = Components_.MonotonicClock.now();
  }

private:
  /// The VMs' responses to one round of queries.
  struct PollRound {
    /// VMs that have neither responded nor failed to respond.
    std::size_t Outstanding = 0;
    /// VMs whose lease was last renewed longer ago than silenceLimit(), and the
    /// other VMs that responded.
    std::size_t StaleLeases = 0;
    std::size_t FreshLeases = 0;
    std::int64_t HighestEpoch = 0;
  };

  void check();
  void scheduleCheck();
  bool isDue() const;
  /// \returns how long the owner may be silent, and a VM's lease go without a
  /// renewal, before a takeover.
  milliseconds silenceLimit() const;
  void queryVm(const VmSpec &Vm, const std::shared_ptr<PollRound> &Round);
  void addResponse(const HttpResult &Response,
                   const std::shared_ptr<PollRound> &Round);
  void finishRound(const PollRound &Round);

  DaemonComponents &Components_;
  TimePoint LastContactAt_{};
};

} // namespace cuminroad

#endif
