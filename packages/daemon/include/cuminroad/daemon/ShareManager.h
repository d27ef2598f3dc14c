#ifndef CUMINROAD_DAEMON_SHAREMANAGER_H
#define CUMINROAD_DAEMON_SHAREMANAGER_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cuminroad/daemon/ShareRow.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/store/Table.h"

namespace cuminroad {

/// What a domain uses of its customers' limits, as its owner knows it.
class DomainUsage {
public:
  virtual ~DomainUsage() = default;
  /// \returns what the domain uses of the customer's limits, together with what
  /// it would use if it could.
  virtual ShareAmount demand(const std::string &Customer) const = 0;
  /// \returns the most that the domain may be using of the customer's limits.
  /// What frontends could start on their present grants counts as used.
  virtual ShareAmount maxUsage(const std::string &Customer) const = 0;
  /// Whether maxUsage() covers everything that may be running. Until then
  /// nothing is transferred to other domains.
  virtual bool usageFullyKnown() const = 0;
};

/// The domain, and the term of its owner, that a share manager acts for.
struct ShareManagerContext {
  std::string Domain;
  /// All failure domains, in any order.
  std::vector<std::string> Domains;
  /// Key and version of the domain's epoch row. Each write checks them, so that
  /// the owner of an earlier epoch can't transfer anything.
  std::string EpochKey;
  std::int64_t EpochVersion = 0;
  /// Whether the owner was chosen by the table; another owner can't transfer
  /// anything.
  bool ChosenByTable = true;
};

/// Transfers parts of customers' limits between failure domains, on behalf of
/// the owner of one of them. Domains communicate only through rows of the
/// table. A domain that needs more writes a request. A domain that has more
/// than it needs first lowers its own limit, waits until nothing uses the
/// difference any more, and then transfers it in one transaction. The parts in
/// use therefore never add up to more than the contract, whichever domains are
/// cut off. Runs on the control thread.
class ShareManager : public std::enable_shared_from_this<ShareManager> {
public:
  /// \p Rows, \p ControlLoop and \p Usage outlive the manager.
  ShareManager(Table &Rows, Loop &ControlLoop, ShareManagerContext Context,
               const DomainUsage &Usage);

  void start();
  void close() { Closed_ = true; }
  /// Sets the terms in force of all customers.
  void setContracts(std::map<std::string, ContractTerms> Contracts);
  /// \returns the terms with the limits that the domain may use at present.
  ContractTerms currentShare(const std::string &Customer,
                             const ContractTerms &Terms) const;
  /// \returns the terms with the highest limits that the domain could ever get:
  /// all but the reserved shares of the other domains.
  ContractTerms largestShare(const std::string &Customer,
                             const ContractTerms &Terms) const;
  /// Called after each change of shares.
  std::function<void()> OnChanged;

private:
  struct CachedRow {
    ShareRow Row;
    std::int64_t Version = 0;
  };
  /// A part by which this domain has lowered its limit, and which goes to
  /// another domain once nothing uses it here.
  struct Transfer {
    std::string To;
    ShareAmount Amount;
    /// Set after a write with an unknown outcome: the version of the row that
    /// it was to replace. Any newer version shows whether it took effect.
    std::optional<std::int64_t> UnsettledSince = std::nullopt;
  };

  void poll();
  void reload(std::int64_t Head);
  void rebalancePeriodically();
  void rebalanceAll();
  void rebalanceCustomer(const std::string &Customer,
                         const ContractTerms &Terms);
  /// Writes a request for \p Shortfall. \returns whether a write was started,
  /// which is not the case if at least as much was requested before.
  bool requestMore(const std::string &Customer, const ContractTerms &Terms,
                   const ShareAmount &Shortfall);
  /// Lowers the domain's limit by the part that exceeds both \p Demand and its
  /// reserved share, as far as another domain has requested it.
  void startTransfer(const std::string &Customer, const ContractTerms &Terms,
                     const ShareAmount &Demand);
  /// Transfers the part if nothing uses it any more.
  void completeTransfer(const std::string &Customer,
                        const ContractTerms &Terms);
  void write(const std::string &Customer, ShareRow Row, std::int64_t Version,
             std::function<void()> Done);
  std::string rowKey(const std::string &Customer) const;

  Table &Rows_;
  Loop &ControlLoop_;
  ShareManagerContext Context_;
  const DomainUsage &Usage_;
  bool Closed_ = false;
  bool Loaded_ = false;
  /// Version of the head row up to which the rows were read.
  std::int64_t HeadVersion_ = -1;
  std::map<std::string, ContractTerms> Contracts_;
  std::map<std::string, CachedRow> CachedRows_;
  std::map<std::string, Transfer> Transfers_;
  bool Writing_ = false;
  /// The customer whose row was written last.
  std::string LastWrittenCustomer_;
};

} // namespace cuminroad

#endif
