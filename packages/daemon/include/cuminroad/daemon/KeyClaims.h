#ifndef CUMINROAD_DAEMON_KEYCLAIMS_H
#define CUMINROAD_DAEMON_KEYCLAIMS_H

#include <functional>
#include <string>
#include <vector>

#include "cuminroad/daemon/Identity.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/store/Table.h"

namespace cuminroad {

/// Who may run the request with a caller's key.
struct KeyClaim {
  std::string Daemon;
  std::string Incarnation;
};

/// Claims callers' idempotency keys in the table before their requests are
/// sent. Claims that come while a write is under way share the next one.
/// Everything runs on the control thread.
class KeyClaims {
public:
  /// Called with the claim that holds; it may be another daemon's, or an
  /// earlier one of this daemon. PlatformUnavailable and WriteOutcomeUnknown
  /// mean that no claim is known to hold.
  using Done = std::function<void(Result<KeyClaim>, bool Won)>;

  KeyClaims(Table &Rows, Loop &Home, const Identity &Self);
  void claim(std::string Key, Done Done);

private:
  struct Request {
    std::string Key;
    Done Answer;
  };
  void flush();
  void settle(std::vector<Request> Batch, const Result<CommitOutcome> &Outcome);
  void lookUp(Request Lost);

  Table &Rows_;
  Loop &Home_;
  Identity Self_;
  std::vector<Request> Queue_;
  bool Writing_ = false;
};

} // namespace cuminroad

#endif
