#include "cuminroad/store/ResolvingTable.h"

#include <algorithm>

namespace cuminroad {

namespace {

constexpr milliseconds DelayMin{50};
constexpr milliseconds DelayMax{2000};

milliseconds retryDelay(int Tries, std::minstd_rand &Random) {
  const auto Full = std::min(DelayMin * (1 << std::min(Tries, 10)), DelayMax);
  std::uniform_real_distribution<double> Jitter(0.5, 1.0);
  return std::chrono::duration_cast<milliseconds>(Full * Jitter(Random));
}

bool resolvable(const Transaction &Change) {
  if (Change.Writes.empty())
    return false;
  return std::any_of(Change.Checks.begin(), Change.Checks.end(),
                     [&](const VersionCheck &Check) {
                       return Check.Key == Change.Writes.front().Key;
                     });
}

} // namespace

ResolvingTable::ResolvingTable(Table &Inner, Loop &Home, int Tries)
    : Inner_(Inner), Home_(Home), Tries_(Tries) {}

void ResolvingTable::note(bool Reachable) {
  if (Reachable == Reachable_)
    return;
  Reachable_ = Reachable;
  if (OnReachable)
    OnReachable(Reachable);
}

void ResolvingTable::commit(Transaction Change, CommitDone Done) {
  auto Open = std::make_shared<Attempt>();
  Open->Change = std::move(Change);
  Open->Done = std::move(Done);
  send(std::move(Open));
}

void ResolvingTable::send(std::shared_ptr<Attempt> Open) {
  ++Open->Tries;
  Inner_.commit(Open->Change, [this, Open](Result<CommitOutcome> Outcome) {
    settle(Open, std::move(Outcome));
  });
}

void ResolvingTable::settle(std::shared_ptr<Attempt> Open,
                            Result<CommitOutcome> Outcome) {
  note(Outcome.has_value());
  if (Outcome) {
    // A conflict after an uncertain try may be with that very try.
    if (!Outcome->committed() && Open->Uncertain)
      readBack(std::move(Open), *Outcome);
    else
      Open->Done(std::move(Outcome));
    return;
  }
  if (Outcome.error().Code == ErrorCode::WriteOutcomeUnknown)
    Open->Uncertain = true;
  if (!Open->Uncertain) {
    Open->Done(std::move(Outcome));
    return;
  }
  if (!resolvable(Open->Change) || Open->Tries >= Tries_) {
    Open->Done(failure(ErrorCode::WriteOutcomeUnknown));
    return;
  }
  Home_.after(retryDelay(Open->Tries, Random_), [this, Open] { send(Open); });
}

void ResolvingTable::readBack(std::shared_ptr<Attempt> Open,
                              CommitOutcome Conflict) {
  Inner_.read(
      Open->Change.Writes.front().Key,
      [this, Open, Conflict = std::move(Conflict)](Result<TableRow> Row) {
        note(Row.has_value());
        if (Row) {
          CommitOutcome Outcome = Conflict;
          if (Row->WriteId == Open->Change.WriteId)
            Outcome = CommitOutcome{Row->Version, {}};
          Open->Done(std::move(Outcome));
          return;
        }
        if (++Open->Tries >= Tries_) {
          Open->Done(failure(ErrorCode::WriteOutcomeUnknown));
          return;
        }
        Home_.after(retryDelay(Open->Tries, Random_),
                    [this, Open, Conflict] { readBack(Open, Conflict); });
      });
}

void ResolvingTable::read(std::string Key, RowDone Done) {
  Inner_.read(std::move(Key),
              [this, Done = std::move(Done)](Result<TableRow> Row) {
                note(Row.has_value());
                Done(std::move(Row));
              });
}

void ResolvingTable::scan(std::string Prefix, RowsDone Done) {
  Inner_.scan(std::move(Prefix), [this, Done = std::move(Done)](
                                     Result<std::vector<TableRow>> Rows) {
    note(Rows.has_value());
    Done(std::move(Rows));
  });
}

} // namespace cuminroad
