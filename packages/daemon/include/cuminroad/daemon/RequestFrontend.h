#ifndef CUMINROAD_DAEMON_REQUESTFRONTEND_H
#define CUMINROAD_DAEMON_REQUESTFRONTEND_H

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
#include "cuminroad/daemon/Admission.h"
#include "cuminroad/daemon/ContractBook.h"
#include "cuminroad/daemon/HttpReplies.h"
#include "cuminroad/daemon/IdempotencyCache.h"
#include "cuminroad/daemon/IdempotencyKeyStore.h"
#include "cuminroad/daemon/Identity.h"
#include "cuminroad/daemon/MemberBook.h"
#include "cuminroad/daemon/RetryBudget.h"
#include "cuminroad/net/HttpClient.h"
#include "cuminroad/net/HttpServer.h"
#include "cuminroad/net/Loop.h"

namespace cuminroad {

/// What a front door works with; all of it outlives the front door.
struct RequestFrontendContext {
  const Settings &Config;
  const Identity &Self;
  const Clock &MonotonicClock;
  EventLog &Events;
  Loop &ControlLoop;
  HttpClient &Client;
  const ContractBook &Contracts;
  const MemberBook &Members;
  IdempotencyKeyStore &IdempotencyKeys;
};

/// Requests since the start, by how they ended.
struct RequestOutcomeCounts {
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
class RequestFrontend {
public:
  /// \param AskOwner called when requests wait for lack of a grant.
  RequestFrontend(const RequestFrontendContext &Context,
                  std::function<void()> RequestGrants);
  ~RequestFrontend();

  /// Answers POST /v1/customers/C/services/S/requests.
  void handleRequest(const std::string &Customer, const std::string &Service,
                     HttpRequest Request, HttpResponder Respond);
  /// Answers POST /v1/tickets.
  HttpResponse issueTicket();
  /// Fills in the request for grants and notes when it was made.
  void fillGrantRequest(GrantRequest &Request);
  void applyGrantReply(const GrantReply &Reply);
  /// Ends waiting requests whose time is up; called every few milliseconds.
  void endExpiredRequests();
  /// Drops kept answers and tickets whose life is over; called each second.
  void dropExpiredResponses();

  RequestOutcomeCounts outcomeCounts() const;
  std::size_t waitingRequests() const;
  /// Milliseconds that the last requests waited for a slot, for the metrics.
  std::function<void(double)> OnStartWait;

private:
  struct ServiceCall;
  using ServiceCallPtr = std::shared_ptr<ServiceCall>;

  struct RequestOptions;
  Result<RequestOptions> parseRequestOptions(const HttpRequest &Request,
                                             const ContractTerms &Terms,
                                             const std::string &Service) const;
  void handleTicket(ServiceCallPtr Call, HttpRequest Request,
                    HttpResponder Respond);
  void handleIdempotencyKey(ServiceCallPtr Call, HttpRequest Request,
                            HttpResponder Respond);
  void handleKeyClaim(ServiceCallPtr Call, const HttpRequest &Request,
                      HttpResponder Respond,
                      const Result<IdempotencyKeyClaim> &Claim,
                      bool NewlyClaimed);
  void runOnce(ServiceCallPtr Call, const std::string &CacheKey,
               HttpResponder Respond, ErrorCode UnavailableError);
  void forwardToDaemon(const std::string &Daemon,
                       const std::string &Incarnation,
                       const HttpRequest &Request, HttpResponder Respond);
  void admit(ServiceCallPtr Call);
  void enqueue(ServiceCallPtr Call);
  void dispatchReady();
  void sendToBackend(ServiceCallPtr Call, Slot HeldSlot);
  void handleBackendResult(ServiceCallPtr Call, Slot HeldSlot, TimePoint SentAt,
                           HttpResult Result);
  void retryOrFinish(ServiceCallPtr Call, const Error &Cause);
  void finish(ServiceCallPtr Call, Outcome CallOutcome, HttpResponse Response);
  void releaseSlot(const Slot &HeldSlot, TimePoint SentAt);

  RequestFrontendContext Context_;
  std::function<void()> RequestGrants_;
  mutable std::mutex Mutex_;
  Admission Admission_;
  IdempotencyCache IdempotencyCache_;
  RetryBudget RetryBudget_;
  std::minstd_rand Random_;
  std::map<std::uint64_t, ServiceCallPtr> WaitingCalls_;
  RequestOutcomeCounts OutcomeCounts_;
  TimePoint GrantRequestSentAt_{};
  std::atomic<std::uint64_t> NextCallId_{1};
};

} // namespace cuminroad

#endif
