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
#include "cuminroad/daemon/AdmissionController.h"
#include "cuminroad/daemon/ContractRegistry.h"
#include "cuminroad/daemon/HttpResponses.h"
#include "cuminroad/daemon/IdempotencyCache.h"
#include "cuminroad/daemon/IdempotencyKeyStore.h"
#include "cuminroad/daemon/Identity.h"
#include "cuminroad/daemon/MemberRegistry.h"
#include "cuminroad/daemon/RetryBudget.h"
#include "cuminroad/net/HttpClient.h"
#include "cuminroad/net/HttpServer.h"
#include "cuminroad/net/Loop.h"

namespace cuminroad {

/// Dependencies of a RequestFrontend. Every referenced object must outlive it.
struct RequestFrontendContext {
  const Settings &Config;
  const Identity &Self;
  const Clock &MonotonicClock;
  EventLog &Events;
  Loop &ControlLoop;
  HttpClient &Client;
  const ContractRegistry &Contracts;
  const MemberRegistry &Members;
  IdempotencyKeyStore &IdempotencyKeys;
};

/// Service requests since the start of the process by outcome, and retries.
struct RequestOutcomeCounts {
  /// Requests answered whole.
  std::uint64_t Done = 0;
  /// Requests that certainly did not run.
  std::uint64_t NotRun = 0;
  /// Requests that may have run without an answer.
  std::uint64_t Unknown = 0;
  /// Attempts after the first one of a request.
  std::uint64_t Retries = 0;
};

/// Accepts callers' service requests, queues each until a slot on a backend
/// server's VM is free, sends it there, and returns the complete response. Safe
/// to use from any thread: a mutex guards its state, and is never held while a
/// callback runs or a message is sent.
///
/// Invariants: a request that is not idempotent is sent again only when it is
/// certain that it did not run. The outcome is "not run" only when no backend
/// server received any byte of the request, or every one that did refused it.
class RequestFrontend {
public:
  /// \param RequestGrants called when a grant request should be sent to the
  /// domain's owner soon, for example because requests wait for a slot.
  RequestFrontend(const RequestFrontendContext &Context,
                  std::function<void()> RequestGrants);
  ~RequestFrontend();

  /// Handles POST /v1/customers/CUSTOMER/services/SERVICE/requests.
  void handleRequest(const std::string &Customer, const std::string &Service,
                     HttpRequest Request, HttpResponder Respond);
  /// Handles POST /v1/tickets.
  HttpResponse issueTicket();
  /// Fills in the caps and demand of a grant request, and records its time: the
  /// lease of the grants counts from there.
  void fillGrantRequest(GrantRequest &Request);
  void applyGrantReply(const GrantReply &Reply);
  /// Ends waiting requests that can no longer start in time. Call every few
  /// milliseconds.
  void endExpiredRequests();
  /// Drops expired tickets, idempotency keys and cached responses. Call about
  /// once a second.
  void dropExpiredResponses();

  RequestOutcomeCounts outcomeCounts() const;
  std::size_t waitingRequests() const;
  /// Called when a request is first sent, with the time in milliseconds since
  /// its arrival.
  std::function<void(double)> OnStartWait;

private:
  /// A service request with its state.
  struct ServiceCall;
  using ServiceCallPtr = std::shared_ptr<ServiceCall>;

  /// The options in a request's headers.
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
  AdmissionController Admission_;
  IdempotencyCache IdempotencyCache_;
  RetryBudget RetryBudget_;
  std::minstd_rand Random_;
  /// Calls that wait for a slot, by id.
  std::map<std::uint64_t, ServiceCallPtr> WaitingCalls_;
  RequestOutcomeCounts OutcomeCounts_;
  TimePoint GrantRequestSentAt_{};
  std::atomic<std::uint64_t> NextCallId_{1};
};

} // namespace cuminroad

#endif
