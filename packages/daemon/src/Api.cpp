#include "Api.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cuminroad/base/JsonObjectReader.h"
#include "cuminroad/daemon/JobRow.h"

namespace cuminroad {

namespace {

constexpr milliseconds ForwardTimeout{20000};
constexpr IntegerRange VersionRange{0, INT64_MAX};
constexpr std::size_t MaxCustomerLength = 100;

std::vector<std::string> splitPath(std::string_view Path) {
  std::vector<std::string> Segments;
  while (!Path.empty()) {
    const std::size_t Start = Path.find_first_not_of('/');
    if (Start == std::string_view::npos)
      break;
    const std::size_t End = std::min(Path.find('/', Start), Path.size());
    Segments.emplace_back(Path.substr(Start, End - Start));
    Path.remove_prefix(End);
  }
  return Segments;
}

/// Compares in a time that does not depend on how many characters match, so
/// that a token can't be guessed from response times.
bool equalInConstantTime(std::string_view Left, std::string_view Right) {
  unsigned Difference = Left.size() == Right.size() ? 0 : 1;
  for (std::size_t Index = 0; Index < Left.size(); ++Index)
    Difference |= static_cast<unsigned char>(Left[Index]) ^
                  static_cast<unsigned char>(
                      Right.empty() ? 0 : Right[Index % Right.size()]);
  return Difference == 0;
}

/// Customer names become parts of keys in the platform's table.
bool isValidCustomerName(const std::string &Name) {
  return !Name.empty() && Name.size() <= MaxCustomerLength &&
         std::all_of(Name.begin(), Name.end(), [](unsigned char Letter) {
           return std::isalnum(Letter) != 0 || Letter == '-' || Letter == '_';
         });
}

/// \returns the failure domain in a job id, "DOMAIN.CUSTOMER.NAME".
std::string domainOfJob(const std::string &Job) {
  return Job.substr(0, Job.find('.'));
}

nlohmann::json capacityJson(const Capacity &Size) {
  return {{"milli_cores", Size.MilliCores},
          {"memory_mb", Size.MemoryMb},
          {"accelerators", Size.Accelerators}};
}

nlohmann::json jobJson(const JobView &View) {
  return {{"job", toJson(View.Spec)},
          {"state", View.Cancelled ? "cancelling" : "active"},
          {"waiting", View.WaitingCount},
          {"starting", View.StartingCount},
          {"running", View.RunningCount},
          {"ended", View.EndedCount},
          {"failed", View.FailedCount},
          {"lost", View.LostCount},
          {"waited_ms", View.Waited.count()},
          {"start_within_ms", View.StartWithin.count()},
          {"wait_reason", waitReasonName(View.Reason)}};
}

nlohmann::json contractJson(const VersionedContract &Contract) {
  nlohmann::json Output = toJson(Contract.Record);
  if (const auto Effective = Contract.Record.effectiveTerms())
    Output["in_force"] = toJson(*Effective);
  return Output;
}

/// Whether another domain may accept a job that one domain refused with \p
/// Status.
bool mayRunElsewhere(int Status) { return Status == 422 || Status == 503; }

} // namespace

Api::Api(DaemonComponents &Components, RequestFrontend &Frontend,
         Metrics &DaemonMetrics)
    : Components_(Components), Frontend_(Frontend), Metrics_(DaemonMetrics) {}

void Api::handle(HttpRequest Request, HttpResponder Respond) {
  const PathSegments Segments = splitPath(Request.Path);
  if (Request.Path == "/healthz")
    return Respond(jsonResponse(200, {{"healthy", true}}));
  if (Request.Path == "/readyz") {
    const bool Ready = IsReady();
    return Respond(jsonResponse(Ready ? 200 : 503, {{"ready", Ready}}));
  }
  const bool IsPost = Request.Method == "POST";
  if (IsPost && Segments.size() == 6 && Segments[0] == "v1" &&
      Segments[1] == "customers" && Segments[3] == "services" &&
      Segments[5] == "requests") {
    if (!Components_.SharedConfig.ready())
      return Respond(
          outcomeResponse(Outcome::NotRun, Error{ErrorCode::NotReady, {}}));
    return Frontend_.handleRequest(Segments[2], Segments[4], std::move(Request),
                                   std::move(Respond));
  }
  if (IsPost && Request.Path == "/v1/tickets")
    return Respond(Frontend_.issueTicket());
  Components_.ControlLoop->post([this, Segments, Request = std::move(Request),
                                 Respond = std::move(Respond)] {
    handleOnControlThread(Segments, Request, Respond);
  });
}

bool Api::authorized(const HttpRequest &Request) const {
  const std::string_view Header = findHeader(Request.Headers, "Authorization");
  constexpr std::string_view SchemePrefix = "Bearer ";
  return Header.starts_with(SchemePrefix) &&
         equalInConstantTime(Header.substr(SchemePrefix.size()),
                             Components_.Config.OperatorToken);
}

void Api::handleOnControlThread(const PathSegments &Segments,
                                const HttpRequest &Request,
                                const HttpResponder &Respond) {
  if (Request.Path == "/metrics")
    return Respond(
        HttpResponse{200,
                     {},
                     Metrics_.render(Components_, Frontend_, GetPeerTraffic()),
                     "text/plain; version=0.0.4"});
  const bool IsApiPath = Segments.size() >= 2 && Segments[0] == "v1";
  if (IsApiPath && Segments[1] == "jobs" &&
      !(Segments.size() == 2 && Request.Method == "GET"))
    return handleJobs(Segments, Request, Respond);
  if (!IsApiPath)
    return Respond(errorResponse(Error{ErrorCode::UnknownPath, Request.Path}));
  // The remaining paths are for operators only.
  if (!authorized(Request))
    return Respond(errorResponse(Error{ErrorCode::Unauthorized, {}}));
  if (Segments[1] == "contracts")
    return handleContracts(Segments, Request, Respond);
  if (Request.Method == "GET" && Segments.size() == 2) {
    if (Segments[1] == "state" || Segments[1] == "jobs")
      return showState(Respond);
    if (Segments[1] == "events")
      return showEvents(Request, Respond);
  }
  if (Request.Method == "POST" && Segments.size() == 4 &&
      Segments[1] == "vms" && Segments[3] == "drain")
    return drainVm(Segments[2], Request, Respond);
  Respond(errorResponse(Error{ErrorCode::UnknownPath, Request.Path}));
}

void Api::handleJobs(const PathSegments &Segments, const HttpRequest &Request,
                     const HttpResponder &Respond) {
  if (Segments.size() == 2 && Request.Method == "POST")
    return submitJob(Request, Respond);
  if (Segments.size() == 3 && Request.Method == "GET")
    return showJob(Segments[2], Request, Respond);
  if (Segments.size() == 3 && Request.Method == "DELETE")
    return cancelJob(Segments[2], Request, Respond);
  Respond(errorResponse(Error{ErrorCode::UnknownPath, Request.Path}));
}

void Api::submitJob(const HttpRequest &Request, const HttpResponder &Respond) {
  const auto Body = parseJson(Request.Body, false);
  if (!Body)
    return Respond(errorResponse(Body.error()));
  const auto Spec = parseJobSpec(*Body);
  if (!Spec)
    return Respond(errorResponse(Spec.error()));
  if (!Components_.Contracts.find(Spec->Customer))
    return Respond(outcomeResponse(
        Outcome::NotRun, Error{ErrorCode::UnknownCustomer, Spec->Customer}));
  if (!findHeader(Request.Headers, "X-Forwarded-By").empty())
    return submitToLocalOwner(Request, Respond);
  std::vector<std::string> Domains{Components_.Config.Domain};
  for (const std::string &Domain : Components_.Config.Domains)
    if (Domain != Components_.Config.Domain)
      Domains.push_back(Domain);
  submitToDomains(Request, Respond, std::move(Domains), HttpResponse{});
}

void Api::submitToDomains(const HttpRequest &Request,
                          const HttpResponder &Respond,
                          std::vector<std::string> Domains,
                          HttpResponse FirstRefusal) {
  if (Domains.empty())
    return Respond(std::move(FirstRefusal));
  const std::string Domain = Domains.front();
  Domains.erase(Domains.begin());
  const HttpResponder RespondOrTryNext = [=, this](HttpResponse Response) {
    // After "not run" the next domain is tried. If all domains refuse, the
    // caller gets the refusal of this daemon's own domain, which is tried
    // first.
    const bool NotRun = findHeader(Response.Headers, "X-Outcome") ==
                        outcomeName(Outcome::NotRun);
    if (!NotRun || !mayRunElsewhere(Response.Status))
      return Respond(std::move(Response));
    HttpResponse Refusal =
        FirstRefusal.Body.empty() ? std::move(Response) : FirstRefusal;
    Components_.ControlLoop->post([=, this, Refusal = std::move(Refusal)] {
      submitToDomains(Request, Respond, Domains, Refusal);
    });
  };
  if (Domain == Components_.Config.Domain && Components_.LocalOwner)
    submitToLocalOwner(Request, RespondOrTryNext);
  else
    forwardToOwner(Domain, Request, RespondOrTryNext);
}

void Api::submitToLocalOwner(const HttpRequest &Request,
                             const HttpResponder &Respond) {
  const auto Body = parseJson(Request.Body, false);
  const auto Spec = parseJobSpec(*Body);
  if (!Components_.LocalOwner)
    return Respond(outcomeResponse(
        Outcome::NotRun, Error{ErrorCode::NoOwner, Components_.Config.Domain}));
  Components_.LocalOwner->submit(*Spec, [Respond](Result<std::string> Id) {
    if (Id) {
      HttpResponse Response = jsonResponse(202, {{"id", *Id}});
      Response.Headers.emplace_back("X-Outcome", outcomeName(Outcome::Done));
      return Respond(std::move(Response));
    }
    const Outcome SubmitOutcome =
        Id.error().Code == ErrorCode::WriteOutcomeUnknown ? Outcome::Unknown
                                                          : Outcome::NotRun;
    Respond(outcomeResponse(SubmitOutcome, Id.error()));
  });
}

void Api::showJob(const std::string &Id, const HttpRequest &Request,
                  const HttpResponder &Respond) {
  const bool IsLocalJob =
      domainOfJob(Id) == Components_.Config.Domain && Components_.LocalOwner;
  if (IsLocalJob) {
    if (const auto View = Components_.LocalOwner->job(Id))
      return Respond(jsonResponse(200, jobJson(*View)));
    return readFinishedJob(Id, Respond);
  }
  if (!findHeader(Request.Headers, "X-Forwarded-By").empty())
    return readFinishedJob(Id, Respond);
  forwardToOwner(domainOfJob(Id), Request,
                 [this, Id, Respond](const HttpResponse &Response) {
                   if (Response.Status < 500)
                     return Respond(Response);
                   Components_.ControlLoop->post(
                       [this, Id, Respond] { readFinishedJob(Id, Respond); });
                 });
}

void Api::readFinishedJob(const std::string &Id, const HttpResponder &Respond) {
  Components_.RetryingTable.read(
      "done/" + Id, [Id, Respond](Result<TableRow> Row) {
        if (!Row)
          return Respond(errorResponse(Row.error()));
        const auto Job = parseJobRow(Row->Value);
        if (Row->Version == 0 || !Job)
          return Respond(errorResponse(Error{ErrorCode::UnknownJob, Id}));
        const auto Failed =
            std::count_if(Job->Ended.begin(), Job->Ended.end(),
                          [](const auto &Entry) { return Entry.second; });
        Respond(jsonResponse(200, {{"job", toJson(Job->Spec)},
                                   {"state", "finished"},
                                   {"outcome", jobOutcomeName(*Job->Outcome)},
                                   {"ended", Job->Ended.size()},
                                   {"failed", Failed}}));
      });
}

void Api::cancelJob(const std::string &Id, const HttpRequest &Request,
                    const HttpResponder &Respond) {
  if (domainOfJob(Id) != Components_.Config.Domain || !Components_.LocalOwner)
    return forwardToOwner(domainOfJob(Id), Request, Respond);
  Components_.LocalOwner->cancel(Id, [Id, Respond](Result<void> Done) {
    if (Done)
      Respond(jsonResponse(202, {{"id", Id}, {"state", "cancelling"}}));
    else
      Respond(errorResponse(Done.error()));
  });
}

void Api::handleContracts(const PathSegments &Segments,
                          const HttpRequest &Request,
                          const HttpResponder &Respond) {
  if (Segments.size() == 2 && Request.Method == "GET")
    return listContracts(Respond);
  if (Segments.size() != 3)
    return Respond(errorResponse(Error{ErrorCode::UnknownPath, Request.Path}));
  if (Request.Method == "PUT" || Request.Method == "DELETE")
    return changeContract(Segments[2], Request, Respond);
  const auto Found = Components_.SharedConfig.contracts().find(Segments[2]);
  if (Request.Method != "GET")
    return Respond(errorResponse(Error{ErrorCode::UnknownPath, Request.Path}));
  if (Found == Components_.SharedConfig.contracts().end())
    return Respond(
        errorResponse(Error{ErrorCode::UnknownCustomer, Segments[2]}));
  Respond(jsonResponse(200, contractJson(Found->second)));
}

void Api::listContracts(const HttpResponder &Respond) {
  nlohmann::json Contracts = nlohmann::json::array();
  for (const auto &[Customer, Contract] : Components_.SharedConfig.contracts())
    Contracts.push_back(contractJson(Contract));
  Respond(jsonResponse(
      200, {{"contracts", Contracts},
            {"applied", Components_.SharedConfig.appliedVersion()}}));
}

void Api::changeContract(const std::string &Customer,
                         const HttpRequest &Request,
                         const HttpResponder &Respond) {
  const auto Body = parseJson(Request.Body, false);
  if (!Body)
    return Respond(errorResponse(Body.error()));
  std::vector<Error> Errors;
  JsonObjectReader Reader(*Body, "", Errors);
  ContractChange Change;
  Change.Customer = Customer;
  Change.ExpectedVersion = Reader.integer("expected_version", VersionRange);
  Change.Operator = Reader.text("operator", "");
  if (!isValidCustomerName(Customer))
    Reader.addError(ErrorCode::ValueOutOfRange, "customer",
                    "must contain only letters, digits, - and _");
  if (Request.Method == "PUT") {
    const nlohmann::json *Terms = Reader.member("terms");
    const auto Parsed = parseContractTerms(
        Terms == nullptr ? nlohmann::json::object() : *Terms);
    if (Parsed)
      Change.Terms = *Parsed;
    else
      Errors.push_back(Parsed.error());
  }
  Reader.finish();
  if (!Errors.empty())
    return Respond(errorResponse(joinErrors(Errors)));
  Components_.SharedConfig.propose(
      Change, [Respond](Result<ChangeResult> Result) {
        if (!Result)
          return Respond(errorResponse(Result.error()));
        Respond(jsonResponse(Result->Accepted ? 200 : 202,
                             {{"change_id", Result->ChangeId},
                              {"accepted", Result->Accepted},
                              {"in_force_everywhere", Result->InForce},
                              {"waits_for", Result->UnacknowledgedBy},
                              {"contract", toJson(Result->Record)}}));
      });
}

void Api::showState(const HttpResponder &Respond) {
  const OwnerInfo &Owner = Components_.DomainOwnership.owner();
  nlohmann::json Members = nlohmann::json::array();
  for (const Identity &Member : Components_.Members.all())
    Members.push_back({{"name", Member.Name},
                       {"failure_domain", Member.Domain},
                       {"http", Member.Http}});
  nlohmann::json Output{
      {"daemon", Components_.Self.Name},
      {"failure_domain", Components_.Self.Domain},
      {"is_owner", Components_.LocalOwner != nullptr},
      {"owner", Owner.Holder},
      {"epoch", Owner.Epoch},
      {"platform_reachable", Components_.RetryingTable.reachable()},
      {"config_version", Components_.SharedConfig.appliedVersion()},
      {"requests_waiting", Frontend_.waitingRequests()},
      {"daemons", Members}};
  if (Components_.LocalOwner) {
    Output["vms"] = nlohmann::json::array();
    for (const VmView &Vm : Components_.LocalOwner->vms())
      Output["vms"].push_back({{"id", Vm.Id},
                               {"condition", vmConditionName(Vm.Condition)},
                               {"total", capacityJson(Vm.Total)},
                               {"free", capacityJson(Vm.FreeCapacity)},
                               {"quarantined", Vm.Quarantined},
                               {"reserved", Vm.Reserved},
                               {"tasks", Vm.TaskCount}});
    Output["jobs"] = nlohmann::json::array();
    for (const JobView &Job : Components_.LocalOwner->jobs())
      Output["jobs"].push_back(jobJson(Job));
  }
  Respond(jsonResponse(200, Output));
}

void Api::showEvents(const HttpRequest &Request, const HttpResponder &Respond) {
  std::uint64_t After = 0;
  const std::string_view Text = Request.query("after");
  std::from_chars(Text.data(), Text.data() + Text.size(), After);
  nlohmann::json Events = nlohmann::json::array();
  for (const Event &LogEvent : Components_.Events.since(After))
    Events.push_back({{"stamp", LogEvent.Stamp},
                      {"event", static_cast<int>(LogEvent.Id)},
                      {"name", eventInfo(LogEvent.Id).Name},
                      {"subject", LogEvent.Subject},
                      {"detail", LogEvent.Detail}});
  Respond(jsonResponse(
      200, {{"process", Components_.Self.Name}, {"events", Events}}));
}

void Api::drainVm(const std::string &Vm, const HttpRequest &Request,
                  const HttpResponder &Respond) {
  if (Components_.LocalOwner) {
    const auto Vms = Components_.LocalOwner->vms();
    const bool IsKnownVm =
        std::any_of(Vms.begin(), Vms.end(), [&](const VmView &Candidate) {
          return Candidate.Id == Vm;
        });
    if (IsKnownVm) {
      Components_.LocalOwner->drain(Vm);
      return Respond(jsonResponse(202, {{"vm", Vm}, {"state", "leaving"}}));
    }
  }
  if (!Components_.LocalOwner &&
      findHeader(Request.Headers, "X-Forwarded-By").empty())
    return forwardToOwner(Components_.Config.Domain, Request, Respond);
  Respond(errorResponse(Error{ErrorCode::UnknownPath, Vm}));
}

void Api::forwardToOwner(const std::string &Domain, const HttpRequest &Request,
                         HttpResponder Respond) {
  const HttpResponse NoOwnerResponse =
      outcomeResponse(Outcome::NotRun, Error{ErrorCode::NoOwner, Domain});
  const bool AlreadyForwarded =
      !findHeader(Request.Headers, "X-Forwarded-By").empty();
  if (AlreadyForwarded)
    return Respond(NoOwnerResponse);
  if (Domain == Components_.Config.Domain) {
    const OwnerInfo &Owner = Components_.DomainOwnership.owner();
    if (Owner.Http.empty() || Owner.Holder == Components_.Self.Name)
      return Respond(NoOwnerResponse);
    return forwardToDaemon(Owner.Http, Request, std::move(Respond));
  }
  const auto &Domains = Components_.Config.Domains;
  if (std::find(Domains.begin(), Domains.end(), Domain) == Domains.end())
    return Respond(errorResponse(Error{ErrorCode::UnknownJob, Domain}));
  Components_.RetryingTable.read(
      "owner/" + Domain,
      [this, Request, Respond, NoOwnerResponse](Result<TableRow> Row) {
        const std::string Http = Row ? Row->Value.value("http", "") : "";
        if (Http.empty())
          return Respond(NoOwnerResponse);
        forwardToDaemon(Http, Request, Respond);
      });
}

void Api::forwardToDaemon(const std::string &Http, const HttpRequest &Request,
                          HttpResponder Respond) {
  HttpCall Call;
  Call.Method = Request.Method;
  Call.Url = Components_.Config.translateUrl("http://" + Http + Request.Path);
  Call.Body = Request.Body;
  Call.Timeout = ForwardTimeout;
  Call.Headers = {{"X-Forwarded-By", Components_.Self.Name}};
  const std::string_view Token = findHeader(Request.Headers, "Authorization");
  if (!Token.empty())
    Call.Headers.emplace_back("Authorization", Token);
  Components_.ControlClient->send(
      std::move(Call), [Respond = std::move(Respond)](HttpResult Result) {
        if (!Result) {
          const bool CertainlyNotSent = isNotSent(Result.error().Code);
          return Respond(outcomeResponse(CertainlyNotSent ? Outcome::NotRun
                                                          : Outcome::Unknown,
                                         Result.error()));
        }
        HttpResponse Response = std::move(*Result);
        const std::string OutcomeHeader(
            findHeader(Response.Headers, "X-Outcome"));
        Response.Headers.clear();
        if (!OutcomeHeader.empty())
          Response.Headers.emplace_back("X-Outcome", OutcomeHeader);
        Respond(std::move(Response));
      });
}

} // namespace cuminroad
