#ifndef CUMINROAD_DAEMON_SRC_TABLELESSTAKEOVER_H
#define CUMINROAD_DAEMON_SRC_TABLELESSTAKEOVER_H

#include <memory>

#include "DaemonComponents.h"

namespace cuminroad {

/// Lets a standby take its domain over while the table can't be reached, when
/// the owner is silent and the VMs bear witness that nobody renews their
/// leases. Without the witness a standby that is itself cut off would unseat a
/// healthy owner. Runs on the control thread.
class TablelessTakeover {
public:
  explicit TablelessTakeover(DaemonComponents &Parts);
  void start();
  /// The owner was heard of.
  void noteOwner() { HeardAt_ = Parts_.MonotonicClock.now(); }

private:
  /// What the VMs said in one round.
  struct Poll {
    std::size_t Open = 0;
    std::size_t Stale = 0;
    std::size_t Fresh = 0;
    std::int64_t Epoch = 0;
  };

  void check();
  void checkSoon();
  bool due() const;
  milliseconds patience() const;
  void ask(const VmSpec &Vm, const std::shared_ptr<Poll> &Round);
  void take(const HttpResult &Answer, const std::shared_ptr<Poll> &Round);
  void conclude(const Poll &Round);

  DaemonComponents &Parts_;
  TimePoint HeardAt_{};
};

} // namespace cuminroad

#endif
