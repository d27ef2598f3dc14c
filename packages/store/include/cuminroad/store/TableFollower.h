#ifndef CUMINROAD_STORE_TABLEFOLLOWER_H
#define CUMINROAD_STORE_TABLEFOLLOWER_H

#include <memory>
#include <string>
#include <vector>

#include "cuminroad/net/Loop.h"
#include "cuminroad/store/RowStore.h"

namespace cuminroad {

/// Which table is followed, and how often.
struct FollowOptions {
  std::string Table;
  /// The partitions that are read in full at the start, and again when the
  /// store has dropped its history.
  std::vector<std::string> Partitions;
  /// How long the store holds a call without a change; short, since a
  /// connection that has gone silent shows only when this has passed.
  milliseconds Wait{1500};
  /// Pause after an answer, so that many changes come in one.
  milliseconds BatchDelay{0};
};

/// What the owner of a follower does with the rows.
class RowSink {
public:
  virtual ~RowSink() = default;
  /// All rows of the table at one moment; replaces what was known.
  virtual void tableRead(std::vector<StoredRow> Rows) = 0;
  /// Rows that changed since, in order.
  virtual void rowsChanged(std::vector<StoredRow> Rows) = 0;
};

/// Keeps up with one table: reads it whole, then waits for changes. Tries
/// again for as long as it lives, with a delay that doubles.
class TableFollower : public std::enable_shared_from_this<TableFollower> {
public:
  /// \p Store, \p ControlLoop and \p Sink must outlive the follower or its
  /// close().
  TableFollower(RowStore &Store, Loop &ControlLoop, FollowOptions Options,
                RowSink &Sink);

  void start();
  /// Ends the follower; nothing is called back after this.
  void close() { Closed_ = true; }

private:
  void readAll();
  void readPartition(const std::string &Partition, std::string From);
  void handlePage(const std::string &Partition, Result<RowPage> Page);
  void waitForChanges();
  void handleChanges(Result<RowPage> Page);
  void retry(void (TableFollower::*Step)());

  RowStore &Store_;
  Loop &ControlLoop_;
  FollowOptions Options_;
  RowSink &Sink_;
  std::vector<StoredRow> RowsRead_;
  /// Lowest version of a page of a full read: changes since then may be missing
  /// in other pages, and are read again.
  std::int64_t ReadVersion_ = 0;
  std::size_t PendingPartitions_ = 0;
  int ReadGeneration_ = 0;
  /// Changes up to it are known.
  std::int64_t KnownVersion_ = 0;
  milliseconds RetryDelay_;
  bool Closed_ = false;
};

} // namespace cuminroad

#endif
