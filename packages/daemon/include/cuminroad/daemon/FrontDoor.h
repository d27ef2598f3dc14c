#ifndef CUMINROAD_DAEMON_FRONTDOOR_H
#define CUMINROAD_DAEMON_FRONTDOOR_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>

#include "cuminroad/base/EventLog.h"
#include "cuminroad/contract/Settings.h"
#include "cuminroad/daemon/AdmissionController.h"
#include "cuminroad/daemon/ContractRegistry.h"
#include "cuminroad/daemon/HttpReplies.h"
#include "cuminroad/daemon/Identity.h"
#include "cuminroad/daemon/KeyClaims.h"
#include "cuminroad/daemon/MemberRegistry.h"
#include "cuminroad/daemon/OnceBook.h"
#include "cuminroad/daemon/RetryBudget.h"
#include "cuminroad/net/HttpClient.h"
#include "cuminroad/net/HttpServer.h"
#include "cuminroad/net/Loop.h"

namespace cuminroad {

/// What a front door works with; all of it outlives the front door.
struct FrontDoorContext {
  const Settings &Config;
  const Identity &Self;
  const Clock &Time;
  EventLog &Events;
  Loop &Control;
  HttpClient &Client;
  const ContractRegistry &Contracts;
  const MemberRegistry &Members;
  KeyClaims &Claims;
};

/// Requests since the start, by how they ended.
struct FrontDoorCounts {
  std::uint64_t Done = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Retries = 0;
};

/// Takes callers' service requests, holds their connections, sends them to
/// backend servers and returns whole answers. Safe to use from any thread: its
/// state is behind one mutex, which is never held during a call out of it.
///
/// Invariants: a request that is not idempotent is sent again only when it is
/// certain that it did not run. "Not run" is answered only when no backend
/// server got a byte of it or each that did refused it.
class FrontDoor {
public:
  /// \param AskOwner called when requests wait for lack of a grant.
  FrontDoor(const FrontDoorContext &Context, std::function<void()> AskOwner);
  ~FrontDoor();

  /// Answers POST /v1/customers/C/services/S/requests.
  void request(const std::string &Customer, const std::string &Service,
               HttpRequest Request, HttpResponder Respond);
  /// Answers POST /v1/tickets.
  HttpResponse issueTicket();
  /// Fills in the request for grants and notes when it was made.
  void reportGrants(GrantRequest &Request);
  void applyGrants(const GrantReply &Reply);
  /// Ends waiting requests whose time is up; called every few milliseconds.
  void sweep();
  /// Drops kept answers and tickets whose life is over; called each second.
  void expire();

  FrontDoorCounts counts() const;
  std::size_t waiting() const;
  /// Milliseconds that the last requests waited for a slot, for the metrics.
  std::function<void(double)> OnStartWait;

private:
  struct Open;
  using OpenPtr = std::shared_ptr<Open>;

  struct Options;
  Result<Options> readOptions(const HttpRequest &Request,
                              const ContractTerms &Terms,
                              const std::string &Service) const;
  void serveTicket(OpenPtr Call, HttpRequest Request, HttpResponder Respond);
  void serveKey(OpenPtr Call, HttpRequest Request, HttpResponder Respond);
  void settleKey(OpenPtr Call, const HttpRequest &Request,
                 HttpResponder Respond, const Result<KeyClaim> &Claim,
                 bool Won);
  void serveOnce(OpenPtr Call, const std::string &Name, HttpResponder Respond,
                 ErrorCode IfAbsent);
  void forward(const std::string &Daemon, const std::string &Incarnation,
               const HttpRequest &Request, HttpResponder Respond);
  void begin(OpenPtr Call);
  void enqueue(OpenPtr Call);
  void dispatch();
  void send(OpenPtr Call, Slot Held);
  void answered(OpenPtr Call, Slot Held, TimePoint SentAt, HttpResult Answer);
  void retryOrEnd(OpenPtr Call, const Error &Why);
  void end(OpenPtr Call, Outcome What, HttpResponse Answer);
  void giveBack(const Slot &Held, TimePoint SentAt);

  FrontDoorContext Context_;
  std::function<void()> AskOwner_;
  mutable std::mutex Mutex_;
  AdmissionController Admission_;
  OnceBook Once_;
  RetryBudget Budget_;
  std::minstd_rand Random_;
  std::map<std::uint64_t, OpenPtr> Waiting_;
  FrontDoorCounts Counts_;
  TimePoint GrantsAskedAt_{};
  std::atomic<std::uint64_t> NextId_{1};
};

} // namespace cuminroad

#endif
