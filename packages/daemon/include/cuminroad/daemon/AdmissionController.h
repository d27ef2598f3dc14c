#ifndef CUMINROAD_DAEMON_ADMISSIONCONTROLLER_H
#define CUMINROAD_DAEMON_ADMISSIONCONTROLLER_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/base/Error.h"
#include "cuminroad/daemon/GrantMessages.h"

namespace cuminroad {

/// A request that wants a slot.
struct SlotDemand {
  std::uint64_t Id = 0;
  std::string Customer;
  std::string Service;
  bool Urgent = false;
  TimePoint StartBy{};
  /// VMs that failed this request already.
  std::set<std::string> Avoid;
};

/// A slot on a VM, held until it is given back.
struct Slot {
  std::uint64_t Id = 0;
  std::string Customer;
  std::string Vm;
  std::string Url;
};

/// A front door's account of the slots granted to it, and its queue of requests
/// that wait for one. Pure: no I/O, no threads, time from the clock.
///
/// Invariant: requests in flight on a VM, and for a customer, never exceed the
/// caps of a grant whose lease has not lapsed, but for requests that were in
/// flight when a cap was lowered.
class AdmissionController {
public:
  explicit AdmissionController(const Clock &MonotonicClock);

  /// Applies an answer to the request sent at \p AskedAt; an answer to any but
  /// the newest request is ignored. The caps can be used for \p Lease from
  /// then on. For \p Keep beyond it the owner gives them to nobody else, so
  /// that a new owner can let this front door go on with them.
  void apply(const GrantReply &Reply, TimePoint AskedAt, milliseconds Lease,
             milliseconds Keep);
  /// Fills in caps and demand, and makes this the newest request.
  void report(GrantRequest &Request);
  /// Stops using a VM that said that it is leaving.
  void markLeaving(const std::string &Vm);

  /// Queues a request. \returns DeadlineTooClose where the queue is so long
  /// that it can't start in time.
  Result<void> enqueue(SlotDemand Demand);
  /// Takes the request out of the queue, if it still waits.
  void withdraw(std::uint64_t Id);
  /// \returns the slots for waiting requests that can start now; urgent ones
  /// first, then by the time by which they must start.
  std::vector<Slot> takeReady();
  /// \returns the waiting requests whose time is up, with the reason.
  std::vector<std::pair<std::uint64_t, ErrorCode>> takeLate();
  /// Gives a slot back after \p Held of use.
  void giveBack(const Slot &Held, milliseconds Time);

  /// Whether the owner should hear now: requests wait, or caps were given back
  /// since the last report, which others may wait for.
  bool shouldReport() const {
    return !Waiting_.empty() || GaveBack_ || SendAll_;
  }
  bool leaseHolds() const;
  std::size_t waiting() const { return Waiting_.size(); }
  int busyOn(const std::string &Vm) const;
  bool knowsService(const std::string &Service) const;

private:
  struct VmCap {
    std::string Service;
    std::string Url;
    int Cap = 0;
    int Busy = 0;
    bool Leaving = false;
  };
  struct CustomerCap {
    int Cap = 0;
    int Busy = 0;
  };
  using QueueKey = std::tuple<bool, TimePoint, std::uint64_t>;

  std::optional<std::string> pickVm(const SlotDemand &Demand) const;
  int capOf(const std::string &Service) const;

  const Clock &MonotonicClock_;
  std::int64_t Seq_ = 0;
  bool GaveBack_ = false;
  /// The owner asked for all caps.
  bool SendAll_ = false;
  /// What the newest request reported, written out.
  Counts ReportedVms_;
  Counts ReportedCustomers_;
  /// The last answer applied.
  std::int64_t BasisSeq_ = 0;
  Counts BasisVms_;
  Counts BasisCustomers_;
  std::int64_t VmTable_ = 0;
  TimePoint ValidUntil_{};
  TimePoint KeptUntil_{};
  std::map<std::string, VmCap> Vms_;
  std::map<std::string, CustomerCap> Customers_;
  /// Waiting requests: not urgent, start by, id.
  std::map<QueueKey, SlotDemand> Waiting_;
  std::map<std::uint64_t, QueueKey> Keys_;
  std::map<std::string, int> WaitingByService_;
  /// Smoothed time for which a slot is held, in milliseconds.
  std::map<std::string, double> HoldTime_;
};

} // namespace cuminroad

#endif
