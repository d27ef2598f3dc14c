#ifndef CUMINROAD_STORE_TABLEREADER_H
#define CUMINROAD_STORE_TABLEREADER_H

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cuminroad/net/Loop.h"
#include "cuminroad/store/RowStore.h"

namespace cuminroad {

/// Reads all rows of some partitions of a table once, in pages. A failed page
/// is retried without limit, with exponential backoff; pages that have arrived
/// are kept. When a page does not pass the link in time, pages become smaller
/// and fewer are read at the same time, so that a read makes progress on a slow
/// link.
class TableReader : public std::enable_shared_from_this<TableReader> {
public:
  /// The rows of all pages, which may have been read at different times.
  struct Contents {
    std::vector<StoredRow> Rows;
    /// The lowest store version of all pages: later changes may be missing.
    std::int64_t Version = 0;
  };
  using ReadDone = std::function<void(Contents)>;

  /// \p Store and \p ControlLoop must outlive the reader or its close().
  TableReader(RowStore &Store, Loop &ControlLoop, std::string Table,
              std::vector<std::string> Partitions);

  /// Calls \p Done once, when all rows have been read.
  void start(ReadDone Done);
  /// Stops reading; no callback is called after this.
  void close();
  /// \returns the number of pages that have arrived.
  std::size_t pagesRead() const { return PagesRead_; }

private:
  /// The rest of a partition, from a key on.
  struct Remainder {
    std::string Partition;
    std::string From;
  };

  void readNextPages();
  void readPage(Remainder Next);
  void handlePage(Remainder Requested, int Limit, Result<RowPage> Page);
  void handleFailure(Remainder Requested, int Limit, ErrorCode Code);
  void retryLater();

  RowStore &Store_;
  Loop &ControlLoop_;
  std::string Table_;
  ReadDone Done_;
  std::deque<Remainder> Unread_;
  Contents Contents_;
  std::size_t PagesRead_ = 0;
  std::size_t PagesInFlight_ = 0;
  std::size_t MaxPagesInFlight_;
  int RowsPerPage_;
  bool AnyTooSlow_ = false;
  milliseconds RetryDelay_;
  bool RetryScheduled_ = false;
  bool Closed_ = false;
};

} // namespace cuminroad

#endif
