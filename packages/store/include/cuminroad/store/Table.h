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
/// that last wrote it, and 0 for a row that does not exist.
struct TableRow {
  std::string Key;
  std::int64_t Version = 0;
  nlohmann::json Value;
  /// WriteId of the transaction that last wrote it.
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

/// An atomic change of rows: all of it takes effect, or none.
struct Transaction {
  /// Stored in each row written, so that a later read shows which transaction
  /// wrote it.
  std::string WriteId;
  std::vector<VersionCheck> Checks;
  std::vector<RowWrite> Writes;
};

/// The outcome of a transaction.
struct CommitOutcome {
  /// The new version of all rows written; 0 if the transaction did not commit.
  std::int64_t Revision = 0;
  /// Keys of the rows whose version check failed.
  std::vector<std::string> Conflicts;

  bool committed() const { return Revision != 0; }
};

/// The platform's transactional table service. Callbacks run on the thread of
/// the control loop that the implementation was given.
///
/// Errors: PlatformUnavailable (certainly nothing was written) and
/// WriteOutcomeUnknown (the transaction may or may not take effect).
class Table {
public:
  using CommitDone = std::function<void(Result<CommitOutcome>)>;
  using RowDone = std::function<void(Result<TableRow>)>;
  using RowsDone = std::function<void(Result<std::vector<TableRow>>)>;

  virtual ~Table() = default;
  virtual void commit(Transaction Change, CommitDone Done) = 0;
  /// Reads one row; a missing row is returned with version 0.
  virtual void read(std::string Key, RowDone Done) = 0;
  /// Reads all rows whose key begins with \p Prefix.
  virtual void scan(std::string Prefix, RowsDone Done) = 0;
};

} // namespace cuminroad

#endif
