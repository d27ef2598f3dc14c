#include "cuminroad/store/FencedWriter.h"

#include <algorithm>

namespace cuminroad {

namespace {

/// Minimum time between two transactions; limits a writer to 40 transactions a
/// second.
constexpr milliseconds MinSendInterval{25};
/// Stays below the store's limit of 100 entries per transaction, in which the
/// head row and its check count too.
constexpr std::size_t MaxRowsPerTransaction = 90;
/// A transaction takes no further rows from this size in bytes on, well below
/// the store's limit of 1 MB.
constexpr std::size_t MaxBytesPerTransaction = 500'000;
/// A try times out after this multiple of the smoothed duration, within the
/// bounds below. While a response is lost the writer is blocked until the
/// timeout, and a retry is safe, so the timeout is short; but retries slow an
/// overloaded store down further, so it doubles with each try.
constexpr int TimeoutFactor = 6;
constexpr milliseconds TimeoutMin{200};
constexpr milliseconds TimeoutMax{1600};
/// The newest duration contributes one part in this many to the moving average.
constexpr int SmoothingDivisor = 4;
/// A transaction without a response for this multiple of the smoothed duration
/// is probed by a read. While responses of writes get lost, the writer goes on
/// after the probe instead of after timeouts and retries.
constexpr int ProbeFactor = 3;
constexpr milliseconds ProbeDelayMin{50};
constexpr milliseconds RetryDelayMin{50};
constexpr milliseconds RetryDelayMax{400};

} // namespace

FencedWriter::FencedWriter(RowStore &Store, Loop &ControlLoop,
                           const Clock &MonotonicClock, HeadRow Head)
    : Store_(Store), ControlLoop_(ControlLoop), MonotonicClock_(MonotonicClock),
      HeadRow_(std::move(Head)), RetryDelay_(RetryDelayMin),
      Timeout_(TimeoutMin) {}

void FencedWriter::begin(std::int64_t HeadVersion, TimePoint WrittenAt) {
  HeadVersion_ = HeadVersion;
  RenewedAt_ = WrittenAt;
}

void FencedWriter::enqueue(QueuedRow Change) {
  if (QueuedNames_.insert(Change.Name).second) {
    Queue_.push_back(std::move(Change));
    ++EnqueuedRows_;
  }
  scheduleSend(milliseconds(0));
}

void FencedWriter::put(RowName Name, ValueEncoder Value) {
  enqueue(QueuedRow{std::move(Name), std::move(Value)});
}

void FencedWriter::remove(RowName Name) {
  enqueue(QueuedRow{std::move(Name), nullptr});
}

void FencedWriter::whenCommitted(CommittedCallback Done) {
  Waiters_.push_back(CommitWaiter{EnqueuedRows_, std::move(Done)});
  scheduleSend(milliseconds(0));
}

milliseconds FencedWriter::expectedDelay() const {
  const auto Transactions =
      static_cast<std::int64_t>(1 + Queue_.size() / MaxRowsPerTransaction);
  return (SmoothedDelay_ + MinSendInterval / 2) * Transactions;
}

void FencedWriter::renew() {
  RenewRequested_ = true;
  scheduleSend(milliseconds(0));
}

void FencedWriter::scheduleSend(milliseconds Delay) {
  if (SendScheduled_ || AwaitedSerial_ != 0 || Closed_)
    return;
  SendScheduled_ = true;
  const auto SinceLastSend = std::chrono::duration_cast<milliseconds>(
      MonotonicClock_.now() - LastSentAt_);
  ControlLoop_.after(std::max(Delay, MinSendInterval - SinceLastSend),
                     [Self = shared_from_this()] {
                       Self->SendScheduled_ = false;
                       if (!Self->Closed_ && Self->AwaitedSerial_ == 0)
                         Self->sendTransaction();
                     });
}

void FencedWriter::dequeueRows() {
  std::size_t Bytes = 0;
  while (!Queue_.empty() && TransactionRows_.size() < MaxRowsPerTransaction &&
         Bytes < MaxBytesPerTransaction) {
    QueuedRow Next = std::move(Queue_.front());
    Queue_.pop_front();
    QueuedNames_.erase(Next.Name);
    ++DequeuedRows_;
    TransactionRow Row{std::move(Next.Name), std::nullopt};
    if (Next.Value)
      Row.Value = Next.Value();
    Bytes += Row.Value ? Row.Value->size() : 0;
    TransactionRows_.push_back(std::move(Row));
  }
}

void FencedWriter::sendTransaction() {
  if (!Retrying_) {
    dequeueRows();
    FirstTrySerial_ = Serial_ + 1;
    TriesSentAt_.clear();
  }
  RenewRequested_ = false;
  RowTransaction Change;
  Change.Checks.push_back(RowCheck{HeadRow_.Row, HeadVersion_});
  Change.Puts.push_back(RowPut{HeadRow_.Row, HeadRow_.EncodeValue(++Serial_)});
  for (const TransactionRow &Row : TransactionRows_) {
    if (Row.Value)
      Change.Puts.push_back(RowPut{Row.Name, *Row.Value});
    else
      Change.Removals.push_back(Row.Name);
  }
  const std::int64_t Serial = Serial_;
  AwaitedSerial_ = Serial;
  const TimePoint SentAt = MonotonicClock_.now();
  LastSentAt_ = SentAt;
  TriesSentAt_.push_back(SentAt);
  Store_.commit(
      std::move(Change), Timeout_,
      [Self = shared_from_this(), Serial, SentAt](Result<RowCommit> Outcome) {
        // A probe may have found the outcome before.
        if (Self->AwaitedSerial_ != Serial)
          return;
        Self->AwaitedSerial_ = 0;
        if (!Self->Closed_)
          Self->handleOutcome(SentAt, std::move(Outcome));
      });
  probeLater(Serial, std::max(SmoothedDelay_ * ProbeFactor, ProbeDelayMin));
}

void FencedWriter::probeLater(std::int64_t Serial, milliseconds Delay) {
  if (AwaitedSerial_ != Serial)
    return;
  ControlLoop_.after(Delay, [Self = shared_from_this(), Serial, Delay] {
    if (!Self->Closed_ && Self->AwaitedSerial_ == Serial)
      Self->probe(Serial, Delay);
  });
}

void FencedWriter::probe(std::int64_t Serial, milliseconds Delay) {
  const RowName &Head = HeadRow_.Row;
  Store_.read(
      RowRange{Head.Table, Head.Partition, Head.Key, "", 1}, Timeout_,
      [Self = shared_from_this(), Serial, Delay](const Result<RowPage> &Page) {
        if (Self->Closed_ || Self->AwaitedSerial_ != Serial)
          return;
        if (!Page || !Self->handleProbe(*Page))
          Self->probeLater(Serial, Delay * 2);
      });
}

bool FencedWriter::handleProbe(const RowPage &Page) {
  if (Page.Rows.empty() || Page.Rows.front().Name != HeadRow_.Row ||
      Page.Rows.front().Version == HeadVersion_)
    return false;
  const StoredRow &Head = Page.Rows.front();
  AwaitedSerial_ = 0;
  const std::int64_t Serial = HeadRow_.DecodeSerial(Head.Value);
  if (Serial >= FirstTrySerial_)
    handleCommitted(triedAt(Serial), Head.Version);
  else
    handleReplaced();
  return true;
}

TimePoint FencedWriter::triedAt(std::int64_t Serial) const {
  const auto Index = static_cast<std::size_t>(Serial - FirstTrySerial_);
  return Index < TriesSentAt_.size() ? TriesSentAt_[Index] : RenewedAt_;
}

void FencedWriter::handleOutcome(TimePoint SentAt, Result<RowCommit> Outcome) {
  if (Outcome) {
    recordDelay(std::chrono::duration_cast<milliseconds>(MonotonicClock_.now() -
                                                         SentAt));
    if (Outcome->committed())
      return handleCommitted(SentAt, Outcome->Version);
    return handleConflict(*Outcome);
  }
  Retrying_ = true;
  if (Outcome.error().Code == ErrorCode::WriteOutcomeUnknown)
    Timeout_ = std::min(Timeout_ * 2, TimeoutMax);
  RenewRequested_ = true;
  scheduleSend(RetryDelay_);
  RetryDelay_ = std::min(RetryDelay_ * 2, RetryDelayMax);
}

void FencedWriter::recordDelay(milliseconds Delay) {
  SmoothedDelay_ += (Delay - SmoothedDelay_) / SmoothingDivisor;
  Timeout_ = std::clamp(SmoothedDelay_ * TimeoutFactor, TimeoutMin, TimeoutMax);
}

void FencedWriter::handleCommitted(TimePoint RenewedAt, std::int64_t Version) {
  HeadVersion_ = Version;
  RenewedAt_ = RenewedAt;
  Retrying_ = false;
  RetryDelay_ = RetryDelayMin;
  TransactionRows_.clear();
  // A waiter is notified when all rows that were put before it are written.
  while (!Waiters_.empty() && Waiters_.front().RequiredRows <= DequeuedRows_) {
    const CommittedCallback Done = std::move(Waiters_.front().Done);
    Waiters_.pop_front();
    Done();
  }
  if (!Queue_.empty() || !Waiters_.empty() || RenewRequested_)
    scheduleSend(milliseconds(0));
}

void FencedWriter::handleConflict(const RowCommit &Outcome) {
  const auto Head = std::find_if(
      Outcome.CheckedRows.begin(), Outcome.CheckedRows.end(),
      [this](const StoredRow &Row) { return Row.Name == HeadRow_.Row; });
  // If the head row carries the serial number of one of the tries, an earlier
  // try whose response was lost took effect. All tries carried the same rows.
  const std::int64_t Serial = Head == Outcome.CheckedRows.end()
                                  ? 0
                                  : HeadRow_.DecodeSerial(Head->Value);
  if (Serial >= FirstTrySerial_)
    return handleCommitted(triedAt(Serial), Head->Version);
  handleReplaced();
}

void FencedWriter::handleReplaced() {
  Closed_ = true;
  if (OnReplaced)
    OnReplaced();
}

} // namespace cuminroad
