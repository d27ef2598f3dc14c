#ifndef CUMINROAD_DAEMON_GRANTALLOCATOR_H
#define CUMINROAD_DAEMON_GRANTALLOCATOR_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/daemon/GrantMessages.h"

namespace cuminroad {

/// How long grants and what was started on them last.
struct GrantTimings {
  /// A front door that is silent for longer stops starting requests.
  milliseconds Lease;
  /// Lease, longest request and margin together: a front door that is silent
  /// for longer has nothing in flight.
  milliseconds RequestDrainTime;
};

/// What a front door gets, and which others should report.
struct GrantDecision {
  GrantReply Reply;
  /// Daemons that hold what this one lacks, or that lack what it gave back.
  std::vector<std::string> DaemonsToNotify;
};

/// The owner's account of which front door may have how many requests in
/// flight on each VM and for each customer of the domain.
///
/// Invariant: the caps that front doors may be using never add up to more than
/// a VM's slots or the customer's share. A cap counts from the moment it is
/// granted until the front door reports a smaller one, or has been silent for
/// so long that its grants have lapsed and its requests have ended.
class GrantAllocator {
public:
  /// \param Inherited whether an earlier owner may have given grants that this
  /// book does not know of. Until the settling time has passed, nobody then
  /// gets more than what front doors report and give back.
  GrantAllocator(const Clock &MonotonicClock, const GrantTimings &Timings,
                 bool Inherited);

  /// Sets the names of the domain's daemons. An even part of each customer's
  /// share is kept for each one that is silent: it may be cut off together
  /// with an earlier owner, and then grants itself no more than that part.
  void setDaemons(std::vector<std::string> Names);

  /// Sets the slots of a VM; 0 for one that takes no work.
  void setVm(const std::string &Vm, const std::string &Service, int Slots);
  /// Sets the domain's share of a customer's requests; 0 to refuse all.
  void setCustomer(const std::string &Customer, int Share);
  /// Takes in a front door's report and decides on its grants.
  GrantDecision handleRequest(GrantRequest Request);

  /// \returns what all front doors together may have in flight on \p Vm.
  int maxInFlightOnVm(const std::string &Vm) const;
  int maxInFlightOfCustomer(const std::string &Customer) const;
  /// \returns the customer's requests in flight and waiting, as reported.
  int demandOfCustomer(const std::string &Customer) const;
  /// Whether the book knows all that any daemon may be using.
  bool usageFullyKnown() const;
  /// Ends the settling time early: \p OnVms and \p OfCustomers are what the
  /// VMs have in flight from daemons that holders() does not name. No daemon
  /// may start more on an earlier owner's grants.
  void finishRecovery(const CountByName &OnVms, const CountByName &OfCustomers);
  bool recovered() const { return MonotonicClock_.now() >= RecoveryEndsAt_; }
  /// \returns the front doors heard of and not yet given up.
  std::vector<std::string> holderIds() const;

private:
  struct LimitedResource {
    std::string Service;
    int Limit = 0;
    /// What the reports account for while the settling time lasts.
    int ReportedCap = 0;
    CountByName CapByHolder;
    /// Who got less than its part at its last request.
    std::set<std::string> HoldersBelowTarget;
    int capSum() const;
    int capOf(const std::string &HolderId) const;
  };
  struct GrantHolder {
    std::int64_t Seq = 0;
    std::string DaemonName;
    TimePoint LastRequestAt{};
    CountByName ServiceDemand;
    CountByName CustomerDemand;
    /// The last answer, which the next report may be based on.
    std::int64_t ReplySeq = 0;
    CountByName VmCaps;
    CountByName CustomerCaps;
  };

  void removeExpiredHolders();
  void recordReport(std::map<std::string, LimitedResource> &Resources,
                    const std::string &HolderId, const CountByName &Caps,
                    bool FirstRequest, std::set<std::string> &DaemonsToNotify);
  int grantCap(LimitedResource &Resource, const std::string &HolderId,
               int Target, bool ByCustomer);
  CountByName targetCaps(const std::string &Name,
                         const LimitedResource &Resource,
                         bool ByCustomer) const;
  void decideCaps(std::map<std::string, LimitedResource> &Resources,
                  const std::string &HolderId, bool ByCustomer,
                  CountByName &Caps, std::set<std::string> &DaemonsToNotify);
  int grantableLimit(const LimitedResource &Resource, bool ByCustomer) const;
  bool isSilent(const std::string &DaemonName) const;

  const Clock &MonotonicClock_;
  GrantTimings Timings_;
  TimePoint RecoveryEndsAt_;
  std::vector<std::string> DaemonNames_;
  std::map<std::string, LimitedResource> Vms_;
  std::map<std::string, LimitedResource> Customers_;
  std::map<std::string, GrantHolder> Holders_;
};

/// Splits \p Total by \p Weights; the parts add up to it. Ties go round by
/// \p TieOffset, so that not the same one gains each time.
std::vector<int> apportion(int Total, const std::vector<double> &Weights,
                           std::size_t TieOffset);

} // namespace cuminroad

#endif
