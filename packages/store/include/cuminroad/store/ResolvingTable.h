#ifndef CUMINROAD_STORE_RESOLVINGTABLE_H
#define CUMINROAD_STORE_RESOLVINGTABLE_H

#include <functional>
#include <memory>
#include <random>

#include "cuminroad/net/Loop.h"
#include "cuminroad/store/Table.h"

namespace cuminroad {

/// Table that determines whether a write took effect whose response was lost.
///
/// It sends the same transaction again. If the first try took effect, the
/// second one conflicts, and the row that is then read carries its WriteId. If
/// it did not, the second try commits, and the first one conflicts should it
/// still reach the table. This holds for transactions that check the version of
/// the first row that they write; the outcome of others is passed on
/// unresolved.
///
/// If that row carries the WriteId of another transaction, which may have
/// replaced this one's, the outcome is WriteOutcomeUnknown, however many tries
/// are allowed. A conflict is reported only if no try took effect.
class ResolvingTable final : public Table {
public:
  /// \param MaxTries maximum number of tries of a transaction before
  /// WriteOutcomeUnknown is passed on.
  ResolvingTable(Table &Inner, Loop &ControlLoop, int MaxTries);

  void commit(Transaction Change, CommitDone Done) override;
  void read(std::string Key, RowDone Done) override;
  void scan(std::string Prefix, RowsDone Done) override;
  /// Called with the new state whenever the table becomes reachable or
  /// unreachable.
  std::function<void(bool)> OnReachabilityChange;
  bool reachable() const { return Reachable_; }

private:
  struct PendingCommit {
    Transaction Change;
    CommitDone Done;
    int Tries = 0;
    /// An earlier try may have taken effect.
    bool MayHaveCommitted = false;
  };
  void send(std::shared_ptr<PendingCommit> Commit);
  void handleOutcome(std::shared_ptr<PendingCommit> Commit,
                     Result<CommitOutcome> Outcome);
  void readBack(std::shared_ptr<PendingCommit> Commit, CommitOutcome Conflict);
  void setReachable(bool Reachable);

  Table &Inner_;
  Loop &ControlLoop_;
  int MaxTries_;
  bool Reachable_ = true;
  std::minstd_rand Random_{std::random_device{}()};
};

} // namespace cuminroad

#endif
