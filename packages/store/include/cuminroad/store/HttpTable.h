#ifndef CUMINROAD_STORE_HTTPTABLE_H
#define CUMINROAD_STORE_HTTPTABLE_H

#include <string>

#include "cuminroad/net/HttpClient.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/store/Table.h"

namespace cuminroad {

/// Number of operations sent to the table service.
struct TableOperationCounts {
  std::uint64_t Writes = 0;
  std::uint64_t Reads = 0;
};

/// Client of the table service over HTTP.
class HttpTable final : public Table {
public:
  /// \p Client and \p ControlLoop must outlive the table and its pending calls.
  HttpTable(std::string BaseUrl, HttpClient &Client, Loop &ControlLoop);

  void commit(Transaction Change, CommitDone Done) override;
  void read(std::string Key, RowDone Done) override;
  void scan(std::string Prefix, RowsDone Done) override;
  TableOperationCounts operationCounts() const { return OperationCounts_; }

private:
  std::string BaseUrl_;
  HttpClient &Client_;
  Loop &ControlLoop_;
  TableOperationCounts OperationCounts_;
};

} // namespace cuminroad

#endif
