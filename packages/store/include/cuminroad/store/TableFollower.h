#ifndef CUMINROAD_STORE_TABLEFOLLOWER_H
#define CUMINROAD_STORE_TABLEFOLLOWER_H

#include <memory>
#include <string>
#include <vector>

#include "cuminroad/net/Loop.h"
#include "cuminroad/store/RowStore.h"
#include "cuminroad/store/TableReader.h"

namespace cuminroad {

/// Which table is followed, and at which intervals.
struct FollowOptions {
  std::string Table;
  /// The partitions that are read in full at the start, and again when the
  /// store no longer retains the changes since the last read.
  std::vector<std::string> Partitions;
  /// How long the store delays its response while there is no change (long
  /// poll), at most.
  milliseconds Wait{1500};
  /// Pause after a response, so that the next one carries several changes.
  milliseconds BatchDelay{0};
  /// How long after a change it must be known if this daemon's way to the store
  /// has just failed, while another daemon reaches the store. The store's delay
  /// is shortened so that all timeouts on the way fit.
  milliseconds MaxLag{2000};
};

/// Receives the rows of a followed table.
class RowSink {
public:
  virtual ~RowSink() = default;
  /// All rows of the table after a full read; they replace all earlier rows.
  virtual void tableRead(std::vector<StoredRow> Rows) = 0;
  /// Rows that changed since the last call, in the order of their versions.
  virtual void rowsChanged(std::vector<StoredRow> Rows) = 0;
  /// Called after a response of the store, once all changes that the store had
  /// then were passed on.
  virtual void confirmed() {}
};

/// Follows one table: reads it in full, then polls for changes. Failed calls
/// are retried without limit, with exponential backoff.
class TableFollower : public std::enable_shared_from_this<TableFollower> {
public:
  /// \p Store, \p ControlLoop and \p Sink must outlive the follower or its
  /// close().
  TableFollower(RowStore &Store, Loop &ControlLoop, FollowOptions Options,
                RowSink &Sink);

  void start();
  /// Stops following; no callback is called after this.
  void close();
  /// \returns the number of pages of the current full read, or of the last one,
  /// that have arrived.
  std::size_t pagesRead() const { return Reader_ ? Reader_->pagesRead() : 0; }
  /// \returns how the last request for changes that failed did so.
  const std::string &lastFailure() const { return LastFailure_; }

private:
  void readAll();
  void handleTable(TableReader::Contents Table);
  void waitForChanges();
  void handleChanges(Result<RowPage> Page);
  /// \returns how long the store may delay its next response.
  milliseconds nextWait() const;
  void handleChangesFailure(const Error &Failure);

  RowStore &Store_;
  Loop &ControlLoop_;
  FollowOptions Options_;
  RowSink &Sink_;
  /// The current full read, or the last one.
  std::shared_ptr<TableReader> Reader_;
  /// Store version up to which all changes were passed to the sink.
  std::int64_t KnownVersion_ = 0;
  milliseconds RetryDelay_;
  /// Consecutive requests for changes whose response was too slow.
  int SlowResponses_ = 0;
  /// Whether the last request for changes failed.
  bool LastFailed_ = false;
  std::string LastFailure_;
  bool Closed_ = false;
};

} // namespace cuminroad

#endif
