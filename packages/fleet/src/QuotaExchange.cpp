#include "cuminroad/fleet/QuotaExchange.h"

#include <charconv>
#include <utility>

#include "cuminroad/fleet/JobRows.h"

namespace cuminroad {

namespace {

/// Rows are written at most this often.
constexpr milliseconds WriteInterval{1000};
/// Interval of decisions while nothing is written or read: what accounts need
/// changes with each start and end.
constexpr milliseconds UpdateInterval{500};
/// Delay between reads of rows, so that one read returns several.
constexpr milliseconds RowBatchDelay{100};
/// Own rows beyond this number are not written by any version.
constexpr int MaxRows = 10000;

/// A pool asks for this part more than it needs, so that work of the next
/// seconds finds room: a part arrives one to two seconds after it was needed,
/// and quick jobs are late by then.
constexpr std::int64_t HeadroomDivisor = 4;

void addHeadroom(std::vector<AccountLoad> &Loads) {
  for (AccountLoad &Each : Loads) {
    Each.Needed.MilliCores += Each.Needed.MilliCores / HeadroomDivisor;
    Each.Needed.MemoryMb += Each.Needed.MemoryMb / HeadroomDivisor;
    Each.Needed.Accelerators += Each.Needed.Accelerators / HeadroomDivisor;
  }
}

/// Of the overage that quotas allow, one part in this many is used. The rest is
/// for runs that no owner knows of yet, such as late orders.
constexpr double OverageDivisor = 2;

int rowNumber(const std::string &Key) {
  int Out = -1;
  const char *End = Key.data() + Key.size();
  const auto [Rest, Failure] = std::from_chars(Key.data(), End, Out);
  return Failure == std::errc() && Rest == End && Out < MaxRows ? Out : -1;
}

} // namespace

QuotaExchange::QuotaExchange(const FleetContext &Context, std::string Service,
                             std::shared_ptr<FencedWriter> Writer)
    : Context_(Context), Service_(std::move(Service)),
      Writer_(std::move(Writer)), Ledger_(Service_) {}

void QuotaExchange::close() {
  Closed_ = true;
  if (Follower_)
    Follower_->close();
}

void QuotaExchange::contractsChanged() {
  const bool Restarts = Ledger_.setPools(Context_.Queues.config().Services);
  std::vector<ClientAccount> Accounts = Context_.Queues.allAccounts();
  for (ClientAccount &Each : Accounts)
    Each.MaxRunning = quotaWithOverage(
        Each.MaxRunning, Context_.Settings.QuotaOverage / OverageDivisor);
  Ledger_.setAccounts(Accounts);
  if (Restarts && Follower_)
    std::exchange(Follower_, nullptr)->close();
  if (Follower_ || !Ledger_.needsExchange())
    return;
  PoolsByPartition_.clear();
  for (const std::string &Pool : Ledger_.pools())
    PoolsByPartition_.emplace(poolPartition(Pool), Pool);
  std::vector<std::string> Partitions;
  for (const auto &[Partition, Pool] : PoolsByPartition_)
    Partitions.push_back(Partition);
  Follower_ = std::make_shared<TableFollower>(
      Context_.Store, Context_.ControlLoop,
      FollowOptions{.Table = std::string(QuotaTable),
                    .Partitions = std::move(Partitions),
                    .BatchDelay = RowBatchDelay},
      *this);
  // A row that is still to be written, for another set of pools, could hold
  // more than the store has: the set may become the earlier one again.
  if (!HasWritten_)
    return Follower_->start();
  Writer_->whenCommitted([Self = shared_from_this(), Next = Follower_] {
    if (!Self->Closed_ && Self->Follower_ == Next)
      Next->start();
  });
}

void QuotaExchange::readOwnRows(std::span<const StoredRow> Rows) {
  std::vector<QuotaRow> Own;
  for (const StoredRow &Row : Rows) {
    const auto Pool = PoolsByPartition_.find(Row.Name.Partition);
    const int Number = rowNumber(Row.Name.Key);
    if (Row.Removed || Number < 0 || Pool == PoolsByPartition_.end() ||
        Pool->second != Service_)
      continue;
    auto Decoded = decodeQuotaRow(Row.Value);
    if (!Decoded) {
      // What the pool has given away isn't known, so that it may use nothing.
      Context_.Events.record(EventId::RowUnreadable, Row.Name.Partition,
                             Decoded.error().text());
      return;
    }
    if (Own.size() <= static_cast<std::size_t>(Number))
      Own.resize(static_cast<std::size_t>(Number) + 1);
    Own[static_cast<std::size_t>(Number)] = std::move(*Decoded);
  }
  Ledger_.ownRowsRead(Own);
}

void QuotaExchange::readRow(const StoredRow &Row) {
  const auto Pool = PoolsByPartition_.find(Row.Name.Partition);
  if (Pool == PoolsByPartition_.end() || Pool->second == Service_)
    return;
  if (Row.Removed)
    return Ledger_.rowRead(Pool->second, Row.Name.Key, Row.Version, QuotaRow{});
  const auto Decoded = decodeQuotaRow(Row.Value);
  if (!Decoded) {
    Context_.Events.record(EventId::RowUnreadable, Row.Name.Partition,
                           Decoded.error().text());
    // A row that can't be read gives nothing.
    return Ledger_.rowRead(Pool->second, Row.Name.Key, Row.Version, QuotaRow{});
  }
  Ledger_.rowRead(Pool->second, Row.Name.Key, Row.Version, *Decoded);
}

void QuotaExchange::tableRead(std::vector<StoredRow> Rows) {
  // Later on, the ledger knows more than its rows say.
  if (!Ledger_.ownRowsKnown())
    readOwnRows(Rows);
  rowsChanged(std::move(Rows));
}

void QuotaExchange::rowsChanged(std::vector<StoredRow> Rows) {
  for (const StoredRow &Row : Rows)
    readRow(Row);
  UpdatedAt_ = TimePoint{};
  if (OnRead)
    OnRead();
}

bool QuotaExchange::update(
    const std::function<std::vector<AccountLoad>()> &Loads) {
  const TimePoint Now = Context_.MonotonicClock.now();
  if (!Ledger_.ownRowsKnown() || !Ledger_.needsExchange() ||
      Now - UpdatedAt_ < UpdateInterval || Now - WrittenAt_ < WriteInterval)
    return false;
  UpdatedAt_ = Now;
  std::vector<AccountLoad> Current = Loads();
  addHeadroom(Current);
  const std::vector<int> Changed =
      Ledger_.update(Current, Context_.Store.storeTime());
  for (const int Number : Changed)
    write(Number);
  if (!Changed.empty())
    WrittenAt_ = Now;
  return true;
}

std::string QuotaExchange::encodeRow(int Number) const {
  return encodeQuotaRow(Ledger_.row(Number));
}

void QuotaExchange::write(int Number) {
  std::string Bytes = encodeRow(Number);
  // A row that the store refuses would block all later ones of the owner. What
  // it would have given stays unused.
  if (Bytes.size() > Context_.Settings.MaxRowBytes) {
    Context_.Events.record(EventId::RowUnreadable, poolPartition(Service_),
                           "quota row too large");
    return;
  }
  HasWritten_ = true;
  Writer_->put(quotaRow(Service_, Number),
               [this, Number, Bytes = std::move(Bytes)] {
                 // After a change of the set of pools, the ledger's row is
                 // empty until the own rows are read.
                 return Ledger_.ownRowsKnown() ? encodeRow(Number) : Bytes;
               });
}

} // namespace cuminroad
