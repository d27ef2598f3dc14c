#ifndef CUMINROAD_STORE_HTTPTABLE_H
#define CUMINROAD_STORE_HTTPTABLE_H

#include <string>

#include "cuminroad/net/HttpClient.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/store/Table.h"

namespace cuminroad {

/// Operations sent to the table.
struct TableUse {
  std::uint64_t Writes = 0;
  std::uint64_t Reads = 0;
};

/// The table service over HTTP.
class HttpTable final : public Table {
public:
  /// \param Client and \p Home must outlive the table and its open calls.
  HttpTable(std::string BaseUrl, HttpClient &Client, Loop &Home);

  void commit(Transaction Change, CommitDone Done) override;
  void read(std::string Key, RowDone Done) override;
  void scan(std::string Prefix, RowsDone Done) override;
  TableUse use() const { return Use_; }

private:
  std::string BaseUrl_;
  HttpClient &Client_;
  Loop &Home_;
  TableUse Use_;
};

} // namespace cuminroad

#endif
