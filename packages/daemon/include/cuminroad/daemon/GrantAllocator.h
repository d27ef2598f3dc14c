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
struct GrantTimes {
  /// A front door that is silent for longer stops starting requests.
  milliseconds Lease;
  /// Lease, longest request and margin together: a front door that is silent
  /// for longer has nothing in flight.
  milliseconds Settle;
};

/// What a front door gets, and which others should report.
struct GrantDecision {
  GrantReply Reply;
  /// Daemons that hold what this one lacks, or that lack what it gave back.
  std::vector<std::string> Nudge;
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
  GrantAllocator(const Clock &MonotonicClock, const GrantTimes &Times,
                 bool Inherited);

  /// Sets the names of the domain's daemons. An even part of each customer's
  /// share is kept for each one that is silent: it may be cut off together
  /// with an earlier owner, and then grants itself no more than that part.
  void setMembers(std::vector<std::string> Names);

  /// Sets the slots of a VM; 0 for one that takes no work.
  void setVm(const std::string &Vm, const std::string &Service, int Slots);
  /// Sets the domain's share of a customer's requests; 0 to refuse all.
  void setCustomer(const std::string &Customer, int Share);
  /// Takes in a front door's report and decides on its grants.
  GrantDecision answer(GrantRequest Request);

  /// \returns what all front doors together may have in flight on \p Vm.
  int boundOfVm(const std::string &Vm) const;
  int boundOfCustomer(const std::string &Customer) const;
  /// \returns the customer's requests in flight and waiting, as reported.
  int demandOfCustomer(const std::string &Customer) const;
  /// Whether the book knows all that any daemon may be using.
  bool certain() const;
  /// Ends the settling time early: \p OnVms and \p OfCustomers are what the
  /// VMs have in flight from daemons that holders() does not name. No daemon
  /// may start more on an earlier owner's grants.
  void settle(const Counts &OnVms, const Counts &OfCustomers);
  bool settled() const { return MonotonicClock_.now() >= SettledAt_; }
  /// \returns the front doors heard of and not yet given up.
  std::vector<std::string> holders() const;

private:
  struct Pool {
    std::string Service;
    int Limit = 0;
    /// What the reports account for while the settling time lasts.
    int Reported = 0;
    Counts Bounds;
    /// Who got less than its part at its last request.
    std::set<std::string> Lacking;
    int bound() const;
    int boundOf(const std::string &Who) const;
  };
  struct Holder {
    std::int64_t Seq = 0;
    std::string Member;
    TimePoint HeardAt{};
    Counts ServiceDemand;
    Counts CustomerDemand;
    /// The last answer, which the next report may be based on.
    std::int64_t AnswerSeq = 0;
    Counts VmCaps;
    Counts CustomerCaps;
  };

  void forgetSilent();
  void report(std::map<std::string, Pool> &Pools, const std::string &Who,
              const Counts &Caps, bool First, std::set<std::string> &Nudge);
  int grant(Pool &Pool, const std::string &Who, int Target, bool ByCustomer);
  Counts targets(const std::string &Name, const Pool &Pool,
                 bool ByCustomer) const;
  void decide(std::map<std::string, Pool> &Pools, const std::string &Who,
              bool ByCustomer, Counts &Caps, std::set<std::string> &Nudge);
  int available(const Pool &Pool, bool ByCustomer) const;
  bool silent(const std::string &Member) const;

  const Clock &MonotonicClock_;
  GrantTimes Times_;
  TimePoint SettledAt_;
  std::vector<std::string> Members_;
  std::map<std::string, Pool> Vms_;
  std::map<std::string, Pool> Customers_;
  std::map<std::string, Holder> Holders_;
};

/// Splits \p Total by \p Weights; the parts add up to it. Ties go round by
/// \p Turn, so that not the same one gains each time.
std::vector<int> apportion(int Total, const std::vector<double> &Weights,
                           std::size_t Turn);

} // namespace cuminroad

#endif
