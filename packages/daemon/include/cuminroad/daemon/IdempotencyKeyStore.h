#ifndef CUMINROAD_DAEMON_IDEMPOTENCYKEYSTORE_H
#define CUMINROAD_DAEMON_IDEMPOTENCYKEYSTORE_H

#include <functional>
#include <string>
#include <vector>

#include "cuminroad/daemon/Identity.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/store/Table.h"

namespace cuminroad {

/// The daemon process that may run the request with an idempotency key.
struct IdempotencyKeyClaim {
  std::string Daemon;
  std::string Incarnation;
};

/// Claims callers' idempotency keys in the platform's table before their
/// requests are sent to backend servers. Claims that arrive while a write is in
/// progress are written together in the next one. Runs on the control thread.
class IdempotencyKeyStore {
public:
  /// Receives the claim that is in the table, which may belong to another
  /// daemon or to an earlier request to this one; \p NewlyClaimed is true if
  /// this call wrote it. PlatformUnavailable and WriteOutcomeUnknown mean that
  /// no claim is known to be in the table.
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
  void readExistingClaim(PendingClaim Claim);

  Table &Table_;
  Loop &ControlLoop_;
  Identity Self_;
  std::vector<PendingClaim> Queue_;
  bool WriteInProgress_ = false;
};

} // namespace cuminroad

#endif
