#include "cuminroad/daemon/RequestFrontend.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cuminroad/base/Ids.h"

namespace cuminroad {

namespace {

/// How long a ticket can be used and the response to a request is cached.
constexpr milliseconds IdempotencyEntryLifetime{300000};
constexpr std::size_t MaxCachedResponseBytes = 32 << 20;
constexpr milliseconds RetryDelayMin{5};
constexpr milliseconds RetryDelayMax{500};
/// Time that a backend server may take to notice that a deadline has passed.
constexpr milliseconds DeadlineMargin{500};
constexpr milliseconds ConnectTimeout{1000};
/// The shortest time that an attempt is given; no retry starts with less left.
constexpr milliseconds MinAttemptTime{20};
constexpr int MaxAttempts = 6;

std::optional<milliseconds> parseMillis(std::string_view Text) {
  std::int64_t Value = 0;
  const auto [End, ParseError] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (ParseError != std::errc() || End != Text.data() + Text.size() ||
      Value <= 0)
    return std::nullopt;
  return milliseconds(Value);
}

} // namespace

struct RequestFrontend::RequestOptions {
  bool Idempotent = false;
  milliseconds Deadline{0};
  std::string Key;
  std::string Ticket;
};

struct RequestFrontend::ServiceCall {
  std::uint64_t Id = 0;
  std::string Customer;
  std::string Service;
  std::string Body;
  std::string ContentType;
  RequestOptions Options;
  bool Urgent = false;
  TimePoint ArrivedAt{};
  /// The latest time at which the next attempt may start.
  TimePoint StartBy{};
  TimePoint Deadline{};
  int Attempts = 0;
  /// Whether an attempt ended without a response.
  bool MayHaveRun = false;
  /// VMs that failed an attempt; later attempts avoid them.
  std::set<std::string> AvoidedVms;
  /// Called exactly once, with the outcome and the response for the caller.
  std::function<void(Outcome, HttpResponse)> OnFinished;
};

RequestFrontend::RequestFrontend(const RequestFrontendContext &Context,
                                 std::function<void()> RequestGrants)
    : Context_(Context), RequestGrants_(std::move(RequestGrants)),
      Admission_(Context.MonotonicClock),
      IdempotencyCache_(Context.MonotonicClock, IdempotencyEntryLifetime,
                        MaxCachedResponseBytes),
      Random_(std::random_device{}()) {}

RequestFrontend::~RequestFrontend() = default;

Result<RequestFrontend::RequestOptions>
RequestFrontend::parseRequestOptions(const HttpRequest &Request,
                                     const ContractTerms &Terms,
                                     const std::string &Service) const {
  RequestOptions Parsed;
  Parsed.Deadline = Context_.Config.Times.MaxRequestTime;
  const std::string_view DeadlineHeader =
      findHeader(Request.Headers, "X-Deadline-Ms");
  if (!DeadlineHeader.empty()) {
    const auto Value = parseMillis(DeadlineHeader);
    if (!Value || *Value > Context_.Config.Times.MaxRequestTime)
      return failure(ErrorCode::ValueOutOfRange, "X-Deadline-Ms");
    Parsed.Deadline = *Value;
  }
  const std::string_view IdempotentHeader =
      findHeader(Request.Headers, "X-Idempotent");
  if (!IdempotentHeader.empty() && IdempotentHeader != "true" &&
      IdempotentHeader != "false")
    return failure(ErrorCode::ValueOutOfRange, "X-Idempotent");
  const bool MustNotRepeat =
      std::find(Terms.NeverRetriedServices.begin(),
                Terms.NeverRetriedServices.end(),
                Service) != Terms.NeverRetriedServices.end();
  Parsed.Idempotent = IdempotentHeader == "true" && !MustNotRepeat;
  Parsed.Key = findHeader(Request.Headers, "Idempotency-Key");
  Parsed.Ticket = findHeader(Request.Headers, "X-Ticket");
  if (!Parsed.Key.empty() && !Parsed.Ticket.empty())
    return failure(ErrorCode::ValueOutOfRange,
                   "Idempotency-Key and X-Ticket are mutually exclusive");
  return Parsed;
}

void RequestFrontend::handleRequest(const std::string &Customer,
                                    const std::string &Service,
                                    HttpRequest Request,
                                    HttpResponder Respond) {
  const auto Terms = Context_.Contracts.find(Customer);
  if (!Terms)
    return Respond(outcomeResponse(
        Outcome::NotRun, Error{ErrorCode::UnknownCustomer, Customer}));
  auto Options = parseRequestOptions(Request, *Terms, Service);
  if (!Options)
    return Respond(errorResponse(Options.error()));
  auto Call = std::make_shared<ServiceCall>();
  Call->Id = NextCallId_++;
  Call->Customer = Customer;
  Call->Service = Service;
  Call->ContentType = findHeader(Request.Headers, "Content-Type");
  Call->Options = *Options;
  Call->Urgent = Terms->Urgent;
  Call->ArrivedAt = Context_.MonotonicClock.now();
  Call->Deadline = Call->ArrivedAt + Options->Deadline;
  Call->StartBy =
      Call->ArrivedAt + std::min(Terms->RequestStartWithin, Options->Deadline);
  if (!Options->Ticket.empty())
    return handleTicket(std::move(Call), std::move(Request),
                        std::move(Respond));
  if (!Options->Key.empty())
    return handleIdempotencyKey(std::move(Call), std::move(Request),
                                std::move(Respond));
  Call->Body = std::move(Request.Body);
  Call->OnFinished = [Respond = std::move(Respond)](Outcome,
                                                    HttpResponse Response) {
    Respond(std::move(Response));
  };
  admit(std::move(Call));
}

HttpResponse RequestFrontend::issueTicket() {
  const std::string Ticket = fmt::format(
      "{}~{}~{}", Context_.Self.Name, Context_.Self.Incarnation, NextCallId_++);
  const std::lock_guard Lock(Mutex_);
  IdempotencyCache_.add("ticket/" + Ticket);
  return jsonResponse(200, {{"ticket", Ticket}});
}

void RequestFrontend::handleTicket(ServiceCallPtr Call, HttpRequest Request,
                                   HttpResponder Respond) {
  const std::string Ticket = Call->Options.Ticket;
  const std::size_t First = Ticket.find('~');
  const std::size_t Second = Ticket.find('~', First + 1);
  if (First == std::string::npos || Second == std::string::npos)
    return Respond(
        errorResponse(Error{ErrorCode::ValueOutOfRange, "X-Ticket"}));
  const std::string Daemon = Ticket.substr(0, First);
  const std::string Incarnation = Ticket.substr(First + 1, Second - First - 1);
  if (Daemon != Context_.Self.Name || Incarnation != Context_.Self.Incarnation)
    return forwardToDaemon(Daemon, Incarnation, Request, std::move(Respond));
  Call->Body = std::move(Request.Body);
  runOnce(std::move(Call), "ticket/" + Ticket, std::move(Respond),
          ErrorCode::TicketUnknown);
}

void RequestFrontend::handleIdempotencyKey(ServiceCallPtr Call,
                                           HttpRequest Request,
                                           HttpResponder Respond) {
  const std::string Key =
      fmt::format("{}/{}/{}", Call->Customer, Call->Service, Call->Options.Key);
  bool IsCached = false;
  {
    const std::lock_guard Lock(Mutex_);
    IsCached =
        IdempotencyCache_.state("key/" + Key) != IdempotencyState::Unknown;
  }
  if (IsCached) {
    Call->Body = std::move(Request.Body);
    return runOnce(std::move(Call), "key/" + Key, std::move(Respond),
                   ErrorCode::KeyAlreadyClaimed);
  }
  Context_.ControlLoop.post([this, Call = std::move(Call), Key,
                             Request = std::move(Request),
                             Respond = std::move(Respond)]() mutable {
    Context_.IdempotencyKeys.claim(
        Key, [this, Call, Request, Respond](Result<IdempotencyKeyClaim> Claim,
                                            bool NewlyClaimed) {
          handleKeyClaim(Call, Request, Respond, Claim, NewlyClaimed);
        });
  });
}

void RequestFrontend::handleKeyClaim(ServiceCallPtr Call,
                                     const HttpRequest &Request,
                                     HttpResponder Respond,
                                     const Result<IdempotencyKeyClaim> &Claim,
                                     bool NewlyClaimed) {
  if (!Claim)
    return Respond(outcomeResponse(outcomeOfFailedClaim(Claim.error().Code),
                                   Claim.error()));
  if (Claim->Daemon != Context_.Self.Name ||
      Claim->Incarnation != Context_.Self.Incarnation)
    return forwardToDaemon(Claim->Daemon, Claim->Incarnation, Request,
                           std::move(Respond));
  const std::string CacheKey = fmt::format("key/{}/{}/{}", Call->Customer,
                                           Call->Service, Call->Options.Key);
  if (NewlyClaimed) {
    const std::lock_guard Lock(Mutex_);
    IdempotencyCache_.add(CacheKey);
  }
  Call->Body = Request.Body;
  runOnce(std::move(Call), CacheKey, std::move(Respond),
          ErrorCode::KeyAlreadyClaimed);
}

void RequestFrontend::runOnce(ServiceCallPtr Call, const std::string &CacheKey,
                              HttpResponder Respond,
                              ErrorCode UnavailableError) {
  Call->Options.Idempotent = false;
  IdempotencyState State;
  HttpResponse CachedResponse;
  {
    const std::lock_guard Lock(Mutex_);
    State = IdempotencyCache_.state(CacheKey);
    if (State == IdempotencyState::NotStarted)
      IdempotencyCache_.markInFlight(CacheKey);
    if (State == IdempotencyState::NotStarted ||
        State == IdempotencyState::InFlight)
      IdempotencyCache_.addWaiter(CacheKey, Respond);
    CachedResponse = IdempotencyCache_.cachedResponse(CacheKey);
  }
  switch (State) {
  case IdempotencyState::NotStarted:
    break;
  case IdempotencyState::InFlight:
    return;
  case IdempotencyState::Completed:
    return Respond(std::move(CachedResponse));
  case IdempotencyState::ResponseDropped:
  case IdempotencyState::Unknown:
    // The request may have run, and its response is not cached.
    return Respond(
        outcomeResponse(Outcome::Unknown, Error{UnavailableError, CacheKey}));
  }
  Call->OnFinished = [this, CacheKey](Outcome CallOutcome,
                                      HttpResponse Response) {
    std::vector<HttpResponder> Waiters;
    {
      const std::lock_guard Lock(Mutex_);
      Waiters = IdempotencyCache_.complete(CacheKey, Response);
      // A request that certainly did not run may be sent again under its ticket
      // or key.
      if (CallOutcome == Outcome::NotRun)
        IdempotencyCache_.markNotStarted(CacheKey);
    }
    for (const HttpResponder &Waiter : Waiters)
      Waiter(Response);
  };
  admit(std::move(Call));
}

void RequestFrontend::forwardToDaemon(const std::string &Daemon,
                                      const std::string &Incarnation,
                                      const HttpRequest &Request,
                                      HttpResponder Respond) {
  const auto Member = Context_.Members.find(Daemon);
  const bool AlreadyForwarded =
      !findHeader(Request.Headers, "X-Forwarded-By").empty();
  if (!Member || Member->Incarnation != Incarnation || AlreadyForwarded)
    return Respond(outcomeResponse(Outcome::Unknown,
                                   Error{ErrorCode::TicketOwnerGone, Daemon}));
  HttpCall Call;
  Call.Method = Request.Method;
  Call.Url =
      Context_.Config.translateUrl("http://" + Member->Http + Request.Path);
  for (const char *HeaderName : {"X-Deadline-Ms", "X-Idempotent",
                                 "Idempotency-Key", "X-Ticket", "Content-Type"})
    if (const auto Value = findHeader(Request.Headers, HeaderName);
        !Value.empty())
      Call.Headers.emplace_back(HeaderName, Value);
  Call.Headers.emplace_back("X-Forwarded-By", Context_.Self.Name);
  Call.Body = Request.Body;
  Call.Timeout = Context_.Config.Times.MaxRequestTime + DeadlineMargin;
  Context_.Client.send(std::move(Call), [Respond = std::move(Respond),
                                         Daemon](HttpResult Result) {
    if (!Result)
      return Respond(outcomeResponse(
          Outcome::Unknown, Error{ErrorCode::TicketOwnerGone, Daemon}));
    HttpResponse Response = std::move(*Result);
    const std::string ContentType(findHeader(Response.Headers, "Content-Type"));
    const std::string OutcomeHeader(findHeader(Response.Headers, "X-Outcome"));
    Response.Headers = {{"X-Outcome", OutcomeHeader}};
    if (!ContentType.empty())
      Response.ContentType = ContentType;
    Respond(std::move(Response));
  });
}

void RequestFrontend::admit(ServiceCallPtr Call) {
  {
    const std::lock_guard Lock(Mutex_);
    RetryBudget_.earn();
  }
  enqueue(std::move(Call));
}

void RequestFrontend::enqueue(ServiceCallPtr Call) {
  SlotRequest Request{Call->Id,     Call->Customer, Call->Service,
                      Call->Urgent, Call->StartBy,  Call->AvoidedVms};
  Result<void> EnqueueResult;
  {
    const std::lock_guard Lock(Mutex_);
    EnqueueResult = Admission_.enqueue(std::move(Request));
    if (EnqueueResult)
      WaitingCalls_[Call->Id] = Call;
  }
  if (!EnqueueResult) {
    const Outcome CallOutcome =
        Call->MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    return finish(Call, CallOutcome,
                  outcomeResponse(CallOutcome, EnqueueResult.error()));
  }
  dispatchReady();
}

void RequestFrontend::dispatchReady() {
  std::vector<std::pair<ServiceCallPtr, Slot>> ReadyCalls;
  bool ShouldRequestGrants = false;
  {
    const std::lock_guard Lock(Mutex_);
    for (Slot &HeldSlot : Admission_.assignSlots()) {
      const auto Found = WaitingCalls_.find(HeldSlot.Id);
      ReadyCalls.emplace_back(std::move(Found->second), std::move(HeldSlot));
      WaitingCalls_.erase(Found);
    }
    ShouldRequestGrants = Admission_.shouldSendRequest();
  }
  for (auto &[Call, HeldSlot] : ReadyCalls)
    sendToBackend(std::move(Call), std::move(HeldSlot));
  if (ShouldRequestGrants)
    RequestGrants_();
}

void RequestFrontend::sendToBackend(ServiceCallPtr Call, Slot HeldSlot) {
  const TimePoint SentAt = Context_.MonotonicClock.now();
  ++Call->Attempts;
  if (Call->Attempts == 1 && OnStartWait)
    OnStartWait(
        std::chrono::duration<double, std::milli>(SentAt - Call->ArrivedAt)
            .count());
  const milliseconds TimeLeft = std::max(
      std::chrono::duration_cast<milliseconds>(Call->Deadline - SentAt),
      MinAttemptTime);
  HttpCall BackendCall;
  BackendCall.Method = "POST";
  BackendCall.Url = Context_.Config.translateUrl(HeldSlot.Url + "/requests");
  BackendCall.RequestId =
      fmt::format("{}-{}-{}-{}", Context_.Self.Name,
                  Context_.Self.Incarnation.substr(0, IncarnationDigits),
                  Call->Id, Call->Attempts);
  BackendCall.Headers = {{"X-Customer", Call->Customer},
                         {"X-Deadline-Ms", std::to_string(TimeLeft.count())}};
  if (!Call->ContentType.empty())
    BackendCall.Headers.emplace_back("Content-Type", Call->ContentType);
  BackendCall.Body = Call->Body;
  // An idempotent request gets half of the remaining time, which leaves the
  // other half for a retry.
  BackendCall.Timeout = Call->Options.Idempotent
                            ? std::max(TimeLeft / 2, MinAttemptTime)
                            : TimeLeft;
  BackendCall.ConnectTimeout = std::min(ConnectTimeout, BackendCall.Timeout);
  BackendCall.FreshConnection = !Call->Options.Idempotent;
  Context_.Client.send(std::move(BackendCall), [this, Call = std::move(Call),
                                                HeldSlot = std::move(HeldSlot),
                                                SentAt](HttpResult Response) {
    handleBackendResult(Call, HeldSlot, SentAt, std::move(Response));
  });
}

void RequestFrontend::releaseSlot(const Slot &HeldSlot, TimePoint SentAt) {
  const auto HoldTime = std::chrono::duration_cast<milliseconds>(
      Context_.MonotonicClock.now() - SentAt);
  {
    const std::lock_guard Lock(Mutex_);
    Admission_.releaseSlot(HeldSlot, HoldTime);
  }
  dispatchReady();
}

void RequestFrontend::handleBackendResult(ServiceCallPtr Call, Slot HeldSlot,
                                          TimePoint SentAt, HttpResult Result) {
  if (!Result && !isNotSent(Result.error().Code)) {
    // The backend server may still be processing the request: the slot stays
    // occupied until the deadline passed to the server is certainly over.
    Call->MayHaveRun = true;
    const auto TimeLeft = std::chrono::duration_cast<milliseconds>(
        Call->Deadline - Context_.MonotonicClock.now());
    Context_.ControlLoop.after(
        std::max(TimeLeft, milliseconds(0)) + DeadlineMargin,
        [this, HeldSlot, SentAt] { releaseSlot(HeldSlot, SentAt); });
    Call->AvoidedVms.insert(HeldSlot.Vm);
    return retryOrFinish(std::move(Call), Result.error());
  }
  const std::string RefusalReason(
      Result ? findHeader(Result->Headers, "X-Refused") : std::string_view());
  if (RefusalReason == "leaving") {
    const std::lock_guard Lock(Mutex_);
    Admission_.markLeaving(HeldSlot.Vm);
  }
  releaseSlot(HeldSlot, SentAt);
  if (!Result || !RefusalReason.empty()) {
    Call->AvoidedVms.insert(HeldSlot.Vm);
    return retryOrFinish(std::move(Call),
                         Result
                             ? Error{ErrorCode::BackendRefused, RefusalReason}
                             : Result.error());
  }
  HttpResponse Response = std::move(*Result);
  const std::string ContentType(findHeader(Response.Headers, "Content-Type"));
  if (!ContentType.empty())
    Response.ContentType = ContentType;
  Response.Headers = {{"X-Outcome", std::string(outcomeName(Outcome::Done))}};
  finish(std::move(Call), Outcome::Done, std::move(Response));
}

void RequestFrontend::retryOrFinish(ServiceCallPtr Call, const Error &Cause) {
  const bool MayRepeat = !Call->MayHaveRun || Call->Options.Idempotent;
  milliseconds Delay{0};
  bool ShouldRetry = false;
  {
    const std::lock_guard Lock(Mutex_);
    std::uniform_real_distribution<double> Jitter(0.5, 1.0);
    const auto MaxDelay =
        std::min(RetryDelayMin * (1 << Call->Attempts), RetryDelayMax);
    Delay =
        std::chrono::duration_cast<milliseconds>(MaxDelay * Jitter(Random_));
    const bool HasTimeLeft =
        Context_.MonotonicClock.now() + Delay + MinAttemptTime < Call->Deadline;
    ShouldRetry = MayRepeat && HasTimeLeft && Call->Attempts < MaxAttempts &&
                  RetryBudget_.spend();
    OutcomeCounts_.Retries += ShouldRetry ? 1 : 0;
  }
  if (!ShouldRetry) {
    const Outcome CallOutcome =
        Call->MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    return finish(std::move(Call), CallOutcome,
                  outcomeResponse(CallOutcome, Cause));
  }
  Call->StartBy = Call->Deadline - MinAttemptTime;
  Context_.ControlLoop.after(Delay,
                             [this, Call = std::move(Call)] { enqueue(Call); });
}

void RequestFrontend::finish(ServiceCallPtr Call, Outcome CallOutcome,
                             HttpResponse Response) {
  {
    const std::lock_guard Lock(Mutex_);
    OutcomeCounts_.Done += CallOutcome == Outcome::Done;
    OutcomeCounts_.NotRun += CallOutcome == Outcome::NotRun;
    OutcomeCounts_.Unknown += CallOutcome == Outcome::Unknown;
  }
  if (CallOutcome == Outcome::Unknown)
    Context_.Events.record(EventId::RequestUnknown, Call->Customer,
                           Call->Service);
  Call->OnFinished(CallOutcome, std::move(Response));
}

void RequestFrontend::fillGrantRequest(GrantRequest &Request) {
  const std::lock_guard Lock(Mutex_);
  Admission_.fillRequest(Request);
  GrantRequestSentAt_ = Context_.MonotonicClock.now();
}

void RequestFrontend::applyGrantReply(const GrantReply &Reply) {
  {
    const std::lock_guard Lock(Mutex_);
    Admission_.applyReply(Reply, GrantRequestSentAt_,
                          Context_.Config.Times.GrantLease,
                          Context_.Config.Times.MaxRequestTime);
  }
  dispatchReady();
}

void RequestFrontend::endExpiredRequests() {
  std::vector<std::pair<ServiceCallPtr, ErrorCode>> Expired;
  {
    const std::lock_guard Lock(Mutex_);
    for (const auto &[Id, Code] : Admission_.dequeueExpired()) {
      const auto Found = WaitingCalls_.find(Id);
      Expired.emplace_back(std::move(Found->second), Code);
      WaitingCalls_.erase(Found);
    }
  }
  for (auto &[Call, Code] : Expired) {
    const Outcome CallOutcome =
        Call->MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    const Error Reason{Code, Call->Service};
    finish(std::move(Call), CallOutcome, outcomeResponse(CallOutcome, Reason));
  }
}

void RequestFrontend::dropExpiredResponses() {
  const std::lock_guard Lock(Mutex_);
  IdempotencyCache_.dropExpired();
}

RequestOutcomeCounts RequestFrontend::outcomeCounts() const {
  const std::lock_guard Lock(Mutex_);
  return OutcomeCounts_;
}

std::size_t RequestFrontend::waitingRequests() const {
  const std::lock_guard Lock(Mutex_);
  return Admission_.waiting();
}

} // namespace cuminroad
