#include "cuminroad/store/ResolvingTable.h"

#include <algorithm>
#include <optional>

namespace cuminroad {

namespace {

constexpr milliseconds RetryDelayMin{50};
constexpr milliseconds RetryDelayMax{2000};

milliseconds retryDelay(int Tries, std::minstd_rand &Random) {
  const auto FullDelay =
      std::min(RetryDelayMin * (1 << std::min(Tries, 10)), RetryDelayMax);
  std::uniform_real_distribution<double> Jitter(0.5, 1.0);
  return std::chrono::duration_cast<milliseconds>(FullDelay * Jitter(Random));
}

/// \returns the version that the transaction requires of the first row that it
/// writes, if it checks that row.
std::optional<std::int64_t> firstRowVersion(const Transaction &Change) {
  if (Change.Writes.empty())
    return std::nullopt;
  for (const VersionCheck &Check : Change.Checks)
    if (Check.Key == Change.Writes.front().Key)
      return Check.Version;
  return std::nullopt;
}

/// \returns the outcome of a transaction of which a try conflicted after one
/// without a response. \p Row is the first row that it writes, read afterwards.
Result<CommitOutcome> settle(const Transaction &Change,
                             const CommitOutcome &Conflict,
                             const TableRow &Row) {
  if (Row.WriteId == Change.WriteId)
    return CommitOutcome{Row.Version, {}};
  // A row has the same version twice only if it doesn't exist. So an unchanged
  // row shows that no try took effect. Another row may have replaced this
  // transaction's, and proves nothing.
  if (Row.Version != 0 && Row.Version == firstRowVersion(Change))
    return Conflict;
  return failure(ErrorCode::WriteOutcomeUnknown, Row.Key);
}

} // namespace

ResolvingTable::ResolvingTable(Table &Inner, Loop &ControlLoop, int MaxTries)
    : Inner_(Inner), ControlLoop_(ControlLoop), MaxTries_(MaxTries) {}

void ResolvingTable::setReachable(bool Reachable) {
  if (Reachable == Reachable_)
    return;
  Reachable_ = Reachable;
  if (OnReachabilityChange)
    OnReachabilityChange(Reachable);
}

void ResolvingTable::commit(Transaction Change, CommitDone Done) {
  auto Commit = std::make_shared<PendingCommit>();
  Commit->Change = std::move(Change);
  Commit->Done = std::move(Done);
  send(std::move(Commit));
}

void ResolvingTable::send(std::shared_ptr<PendingCommit> Commit) {
  ++Commit->Tries;
  Inner_.commit(Commit->Change, [this, Commit](Result<CommitOutcome> Outcome) {
    handleOutcome(Commit, std::move(Outcome));
  });
}

void ResolvingTable::handleOutcome(std::shared_ptr<PendingCommit> Commit,
                                   Result<CommitOutcome> Outcome) {
  setReachable(Outcome.has_value());
  if (Outcome) {
    // The conflict may be with an earlier try of this transaction.
    if (!Outcome->committed() && Commit->MayHaveCommitted)
      readBack(std::move(Commit), *Outcome);
    else
      Commit->Done(std::move(Outcome));
    return;
  }
  if (Outcome.error().Code == ErrorCode::WriteOutcomeUnknown)
    Commit->MayHaveCommitted = true;
  if (!Commit->MayHaveCommitted) {
    Commit->Done(std::move(Outcome));
    return;
  }
  if (!firstRowVersion(Commit->Change) || Commit->Tries >= MaxTries_) {
    Commit->Done(failure(ErrorCode::WriteOutcomeUnknown));
    return;
  }
  ControlLoop_.after(retryDelay(Commit->Tries, Random_),
                     [this, Commit] { send(Commit); });
}

void ResolvingTable::readBack(std::shared_ptr<PendingCommit> Commit,
                              CommitOutcome Conflict) {
  Inner_.read(
      Commit->Change.Writes.front().Key,
      [this, Commit, Conflict = std::move(Conflict)](Result<TableRow> Row) {
        setReachable(Row.has_value());
        if (Row) {
          Commit->Done(settle(Commit->Change, Conflict, *Row));
          return;
        }
        if (++Commit->Tries >= MaxTries_) {
          Commit->Done(failure(ErrorCode::WriteOutcomeUnknown));
          return;
        }
        ControlLoop_.after(
            retryDelay(Commit->Tries, Random_),
            [this, Commit, Conflict] { readBack(Commit, Conflict); });
      });
}

void ResolvingTable::read(std::string Key, RowDone Done) {
  Inner_.read(std::move(Key),
              [this, Done = std::move(Done)](Result<TableRow> Row) {
                setReachable(Row.has_value());
                Done(std::move(Row));
              });
}

void ResolvingTable::scan(std::string Prefix, RowsDone Done) {
  Inner_.scan(std::move(Prefix), [this, Done = std::move(Done)](
                                     Result<std::vector<TableRow>> Rows) {
    setReachable(Rows.has_value());
    Done(std::move(Rows));
  });
}

} // namespace cuminroad
