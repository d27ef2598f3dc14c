#include "cuminroad/daemon/KeyClaims.h"

#include <algorithm>
#include <set>

#include "cuminroad/base/Ids.h"

namespace cuminroad {

namespace {

/// Claims that come within this time share a write.
constexpr milliseconds GatherTime{5};
constexpr std::size_t MaxBatch = 200;

Result<KeyClaim> readClaim(const nlohmann::json &Value) {
  try {
    return KeyClaim{Value.at("daemon").get<std::string>(),
                    Value.at("incarnation").get<std::string>()};
  } catch (const nlohmann::json::exception &Fault) {
    return failure(ErrorCode::MalformedInput, Fault.what());
  }
}

} // namespace

KeyClaims::KeyClaims(Table &Rows, Loop &Home, const Identity &Self)
    : Rows_(Rows), Home_(Home), Self_(Self) {}

void KeyClaims::claim(std::string Key, Done Done) {
  Queue_.push_back(Request{"reqkey/" + std::move(Key), std::move(Done)});
  if (Writing_)
    return;
  Writing_ = true;
  Home_.after(GatherTime, [this] { flush(); });
}

void KeyClaims::flush() {
  Transaction Change;
  Change.WriteId = randomId();
  std::vector<Request> Batch;
  std::vector<Request> Rest;
  std::set<std::string> Keys;
  for (Request &Entry : Queue_) {
    // Two claims of one key can't share a transaction.
    if (Batch.size() >= MaxBatch || !Keys.insert(Entry.Key).second) {
      Rest.push_back(std::move(Entry));
      continue;
    }
    Change.Checks.push_back(VersionCheck{Entry.Key, 0});
    Change.Writes.push_back(
        RowWrite{Entry.Key,
                 {{"daemon", Self_.Name}, {"incarnation", Self_.Incarnation}}});
    Batch.push_back(std::move(Entry));
  }
  Queue_ = std::move(Rest);
  auto Shared = std::make_shared<std::vector<Request>>(std::move(Batch));
  Rows_.commit(std::move(Change),
               [this, Shared](Result<CommitOutcome> Outcome) {
                 settle(std::move(*Shared), Outcome);
                 Writing_ = !Queue_.empty();
                 if (Writing_)
                   flush();
               });
}

void KeyClaims::settle(std::vector<Request> Batch,
                       const Result<CommitOutcome> &Outcome) {
  if (!Outcome) {
    for (Request &Entry : Batch)
      Entry.Answer(tl::unexpected(Outcome.error()), false);
    return;
  }
  for (Request &Entry : Batch) {
    if (Outcome->committed()) {
      Entry.Answer(KeyClaim{Self_.Name, Self_.Incarnation}, true);
      continue;
    }
    const auto &Lost = Outcome->Conflicts;
    if (std::find(Lost.begin(), Lost.end(), Entry.Key) != Lost.end())
      lookUp(std::move(Entry));
    else
      Queue_.push_back(std::move(Entry));
  }
}

void KeyClaims::lookUp(Request Lost) {
  const std::string Key = Lost.Key;
  Rows_.read(Key, [Answer = std::move(Lost.Answer)](Result<TableRow> Row) {
    if (Row)
      Answer(readClaim(Row->Value), false);
    else
      Answer(tl::unexpected(Row.error()), false);
  });
}

} // namespace cuminroad
