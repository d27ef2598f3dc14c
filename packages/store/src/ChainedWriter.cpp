#include "cuminroad/store/ChainedWriter.h"

#include <algorithm>

namespace cuminroad {

namespace {

/// Least time between two transactions; bounds the calls to 40 a second.
constexpr milliseconds WriteInterval{25};
/// Rows in one transaction, below the store's limit of 100 entries, which also
/// counts the head row and its check.
constexpr std::size_t MaxRows = 90;
/// Bytes in one transaction, well below the store's limit of 1 MB.
constexpr std::size_t MaxBytes = 500'000;
/// A try is given up after this many times the usual delay, within bounds. A
/// lost answer stops the writer for as long, and a repeat is harmless; but
/// repeats to a store that is only slow make it slower, so that the time
/// doubles with each try.
constexpr int TimeoutFactor = 6;
constexpr milliseconds TimeoutMin{200};
constexpr milliseconds TimeoutMax{1600};
/// Share of the newest delay in the usual one.
constexpr int NewestPart = 4;
constexpr milliseconds RetryDelayMin{50};
constexpr milliseconds RetryDelayMax{400};

} // namespace

ChainedWriter::ChainedWriter(RowStore &Store, Loop &Home, const Clock &Time,
                             Head Head)
    : Store_(Store), Home_(Home), Time_(Time), Head_(std::move(Head)),
      RetryDelay_(RetryDelayMin), Timeout_(TimeoutMin) {}

void ChainedWriter::begin(std::int64_t HeadVersion, TimePoint WrittenAt) {
  HeadVersion_ = HeadVersion;
  RenewedAt_ = WrittenAt;
}

void ChainedWriter::add(Pending Change) {
  if (Queued_.insert(Change.Name).second) {
    Queue_.push_back(std::move(Change));
    ++Enqueued_;
  }
  plan(milliseconds(0));
}

void ChainedWriter::put(RowName Name, Encoder Value) {
  add(Pending{std::move(Name), std::move(Value)});
}

void ChainedWriter::remove(RowName Name) {
  add(Pending{std::move(Name), nullptr});
}

void ChainedWriter::whenCommitted(Committed Done) {
  Waiting_.push_back(Waiter{Enqueued_, std::move(Done)});
  plan(milliseconds(0));
}

milliseconds ChainedWriter::expectedDelay() const {
  const auto Transactions =
      static_cast<std::int64_t>(1 + Queue_.size() / MaxRows);
  return (Delay_ + WriteInterval / 2) * Transactions;
}

void ChainedWriter::renew() {
  RenewWanted_ = true;
  plan(milliseconds(0));
}

void ChainedWriter::plan(milliseconds Delay) {
  if (Planned_ || Writing_ || Closed_)
    return;
  Planned_ = true;
  const auto Since =
      std::chrono::duration_cast<milliseconds>(Time_.now() - LastWrite_);
  Home_.after(std::max(Delay, WriteInterval - Since),
              [Self = shared_from_this()] {
                Self->Planned_ = false;
                if (!Self->Closed_ && !Self->Writing_)
                  Self->write();
              });
}

void ChainedWriter::gatherRows() {
  std::size_t Bytes = 0;
  while (!Queue_.empty() && Sent_.size() < MaxRows && Bytes < MaxBytes) {
    Pending Next = std::move(Queue_.front());
    Queue_.pop_front();
    Queued_.erase(Next.Name);
    ++Taken_;
    SentRow Row{std::move(Next.Name), std::nullopt};
    if (Next.Value)
      Row.Value = Next.Value();
    Bytes += Row.Value ? Row.Value->size() : 0;
    Sent_.push_back(std::move(Row));
  }
}

void ChainedWriter::write() {
  if (!Repeating_) {
    gatherRows();
    FirstTry_ = Serial_ + 1;
  }
  RenewWanted_ = false;
  RowTransaction Change;
  Change.Checks.push_back(RowCheck{Head_.Row, HeadVersion_});
  Change.Puts.push_back(RowPut{Head_.Row, Head_.Encode(++Serial_)});
  for (const SentRow &Row : Sent_) {
    if (Row.Value)
      Change.Puts.push_back(RowPut{Row.Name, *Row.Value});
    else
      Change.Removals.push_back(Row.Name);
  }
  Writing_ = true;
  const TimePoint SentAt = Time_.now();
  LastWrite_ = SentAt;
  Store_.commit(std::move(Change), Timeout_,
                [Self = shared_from_this(), SentAt](Result<RowCommit> Outcome) {
                  Self->Writing_ = false;
                  if (!Self->Closed_)
                    Self->settle(SentAt, std::move(Outcome));
                });
}

void ChainedWriter::settle(TimePoint SentAt, Result<RowCommit> Outcome) {
  if (Outcome) {
    noteDelay(std::chrono::duration_cast<milliseconds>(Time_.now() - SentAt));
    if (Outcome->committed())
      return settleCommitted(SentAt, Outcome->Version);
    return settleConflict(*Outcome);
  }
  Repeating_ = true;
  if (Outcome.error().Code == ErrorCode::WriteOutcomeUnknown)
    Timeout_ = std::min(Timeout_ * 2, TimeoutMax);
  RenewWanted_ = true;
  plan(RetryDelay_);
  RetryDelay_ = std::min(RetryDelay_ * 2, RetryDelayMax);
}

void ChainedWriter::noteDelay(milliseconds Delay) {
  Delay_ += (Delay - Delay_) / NewestPart;
  Timeout_ = std::clamp(Delay_ * TimeoutFactor, TimeoutMin, TimeoutMax);
}

void ChainedWriter::settleCommitted(TimePoint RenewedAt, std::int64_t Version) {
  HeadVersion_ = Version;
  RenewedAt_ = RenewedAt;
  Repeating_ = false;
  RetryDelay_ = RetryDelayMin;
  Sent_.clear();
  // What waits is told when all rows that were put before it are written.
  while (!Waiting_.empty() && Waiting_.front().After <= Taken_) {
    const Committed Done = std::move(Waiting_.front().Done);
    Waiting_.pop_front();
    Done();
  }
  if (!Queue_.empty() || !Waiting_.empty() || RenewWanted_)
    plan(milliseconds(0));
}

void ChainedWriter::settleConflict(const RowCommit &Outcome) {
  const auto Head = std::find_if(
      Outcome.Found.begin(), Outcome.Found.end(),
      [this](const StoredRow &Row) { return Row.Name == Head_.Row; });
  // An earlier try whose answer was lost took effect, if the head row carries
  // the number of one of the tries. All of them carried the same rows.
  const std::int64_t Serial =
      Head == Outcome.Found.end() ? 0 : Head_.SerialOf(Head->Value);
  if (Repeating_ && Serial >= FirstTry_) {
    // When it took effect is not known: the lease counts from before.
    RenewWanted_ = true;
    return settleCommitted(RenewedAt_, Head->Version);
  }
  Closed_ = true;
  if (OnReplaced)
    OnReplaced();
}

} // namespace cuminroad
