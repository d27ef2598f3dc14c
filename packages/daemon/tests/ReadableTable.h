#ifndef CUMINROAD_DAEMON_TESTS_READABLETABLE_H
#define CUMINROAD_DAEMON_TESTS_READABLETABLE_H

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cuminroad/store/Table.h"

namespace cuminroad {

/// Answers reads at once with the rows that the test has set, or fails them.
class ReadableTable : public Table {
public:
  void read(std::string Key, RowDone Done) override {
    if (ReadsFail)
      return Done(failure(ErrorCode::PlatformUnavailable));
    const auto Found = Rows.find(Key);
    Done(Found == Rows.end() ? TableRow{Key, 0, {}, ""} : Found->second);
  }
  void scan(std::string, RowsDone Done) override {
    Done(std::vector<TableRow>());
  }
  std::map<std::string, TableRow> Rows;
  bool ReadsFail = false;
};

} // namespace cuminroad

#endif
