#ifndef CUMINROAD_STORE_RESOLVINGTABLE_H
#define CUMINROAD_STORE_RESOLVINGTABLE_H

#include <functional>
#include <memory>
#include <random>

#include "cuminroad/net/Loop.h"
#include "cuminroad/store/Table.h"

namespace cuminroad {

/// Finds out what became of writes whose reply was lost.
///
/// It sends the same transaction again: where the first one took effect, the
/// second one conflicts, and the row read back carries its WriteId. Where it
/// did not, the second one commits, and the first one, should it still be
/// under way, conflicts. This holds for transactions that check the version of
/// the first row that they write; others are passed on unresolved.
class ResolvingTable final : public Table {
public:
  /// \param MaxTries how often a transaction is sent before WriteOutcomeUnknown
  /// is passed on.
  ResolvingTable(Table &Inner, Loop &ControlLoop, int MaxTries);

  void commit(Transaction Change, CommitDone Done) override;
  void read(std::string Key, RowDone Done) override;
  void scan(std::string Prefix, RowsDone Done) override;
  /// Called on each change between reachable and not.
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
