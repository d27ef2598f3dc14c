#ifndef CUMINROAD_DAEMON_IDEMPOTENCYKEYSTORE_H
#define CUMINROAD_DAEMON_IDEMPOTENCYKEYSTORE_H

#include <functional>
#include <string>
#include <vector>

#include "cuminroad/daemon/Identity.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/store/Table.h"

namespace cuminroad {

/// Who may run the request with a caller's key.
struct IdempotencyKeyClaim {
  std::string Daemon;
  std::string Incarnation;
};

/// Claims callers' idempotency keys in the table before their requests are
/// sent. Claims that come while a write is under way share the next one.
/// Everything runs on the control thread.
class IdempotencyKeyStore {
public:
  /// Called with the claim that holds; it may be another daemon's, or an
  /// earlier one of this daemon. PlatformUnavailable and WriteOutcomeUnknown
  /// mean that no claim is known to hold.
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
  void readExistingClaim(PendingClaim Taken);

  Table &Table_;
  Loop &ControlLoop_;
  Identity Self_;
  std::vector<PendingClaim> Queue_;
  bool WriteInProgress_ = false;
};

} // namespace cuminroad

#endif
