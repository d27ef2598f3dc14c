#include "cuminroad/store/TableFollower.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cuminroad {

namespace {

/// First and longest delay between tries while the store does not respond;
/// short enough to notice within a second that it is back.
constexpr milliseconds RetryDelayMin{50};
constexpr milliseconds RetryDelayMax{800};
/// Timeout for reading one page; several times the store's usual response time
/// under load.
constexpr milliseconds ReadTimeout{1500};

} // namespace

TableFollower::TableFollower(RowStore &Store, Loop &ControlLoop,
                             FollowOptions Options, RowSink &Sink)
    : Store_(Store), ControlLoop_(ControlLoop), Options_(std::move(Options)),
      Sink_(Sink), RetryDelay_(RetryDelayMin) {}

void TableFollower::start() { readAll(); }

void TableFollower::readAll() {
  RowsRead_.clear();
  ReadVersion_ = 0;
  PendingPartitions_ = Options_.Partitions.size();
  ++ReadGeneration_;
  for (const std::string &Partition : Options_.Partitions)
    readPartition(Partition, "");
}

void TableFollower::readPartition(const std::string &Partition,
                                  std::string From) {
  RowRange Range{Options_.Table, Partition, std::move(From), ""};
  Store_.read(std::move(Range), ReadTimeout,
              [Self = shared_from_this(), Partition,
               Generation = ReadGeneration_](Result<RowPage> Page) {
                if (!Self->Closed_ && Generation == Self->ReadGeneration_)
                  Self->handlePage(Partition, std::move(Page));
              });
}

void TableFollower::handlePage(const std::string &Partition,
                               Result<RowPage> Page) {
  if (!Page) {
    // Ignore the pages of this read that have not arrived yet.
    ++ReadGeneration_;
    return retry(&TableFollower::readAll);
  }
  if (ReadVersion_ == 0 || Page->Version < ReadVersion_)
    ReadVersion_ = Page->Version;
  const bool More = Page->HasMore && !Page->Rows.empty();
  const std::string Last = More ? Page->Rows.back().Name.Key : "";
  std::move(Page->Rows.begin(), Page->Rows.end(),
            std::back_inserter(RowsRead_));
  if (More)
    return readPartition(Partition, keyAfter(Last));
  if (--PendingPartitions_ > 0)
    return;
  RetryDelay_ = RetryDelayMin;
  KnownVersion_ = ReadVersion_;
  Sink_.tableRead(std::exchange(RowsRead_, {}));
  if (!Closed_)
    waitForChanges();
}

void TableFollower::waitForChanges() {
  Store_.changes(ChangesQuery{Options_.Table, KnownVersion_, Options_.Wait},
                 [Self = shared_from_this()](Result<RowPage> Page) {
                   if (!Self->Closed_)
                     Self->handleChanges(std::move(Page));
                 });
}

void TableFollower::handleChanges(Result<RowPage> Page) {
  if (!Page) {
    if (Page.error().Code == ErrorCode::HistoryGone)
      return readAll();
    return retry(&TableFollower::waitForChanges);
  }
  RetryDelay_ = RetryDelayMin;
  KnownVersion_ = std::max(KnownVersion_, Page->Version);
  if (!Page->Rows.empty())
    Sink_.rowsChanged(std::move(Page->Rows));
  if (Closed_)
    return;
  ControlLoop_.after(Options_.BatchDelay, [Self = shared_from_this()] {
    if (!Self->Closed_)
      Self->waitForChanges();
  });
}

void TableFollower::retry(void (TableFollower::*Step)()) {
  ControlLoop_.after(RetryDelay_, [Self = shared_from_this(), Step] {
    if (!Self->Closed_)
      ((*Self).*Step)();
  });
  RetryDelay_ = std::min(RetryDelay_ * 2, RetryDelayMax);
}

} // namespace cuminroad
