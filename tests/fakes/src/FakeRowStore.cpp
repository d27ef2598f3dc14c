#include "cuminroad/fakes/FakeRowStore.h"

#include <algorithm>

namespace cuminroad {

namespace {

constexpr milliseconds FeedPoll{5};

FakeRows::Key keyOf(const RowName &Name) {
  return {Name.Table, Name.Partition, Name.Key};
}

} // namespace

const StoredRow *FakeRows::find(const RowName &Name) const {
  const auto Found = Rows.find(keyOf(Name));
  return Found == Rows.end() || Found->second.Removed ? nullptr
                                                      : &Found->second;
}

RowCommit FakeRows::apply(const RowTransaction &Change) {
  RowCommit Out;
  bool Holds = true;
  for (const RowCheck &Check : Change.Checks) {
    const StoredRow *Row = find(Check.Name);
    Holds = Holds && (Row == nullptr ? 0 : Row->Version) == Check.Version;
    if (Row != nullptr)
      Out.CheckedRows.push_back(*Row);
  }
  if (!Holds)
    return Out;
  Out.CheckedRows.clear();
  Out.Version = ++Version;
  for (const RowPut &Put : Change.Puts)
    Rows[keyOf(Put.Name)] = StoredRow{Put.Name, Put.Value, Version, false};
  for (const RowName &Name : Change.Removals)
    Rows[keyOf(Name)] = StoredRow{Name, "", Version, true};
  return Out;
}

RowPage FakeRows::read(const RowRange &Range) const {
  RowPage Out;
  Out.Version = Version;
  for (const auto &[Key, Row] : Rows) {
    if (Row.Removed || Row.Name.Table != Range.Table ||
        Row.Name.Partition != Range.Partition || Row.Name.Key < Range.From ||
        (!Range.Until.empty() && Row.Name.Key >= Range.Until))
      continue;
    if (static_cast<int>(Out.Rows.size()) == Range.Limit) {
      Out.HasMore = true;
      break;
    }
    Out.Rows.push_back(Row);
  }
  return Out;
}

RowPage FakeRows::changesSince(const std::string &Table,
                               std::int64_t After) const {
  RowPage Out;
  Out.Version = Version;
  for (const auto &[Key, Row] : Rows)
    if (Row.Name.Table == Table && Row.Version > After)
      Out.Rows.push_back(Row);
  std::sort(Out.Rows.begin(), Out.Rows.end(),
            [](const StoredRow &Left, const StoredRow &Right) {
              return Left.Version < Right.Version;
            });
  return Out;
}

milliseconds FakeRowStore::storeTime() const {
  return std::chrono::duration_cast<milliseconds>(
      Home_.Time.now().time_since_epoch());
}

void FakeRowStore::commit(RowTransaction Change, milliseconds Timeout,
                          CommitDone Done) {
  ++Commits;
  const StoreFate Fate = fate();
  const auto GiveUp = [this, Timeout, Done] {
    Home_.after(Timeout,
                [Done] { Done(failure(ErrorCode::WriteOutcomeUnknown)); });
  };
  switch (Fate.What) {
  case StoreFate::Answered:
    Home_.after(Latency, [this, Change, Done] {
      LastContact_ = Home_.Time.now();
      Done(Rows_.apply(Change));
    });
    return;
  case StoreFate::Refused:
    Home_.after(Latency,
                [Done] { Done(failure(ErrorCode::PlatformUnavailable)); });
    return;
  case StoreFate::LostAfter:
    Home_.after(Latency, [this, Change] { Rows_.apply(Change); });
    return GiveUp();
  case StoreFate::LostBefore:
    return GiveUp();
  case StoreFate::Late:
    Home_.after(Fate.Delay, [this, Change] { Rows_.apply(Change); });
    return GiveUp();
  }
}

void FakeRowStore::read(RowRange Range, milliseconds Timeout, PageDone Done) {
  ++Reads;
  if (fate().What != StoreFate::Answered) {
    Home_.after(Timeout,
                [Done] { Done(failure(ErrorCode::PlatformUnavailable)); });
    return;
  }
  Home_.after(Latency, [this, Range, Done] {
    LastContact_ = Home_.Time.now();
    Done(Rows_.read(Range));
  });
}

void FakeRowStore::changes(ChangesQuery Wanted, PageDone Done) {
  ++Reads;
  if (fate().What != StoreFate::Answered) {
    Home_.after(Latency,
                [Done] { Done(failure(ErrorCode::PlatformUnavailable)); });
    return;
  }
  const TimePoint Until = Home_.Time.now() + Wanted.Wait;
  Home_.after(Latency,
              [this, Wanted, Until, Done] { poll(Wanted, Until, Done); });
}

void FakeRowStore::poll(ChangesQuery Wanted, TimePoint Until, PageDone Done) {
  if (Wanted.After < Rows_.CompactedTo)
    return Done(failure(ErrorCode::HistoryGone));
  RowPage Page = Rows_.changesSince(Wanted.Table, Wanted.After);
  LastContact_ = Home_.Time.now();
  if (!Page.Rows.empty() || Home_.Time.now() >= Until)
    return Done(std::move(Page));
  Home_.after(FeedPoll,
              [this, Wanted, Until, Done] { poll(Wanted, Until, Done); });
}

} // namespace cuminroad
