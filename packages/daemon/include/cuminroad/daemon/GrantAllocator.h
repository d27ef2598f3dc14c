#ifndef CUMINROAD_DAEMON_GRANTALLOCATOR_H
#define CUMINROAD_DAEMON_GRANTALLOCATOR_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/daemon/GrantMessages.h"

namespace cuminroad {

/// For how long grants are valid, and how long requests can run on after them.
struct GrantTimings {
  /// A frontend starts no requests when its last grant is older than this.
  milliseconds Lease;
  /// The sum of Lease, the longest request time and a margin: a frontend whose
  /// last grant request is older than this has no request in flight.
  milliseconds RequestDrainTime;
};

/// The reply to a frontend's grant request, and who should send one next.
struct GrantDecision {
  GrantReply Reply;
  /// Daemons that should send a grant request now: they hold capacity that this
  /// frontend needs, or need capacity that it released.
  std::vector<std::string> DaemonsToNotify;
};

/// Decides, for the owner of a domain, how many requests each frontend may have
/// in flight on each VM and for each customer. Such a number is called a cap.
///
/// Invariant: the caps that frontends may be using never add up to more than
/// the VM's slots or the customer's share. A cap counts from the moment it is
/// granted until the frontend reports a smaller one, or has sent no request for
/// so long that its grants have lapsed and its requests have ended.
class GrantAllocator {
public:
  /// \param Inherited whether an earlier owner may have granted caps that this
  /// object does not know. In that case it starts with a recovery period of
  /// RequestDrainTime, in which it grants no more than the caps that frontends
  /// have reported.
  GrantAllocator(const Clock &MonotonicClock, const GrantTimings &Timings,
                 bool Inherited);

  /// Sets the names of the domain's daemons. For each daemon that is silent, an
  /// even part of each customer's share is reserved: the daemon may be cut off
  /// together with an earlier owner, which grants it no more than that part.
  void setDaemons(std::vector<std::string> Names);

  /// Sets the number of slots of a VM; 0 for a VM that accepts no work.
  void setVm(const std::string &Vm, const std::string &Service, int Slots);
  /// Sets how many requests of a customer may be in flight in this domain; 0
  /// refuses all.
  void setCustomer(const std::string &Customer, int Share);
  /// Records the caps and the demand that a frontend reports, and decides on
  /// its new caps. The reply's Seq is 0 if the request is out of date; such a
  /// reply must not be sent.
  GrantDecision handleRequest(GrantRequest Request);

  /// \returns how many requests all frontends together may have in flight on
  /// \p Vm.
  int maxInFlightOnVm(const std::string &Vm) const;
  /// \returns how many requests of \p Customer all frontends together may have
  /// in flight.
  int maxInFlightOfCustomer(const std::string &Customer) const;
  /// \returns the customer's requests in flight and waiting, as reported.
  int demandOfCustomer(const std::string &Customer) const;
  /// Whether the caps of all daemons are known: the recovery period is over and
  /// no daemon is silent.
  bool usageFullyKnown() const;
  /// Ends the recovery period early. \p OnVms and \p OfCustomers count the
  /// requests that are in flight on the VMs and come from daemons that
  /// holderIds() does not name. To be called only when no daemon can start
  /// further requests on an earlier owner's grants.
  void finishRecovery(const CountByName &OnVms, const CountByName &OfCustomers);
  /// Whether the recovery period after a takeover is over.
  bool recovered() const { return MonotonicClock_.now() >= RecoveryEndsAt_; }
  /// \returns the ids, "NAME/INCARNATION", of the frontends that have sent a
  /// request within RequestDrainTime.
  std::vector<std::string> holderIds() const;

private:
  /// The slots of a VM, or the domain's share of a customer's requests.
  struct LimitedResource {
    /// The VM's service; empty for a customer.
    std::string Service;
    int Limit = 0;
    /// Sum of the caps in the first report of each frontend. Bounds the grants
    /// during the recovery period.
    int ReportedCap = 0;
    CountByName CapByHolder;
    /// Holders that got less than their target, and less than they need, at
    /// their last request.
    std::set<std::string> HoldersBelowTarget;
    int capSum() const;
    int capOf(const std::string &HolderId) const;
  };
  /// A process of a frontend that holds grants.
  struct GrantHolder {
    /// Sequence number of its newest request.
    std::int64_t Seq = 0;
    std::string DaemonName;
    TimePoint LastRequestAt{};
    CountByName ServiceDemand;
    CountByName CustomerDemand;
    /// The last reply, and the caps that it granted; the next request may
    /// report its caps as differences from them.
    std::int64_t ReplySeq = 0;
    CountByName VmCaps;
    CountByName CustomerCaps;
  };

  /// Removes holders that have sent no request for RequestDrainTime.
  void removeExpiredHolders();
  /// Stores the caps that a holder reports. Adds to \p DaemonsToNotify those
  /// that need what it released.
  void recordReport(std::map<std::string, LimitedResource> &Resources,
                    const std::string &HolderId, const CountByName &Caps,
                    bool FirstRequest, std::set<std::string> &DaemonsToNotify);
  /// Raises a holder's cap towards \p Target as far as capacity is free.
  /// \returns the cap to grant. A lower one than before frees capacity only
  /// once the holder reports it.
  int grantCap(LimitedResource &Resource, const std::string &HolderId,
               int Target, bool ByCustomer);
  /// \returns the cap that each frontend that is not silent should have.
  CountByName targetCaps(const std::string &Name,
                         const LimitedResource &Resource,
                         bool ByCustomer) const;
  /// Sets \p Caps for one holder. Adds to \p DaemonsToNotify those that hold
  /// more than their target while this one needs more.
  void decideCaps(std::map<std::string, LimitedResource> &Resources,
                  const std::string &HolderId, bool ByCustomer,
                  CountByName &Caps, std::set<std::string> &DaemonsToNotify);
  /// \returns how much of the limit may be granted at present.
  int grantableLimit(const LimitedResource &Resource, bool ByCustomer) const;
  /// Whether the daemon has sent no request for longer than the lease.
  bool isSilent(const std::string &DaemonName) const;

  const Clock &MonotonicClock_;
  GrantTimings Timings_;
  TimePoint RecoveryEndsAt_;
  std::vector<std::string> DaemonNames_;
  std::map<std::string, LimitedResource> Vms_;
  std::map<std::string, LimitedResource> Customers_;
  std::map<std::string, GrantHolder> Holders_;
};

/// Splits \p Total in proportion to \p Weights, by the largest remainders. The
/// parts add up to \p Total. Where remainders are equal, \p TieOffset rotates
/// the order, so that the same index does not always get the larger part.
std::vector<int> apportion(int Total, const std::vector<double> &Weights,
                           std::size_t TieOffset);

} // namespace cuminroad

#endif
