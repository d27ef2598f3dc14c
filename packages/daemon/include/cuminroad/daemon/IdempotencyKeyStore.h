#ifndef CUMINROAD_DAEMON_IDEMPOTENCYKEYSTORE_H
#define CUMINROAD_DAEMON_IDEMPOTENCYKEYSTORE_H

#include <functional>
#include <string>
#include <vector>

#include "cuminroad/daemon/HttpResponses.h"
#include "cuminroad/daemon/Identity.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/store/Table.h"

namespace cuminroad {

/// The daemon process that may run the request with an idempotency key.
struct IdempotencyKeyClaim {
  std::string Daemon;
  std::string Incarnation;
};

/// \returns what a caller is told about its request after the claim of its key
/// failed with \p Code. This copy of the request was not sent, but another copy
/// under the same key may have been.
constexpr Outcome outcomeOfFailedClaim(ErrorCode Code) {
  return Code == ErrorCode::KeyAlreadyClaimed ||
                 Code == ErrorCode::WriteOutcomeUnknown
             ? Outcome::Unknown
             : Outcome::NotRun;
}

/// Claims callers' idempotency keys in the platform's table before their
/// requests are sent to backend servers. Claims that arrive while a write is in
/// progress are written together in the next one. Runs on the control thread.
class IdempotencyKeyStore {
public:
  /// Receives the claim that is in the table, which may belong to another
  /// daemon or to an earlier request to this one; \p NewlyClaimed is true if
  /// this call wrote it. PlatformUnavailable means that no claim is known to be
  /// in the table, KeyAlreadyClaimed that there is one which can't be read, and
  /// WriteOutcomeUnknown that there may be one, of this call or another.
  using ClaimCallback =
      std::function<void(Result<IdempotencyKeyClaim>, bool NewlyClaimed)>;

  IdempotencyKeyStore(Table &KeyTable, Loop &ControlLoop, const Identity &Self);
  void claim(std::string Key, ClaimCallback Done);

private:
  struct PendingClaim {
    std::string Key;
    ClaimCallback Done;
  };
  void writeBatch();
  void handleCommitResult(std::vector<PendingClaim> Batch,
                          const Result<CommitOutcome> &Outcome);
  /// Answers with \p IfUnreadable if the claim can't be read.
  void readExistingClaim(PendingClaim Claim, ErrorCode IfUnreadable);

  Table &Table_;
  Loop &ControlLoop_;
  Identity Self_;
  std::vector<PendingClaim> Queue_;
  bool WriteInProgress_ = false;
};

} // namespace cuminroad

#endif
