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
/// previous transaction gave it. Therefore a writer that was replaced can't
/// write any more, and a transaction whose response was lost can't take effect
/// after a later one. The head row also serves as the writer's lease: every
/// transaction renews it.
class FencedWriter : public std::enable_shared_from_this<FencedWriter> {
public:
  using CommittedCallback = std::function<void()>;
  using ValueEncoder = std::function<std::string()>;

  /// Name and encoding of the head row.
  struct HeadRow {
    RowName Row;
    /// Encodes the value for a serial number.
    std::function<std::string(std::int64_t Serial)> EncodeValue;
    /// Decodes the serial number of a value that this writer wrote; 0 for a
    /// value of another writer.
    std::function<std::int64_t(const std::string &Value)> DecodeSerial;
  };

  FencedWriter(RowStore &Store, Loop &ControlLoop, const Clock &MonotonicClock,
               HeadRow Head);

  /// Starts from a head row that this process has just written.
  void begin(std::int64_t HeadVersion, TimePoint WrittenAt);
  /// Stops writing: sends no further transaction and ignores the outcome of the
  /// one in flight.
  void close() { Closed_ = true; }
  /// Queues the row for replacement. \p Value is called when the transaction is
  /// sent, so that several puts of a row before then become one, with the
  /// latest value.
  void put(RowName Name, ValueEncoder Value);
  /// Queues the row for removal.
  void remove(RowName Name);
  /// Calls \p Done when all rows that were put so far are in the store.
  void whenCommitted(CommittedCallback Done);
  /// Writes the head row even if no other row is queued.
  void renew();
  /// \returns when the last transaction known to have taken effect was sent.
  TimePoint renewedAt() const { return RenewedAt_; }
  std::int64_t headVersion() const { return HeadVersion_; }
  /// \returns the smoothed duration of recent transactions.
  milliseconds recentDelay() const { return SmoothedDelay_; }
  /// \returns the number of rows that are put and not yet known to be written.
  std::size_t queuedRows() const {
    return Queue_.size() + TransactionRows_.size();
  }
  /// \returns the expected time until a row that is put now is written.
  milliseconds expectedDelay() const;
  /// Called once, when the head row was found to be written by another writer.
  std::function<void()> OnReplaced;

private:
  struct QueuedRow {
    RowName Name;
    /// Null if the row is to be removed.
    ValueEncoder Value;
  };
  struct TransactionRow {
    RowName Name;
    /// None if the row is to be removed.
    std::optional<std::string> Value;
  };
  struct CommitWaiter {
    /// Value of EnqueuedRows_ when it began to wait.
    std::int64_t RequiredRows = 0;
    CommittedCallback Done;
  };

  void scheduleSend(milliseconds Delay);
  void sendTransaction();
  /// Reads the head row in \p Delay if the transaction is still unanswered
  /// then: its response may be lost, and the row shows whether it took effect.
  void probeLater(std::int64_t Serial, milliseconds Delay);
  void probe(std::int64_t Serial, milliseconds Delay);
  /// \returns whether the probe found out what became of the transaction.
  bool handleProbe(const RowPage &Page);
  void handleOutcome(TimePoint SentAt, Result<RowCommit> Outcome);
  void handleCommitted(TimePoint RenewedAt, std::int64_t Version);
  void handleConflict(const RowCommit &Outcome);
  /// Another writer has replaced the head row.
  void handleReplaced();
  /// \returns when the try with this serial number was sent.
  TimePoint triedAt(std::int64_t Serial) const;
  void dequeueRows();
  void recordDelay(milliseconds Delay);
  void enqueue(QueuedRow Change);

  RowStore &Store_;
  Loop &ControlLoop_;
  const Clock &MonotonicClock_;
  HeadRow HeadRow_;
  std::int64_t HeadVersion_ = 0;
  std::int64_t Serial_ = 0;
  /// Serial number of the first try to write TransactionRows_.
  std::int64_t FirstTrySerial_ = 0;
  /// When the tries to write TransactionRows_ were sent, from FirstTrySerial_
  /// on.
  std::vector<TimePoint> TriesSentAt_;
  std::deque<QueuedRow> Queue_;
  std::set<RowName> QueuedNames_;
  std::deque<CommitWaiter> Waiters_;
  /// Number of rows queued, and of rows moved to transactions, so far.
  std::int64_t EnqueuedRows_ = 0;
  std::int64_t DequeuedRows_ = 0;
  /// Rows of the transaction in flight. A try that may have taken effect is
  /// repeated with the same rows.
  std::vector<TransactionRow> TransactionRows_;
  bool Retrying_ = false;
  bool RenewRequested_ = false;
  bool SendScheduled_ = false;
  /// The serial number of the transaction whose outcome is awaited; 0 without
  /// one.
  std::int64_t AwaitedSerial_ = 0;
  bool Closed_ = false;
  TimePoint RenewedAt_{};
  TimePoint LastSentAt_{};
  milliseconds RetryDelay_;
  milliseconds Timeout_;
  /// Exponential moving average of the duration of transactions.
  milliseconds SmoothedDelay_{0};
};

} // namespace cuminroad

#endif
