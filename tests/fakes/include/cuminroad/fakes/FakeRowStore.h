#ifndef CUMINROAD_FAKES_FAKEROWSTORE_H
#define CUMINROAD_FAKES_FAKEROWSTORE_H

#include <functional>
#include <map>
#include <tuple>
#include <vector>

#include "cuminroad/fakes/FakeLoop.h"
#include "cuminroad/store/RowStore.h"

namespace cuminroad {

/// What becomes of a call.
struct StoreFate {
  enum Kind {
    Answered,
    /// Certainly nothing was done.
    Refused,
    /// Took effect; the answer is lost.
    LostAfter,
    /// Had no effect; the caller can't know.
    LostBefore,
    /// The caller gives up; it takes effect later, if its checks still hold.
    Late,
  };
  Kind What = Answered;
  /// Of Late.
  milliseconds Delay{0};
};

/// The store's rows, shared by the clients of several daemons.
class FakeRows {
public:
  using Key = std::tuple<std::string, std::string, std::string>;

  RowCommit apply(const RowTransaction &Change);
  RowPage read(const RowRange &Range) const;
  RowPage changesSince(const std::string &Table, std::int64_t After) const;
  /// Drops the history of changes.
  void compact() { CompactedTo = Version; }
  const StoredRow *find(const RowName &Name) const;

  std::int64_t Version = 1;
  std::int64_t CompactedTo = 0;
  std::map<Key, StoredRow> Rows;
};

/// One daemon's access to the store; fails as the test says.
class FakeRowStore final : public RowStore {
public:
  FakeRowStore(FakeRows &Rows, FakeLoop &Home) : Rows_(Rows), Home_(Home) {}

  void commit(RowTransaction Change, milliseconds Timeout,
              CommitDone Done) override;
  void read(RowRange Range, milliseconds Timeout, PageDone Done) override;
  void changes(ChangesQuery Wanted, PageDone Done) override;
  milliseconds storeTime() const override;
  TimePoint lastContact() const override { return LastContact_; }

  /// Decides the fate of each call; answers all where it is not set.
  std::function<StoreFate()> Decide;
  milliseconds Latency{6};
  int Commits = 0;
  int Reads = 0;

private:
  StoreFate fate() const { return Decide ? Decide() : StoreFate{}; }
  void poll(ChangesQuery Wanted, TimePoint Until, PageDone Done);

  FakeRows &Rows_;
  FakeLoop &Home_;
  TimePoint LastContact_{};
};

} // namespace cuminroad

#endif
