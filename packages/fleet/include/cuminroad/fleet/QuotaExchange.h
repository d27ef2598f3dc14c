#ifndef CUMINROAD_FLEET_QUOTAEXCHANGE_H
#define CUMINROAD_FLEET_QUOTAEXCHANGE_H

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "cuminroad/fleet/FleetContext.h"
#include "cuminroad/pool/QuotaLedger.h"
#include "cuminroad/store/FencedWriter.h"
#include "cuminroad/store/TableFollower.h"

namespace cuminroad {

/// Exchanges parts of the quotas of accounts with the owners of other pools, on
/// behalf of the owner of one, through rows of the store. While no account has
/// a limit, or there is one pool, it reads and writes nothing. Runs on the
/// control thread.
class QuotaExchange final : public RowSink,
                            public std::enable_shared_from_this<QuotaExchange> {
public:
  /// \p Writer writes the rows of the pool's partition.
  QuotaExchange(const FleetContext &Context, std::string Service,
                std::shared_ptr<FencedWriter> Writer);

  /// Applies the contracts in force; called at the start, too.
  void contractsChanged();
  /// Decides what to give to other pools if that is due, which is at most once
  /// a second while something is written. \p Loads returns what the accounts
  /// have in the pool.
  /// \returns whether limits may have changed.
  bool update(const std::function<std::vector<AccountLoad>()> &Loads);
  /// \returns the accounts that are or were in the contracts, with the most
  /// that each may use in the pool.
  std::vector<std::pair<std::string, Capacity>> limits() const {
    return Ledger_.limits();
  }
  void close();
  /// Called after other pools' rows or the pool's own ones were read.
  std::function<void()> OnRead;

  void tableRead(std::vector<StoredRow> Rows) override;
  void rowsChanged(std::vector<StoredRow> Rows) override;

private:
  void follow();
  void readOwnRows(std::span<const StoredRow> Rows);
  void readRow(const StoredRow &Row);
  void write(int Number);
  std::string encodeRow(int Number) const;

  FleetContext Context_;
  std::string Service_;
  std::shared_ptr<FencedWriter> Writer_;
  QuotaLedger Ledger_;
  std::shared_ptr<TableFollower> Follower_;
  /// The pools that share the quotas, by partition.
  std::map<std::string, std::string> PoolsByPartition_;
  /// Whether rows were put into the writer.
  bool HasWritten_ = false;
  bool Closed_ = false;
  TimePoint UpdatedAt_{};
  TimePoint WrittenAt_{};
};

} // namespace cuminroad

#endif
