#include "cuminroad/daemon/FrontDoor.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cuminroad/base/Ids.h"

namespace cuminroad {

namespace {

constexpr milliseconds OnceLife{300000};
constexpr std::size_t OnceAnswerBytes = 32 << 20;
constexpr milliseconds RetryDelayMin{5};
constexpr milliseconds RetryDelayMax{500};
/// Time for a backend server to notice a passed deadline.
constexpr milliseconds DeadlineMargin{500};
constexpr milliseconds ConnectTimeout{1000};
constexpr milliseconds MinAttemptTime{20};
constexpr int MaxAttempts = 6;

std::optional<milliseconds> parseMillis(std::string_view Text) {
  std::int64_t Value = 0;
  const auto [End, Fault] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Fault != std::errc() || End != Text.data() + Text.size() || Value <= 0)
    return std::nullopt;
  return milliseconds(Value);
}

} // namespace

struct FrontDoor::Options {
  bool Idempotent = false;
  milliseconds Deadline{0};
  std::string Key;
  std::string Ticket;
};

/// A request that this front door is working on.
struct FrontDoor::Open {
  std::uint64_t Id = 0;
  std::string Customer;
  std::string Service;
  std::string Body;
  std::string ContentType;
  Options Wish;
  bool Urgent = false;
  TimePoint ArrivedAt{};
  TimePoint StartBy{};
  TimePoint Deadline{};
  int Attempts = 0;
  bool MayHaveRun = false;
  std::set<std::string> Avoid;
  /// Called once with the outcome.
  std::function<void(Outcome, HttpResponse)> Done;
};

FrontDoor::FrontDoor(const FrontDoorContext &Context,
                     std::function<void()> AskOwner)
    : Context_(Context), AskOwner_(std::move(AskOwner)),
      Admission_(Context.Time), Once_(Context.Time, OnceLife, OnceAnswerBytes),
      Random_(std::random_device{}()) {}

FrontDoor::~FrontDoor() = default;

Result<FrontDoor::Options>
FrontDoor::readOptions(const HttpRequest &Request, const ContractTerms &Terms,
                       const std::string &Service) const {
  Options Out;
  Out.Deadline = Context_.Config.Times.MaxRequestTime;
  const std::string_view Deadline =
      findHeader(Request.Headers, "X-Deadline-Ms");
  if (!Deadline.empty()) {
    const auto Value = parseMillis(Deadline);
    if (!Value || *Value > Context_.Config.Times.MaxRequestTime)
      return failure(ErrorCode::ValueOutOfRange, "X-Deadline-Ms");
    Out.Deadline = *Value;
  }
  const std::string_view Idempotent =
      findHeader(Request.Headers, "X-Idempotent");
  if (!Idempotent.empty() && Idempotent != "true" && Idempotent != "false")
    return failure(ErrorCode::ValueOutOfRange, "X-Idempotent");
  const bool NeverRepeat =
      std::find(Terms.NeverRetriedServices.begin(),
                Terms.NeverRetriedServices.end(),
                Service) != Terms.NeverRetriedServices.end();
  Out.Idempotent = Idempotent == "true" && !NeverRepeat;
  Out.Key = findHeader(Request.Headers, "Idempotency-Key");
  Out.Ticket = findHeader(Request.Headers, "X-Ticket");
  if (!Out.Key.empty() && !Out.Ticket.empty())
    return failure(ErrorCode::ValueOutOfRange,
                   "Idempotency-Key and X-Ticket exclude each other");
  return Out;
}

void FrontDoor::request(const std::string &Customer, const std::string &Service,
                        HttpRequest Request, HttpResponder Respond) {
  const auto Terms = Context_.Contracts.find(Customer);
  if (!Terms)
    return Respond(outcomeReply(Outcome::NotRun,
                                Error{ErrorCode::UnknownCustomer, Customer}));
  auto Wish = readOptions(Request, *Terms, Service);
  if (!Wish)
    return Respond(errorReply(Wish.error()));
  auto Call = std::make_shared<Open>();
  Call->Id = NextId_++;
  Call->Customer = Customer;
  Call->Service = Service;
  Call->ContentType = findHeader(Request.Headers, "Content-Type");
  Call->Wish = *Wish;
  Call->Urgent = Terms->Urgent;
  Call->ArrivedAt = Context_.Time.now();
  Call->Deadline = Call->ArrivedAt + Wish->Deadline;
  Call->StartBy =
      Call->ArrivedAt + std::min(Terms->RequestStartWithin, Wish->Deadline);
  if (!Wish->Ticket.empty())
    return serveTicket(std::move(Call), std::move(Request), std::move(Respond));
  if (!Wish->Key.empty())
    return serveKey(std::move(Call), std::move(Request), std::move(Respond));
  Call->Body = std::move(Request.Body);
  Call->Done = [Respond = std::move(Respond)](Outcome, HttpResponse Answer) {
    Respond(std::move(Answer));
  };
  begin(std::move(Call));
}

HttpResponse FrontDoor::issueTicket() {
  const std::string Ticket = fmt::format("{}~{}~{}", Context_.Self.Name,
                                         Context_.Self.Incarnation, NextId_++);
  const std::lock_guard Lock(Mutex_);
  Once_.add("ticket/" + Ticket);
  return jsonReply(200, {{"ticket", Ticket}});
}

void FrontDoor::serveTicket(OpenPtr Call, HttpRequest Request,
                            HttpResponder Respond) {
  const std::string Ticket = Call->Wish.Ticket;
  const std::size_t First = Ticket.find('~');
  const std::size_t Second = Ticket.find('~', First + 1);
  if (First == std::string::npos || Second == std::string::npos)
    return Respond(errorReply(Error{ErrorCode::ValueOutOfRange, "X-Ticket"}));
  const std::string Daemon = Ticket.substr(0, First);
  const std::string Incarnation = Ticket.substr(First + 1, Second - First - 1);
  if (Daemon != Context_.Self.Name || Incarnation != Context_.Self.Incarnation)
    return forward(Daemon, Incarnation, Request, std::move(Respond));
  Call->Body = std::move(Request.Body);
  serveOnce(std::move(Call), "ticket/" + Ticket, std::move(Respond),
            ErrorCode::TicketUnknown);
}

void FrontDoor::serveKey(OpenPtr Call, HttpRequest Request,
                         HttpResponder Respond) {
  const std::string Key =
      fmt::format("{}/{}/{}", Call->Customer, Call->Service, Call->Wish.Key);
  bool Known = false;
  {
    const std::lock_guard Lock(Mutex_);
    Known = Once_.state("key/" + Key) != OnceState::Absent;
  }
  if (Known) {
    Call->Body = std::move(Request.Body);
    return serveOnce(std::move(Call), "key/" + Key, std::move(Respond),
                     ErrorCode::KeyAlreadyClaimed);
  }
  Context_.Control.post([this, Call = std::move(Call), Key,
                         Request = std::move(Request),
                         Respond = std::move(Respond)]() mutable {
    Context_.Claims.claim(
        Key, [this, Call, Request, Respond](Result<KeyClaim> Claim, bool Won) {
          settleKey(Call, Request, Respond, Claim, Won);
        });
  });
}

void FrontDoor::settleKey(OpenPtr Call, const HttpRequest &Request,
                          HttpResponder Respond, const Result<KeyClaim> &Claim,
                          bool Won) {
  if (!Claim) {
    // Whatever became of the claim, nothing was sent on its strength.
    return Respond(outcomeReply(Outcome::NotRun, Claim.error()));
  }
  if (Claim->Daemon != Context_.Self.Name ||
      Claim->Incarnation != Context_.Self.Incarnation)
    return forward(Claim->Daemon, Claim->Incarnation, Request,
                   std::move(Respond));
  const std::string Name = fmt::format("key/{}/{}/{}", Call->Customer,
                                       Call->Service, Call->Wish.Key);
  if (Won) {
    const std::lock_guard Lock(Mutex_);
    Once_.add(Name);
  }
  Call->Body = Request.Body;
  serveOnce(std::move(Call), Name, std::move(Respond),
            ErrorCode::KeyAlreadyClaimed);
}

void FrontDoor::serveOnce(OpenPtr Call, const std::string &Name,
                          HttpResponder Respond, ErrorCode IfAbsent) {
  Call->Wish.Idempotent = false;
  OnceState State;
  HttpResponse Kept;
  {
    const std::lock_guard Lock(Mutex_);
    State = Once_.state(Name);
    if (State == OnceState::Fresh)
      Once_.start(Name);
    if (State == OnceState::Fresh || State == OnceState::InFlight)
      Once_.wait(Name, Respond);
    Kept = Once_.answer(Name);
  }
  switch (State) {
  case OnceState::Fresh:
    break;
  case OnceState::InFlight:
    return;
  case OnceState::Done:
    return Respond(std::move(Kept));
  case OnceState::Spent:
  case OnceState::Absent:
    // It may have run, and its answer is not kept.
    return Respond(outcomeReply(Outcome::Unknown, Error{IfAbsent, Name}));
  }
  Call->Done = [this, Name](Outcome What, HttpResponse Answer) {
    std::vector<HttpResponder> Waiters;
    {
      const std::lock_guard Lock(Mutex_);
      Waiters = Once_.finish(Name, Answer);
      // What certainly did not run may be tried again under its name.
      if (What == Outcome::NotRun)
        Once_.reopen(Name);
    }
    for (const HttpResponder &Waiter : Waiters)
      Waiter(Answer);
  };
  begin(std::move(Call));
}

void FrontDoor::forward(const std::string &Daemon,
                        const std::string &Incarnation,
                        const HttpRequest &Request, HttpResponder Respond) {
  const auto Member = Context_.Members.find(Daemon);
  const bool Forwarded = !findHeader(Request.Headers, "X-Forwarded-By").empty();
  if (!Member || Member->Incarnation != Incarnation || Forwarded)
    return Respond(outcomeReply(Outcome::Unknown,
                                Error{ErrorCode::TicketOwnerGone, Daemon}));
  HttpCall Call;
  Call.Method = Request.Method;
  Call.Url =
      Context_.Config.translateUrl("http://" + Member->Http + Request.Path);
  for (const char *Name : {"X-Deadline-Ms", "X-Idempotent", "Idempotency-Key",
                           "X-Ticket", "Content-Type"})
    if (const auto Value = findHeader(Request.Headers, Name); !Value.empty())
      Call.Headers.emplace_back(Name, Value);
  Call.Headers.emplace_back("X-Forwarded-By", Context_.Self.Name);
  Call.Body = Request.Body;
  Call.Timeout = Context_.Config.Times.MaxRequestTime + DeadlineMargin;
  Context_.Client.send(std::move(Call), [Respond = std::move(Respond),
                                         Daemon](HttpResult Got) {
    if (!Got)
      return Respond(outcomeReply(Outcome::Unknown,
                                  Error{ErrorCode::TicketOwnerGone, Daemon}));
    HttpResponse Answer = std::move(*Got);
    const std::string Kind(findHeader(Answer.Headers, "Content-Type"));
    const std::string What(findHeader(Answer.Headers, "X-Outcome"));
    Answer.Headers = {{"X-Outcome", What}};
    if (!Kind.empty())
      Answer.ContentType = Kind;
    Respond(std::move(Answer));
  });
}

void FrontDoor::begin(OpenPtr Call) {
  {
    const std::lock_guard Lock(Mutex_);
    Budget_.earn();
  }
  enqueue(std::move(Call));
}

void FrontDoor::enqueue(OpenPtr Call) {
  SlotRequest Demand{Call->Id,     Call->Customer, Call->Service,
                     Call->Urgent, Call->StartBy,  Call->Avoid};
  Result<void> Queued;
  {
    const std::lock_guard Lock(Mutex_);
    Queued = Admission_.enqueue(std::move(Demand));
    if (Queued)
      Waiting_[Call->Id] = Call;
  }
  if (!Queued) {
    const Outcome What = Call->MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    return end(Call, What, outcomeReply(What, Queued.error()));
  }
  dispatch();
}

void FrontDoor::dispatch() {
  std::vector<std::pair<OpenPtr, Slot>> Ready;
  bool Ask = false;
  {
    const std::lock_guard Lock(Mutex_);
    for (Slot &Held : Admission_.assignSlots()) {
      const auto Found = Waiting_.find(Held.Id);
      Ready.emplace_back(std::move(Found->second), std::move(Held));
      Waiting_.erase(Found);
    }
    Ask = Admission_.shouldSendRequest();
  }
  for (auto &[Call, Held] : Ready)
    send(std::move(Call), std::move(Held));
  if (Ask)
    AskOwner_();
}

void FrontDoor::send(OpenPtr Call, Slot Held) {
  const TimePoint Now = Context_.Time.now();
  ++Call->Attempts;
  if (Call->Attempts == 1 && OnStartWait)
    OnStartWait(std::chrono::duration<double, std::milli>(Now - Call->ArrivedAt)
                    .count());
  const milliseconds Left =
      std::max(std::chrono::duration_cast<milliseconds>(Call->Deadline - Now),
               MinAttemptTime);
  HttpCall Out;
  Out.Method = "POST";
  Out.Url = Context_.Config.translateUrl(Held.Url + "/requests");
  Out.RequestId =
      fmt::format("{}-{}-{}-{}", Context_.Self.Name,
                  Context_.Self.Incarnation.substr(0, IncarnationDigits),
                  Call->Id, Call->Attempts);
  Out.Headers = {{"X-Customer", Call->Customer},
                 {"X-Deadline-Ms", std::to_string(Left.count())}};
  if (!Call->ContentType.empty())
    Out.Headers.emplace_back("Content-Type", Call->ContentType);
  Out.Body = Call->Body;
  // Half of the time that is left keeps the other half for a retry.
  Out.Timeout =
      Call->Wish.Idempotent ? std::max(Left / 2, MinAttemptTime) : Left;
  Out.ConnectTimeout = std::min(ConnectTimeout, Out.Timeout);
  Out.NeverResend = !Call->Wish.Idempotent;
  Context_.Client.send(std::move(Out),
                       [this, Call = std::move(Call), Held = std::move(Held),
                        Now](HttpResult Answer) {
                         answered(Call, Held, Now, std::move(Answer));
                       });
}

void FrontDoor::giveBack(const Slot &Held, TimePoint SentAt) {
  const auto Time =
      std::chrono::duration_cast<milliseconds>(Context_.Time.now() - SentAt);
  {
    const std::lock_guard Lock(Mutex_);
    Admission_.releaseSlot(Held, Time);
  }
  dispatch();
}

void FrontDoor::answered(OpenPtr Call, Slot Held, TimePoint SentAt,
                         HttpResult Answer) {
  if (!Answer && Answer.error().Code != ErrorCode::ConnectFailed) {
    // The backend server may still be at it: the slot stays taken until the
    // deadline that it was given has certainly passed.
    Call->MayHaveRun = true;
    const auto Left = std::chrono::duration_cast<milliseconds>(
        Call->Deadline - Context_.Time.now());
    Context_.Control.after(std::max(Left, milliseconds(0)) + DeadlineMargin,
                           [this, Held, SentAt] { giveBack(Held, SentAt); });
    Call->Avoid.insert(Held.Vm);
    return retryOrEnd(std::move(Call), Answer.error());
  }
  const std::string Refused(Answer ? findHeader(Answer->Headers, "X-Refused")
                                   : std::string_view());
  if (Refused == "leaving") {
    const std::lock_guard Lock(Mutex_);
    Admission_.markLeaving(Held.Vm);
  }
  giveBack(Held, SentAt);
  if (!Answer || !Refused.empty()) {
    Call->Avoid.insert(Held.Vm);
    return retryOrEnd(std::move(Call),
                      Answer ? Error{ErrorCode::BackendRefused, Refused}
                             : Answer.error());
  }
  HttpResponse Out = std::move(*Answer);
  const std::string Kind(findHeader(Out.Headers, "Content-Type"));
  if (!Kind.empty())
    Out.ContentType = Kind;
  Out.Headers = {{"X-Outcome", std::string(outcomeName(Outcome::Done))}};
  end(std::move(Call), Outcome::Done, std::move(Out));
}

void FrontDoor::retryOrEnd(OpenPtr Call, const Error &Why) {
  const bool Allowed = !Call->MayHaveRun || Call->Wish.Idempotent;
  milliseconds Delay{0};
  bool Retry = false;
  {
    const std::lock_guard Lock(Mutex_);
    std::uniform_real_distribution<double> Jitter(0.5, 1.0);
    const auto Full =
        std::min(RetryDelayMin * (1 << Call->Attempts), RetryDelayMax);
    Delay = std::chrono::duration_cast<milliseconds>(Full * Jitter(Random_));
    const bool InTime =
        Context_.Time.now() + Delay + MinAttemptTime < Call->Deadline;
    Retry =
        Allowed && InTime && Call->Attempts < MaxAttempts && Budget_.spend();
    Counts_.Retries += Retry ? 1 : 0;
  }
  if (!Retry) {
    const Outcome What = Call->MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    return end(std::move(Call), What, outcomeReply(What, Why));
  }
  Call->StartBy = Call->Deadline - MinAttemptTime;
  Context_.Control.after(Delay,
                         [this, Call = std::move(Call)] { enqueue(Call); });
}

void FrontDoor::end(OpenPtr Call, Outcome What, HttpResponse Answer) {
  {
    const std::lock_guard Lock(Mutex_);
    Counts_.Done += What == Outcome::Done;
    Counts_.NotRun += What == Outcome::NotRun;
    Counts_.Unknown += What == Outcome::Unknown;
  }
  if (What == Outcome::Unknown)
    Context_.Events.record(EventId::RequestUnknown, Call->Customer,
                           Call->Service);
  Call->Done(What, std::move(Answer));
}

void FrontDoor::reportGrants(GrantRequest &Request) {
  const std::lock_guard Lock(Mutex_);
  Admission_.fillRequest(Request);
  GrantsAskedAt_ = Context_.Time.now();
}

void FrontDoor::applyGrants(const GrantReply &Reply) {
  {
    const std::lock_guard Lock(Mutex_);
    Admission_.applyReply(Reply, GrantsAskedAt_,
                          Context_.Config.Times.GrantLease,
                          Context_.Config.Times.MaxRequestTime);
  }
  dispatch();
}

void FrontDoor::sweep() {
  std::vector<std::pair<OpenPtr, ErrorCode>> Late;
  {
    const std::lock_guard Lock(Mutex_);
    for (const auto &[Id, Why] : Admission_.dequeueExpired()) {
      const auto Found = Waiting_.find(Id);
      Late.emplace_back(std::move(Found->second), Why);
      Waiting_.erase(Found);
    }
  }
  for (auto &[Call, Why] : Late) {
    const Outcome What = Call->MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    const Error Reason{Why, Call->Service};
    end(std::move(Call), What, outcomeReply(What, Reason));
  }
}

void FrontDoor::expire() {
  const std::lock_guard Lock(Mutex_);
  Once_.expire();
}

FrontDoorCounts FrontDoor::counts() const {
  const std::lock_guard Lock(Mutex_);
  return Counts_;
}

std::size_t FrontDoor::waiting() const {
  const std::lock_guard Lock(Mutex_);
  return Admission_.waiting();
}

} // namespace cuminroad
