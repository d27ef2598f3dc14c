#ifndef CUMINROAD_FAKES_FAKEROWSTORE_H
#define CUMINROAD_FAKES_FAKEROWSTORE_H

#include <functional>
#include <map>
#include <tuple>
#include <vector>

#include "cuminroad/fakes/FakeLoop.h"
#include "cuminroad/store/RowStore.h"

namespace cuminroad {

/// How the fake store handles one call.
struct StoreFault {
  enum FaultKind {
    None,
    /// The store fails the call and changes nothing; the caller learns this.
    Refused,
    /// The store commits the transaction, but the response is lost, so that the
    /// caller cannot tell whether it was committed.
    ResponseLost,
    /// The request is lost: nothing is committed, but the caller cannot tell.
    RequestLost,
    /// The call times out for the caller. The transaction is applied after
    /// Delay, if its checks still hold then.
    Delayed,
    /// The connection is lost after the store has committed, and the client
    /// sends the same request again by itself: the response is that to the
    /// second one.
    Resent,
  };
  FaultKind Kind = None;
  /// Used by Delayed only.
  milliseconds Delay{0};
};

/// The rows of the store. Several daemons' FakeRowStore objects share them.
class FakeRows {
public:
  using Key = std::tuple<std::string, std::string, std::string>;

  /// Commits the transaction if all of its checks hold. \returns otherwise the
  /// rows that were found for the checks.
  RowCommit apply(const RowTransaction &Transaction);
  RowPage read(const RowRange &Range) const;
  /// \returns the rows of a table that changed after version \p After, removed
  /// ones included, by version.
  RowPage changesSince(const std::string &Table, std::int64_t After) const;
  /// Drops the change history up to now: a change feed that asks for older
  /// changes fails with HistoryGone.
  void compact() { CompactedVersion = Version; }
  const StoredRow *find(const RowName &Name) const;

  /// \returns whether the store accepts values of this size.
  bool accepts(const RowTransaction &Transaction) const;

  std::int64_t Version = 1;
  std::int64_t CompactedVersion = 0;
  /// Transactions with a larger value are refused.
  std::size_t MaxValueBytes = 49152;
  std::map<Key, StoredRow> Rows;
};

/// One daemon's client of the store. The test injects faults and sets the
/// latency.
class FakeRowStore final : public RowStore {
public:
  FakeRowStore(FakeRows &Rows, FakeLoop &ControlLoop)
      : Rows_(Rows), ControlLoop_(ControlLoop) {}

  void commit(RowTransaction Transaction, milliseconds Timeout,
              CommitDone Done) override;
  void read(RowRange Range, milliseconds Timeout, PageDone Done) override;
  void changes(ChangesQuery Request, PageDone Done) override;
  milliseconds storeTime() const override;
  TimePoint lastContact() const override { return LastContact_; }
  TimePoint lastFailure() const override { return LastFailure_; }

  /// Returns the fault to inject into the next call; without it, all calls
  /// succeed. Reads and change feeds fail on any fault.
  std::function<StoreFault()> NextFault;
  /// Whether reads and change feeds have faults too.
  bool FaultsOnReads = true;
  milliseconds Latency{6};
  /// Calls get no response until they time out, also those in progress.
  bool Silent = false;
  /// Bandwidth of the daemon's link, on which the pages of reads arrive one
  /// after another; 0 for no limit.
  std::int64_t LinkBytesPerSecond = 0;
  int CommitCalls = 0;
  int ReadCalls = 0;

private:
  StoreFault injectedFault() const {
    return NextFault ? NextFault() : StoreFault{};
  }
  StoreFault readFault() const {
    return FaultsOnReads ? injectedFault() : StoreFault{};
  }
  /// \returns how long \p Page takes to arrive after the pages before it.
  milliseconds transferTime(const RowPage &Page);
  /// Calls \p Done with the error after \p Delay.
  template <typename Callback>
  void failAfter(milliseconds Delay, ErrorCode Code, Callback Done);
  /// Fails a change feed that is silent once it has timed out.
  void failSilentPoll(TimePoint WaitEnd, PageDone Done);
  /// Answers a change feed (long poll) with new changes, or at \p Deadline.
  void poll(ChangesQuery Request, TimePoint Deadline, PageDone Done);

  FakeRows &Rows_;
  FakeLoop &ControlLoop_;
  TimePoint LastContact_{};
  TimePoint LastFailure_{};
  /// When the link has transferred all pages sent so far.
  TimePoint LinkFreeAt_{};
};

} // namespace cuminroad

#endif
