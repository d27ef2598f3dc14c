#ifndef CUMINROAD_STORE_ROWSTORE_H
#define CUMINROAD_STORE_ROWSTORE_H

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/base/Error.h"

namespace cuminroad {

/// Names a row. Transactions span the tables of one partition only.
struct RowName {
  std::string Table;
  std::string Partition;
  std::string Key;

  bool operator==(const RowName &) const = default;
  friend bool operator<(const RowName &Left, const RowName &Right) {
    return std::tie(Left.Table, Left.Partition, Left.Key) <
           std::tie(Right.Table, Right.Partition, Right.Key);
  }
};

/// A row as it was read. Version is 0 where there is no such row.
struct StoredRow {
  RowName Name;
  /// Uninterpreted bytes.
  std::string Value;
  std::int64_t Version = 0;
  bool Removed = false;
};

/// The version that a row must have for a transaction to take effect.
struct RowCheck {
  RowName Name;
  std::int64_t Version = 0;
};

/// A row to write.
struct RowPut {
  RowName Name;
  std::string Value;
};

/// All of it takes effect or none.
struct RowTransaction {
  std::vector<RowCheck> Checks;
  std::vector<RowPut> Puts;
  std::vector<RowName> Removals;
};

/// How a transaction ended.
struct RowCommit {
  /// The new version of every row written; 0 where a check failed.
  std::int64_t Version = 0;
  /// The rows checked, as they are; only where a check failed.
  std::vector<StoredRow> CheckedRows;

  bool committed() const { return Version != 0; }
};

/// Keys From <= key < Until of one partition's table; "" leaves an end open.
struct RowRange {
  std::string Table;
  std::string Partition;
  std::string From;
  std::string Until;
  int Limit = 500;
};

/// \returns a bound that is above \p Key and below every later key. Keys hold
/// neither spaces nor control characters.
inline std::string keyAfter(const std::string &Key) { return Key + ' '; }

/// Rows as of one moment.
struct RowPage {
  std::vector<StoredRow> Rows;
  bool HasMore = false;
  /// The newest version of the whole store at that moment.
  std::int64_t Version = 0;
};

/// The changes of one table after a version, in all partitions.
struct ChangesQuery {
  std::string Table;
  std::int64_t After = 0;
  /// How long the store waits for a first change.
  milliseconds Wait{0};
};

/// The platform's store of versioned rows. Results come on the loop's thread.
///
/// Errors: PlatformUnavailable (certainly nothing was done),
/// WriteOutcomeUnknown (the transaction took effect, or may yet do so, if its
/// checks still hold), HistoryGone (changes() only: read everything again).
class RowStore {
public:
  using CommitDone = std::function<void(Result<RowCommit>)>;
  using PageDone = std::function<void(Result<RowPage>)>;

  virtual ~RowStore() = default;
  virtual void commit(RowTransaction Change, milliseconds Timeout,
                      CommitDone Done) = 0;
  virtual void read(RowRange Range, milliseconds Timeout, PageDone Done) = 0;
  virtual void changes(ChangesQuery Query, PageDone Done) = 0;
  /// \returns the store's steady clock, estimated from its last answer; 0
  /// before the first one.
  virtual milliseconds storeTime() const = 0;
  /// \returns when the store last answered a call with a result.
  virtual TimePoint lastContact() const = 0;
};

} // namespace cuminroad

#endif
