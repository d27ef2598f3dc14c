#include "cuminroad/store/TableFollower.h"

#include <algorithm>

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
  readPartition(0, "");
}

void TableFollower::readPartition(std::size_t Index, std::string From) {
  RowRange Range{Options_.Table, Options_.Partitions[Index], std::move(From),
                 ""};
  Store_.read(std::move(Range), ReadTimeout,
              [Self = shared_from_this(), Index](Result<RowPage> Page) {
                if (!Self->Closed_)
                  Self->pageRead(Index, std::move(Page));
              });
}

void TableFollower::pageRead(std::size_t Index, Result<RowPage> Page) {
  if (!Page)
    return retry(&TableFollower::readAll);
  if (ReadVersion_ == 0)
    ReadVersion_ = Page->Version;
  std::move(Page->Rows.begin(), Page->Rows.end(), std::back_inserter(Reading_));
  if (Page->HasMore && !Page->Rows.empty()) {
    return readPartition(Index, keyAfter(Reading_.back().Name.Key));
  }
  if (Index + 1 < Options_.Partitions.size())
    return readPartition(Index + 1, "");
  Delay_ = RetryDelayMin;
  Version_ = ReadVersion_;
  Loaded_ = true;
  Sink_.tableRead(std::move(Reading_));
  Reading_.clear();
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
