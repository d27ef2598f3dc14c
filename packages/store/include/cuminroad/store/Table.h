#ifndef CUMINROAD_STORE_TABLE_H
#define CUMINROAD_STORE_TABLE_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cuminroad/base/Error.h"

namespace cuminroad {

/// A row of the platform's table. Version is the revision of the transaction
/// that wrote it last; a row that does not exist has version 0.
struct TableRow {
  std::string Key;
  std::int64_t Version = 0;
  nlohmann::json Value;
  /// The transaction that wrote it, see Transaction::WriteId.
  std::string WriteId;
};

/// The version that a row must have for a transaction to commit.
struct VersionCheck {
  std::string Key;
  std::int64_t Version = 0;
};

/// A row to write; a null value deletes it.
struct RowWrite {
  std::string Key;
  nlohmann::json Value;
};

/// All of it takes effect or none.
struct Transaction {
  /// Written into each row, so that reading back tells who wrote it.
  std::string WriteId;
  std::vector<VersionCheck> Checks;
  std::vector<RowWrite> Writes;
};

/// How a transaction ended.
struct CommitOutcome {
  /// The new version of every row written; 0 where it did not commit.
  std::int64_t Revision = 0;
  /// Keys whose version was another one.
  std::vector<std::string> Conflicts;

  bool committed() const { return Revision != 0; }
};

/// The platform's transactional table service. Results come on the thread of
/// the loop that the implementation was given.
///
/// Errors: PlatformUnavailable (certainly nothing was written) and
/// WriteOutcomeUnknown.
class Table {
public:
  using CommitDone = std::function<void(Result<CommitOutcome>)>;
  using RowDone = std::function<void(Result<TableRow>)>;
  using RowsDone = std::function<void(Result<std::vector<TableRow>>)>;

  virtual ~Table() = default;
  virtual void commit(Transaction Change, CommitDone Done) = 0;
  /// Reads one row; a missing one comes with version 0.
  virtual void read(std::string Key, RowDone Done) = 0;
  /// Reads all rows whose key begins with \p Prefix.
  virtual void scan(std::string Prefix, RowsDone Done) = 0;
};

} // namespace cuminroad

#endif
