#ifndef CUMINROAD_DAEMON_SRC_TABLELESSTAKEOVER_H
#define CUMINROAD_DAEMON_SRC_TABLELESSTAKEOVER_H

#include <memory>

#include "DaemonParts.h"

namespace cuminroad {

/// Lets a standby take its domain over while the table can't be reached, when
/// the owner is silent and the VMs bear witness that nobody renews their
/// leases. Without the witness a standby that is itself cut off would unseat a
/// healthy owner. Runs on the control thread.
class TablelessTakeover {
public:
  explicit TablelessTakeover(DaemonParts &Parts);
  void start();
  /// The owner was heard of.
  void recordOwnerContact() { LastContactAt_ = Parts_.Time.now(); }

private:
  /// What the VMs said in one round.
  struct PollRound {
    std::size_t Outstanding = 0;
    std::size_t StaleLeases = 0;
    std::size_t FreshLeases = 0;
    std::int64_t HighestEpoch = 0;
  };

  void check();
  void scheduleCheck();
  bool isDue() const;
  milliseconds silenceLimit() const;
  void queryVm(const VmSpec &Vm, const std::shared_ptr<PollRound> &Round);
  void addResponse(const HttpResult &Answer,
                   const std::shared_ptr<PollRound> &Round);
  void finishRound(const PollRound &Round);

  DaemonParts &Parts_;
  TimePoint LastContactAt_{};
};

} // namespace cuminroad

#endif
