#include "cuminroad/fakes/FakeRowStore.h"

#include <algorithm>

namespace cuminroad {

namespace {

constexpr milliseconds FeedPollInterval{5};
constexpr std::size_t MaxChangesPerPage = 500;

FakeRows::Key keyOf(const RowName &Name) {
  return {Name.Table, Name.Partition, Name.Key};
}

} // namespace

const StoredRow *FakeRows::find(const RowName &Name) const {
  const auto Found = Rows.find(keyOf(Name));
  return Found == Rows.end() || Found->second.Removed ? nullptr
                                                      : &Found->second;
}

bool FakeRows::accepts(const RowTransaction &Transaction) const {
  return std::all_of(
      Transaction.Puts.begin(), Transaction.Puts.end(),
      [this](const RowPut &Put) { return Put.Value.size() <= MaxValueBytes; });
}

RowCommit FakeRows::apply(const RowTransaction &Transaction) {
  RowCommit Commit;
  bool ChecksHold = true;
  for (const RowCheck &Check : Transaction.Checks) {
    const StoredRow *Row = find(Check.Name);
    ChecksHold =
        ChecksHold && (Row == nullptr ? 0 : Row->Version) == Check.Version;
    if (Row != nullptr)
      Commit.CheckedRows.push_back(*Row);
  }
  if (!ChecksHold)
    return Commit;
  Commit.CheckedRows.clear();
  Commit.Version = ++Version;
  for (const RowPut &Put : Transaction.Puts)
    Rows[keyOf(Put.Name)] = StoredRow{Put.Name, Put.Value, Version, false};
  for (const RowName &Name : Transaction.Removals)
    Rows[keyOf(Name)] = StoredRow{Name, "", Version, true};
  return Commit;
}

RowPage FakeRows::read(const RowRange &Range) const {
  RowPage Page;
  Page.Version = Version;
  for (const auto &[Key, Row] : Rows) {
    if (Row.Removed || Row.Name.Table != Range.Table ||
        Row.Name.Partition != Range.Partition || Row.Name.Key < Range.From ||
        (!Range.Until.empty() && Row.Name.Key >= Range.Until))
      continue;
    if (static_cast<int>(Page.Rows.size()) == Range.Limit) {
      Page.HasMore = true;
      break;
    }
    Page.Rows.push_back(Row);
  }
  return Page;
}

RowPage FakeRows::changesSince(const std::string &Table,
                               std::int64_t After) const {
  RowPage Page;
  Page.Version = Version;
  for (const auto &[Key, Row] : Rows)
    if (Row.Name.Table == Table && Row.Version > After)
      Page.Rows.push_back(Row);
  std::sort(Page.Rows.begin(), Page.Rows.end(),
            [](const StoredRow &Left, const StoredRow &Right) {
              return Left.Version < Right.Version;
            });
  if (Page.Rows.size() > MaxChangesPerPage) {
    // The rows of one transaction stay together.
    std::size_t End = MaxChangesPerPage;
    while (End < Page.Rows.size() &&
           Page.Rows[End].Version == Page.Rows[End - 1].Version)
      ++End;
    Page.Rows.resize(End);
    Page.Version = Page.Rows.back().Version;
  }
  return Page;
}

milliseconds FakeRowStore::storeTime() const {
  return std::chrono::duration_cast<milliseconds>(
      ControlLoop_.MonotonicClock.now().time_since_epoch());
}

template <typename Callback>
void FakeRowStore::failAfter(milliseconds Delay, ErrorCode Code,
                             Callback Done) {
  ControlLoop_.after(Delay, [this, Code, Done] {
    LastFailure_ = ControlLoop_.MonotonicClock.now();
    Done(failure(Code));
  });
}

void FakeRowStore::commit(RowTransaction Transaction, milliseconds Timeout,
                          CommitDone Done) {
  ++CommitCalls;
  const StoreFault Fault = injectedFault();
  const auto ReportUnknownOutcome = [this, Timeout, Done] {
    failAfter(Timeout, ErrorCode::WriteOutcomeUnknown, Done);
  };
  if (Silent)
    return ReportUnknownOutcome();
  if (!Rows_.accepts(Transaction))
    return failAfter(Latency, ErrorCode::PlatformUnavailable, Done);
  switch (Fault.Kind) {
  case StoreFault::None:
    ControlLoop_.after(Latency, [this, Transaction, Done] {
      LastContact_ = ControlLoop_.MonotonicClock.now();
      Done(Rows_.apply(Transaction));
    });
    return;
  case StoreFault::Refused:
    return failAfter(Latency, ErrorCode::PlatformUnavailable, Done);
  case StoreFault::ResponseLost:
    ControlLoop_.after(Latency,
                       [this, Transaction] { Rows_.apply(Transaction); });
    return ReportUnknownOutcome();
  case StoreFault::RequestLost:
    return ReportUnknownOutcome();
  case StoreFault::Resent:
    ControlLoop_.after(Latency, [this, Transaction, Done] {
      LastContact_ = ControlLoop_.MonotonicClock.now();
      Rows_.apply(Transaction);
      Done(Rows_.apply(Transaction));
    });
    return;
  case StoreFault::Delayed:
    ControlLoop_.after(Fault.Delay,
                       [this, Transaction] { Rows_.apply(Transaction); });
    return ReportUnknownOutcome();
  }
}

void FakeRowStore::read(RowRange Range, milliseconds Timeout, PageDone Done) {
  ++ReadCalls;
  if (Silent || readFault().Kind != StoreFault::None) {
    return failAfter(Timeout, ErrorCode::PlatformUnavailable, Done);
  }
  const TimePoint Deadline = ControlLoop_.MonotonicClock.now() + Timeout;
  ControlLoop_.after(Latency, [this, Range, Deadline, Done] {
    RowPage Page = Rows_.read(Range);
    const milliseconds Delay = transferTime(Page);
    const auto Left = std::chrono::duration_cast<milliseconds>(
        Deadline - ControlLoop_.MonotonicClock.now());
    if (Delay > Left) {
      // The daemon closes the connection, which discards the rest of the page.
      LinkFreeAt_ = std::min(LinkFreeAt_, Deadline);
      return ControlLoop_.after(
          Left, [Done] { Done(failure(ErrorCode::AnswerTooSlow)); });
    }
    ControlLoop_.after(Delay, [this, Page, Done] {
      LastContact_ = ControlLoop_.MonotonicClock.now();
      Done(Page);
    });
  });
}

milliseconds FakeRowStore::transferTime(const RowPage &Page) {
  if (LinkBytesPerSecond == 0)
    return milliseconds(0);
  std::int64_t Bytes = 0;
  for (const StoredRow &Row : Page.Rows)
    Bytes += static_cast<std::int64_t>(Row.Value.size());
  const TimePoint Now = ControlLoop_.MonotonicClock.now();
  LinkFreeAt_ = std::max(LinkFreeAt_, Now) +
                milliseconds(Bytes * 1000 / LinkBytesPerSecond);
  return std::chrono::duration_cast<milliseconds>(LinkFreeAt_ - Now);
}

void FakeRowStore::changes(ChangesQuery Request, PageDone Done) {
  ++ReadCalls;
  if (readFault().Kind != StoreFault::None) {
    return failAfter(Latency, ErrorCode::PlatformUnavailable, Done);
  }
  const TimePoint Deadline = ControlLoop_.MonotonicClock.now() + Request.Wait;
  if (Silent)
    return failSilentPoll(Deadline, std::move(Done));
  ControlLoop_.after(Latency, [this, Request, Deadline, Done] {
    poll(Request, Deadline, Done);
  });
}

void FakeRowStore::failSilentPoll(TimePoint WaitEnd, PageDone Done) {
  failAfter(std::chrono::duration_cast<milliseconds>(
                WaitEnd + ChangesResponseAllowance -
                ControlLoop_.MonotonicClock.now()),
            ErrorCode::PlatformUnavailable, std::move(Done));
}

void FakeRowStore::poll(ChangesQuery Request, TimePoint Deadline,
                        PageDone Done) {
  if (Silent)
    return failSilentPoll(Deadline, std::move(Done));
  if (Request.After < Rows_.CompactedVersion)
    return Done(failure(ErrorCode::HistoryGone));
  RowPage Page = Rows_.changesSince(Request.Table, Request.After);
  LastContact_ = ControlLoop_.MonotonicClock.now();
  if (!Page.Rows.empty() || ControlLoop_.MonotonicClock.now() >= Deadline)
    return Done(std::move(Page));
  ControlLoop_.after(FeedPollInterval, [this, Request, Deadline, Done] {
    poll(Request, Deadline, Done);
  });
}

} // namespace cuminroad
