#ifndef CUMINROAD_STORE_CHAINEDWRITER_H
#define CUMINROAD_STORE_CHAINEDWRITER_H

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cuminroad/net/Loop.h"
#include "cuminroad/store/RowStore.h"

namespace cuminroad {

/// Writes the rows of one partition as its only writer, one transaction at a
/// time. Each transaction replaces a head row and checks the version that the
/// one before gave it. So a writer that was replaced can write nothing more,
/// and a transaction whose answer was lost can't take effect after a later one.
/// The head row doubles as the writer's lease: every transaction renews it.
class ChainedWriter : public std::enable_shared_from_this<ChainedWriter> {
public:
  using Committed = std::function<void()>;
  using Encoder = std::function<std::string()>;

  /// What is in the head row.
  struct Head {
    RowName Row;
    /// Its content for a given serial number.
    std::function<std::string(std::int64_t Serial)> Encode;
    /// The serial number in a content of this writer; 0 for another writer's.
    std::function<std::int64_t(const std::string &Value)> SerialOf;
  };

  ChainedWriter(RowStore &Store, Loop &Home, const Clock &Time, Head Head);

  /// Continues from a head row that this process has just written.
  void begin(std::int64_t HeadVersion, TimePoint WrittenAt);
  void close() { Closed_ = true; }
  /// Replaces the row. \p Value is asked for when the transaction leaves, so
  /// that several puts of one row before that become one, with its latest
  /// content.
  void put(RowName Name, Encoder Value);
  void remove(RowName Name);
  /// Calls \p Done when all that was put so far is in the store.
  void whenCommitted(Committed Done);
  /// Renews the head row even if nothing else is to be written.
  void renew();
  /// When the last transaction that took effect was sent.
  TimePoint renewedAt() const { return RenewedAt_; }
  std::int64_t headVersion() const { return HeadVersion_; }
  /// How long a transaction takes at present.
  milliseconds recentDelay() const { return Delay_; }
  /// How long it takes at present until a row put now is written.
  milliseconds expectedDelay() const;
  /// Called once when the head row shows another writer.
  std::function<void()> OnReplaced;

private:
  struct Pending {
    RowName Name;
    /// Null to remove the row.
    Encoder Value;
  };
  struct SentRow {
    RowName Name;
    /// Nothing to remove the row.
    std::optional<std::string> Value;
  };
  struct Waiter {
    /// Rows that had been put when it began to wait.
    std::int64_t After = 0;
    Committed Done;
  };

  void plan(milliseconds Delay);
  void write();
  void settle(TimePoint SentAt, Result<RowCommit> Outcome);
  void settleCommitted(TimePoint RenewedAt, std::int64_t Version);
  void settleConflict(const RowCommit &Outcome);
  void gatherRows();
  void noteDelay(milliseconds Delay);
  void add(Pending Change);

  RowStore &Store_;
  Loop &Home_;
  const Clock &Time_;
  Head Head_;
  std::int64_t HeadVersion_ = 0;
  std::int64_t Serial_ = 0;
  /// Serial number of the first try of the present rows.
  std::int64_t FirstTry_ = 0;
  std::deque<Pending> Queue_;
  std::set<RowName> Queued_;
  std::deque<Waiter> Waiting_;
  /// Rows that were put, and that went into transactions, so far.
  std::int64_t Enqueued_ = 0;
  std::int64_t Taken_ = 0;
  /// What the transaction under way holds. A try that may have taken effect is
  /// repeated with the same rows.
  std::vector<SentRow> Sent_;
  bool Repeating_ = false;
  bool RenewWanted_ = false;
  bool Planned_ = false;
  bool Writing_ = false;
  bool Closed_ = false;
  TimePoint RenewedAt_{};
  TimePoint LastWrite_{};
  milliseconds RetryDelay_;
  milliseconds Timeout_;
  /// How long a transaction takes, smoothed.
  milliseconds Delay_{0};
};

} // namespace cuminroad

#endif
