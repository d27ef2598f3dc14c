#ifndef CUMINROAD_STORE_FENCEDWRITER_H
#define CUMINROAD_STORE_FENCEDWRITER_H

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
class FencedWriter : public std::enable_shared_from_this<FencedWriter> {
public:
  using CommittedCallback = std::function<void()>;
  using ValueEncoder = std::function<std::string()>;

  /// What is in the head row.
  struct HeadRow {
    RowName Row;
    /// Its content for a given serial number.
    std::function<std::string(std::int64_t Serial)> EncodeValue;
    /// The serial number in a content of this writer; 0 for another writer's.
    std::function<std::int64_t(const std::string &Value)> DecodeSerial;
  };

  FencedWriter(RowStore &Store, Loop &ControlLoop, const Clock &MonotonicClock,
               HeadRow Head);

  /// Continues from a head row that this process has just written.
  void begin(std::int64_t HeadVersion, TimePoint WrittenAt);
  void close() { Closed_ = true; }
  /// Replaces the row. \p Value is asked for when the transaction leaves, so
  /// that several puts of one row before that become one, with its latest
  /// content.
  void put(RowName Name, ValueEncoder Value);
  void remove(RowName Name);
  /// Calls \p Done when all that was put so far is in the store.
  void whenCommitted(CommittedCallback Done);
  /// Renews the head row even if nothing else is to be written.
  void renew();
  /// When the last transaction that took effect was sent.
  TimePoint renewedAt() const { return RenewedAt_; }
  std::int64_t headVersion() const { return HeadVersion_; }
  /// How long a transaction takes at present.
  milliseconds recentDelay() const { return SmoothedDelay_; }
  /// How long it takes at present until a row put now is written.
  milliseconds expectedDelay() const;
  /// Called once when the head row shows another writer.
  std::function<void()> OnReplaced;

private:
  struct QueuedRow {
    RowName Name;
    /// Null to remove the row.
    ValueEncoder Value;
  };
  struct TransactionRow {
    RowName Name;
    /// Nothing to remove the row.
    std::optional<std::string> Value;
  };
  struct CommitWaiter {
    /// Rows that had been put when it began to wait.
    std::int64_t RequiredRows = 0;
    CommittedCallback Done;
  };

  void scheduleSend(milliseconds Delay);
  void sendTransaction();
  void handleOutcome(TimePoint SentAt, Result<RowCommit> Outcome);
  void handleCommitted(TimePoint RenewedAt, std::int64_t Version);
  void handleConflict(const RowCommit &Outcome);
  void dequeueRows();
  void recordDelay(milliseconds Delay);
  void enqueue(QueuedRow Change);

  RowStore &Store_;
  Loop &ControlLoop_;
  const Clock &MonotonicClock_;
  HeadRow HeadRow_;
  std::int64_t HeadVersion_ = 0;
  std::int64_t Serial_ = 0;
  /// Serial number of the first try of the present rows.
  std::int64_t FirstTrySerial_ = 0;
  std::deque<QueuedRow> Queue_;
  std::set<RowName> QueuedNames_;
  std::deque<CommitWaiter> Waiters_;
  /// Rows that were put, and that went into transactions, so far.
  std::int64_t EnqueuedRows_ = 0;
  std::int64_t DequeuedRows_ = 0;
  /// What the transaction under way holds. A try that may have taken effect is
  /// repeated with the same rows.
  std::vector<TransactionRow> TransactionRows_;
  bool Retrying_ = false;
  bool RenewRequested_ = false;
  bool SendScheduled_ = false;
  bool InFlight_ = false;
  bool Closed_ = false;
  TimePoint RenewedAt_{};
  TimePoint LastSentAt_{};
  milliseconds RetryDelay_;
  milliseconds Timeout_;
  /// How long a transaction takes, smoothed.
  milliseconds SmoothedDelay_{0};
};

} // namespace cuminroad

#endif
