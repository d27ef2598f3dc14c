#include "cuminroad/store/TableReader.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cuminroad {

namespace {

/// Pages read at the same time, at most: one more with each page that arrives,
/// until one is too slow.
constexpr std::size_t InitialPagesInFlight = 16;
constexpr std::size_t MaxPagesInFlightLimit = 64;
/// Rows in a page, at most. They are halved, like the pages at the same time,
/// when a page is too slow.
constexpr int InitialRowsPerPage = 400;
constexpr int MinRowsPerPage = 4;
/// Timeout for reading one page; several times the store's usual response time
/// under load.
constexpr milliseconds PageTimeout{1500};
/// First and longest delay between tries while the store does not respond;
/// short enough to notice within a second that it is back.
constexpr milliseconds RetryDelayMin{50};
constexpr milliseconds RetryDelayMax{800};

} // namespace

TableReader::TableReader(RowStore &Store, Loop &ControlLoop, std::string Table,
                         std::vector<std::string> Partitions)
    : Store_(Store), ControlLoop_(ControlLoop), Table_(std::move(Table)),
      MaxPagesInFlight_(InitialPagesInFlight), RowsPerPage_(InitialRowsPerPage),
      RetryDelay_(RetryDelayMin) {
  for (std::string &Partition : Partitions)
    Unread_.push_back(Remainder{std::move(Partition), ""});
}

void TableReader::start(ReadDone Done) {
  Done_ = std::move(Done);
  readNextPages();
}

void TableReader::close() {
  Closed_ = true;
  // The callback may own the reader's owner.
  Done_ = nullptr;
}

void TableReader::readNextPages() {
  while (!Unread_.empty() && PagesInFlight_ < MaxPagesInFlight_ &&
         !RetryScheduled_) {
    Remainder Next = std::move(Unread_.front());
    Unread_.pop_front();
    readPage(std::move(Next));
  }
}

void TableReader::readPage(Remainder Next) {
  ++PagesInFlight_;
  const int Limit = RowsPerPage_;
  RowRange Range{Table_, Next.Partition, Next.From, "", Limit};
  Store_.read(std::move(Range), PageTimeout,
              [Self = shared_from_this(), Next = std::move(Next),
               Limit](Result<RowPage> Page) {
                --Self->PagesInFlight_;
                if (!Self->Closed_)
                  Self->handlePage(Next, Limit, std::move(Page));
              });
}

void TableReader::handlePage(Remainder Requested, int Limit,
                             Result<RowPage> Page) {
  if (!Page)
    return handleFailure(std::move(Requested), Limit, Page.error().Code);
  ++PagesRead_;
  RetryDelay_ = RetryDelayMin;
  if (!AnyTooSlow_ && MaxPagesInFlight_ < MaxPagesInFlightLimit)
    ++MaxPagesInFlight_;
  if (Contents_.Version == 0 || Page->Version < Contents_.Version)
    Contents_.Version = Page->Version;
  if (Page->HasMore && !Page->Rows.empty()) {
    Requested.From = keyAfter(Page->Rows.back().Name.Key);
    Unread_.push_front(std::move(Requested));
  }
  std::move(Page->Rows.begin(), Page->Rows.end(),
            std::back_inserter(Contents_.Rows));
  if (Unread_.empty() && PagesInFlight_ == 0) {
    const ReadDone Done = std::move(Done_);
    close();
    return Done(std::move(Contents_));
  }
  readNextPages();
}

void TableReader::handleFailure(Remainder Requested, int Limit,
                                ErrorCode Code) {
  Unread_.push_front(std::move(Requested));
  // Pages that were requested before the last change of the limits say nothing
  // about the present ones.
  AnyTooSlow_ = AnyTooSlow_ || Code == ErrorCode::AnswerTooSlow;
  if (Code == ErrorCode::AnswerTooSlow && Limit == RowsPerPage_) {
    MaxPagesInFlight_ = std::max<std::size_t>(MaxPagesInFlight_ / 2, 1);
    RowsPerPage_ = std::max(RowsPerPage_ / 2, MinRowsPerPage);
  }
  retryLater();
}

void TableReader::retryLater() {
  if (RetryScheduled_)
    return;
  RetryScheduled_ = true;
  ControlLoop_.after(RetryDelay_, [Self = shared_from_this()] {
    Self->RetryScheduled_ = false;
    if (!Self->Closed_)
      Self->readNextPages();
  });
  RetryDelay_ = std::min(RetryDelay_ * 2, RetryDelayMax);
}

} // namespace cuminroad
