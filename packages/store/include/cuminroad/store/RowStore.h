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

/// Identifies a row. A transaction may span tables, but only one partition.
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

/// A row as it was read. Version is 0 if the row does not exist.
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

/// An atomic change of rows: all of it takes effect, or none.
struct RowTransaction {
  std::vector<RowCheck> Checks;
  std::vector<RowPut> Puts;
  std::vector<RowName> Removals;
};

/// The outcome of a transaction.
struct RowCommit {
  /// The new version of all rows written; 0 if a check failed.
  std::int64_t Version = 0;
  /// The current rows of all checks; only if a check failed.
  std::vector<StoredRow> CheckedRows;

  bool committed() const { return Version != 0; }
};

/// The rows with From <= key < Until of one table and partition; "" leaves an
/// end unbounded.
struct RowRange {
  std::string Table;
  std::string Partition;
  std::string From;
  std::string Until;
  /// Maximum number of rows in a page.
  int Limit = 500;
};

/// \returns a bound above \p Key and below every greater key. Keys contain
/// neither spaces nor control characters.
inline std::string keyAfter(const std::string &Key) { return Key + ' '; }

/// Rows read at one point in time.
struct RowPage {
  std::vector<StoredRow> Rows;
  bool HasMore = false;
  /// The newest version in the whole store at that time.
  std::int64_t Version = 0;
};

/// Requests the changes of one table, in all partitions, after a version.
struct ChangesQuery {
  std::string Table;
  std::int64_t After = 0;
  /// How long the store waits for a change before it responds (long poll).
  milliseconds Wait{0};
};

/// How long after the end of its wait a request for changes may still get its
/// response.
inline constexpr milliseconds ChangesResponseAllowance{800};

/// The platform's store of versioned rows. Callbacks run on the thread of the
/// control loop.
///
/// Errors: PlatformUnavailable (the call certainly had no effect),
/// WriteOutcomeUnknown (the transaction may have taken effect, or may still do
/// so if its checks hold then), HistoryGone (changes() only: the table must be
/// read in full again), AnswerTooSlow (read() and changes() only: the store can
/// be reached, but the response did not arrive in time).
class RowStore {
public:
  using CommitDone = std::function<void(Result<RowCommit>)>;
  using PageDone = std::function<void(Result<RowPage>)>;

  virtual ~RowStore() = default;
  virtual void commit(RowTransaction Change, milliseconds Timeout,
                      CommitDone Done) = 0;
  virtual void read(RowRange Range, milliseconds Timeout, PageDone Done) = 0;
  virtual void changes(ChangesQuery Query, PageDone Done) = 0;
  /// \returns the time of the store's monotonic clock, estimated from its last
  /// response; 0 before the first one.
  virtual milliseconds storeTime() const = 0;
  /// \returns when the store last returned a result.
  virtual TimePoint lastContact() const = 0;
  /// \returns when a call last failed with PlatformUnavailable or
  /// WriteOutcomeUnknown.
  virtual TimePoint lastFailure() const = 0;
};

} // namespace cuminroad

#endif
