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
  /// \param Tries how often a transaction is sent before WriteOutcomeUnknown
  /// is passed on.
  ResolvingTable(Table &Inner, Loop &Home, int Tries);

  void commit(Transaction Change, CommitDone Done) override;
  void read(std::string Key, RowDone Done) override;
  void scan(std::string Prefix, RowsDone Done) override;
  /// Called on each change between reachable and not.
  std::function<void(bool)> OnReachable;
  bool reachable() const { return Reachable_; }

private:
  struct Attempt {
    Transaction Change;
    CommitDone Done;
    int Tries = 0;
    /// An earlier try may have taken effect.
    bool Uncertain = false;
  };
  void send(std::shared_ptr<Attempt> Open);
  void settle(std::shared_ptr<Attempt> Open, Result<CommitOutcome> Outcome);
  void readBack(std::shared_ptr<Attempt> Open, CommitOutcome Conflict);
  void note(bool Reachable);

  Table &Inner_;
  Loop &Home_;
  int Tries_;
  bool Reachable_ = true;
  std::minstd_rand Random_{std::random_device{}()};
};

} // namespace cuminroad

#endif
