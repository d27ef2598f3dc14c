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

/// A customer's request that needs a slot on a VM.
struct SlotRequest {
  std::uint64_t Id = 0;
  std::string Customer;
  std::string Service;
  bool Urgent = false;
  /// The latest time at which the request can start.
  TimePoint StartBy{};
  /// VMs on which an attempt at this request failed; used only if no other VM
  /// of the service has a free slot.
  std::set<std::string> AvoidedVms;
};

/// A slot on a VM, in use until releaseSlot().
struct Slot {
  /// Id of the request that uses it.
  std::uint64_t Id = 0;
  std::string Customer;
  std::string Vm;
  std::string Url;
};

/// Admits requests to VMs within the caps that the domain's owner granted to
/// this frontend, and queues those that have to wait for a slot. It performs no
/// I/O, uses no threads, and takes the time from the clock that it is given.
///
/// Invariant: the requests in flight on a VM, and those of a customer, exceed
/// the cap of a grant whose lease is valid only by requests that were already
/// in flight when the cap was lowered.
class AdmissionController {
public:
  explicit AdmissionController(const Clock &MonotonicClock);

  /// Applies the reply to the grant request sent at \p RequestedAt; a reply to
  /// any but the newest request is ignored. The caps are valid for \p Lease,
  /// counted from \p RequestedAt. For another \p ReserveTime the owner grants
  /// them to no other frontend, so that a new owner can renew them for this
  /// one.
  void applyReply(const GrantReply &Reply, TimePoint RequestedAt,
                  milliseconds Lease, milliseconds ReserveTime);
  /// Sets the sequence number, the caps, the demand and the leaving VMs of a
  /// grant request, which becomes the newest one.
  void fillRequest(GrantRequest &Request);
  /// Assigns no more slots on a VM that refused work because it is leaving.
  void markLeaving(const std::string &Vm);

  /// Queues a request. \returns DeadlineTooClose if it is not expected to start
  /// in time, judged by the length of the queue, and NoCapacity if the queue is
  /// full.
  Result<void> enqueue(SlotRequest Request);
  /// Removes a request from the queue if it is still waiting.
  void dequeue(std::uint64_t Id);
  /// Removes the requests that can start now from the queue. Urgent ones come
  /// first, then those with the earliest StartBy. \returns their slots.
  std::vector<Slot> assignSlots();
  /// Removes the requests whose StartBy has passed from the queue. \returns
  /// their ids, each with the reason why it did not start.
  std::vector<std::pair<std::uint64_t, ErrorCode>> dequeueExpired();
  /// Frees a slot that was in use for \p HoldTime.
  void releaseSlot(const Slot &Released, milliseconds HoldTime);

  /// Whether to send a grant request before the next regular one: requests are
  /// waiting, capacity was released that other frontends may be waiting for, or
  /// the owner needs the full caps.
  bool shouldSendRequest() const {
    return !Waiting_.empty() || CapReleased_ || SendFullCaps_;
  }
  /// Whether the granted caps may still be used.
  bool isLeaseValid() const;
  /// \returns the number of queued requests.
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
  /// Sort key of a waiting request: not urgent, latest start, id.
  using QueueKey = std::tuple<bool, TimePoint, std::uint64_t>;

  std::optional<std::string> pickVm(const SlotRequest &Request) const;
  int totalCapOf(const std::string &Service) const;

  const Clock &MonotonicClock_;
  std::int64_t RequestSeq_ = 0;
  /// Capacity was released since the newest grant request.
  bool CapReleased_ = false;
  /// The owner can't apply differences; the next request reports all caps.
  bool SendFullCaps_ = false;
  /// All caps as of the newest grant request, also where the request itself
  /// carried only differences.
  CountByName ReportedVmCaps_;
  CountByName ReportedCustomerCaps_;
  /// The reply applied last, and the caps that it granted; the next request
  /// reports its caps as differences from these. 0 before the first reply.
  std::int64_t BaseSeq_ = 0;
  CountByName BaseVmCaps_;
  CountByName BaseCustomerCaps_;
  std::int64_t VmTableVersion_ = 0;
  TimePoint LeaseEndsAt_{};
  TimePoint ReservedUntil_{};
  std::map<std::string, VmUsage> Vms_;
  std::map<std::string, CustomerUsage> Customers_;
  std::map<QueueKey, SlotRequest> Waiting_;
  std::map<std::uint64_t, QueueKey> QueueKeyById_;
  std::map<std::string, int> WaitingCountByService_;
  /// Exponentially smoothed time for which a slot is in use, in milliseconds.
  std::map<std::string, double> HoldTimeMsByService_;
};

} // namespace cuminroad

#endif
