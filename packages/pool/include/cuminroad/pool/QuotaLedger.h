#ifndef CUMINROAD_POOL_QUOTALEDGER_H
#define CUMINROAD_POOL_QUOTALEDGER_H

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/pool/ClientAccount.h"
#include "cuminroad/pool/QuotaRow.h"

namespace cuminroad {

/// Divides the quotas of accounts among the pools by the demarcation protocol,
/// on behalf of the owner of one of them.
///
/// Each pool has a fraction of each component of each quota; at first all have
/// the same. An owner that gives a part of its fraction away lowers its own
/// fraction first, and then writes a row with the sum of all that it ever gave
/// to each other pool. The recipient raises its fraction when it reads that
/// row. The fractions in use therefore never add up to more than the whole,
/// whichever rows are lost, late or repeated, and wherever an owner ends.
///
/// What an owner must write at least is what row() returns after update(). Its
/// lowered limits apply before it writes.
class QuotaLedger {
public:
  explicit QuotaLedger(std::string Pool) : Pool_(std::move(Pool)) {}

  /// Sets the pools that share the quotas; the own one is always one of them.
  /// Another set restarts with equal fractions, and with no row read.
  /// \returns whether the set is another one.
  bool setPools(std::vector<std::string> Pools);
  /// Sets the accounts of the contracts in force. Changed quotas scale the
  /// parts of all pools.
  void setAccounts(std::span<const ClientAccount> Accounts);

  /// The pool's own rows, as an earlier owner or none wrote them, have been
  /// read. Until then all limits are 0, unless the pool is the only one.
  void ownRowsRead(std::span<const QuotaRow> Rows);
  bool ownRowsKnown() const { return OwnRowsKnown_; }
  /// A row of another pool was read. A row that is older than one that was read
  /// before is ignored.
  /// \param Key identifies the row among those of its pool.
  void rowRead(const std::string &From, const std::string &Key,
               std::int64_t Version, const QuotaRow &Row);

  /// Decides what to give to other pools, by what the accounts use and need in
  /// the own pool. Limits are lowered at once by what is given.
  /// \param StoreTime by the store's clock, which all owners know.
  /// \returns the numbers of the own rows that must be written.
  std::vector<int> update(std::span<const AccountLoad> Loads,
                          milliseconds StoreTime);
  /// \returns the own row with the number, to be written.
  QuotaRow row(int Number) const;
  /// \returns the most that the account's runs may occupy in the own pool.
  Capacity limit(std::string_view Account) const;
  /// \returns the limits of all accounts that are or were in the contracts.
  std::vector<std::pair<std::string, Capacity>> limits() const;
  /// \returns the pools that share the quotas, in order.
  const std::vector<std::string> &pools() const { return Pools_; }
  /// \returns the own pool's part of the account's quota.
  QuotaFractions fraction(std::string_view Account) const;
  /// \returns whether any account has a limit and there is another pool.
  bool needsExchange() const;

private:
  /// The own state of an account. Kept when the contracts drop the account, as
  /// other pools keep what they were given.
  struct Account {
    Capacity Quota = UnlimitedCapacity;
    bool InForce = false;
    /// The own row that holds the account.
    int RowNumber = 0;
    /// What the row says.
    QuotaEntry Entry;
    /// The pool's fraction is used up to here only, while others need the rest
    /// more.
    QuotaFractions Ceiling{WholeQuota, WholeQuota, WholeQuota};
  };
  struct ReadRow {
    std::int64_t Version = 0;
    QuotaRow Row;
  };
  using ReadRows = std::map<std::string, ReadRow>;
  using AccountMap = std::map<std::string, Account, std::less<>>;

  Account &findOrCreate(const std::string &Name);
  /// \returns the number of a row that has space for the account.
  int rowFor(const std::string &Name);
  /// \returns what the pool has given to another one, as its rows say.
  QuotaFractions given(const std::string &From, const std::string &To,
                       std::string_view Account) const;
  /// \returns what the last row that was read from the pool says of the
  /// account.
  const QuotaEntry &entryOf(const std::string &Pool,
                            std::string_view Account) const;
  QuotaFractions fractionOf(const std::string &Pool,
                            std::string_view Account) const;
  /// \returns the entries of all pools, with the own one as \p Wanted.
  std::vector<QuotaEntry> entries(std::string_view Name,
                                  const QuotaEntry &Wanted) const;
  /// \returns whether the account's entry in the own row has to be written.
  bool updateAccount(const std::string &Name, Account &Terms,
                     const AccountLoad &Load, milliseconds StoreTime);
  bool updateComponent(std::size_t Component, Account &Terms,
                       std::int64_t InUse, std::span<const std::int64_t> Parts,
                       std::vector<QuotaFractions> &Fractions);
  std::size_t ownIndex() const;

  std::string Pool_;
  /// In order.
  std::vector<std::string> Pools_;
  AccountMap Accounts_;
  /// An upper bound of the bytes that the accounts of each own row take.
  std::vector<std::size_t> RowBytes_;
  bool OwnRowsKnown_ = false;
  /// The rows of the other pools, by pool and key.
  std::map<std::string, ReadRows> Rows_;
};

} // namespace cuminroad

#endif
