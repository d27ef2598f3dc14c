#include "cuminroad/daemon/IdempotencyKeyStore.h"

#include <algorithm>
#include <set>

#include "cuminroad/base/Ids.h"

namespace cuminroad {

namespace {

/// Claims that arrive within this time share a write.
constexpr milliseconds BatchDelay{5};
constexpr std::size_t MaxClaimsPerWrite = 200;

Result<IdempotencyKeyClaim> parseClaim(const nlohmann::json &Value) {
  try {
    return IdempotencyKeyClaim{Value.at("daemon").get<std::string>(),
                               Value.at("incarnation").get<std::string>()};
  } catch (const nlohmann::json::exception &Exception) {
    return failure(ErrorCode::MalformedInput, Exception.what());
  }
}

} // namespace

IdempotencyKeyStore::IdempotencyKeyStore(Table &KeyTable, Loop &ControlLoop,
                                         const Identity &Self)
    : Table_(KeyTable), ControlLoop_(ControlLoop), Self_(Self) {}

void IdempotencyKeyStore::claim(std::string Key, ClaimCallback Done) {
  Queue_.push_back(PendingClaim{"reqkey/" + std::move(Key), std::move(Done)});
  if (WriteInProgress_)
    return;
  WriteInProgress_ = true;
  ControlLoop_.after(BatchDelay, [this] { writeBatch(); });
}

void IdempotencyKeyStore::writeBatch() {
  Transaction Change;
  Change.WriteId = randomId();
  std::vector<PendingClaim> Batch;
  std::vector<PendingClaim> Remaining;
  std::set<std::string> Keys;
  for (PendingClaim &Entry : Queue_) {
    // A transaction can write a key only once; a second claim of it waits for
    // the next transaction.
    if (Batch.size() >= MaxClaimsPerWrite || !Keys.insert(Entry.Key).second) {
      Remaining.push_back(std::move(Entry));
      continue;
    }
    Change.Checks.push_back(VersionCheck{Entry.Key, 0});
    Change.Writes.push_back(
        RowWrite{Entry.Key,
                 {{"daemon", Self_.Name}, {"incarnation", Self_.Incarnation}}});
    Batch.push_back(std::move(Entry));
  }
  Queue_ = std::move(Remaining);
  auto SharedBatch =
      std::make_shared<std::vector<PendingClaim>>(std::move(Batch));
  Table_.commit(std::move(Change),
                [this, SharedBatch](Result<CommitOutcome> Outcome) {
                  handleCommitResult(std::move(*SharedBatch), Outcome);
                  WriteInProgress_ = !Queue_.empty();
                  if (WriteInProgress_)
                    writeBatch();
                });
}

void IdempotencyKeyStore::handleCommitResult(
    std::vector<PendingClaim> Batch, const Result<CommitOutcome> &Outcome) {
  if (!Outcome && Outcome.error().Code == ErrorCode::WriteOutcomeUnknown) {
    // Claims are never replaced, so that reading each one settles it.
    for (PendingClaim &Entry : Batch)
      readExistingClaim(std::move(Entry), ErrorCode::WriteOutcomeUnknown);
    return;
  }
  if (!Outcome) {
    for (PendingClaim &Entry : Batch)
      Entry.Done(tl::unexpected(Outcome.error()), false);
    return;
  }
  for (PendingClaim &Entry : Batch) {
    if (Outcome->committed()) {
      Entry.Done(IdempotencyKeyClaim{Self_.Name, Self_.Incarnation}, true);
      continue;
    }
    const auto &Conflicts = Outcome->Conflicts;
    if (std::find(Conflicts.begin(), Conflicts.end(), Entry.Key) !=
        Conflicts.end())
      readExistingClaim(std::move(Entry), ErrorCode::KeyAlreadyClaimed);
    else
      Queue_.push_back(std::move(Entry));
  }
}

void IdempotencyKeyStore::readExistingClaim(PendingClaim Claim,
                                            ErrorCode IfUnreadable) {
  const std::string Key = Claim.Key;
  Table_.read(Key, [Key, Done = std::move(Claim.Done),
                    IfUnreadable](Result<TableRow> Row) {
    if (!Row)
      return Done(failure(IfUnreadable, Key), false);
    if (Row->Version == 0)
      return Done(failure(ErrorCode::PlatformUnavailable, Key), false);
    const auto Existing = parseClaim(Row->Value);
    Done(Existing ? Existing : failure(ErrorCode::KeyAlreadyClaimed, Key),
         false);
  });
}

} // namespace cuminroad
