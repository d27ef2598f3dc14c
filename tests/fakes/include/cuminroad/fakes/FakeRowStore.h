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
struct StoreFault {
  enum FaultKind {
    None,
    /// Certainly nothing was done.
    Refused,
    /// Took effect; the answer is lost.
    ResponseLost,
    /// Had no effect; the caller can't know.
    RequestLost,
    /// The caller gives up; it takes effect later, if its checks still hold.
    Delayed,
  };
  FaultKind Kind = None;
  /// Of Late.
  milliseconds Delay{0};
};

/// The store's rows, shared by the clients of several daemons.
class FakeRows {
public:
  using Key = std::tuple<std::string, std::string, std::string>;

  RowCommit apply(const RowTransaction &Transaction);
  RowPage read(const RowRange &Range) const;
  RowPage changesSince(const std::string &Table, std::int64_t After) const;
  /// Drops the history of changes.
  void compact() { CompactedVersion = Version; }
  const StoredRow *find(const RowName &Name) const;

  std::int64_t Version = 1;
  std::int64_t CompactedVersion = 0;
  std::map<Key, StoredRow> Rows;
};

/// One daemon's access to the store; fails as the test says.
class FakeRowStore final : public RowStore {
public:
  FakeRowStore(FakeRows &Rows, FakeLoop &ControlLoop)
      : Rows_(Rows), ControlLoop_(ControlLoop) {}

  void commit(RowTransaction Transaction, milliseconds Timeout,
              CommitDone Done) override;
  void read(RowRange Range, milliseconds Timeout, PageDone Done) override;
  void changes(RowChanges Request, PageDone Done) override;
  milliseconds storeTime() const override;
  TimePoint lastContact() const override { return LastContact_; }

  /// Decides the fate of each call; answers all where it is not set.
  std::function<StoreFault()> NextFault;
  milliseconds Latency{6};
  int CommitCalls = 0;
  int ReadCalls = 0;

private:
  StoreFault injectedFault() const {
    return NextFault ? NextFault() : StoreFault{};
  }
  void poll(RowChanges Request, TimePoint Deadline, PageDone Done);

  FakeRows &Rows_;
  FakeLoop &ControlLoop_;
  TimePoint LastContact_{};
};

} // namespace cuminroad

#endif
