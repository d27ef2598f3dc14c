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
struct SlotRequest {
  std::uint64_t Id = 0;
  std::string Customer;
  std::string Service;
  bool Urgent = false;
  TimePoint StartBy{};
  /// VMs that failed this request already.
  std::set<std::string> AvoidedVms;
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

  /// Applies an answer to the request sent at \p RequestedAt; an answer to any
  /// but the newest request is ignored. The caps can be used for \p Lease from
  /// then on. For \p ReserveTime beyond it the owner gives them to nobody else,
  /// so that a new owner can let this front door go on with them.
  void applyReply(const GrantReply &Reply, TimePoint RequestedAt,
                  milliseconds Lease, milliseconds ReserveTime);
  /// Fills in caps and demand, and makes this the newest request.
  void fillRequest(GrantRequest &Request);
  /// Stops using a VM that said that it is leaving.
  void markLeaving(const std::string &Vm);

  /// Queues a request. \returns DeadlineTooClose where the queue is so long
  /// that it can't start in time.
  Result<void> enqueue(SlotRequest Request);
  /// Takes the request out of the queue, if it still waits.
  void dequeue(std::uint64_t Id);
  /// \returns the slots for waiting requests that can start now; urgent ones
  /// first, then by the time by which they must start.
  std::vector<Slot> assignSlots();
  /// \returns the waiting requests whose time is up, with the reason.
  std::vector<std::pair<std::uint64_t, ErrorCode>> dequeueExpired();
  /// Gives a slot back after \p Released of use.
  void releaseSlot(const Slot &Released, milliseconds HoldTime);

  /// Whether the owner should hear now: requests wait, or caps were given back
  /// since the last report, which others may wait for.
  bool shouldSendRequest() const {
    return !Waiting_.empty() || CapReleased_ || SendFullCaps_;
  }
  bool isLeaseValid() const;
  std::size_t waiting() const { return Waiting_.size(); }
  int inFlightOn(const std::string &Vm) const;
  bool knowsService(const std::string &Service) const;

private:
  struct VmUsage {
    std::string Service;
    std::string Url;
    int Cap = 0;
    int InFlight = 0;
    bool Leaving = false;
  };
  struct CustomerUsage {
    int Cap = 0;
    int InFlight = 0;
  };
  using QueueKey = std::tuple<bool, TimePoint, std::uint64_t>;

  std::optional<std::string> pickVm(const SlotRequest &Request) const;
  int totalCapOf(const std::string &Service) const;

  const Clock &MonotonicClock_;
  std::int64_t RequestSeq_ = 0;
  bool CapReleased_ = false;
  /// The owner asked for all caps.
  bool SendFullCaps_ = false;
  /// What the newest request reported, written out.
  CountByName ReportedVmCaps_;
  CountByName ReportedCustomerCaps_;
  /// The last answer applied.
  std::int64_t BaseSeq_ = 0;
  CountByName BaseVmCaps_;
  CountByName BaseCustomerCaps_;
  std::int64_t VmTableVersion_ = 0;
  TimePoint LeaseEndsAt_{};
  TimePoint ReservedUntil_{};
  std::map<std::string, VmUsage> Vms_;
  std::map<std::string, CustomerUsage> Customers_;
  /// Waiting requests: not urgent, start by, id.
  std::map<QueueKey, SlotRequest> Waiting_;
  std::map<std::uint64_t, QueueKey> QueueKeyById_;
  std::map<std::string, int> WaitingCountByService_;
  /// Smoothed time for which a slot is held, in milliseconds.
  std::map<std::string, double> HoldTimeMsByService_;
};

} // namespace cuminroad

#endif
