#include "cuminroad/store/TableFollower.h"

#include <algorithm>
#include <utility>

namespace cuminroad {

namespace {

/// First and longest delay between tries while the store does not respond;
/// short enough to notice within a second that it is back.
constexpr milliseconds RetryDelayMin{50};
constexpr milliseconds RetryDelayMax{800};
/// Time for a response through another daemon.
constexpr milliseconds RelayAllowance{350};
/// Rows in a full page of changes.
constexpr std::size_t FullPageRows = 500;
/// Consecutive slow responses to requests for changes after which the table is
/// read in full instead, in pages that pass a slow link.
constexpr int SlowResponsesUntilFullRead = 2;

} // namespace

TableFollower::TableFollower(RowStore &Store, Loop &ControlLoop,
                             FollowOptions Options, RowSink &Sink)
    : Store_(Store), ControlLoop_(ControlLoop), Options_(std::move(Options)),
      Sink_(Sink), RetryDelay_(RetryDelayMin) {}

void TableFollower::start() { readAll(); }

void TableFollower::close() {
  Closed_ = true;
  if (Reader_)
    Reader_->close();
}

void TableFollower::readAll() {
  Reader_ = std::make_shared<TableReader>(Store_, ControlLoop_, Options_.Table,
                                          Options_.Partitions);
  Reader_->start([Self = shared_from_this()](TableReader::Contents Table) {
    Self->handleTable(std::move(Table));
  });
}

void TableFollower::handleTable(TableReader::Contents Table) {
  RetryDelay_ = RetryDelayMin;
  SlowResponses_ = 0;
  LastFailed_ = false;
  KnownVersion_ = Table.Version;
  Sink_.tableRead(std::move(Table.Rows));
  if (!Closed_)
    Sink_.confirmed();
  if (!Closed_)
    waitForChanges();
}

milliseconds TableFollower::nextWait() const {
  // A response that is due at once soon shows whether the way works.
  if (LastFailed_)
    return milliseconds(0);
  return std::clamp(Options_.MaxLag - Options_.BatchDelay -
                        ChangesResponseAllowance - RetryDelayMin -
                        RelayAllowance,
                    milliseconds(0), Options_.Wait);
}

void TableFollower::waitForChanges() {
  Store_.changes(ChangesQuery{Options_.Table, KnownVersion_, nextWait()},
                 [Self = shared_from_this()](Result<RowPage> Page) {
                   if (!Self->Closed_)
                     Self->handleChanges(std::move(Page));
                 });
}

void TableFollower::handleChanges(Result<RowPage> Page) {
  if (!Page)
    return handleChangesFailure(Page.error());
  RetryDelay_ = RetryDelayMin;
  SlowResponses_ = 0;
  LastFailed_ = false;
  KnownVersion_ = std::max(KnownVersion_, Page->Version);
  // More changes are waiting; a pause would let the known rows become old.
  const bool FullPage = Page->Rows.size() >= FullPageRows;
  if (!Page->Rows.empty())
    Sink_.rowsChanged(std::move(Page->Rows));
  if (Closed_)
    return;
  if (!FullPage)
    Sink_.confirmed();
  if (Closed_)
    return;
  const milliseconds Pause = FullPage ? milliseconds(0) : Options_.BatchDelay;
  ControlLoop_.after(Pause, [Self = shared_from_this()] {
    if (!Self->Closed_)
      Self->waitForChanges();
  });
}

void TableFollower::handleChangesFailure(const Error &Failure) {
  LastFailed_ = true;
  LastFailure_ = Failure.text();
  SlowResponses_ =
      Failure.Code == ErrorCode::AnswerTooSlow ? SlowResponses_ + 1 : 0;
  if (Failure.Code == ErrorCode::HistoryGone ||
      SlowResponses_ == SlowResponsesUntilFullRead)
    return readAll();
  ControlLoop_.after(RetryDelay_, [Self = shared_from_this()] {
    if (!Self->Closed_)
      Self->waitForChanges();
  });
  RetryDelay_ = std::min(RetryDelay_ * 2, RetryDelayMax);
}

} // namespace cuminroad
