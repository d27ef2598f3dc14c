#include "cuminroad/store/TableFollower.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cuminroad {

namespace {

/// First and longest delay between tries while the store does not answer; short
/// enough that its return is noticed within a second.
constexpr milliseconds RetryDelayMin{50};
constexpr milliseconds RetryDelayMax{800};
/// A read of one page; several times the store's usual answer under load.
constexpr milliseconds ReadTimeout{1500};

} // namespace

TableFollower::TableFollower(RowStore &Store, Loop &Home, FollowOptions Options,
                             RowSink &Sink)
    : Store_(Store), Home_(Home), Options_(std::move(Options)), Sink_(Sink),
      Delay_(RetryDelayMin) {}

void TableFollower::start() { readAll(); }

void TableFollower::readAll() {
  Reading_.clear();
  ReadVersion_ = 0;
  OpenReads_ = Options_.Partitions.size();
  ++ReadNumber_;
  for (const std::string &Partition : Options_.Partitions)
    readPartition(Partition, "");
}

void TableFollower::readPartition(const std::string &Partition,
                                  std::string From) {
  RowRange Range{Options_.Table, Partition, std::move(From), ""};
  Store_.read(std::move(Range), ReadTimeout,
              [Self = shared_from_this(), Partition,
               Number = ReadNumber_](Result<RowPage> Page) {
                if (!Self->Closed_ && Number == Self->ReadNumber_)
                  Self->pageRead(Partition, std::move(Page));
              });
}

void TableFollower::pageRead(const std::string &Partition,
                             Result<RowPage> Page) {
  if (!Page) {
    // Answers of this read that are still to come are of no use.
    ++ReadNumber_;
    return retry(&TableFollower::readAll);
  }
  if (ReadVersion_ == 0 || Page->Version < ReadVersion_)
    ReadVersion_ = Page->Version;
  const bool More = Page->HasMore && !Page->Rows.empty();
  const std::string Last = More ? Page->Rows.back().Name.Key : "";
  std::move(Page->Rows.begin(), Page->Rows.end(), std::back_inserter(Reading_));
  if (More)
    return readPartition(Partition, keyAfter(Last));
  if (--OpenReads_ > 0)
    return;
  Delay_ = RetryDelayMin;
  Version_ = ReadVersion_;
  Sink_.tableRead(std::exchange(Reading_, {}));
  if (!Closed_)
    follow();
}

void TableFollower::follow() {
  Store_.changes(RowChanges{Options_.Table, Version_, Options_.Wait},
                 [Self = shared_from_this()](Result<RowPage> Page) {
                   if (!Self->Closed_)
                     Self->changed(std::move(Page));
                 });
}

void TableFollower::changed(Result<RowPage> Page) {
  if (!Page) {
    if (Page.error().Code == ErrorCode::HistoryGone)
      return readAll();
    return retry(&TableFollower::follow);
  }
  Delay_ = RetryDelayMin;
  Version_ = std::max(Version_, Page->Version);
  if (!Page->Rows.empty())
    Sink_.rowsChanged(std::move(Page->Rows));
  if (Closed_)
    return;
  Home_.after(Options_.Gather, [Self = shared_from_this()] {
    if (!Self->Closed_)
      Self->follow();
  });
}

void TableFollower::retry(void (TableFollower::*Step)()) {
  Home_.after(Delay_, [Self = shared_from_this(), Step] {
    if (!Self->Closed_)
      ((*Self).*Step)();
  });
  Delay_ = std::min(Delay_ * 2, RetryDelayMax);
}

} // namespace cuminroad
