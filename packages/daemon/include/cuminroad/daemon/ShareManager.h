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

/// What the owner of a domain can say of a customer.
class DomainUsage {
public:
  virtual ~DomainUsage() = default;
  /// \returns what the domain uses and would use of the customer's limits now.
  virtual ShareAmount demand(const std::string &Customer) const = 0;
  /// \returns the most that the domain may be using of them; what it could
  /// start on grants that are out counts as used.
  virtual ShareAmount maxUsage(const std::string &Customer) const = 0;
  /// Whether bound() knows of everything that may run. Until then nothing is
  /// given away.
  virtual bool usageFullyKnown() const = 0;
};

/// What a share keeper works with; all of it outlives the keeper.
struct ShareManagerContext {
  std::string Domain;
  std::vector<std::string> Domains;
  /// The domain's epoch row: an earlier owner moves nothing.
  std::string EpochKey;
  std::int64_t EpochVersion = 0;
  /// Whether the owner was chosen by the table; another moves nothing.
  bool ChosenByTable = true;
};

/// Moves parts of customers' limits between failure domains, for the owner of
/// one of them, by rows of the table alone. A domain that lacks writes what it
/// wants; one that has more than it needs first lowers its own limit, waits
/// until nothing uses the difference any more, and then moves it in one
/// transaction. So the parts in use never add up to more than the contract,
/// whoever is cut off. Runs on the control thread.
class ShareManager : public std::enable_shared_from_this<ShareManager> {
public:
  ShareManager(Table &Rows, Loop &ControlLoop, ShareManagerContext Context,
               const DomainUsage &Usage);

  void start();
  void close() { Closed_ = true; }
  /// Sets the terms in force of all customers.
  void setContracts(std::map<std::string, ContractTerms> Contracts);
  /// \returns what the domain may use on its own now.
  ContractTerms currentShare(const std::string &Customer,
                             const ContractTerms &Terms) const;
  /// \returns the most that the domain could ever get.
  ContractTerms largestShare(const std::string &Customer,
                             const ContractTerms &Terms) const;
  /// Called after each change of shares.
  std::function<void()> OnChanged;

private:
  struct CachedRow {
    ShareRow Row;
    std::int64_t Version = 0;
  };
  /// A part that is no longer used here and on its way to another domain.
  struct Transfer {
    std::string To;
    ShareAmount Amount;
  };

  void poll();
  void reload(std::int64_t Head);
  void rebalancePeriodically();
  void rebalanceAll();
  void rebalanceCustomer(const std::string &Customer,
                         const ContractTerms &Terms);
  /// \returns whether it wrote; not where the same was asked for before.
  bool requestMore(const std::string &Customer, const ContractTerms &Terms,
                   const ShareAmount &Shortfall);
  void startTransfer(const std::string &Customer, const ContractTerms &Terms,
                     const ShareAmount &Demand);
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
