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
  std::vector<std::string> Out;
  while (!Path.empty()) {
    const std::size_t Start = Path.find_first_not_of('/');
    if (Start == std::string_view::npos)
      break;
    const std::size_t End = std::min(Path.find('/', Start), Path.size());
    Out.emplace_back(Path.substr(Start, End - Start));
    Path.remove_prefix(End);
  }
  return Out;
}

/// Takes as long for a wrong token as for the right one.
bool sameSecret(std::string_view Left, std::string_view Right) {
  unsigned Difference = Left.size() == Right.size() ? 0 : 1;
  for (std::size_t Index = 0; Index < Left.size(); ++Index)
    Difference |= static_cast<unsigned char>(Left[Index]) ^
                  static_cast<unsigned char>(
                      Right.empty() ? 0 : Right[Index % Right.size()]);
  return Difference == 0;
}

/// Names of customers become parts of keys in the table.
bool validCustomer(const std::string &Name) {
  return !Name.empty() && Name.size() <= MaxCustomerLength &&
         std::all_of(Name.begin(), Name.end(), [](unsigned char Letter) {
           return std::isalnum(Letter) != 0 || Letter == '-' || Letter == '_';
         });
}

std::string domainOf(const std::string &Job) {
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

nlohmann::json contractJson(const VersionedContract &Kept) {
  nlohmann::json Out = toJson(Kept.Record);
  if (const auto Effective = Kept.Record.effectiveTerms())
    Out["in_force"] = toJson(*Effective);
  return Out;
}

bool mayRunElsewhere(int Status) { return Status == 422 || Status == 503; }

} // namespace

Api::Api(DaemonParts &Parts, FrontDoor &Door, Metrics &Figures)
    : Parts_(Parts), Door_(Door), Metrics_(Figures) {}

void Api::handle(HttpRequest Request, HttpResponder Respond) {
  const Path Parts = splitPath(Request.Path);
  if (Request.Path == "/healthz")
    return Respond(jsonReply(200, {{"healthy", true}}));
  if (Request.Path == "/readyz") {
    const bool Ready = IsReady();
    return Respond(jsonReply(Ready ? 200 : 503, {{"ready", Ready}}));
  }
  const bool Post = Request.Method == "POST";
  if (Post && Parts.size() == 6 && Parts[0] == "v1" &&
      Parts[1] == "customers" && Parts[3] == "services" &&
      Parts[5] == "requests") {
    if (!Parts_.Keeper.ready())
      return Respond(
          outcomeReply(Outcome::NotRun, Error{ErrorCode::NotReady, {}}));
    return Door_.request(Parts[2], Parts[4], std::move(Request),
                         std::move(Respond));
  }
  if (Post && Request.Path == "/v1/tickets")
    return Respond(Door_.issueTicket());
  Parts_.Control->post([this, Parts, Request = std::move(Request),
                        Respond = std::move(Respond)] {
    handleControl(Parts, Request, Respond);
  });
}

bool Api::authorized(const HttpRequest &Request) const {
  const std::string_view Header = findHeader(Request.Headers, "Authorization");
  constexpr std::string_view Scheme = "Bearer ";
  return Header.starts_with(Scheme) &&
         sameSecret(Header.substr(Scheme.size()), Parts_.Config.OperatorToken);
}

void Api::handleControl(const Path &Parts, const HttpRequest &Request,
                        const HttpResponder &Respond) {
  if (Request.Path == "/metrics")
    return Respond(HttpResponse{200,
                                {},
                                Metrics_.render(Parts_, Door_, Peers()),
                                "text/plain; version=0.0.4"});
  const bool Known = Parts.size() >= 2 && Parts[0] == "v1";
  if (Known && Parts[1] == "jobs" &&
      !(Parts.size() == 2 && Request.Method == "GET"))
    return handleJobs(Parts, Request, Respond);
  if (!Known)
    return Respond(errorReply(Error{ErrorCode::UnknownPath, Request.Path}));
  // The rest is for operators.
  if (!authorized(Request))
    return Respond(errorReply(Error{ErrorCode::Unauthorized, {}}));
  if (Parts[1] == "contracts")
    return handleContracts(Parts, Request, Respond);
  if (Request.Method == "GET" && Parts.size() == 2) {
    if (Parts[1] == "state" || Parts[1] == "jobs")
      return showState(Respond);
    if (Parts[1] == "events")
      return showEvents(Request, Respond);
  }
  if (Request.Method == "POST" && Parts.size() == 4 && Parts[1] == "vms" &&
      Parts[3] == "drain")
    return drainVm(Parts[2], Request, Respond);
  Respond(errorReply(Error{ErrorCode::UnknownPath, Request.Path}));
}

void Api::handleJobs(const Path &Parts, const HttpRequest &Request,
                     const HttpResponder &Respond) {
  if (Parts.size() == 2 && Request.Method == "POST")
    return submitJob(Request, Respond);
  if (Parts.size() == 3 && Request.Method == "GET")
    return showJob(Parts[2], Request, Respond);
  if (Parts.size() == 3 && Request.Method == "DELETE")
    return cancelJob(Parts[2], Request, Respond);
  Respond(errorReply(Error{ErrorCode::UnknownPath, Request.Path}));
}

void Api::submitJob(const HttpRequest &Request, const HttpResponder &Respond) {
  const auto Body = parseJson(Request.Body, false);
  if (!Body)
    return Respond(errorReply(Body.error()));
  const auto Spec = parseJobSpec(*Body);
  if (!Spec)
    return Respond(errorReply(Spec.error()));
  if (!Parts_.Contracts.find(Spec->Customer))
    return Respond(outcomeReply(
        Outcome::NotRun, Error{ErrorCode::UnknownCustomer, Spec->Customer}));
  if (!findHeader(Request.Headers, "X-Forwarded-By").empty())
    return submitHere(Request, Respond);
  std::vector<std::string> Domains{Parts_.Config.Domain};
  for (const std::string &Domain : Parts_.Config.Domains)
    if (Domain != Parts_.Config.Domain)
      Domains.push_back(Domain);
  spillJob(Request, Respond, std::move(Domains), HttpResponse{});
}

void Api::spillJob(const HttpRequest &Request, const HttpResponder &Respond,
                   std::vector<std::string> Domains, HttpResponse Last) {
  if (Domains.empty())
    return Respond(std::move(Last));
  const std::string Domain = Domains.front();
  Domains.erase(Domains.begin());
  const HttpResponder Next = [=, this](HttpResponse Answer) {
    // "Not run" lets the next domain have the job; the caller gets the refusal
    // of its own domain where all refuse.
    const bool NotRun =
        findHeader(Answer.Headers, "X-Outcome") == outcomeName(Outcome::NotRun);
    if (!NotRun || !mayRunElsewhere(Answer.Status))
      return Respond(std::move(Answer));
    HttpResponse Kept = Last.Body.empty() ? std::move(Answer) : Last;
    Parts_.Control->post([=, this, Kept = std::move(Kept)] {
      spillJob(Request, Respond, Domains, Kept);
    });
  };
  if (Domain == Parts_.Config.Domain && Parts_.Domain)
    submitHere(Request, Next);
  else
    forward(Domain, Request, Next);
}

void Api::submitHere(const HttpRequest &Request, const HttpResponder &Respond) {
  const auto Body = parseJson(Request.Body, false);
  const auto Spec = parseJobSpec(*Body);
  if (!Parts_.Domain)
    return Respond(outcomeReply(
        Outcome::NotRun, Error{ErrorCode::NoOwner, Parts_.Config.Domain}));
  Parts_.Domain->submit(*Spec, [Respond](Result<std::string> Id) {
    if (Id) {
      HttpResponse Answer = jsonReply(202, {{"id", *Id}});
      Answer.Headers.emplace_back("X-Outcome", outcomeName(Outcome::Done));
      return Respond(std::move(Answer));
    }
    const Outcome What = Id.error().Code == ErrorCode::WriteOutcomeUnknown
                             ? Outcome::Unknown
                             : Outcome::NotRun;
    Respond(outcomeReply(What, Id.error()));
  });
}

void Api::showJob(const std::string &Id, const HttpRequest &Request,
                  const HttpResponder &Respond) {
  const bool Local = domainOf(Id) == Parts_.Config.Domain && Parts_.Domain;
  if (Local) {
    if (const auto View = Parts_.Domain->job(Id))
      return Respond(jsonReply(200, jobJson(*View)));
    return readFinishedJob(Id, Respond);
  }
  if (!findHeader(Request.Headers, "X-Forwarded-By").empty())
    return readFinishedJob(Id, Respond);
  forward(domainOf(Id), Request,
          [this, Id, Respond](const HttpResponse &Answer) {
            if (Answer.Status < 500)
              return Respond(Answer);
            Parts_.Control->post(
                [this, Id, Respond] { readFinishedJob(Id, Respond); });
          });
}

void Api::readFinishedJob(const std::string &Id, const HttpResponder &Respond) {
  Parts_.Rows.read("done/" + Id, [Id, Respond](Result<TableRow> Row) {
    if (!Row)
      return Respond(errorReply(Row.error()));
    const auto Job = parseJobRow(Row->Value);
    if (Row->Version == 0 || !Job)
      return Respond(errorReply(Error{ErrorCode::UnknownJob, Id}));
    const auto Failed =
        std::count_if(Job->Ended.begin(), Job->Ended.end(),
                      [](const auto &Entry) { return Entry.second; });
    Respond(jsonReply(200, {{"job", toJson(Job->Spec)},
                            {"state", "finished"},
                            {"outcome", jobOutcomeName(*Job->Outcome)},
                            {"ended", Job->Ended.size()},
                            {"failed", Failed}}));
  });
}

void Api::cancelJob(const std::string &Id, const HttpRequest &Request,
                    const HttpResponder &Respond) {
  if (domainOf(Id) != Parts_.Config.Domain || !Parts_.Domain)
    return forward(domainOf(Id), Request, Respond);
  Parts_.Domain->cancel(Id, [Id, Respond](Result<void> Done) {
    if (Done)
      Respond(jsonReply(202, {{"id", Id}, {"state", "cancelling"}}));
    else
      Respond(errorReply(Done.error()));
  });
}

void Api::handleContracts(const Path &Parts, const HttpRequest &Request,
                          const HttpResponder &Respond) {
  if (Parts.size() == 2 && Request.Method == "GET")
    return listContracts(Respond);
  if (Parts.size() != 3)
    return Respond(errorReply(Error{ErrorCode::UnknownPath, Request.Path}));
  if (Request.Method == "PUT" || Request.Method == "DELETE")
    return changeContract(Parts[2], Request, Respond);
  const auto Found = Parts_.Keeper.contracts().find(Parts[2]);
  if (Request.Method != "GET")
    return Respond(errorReply(Error{ErrorCode::UnknownPath, Request.Path}));
  if (Found == Parts_.Keeper.contracts().end())
    return Respond(errorReply(Error{ErrorCode::UnknownCustomer, Parts[2]}));
  Respond(jsonReply(200, contractJson(Found->second)));
}

void Api::listContracts(const HttpResponder &Respond) {
  nlohmann::json Out = nlohmann::json::array();
  for (const auto &[Customer, Kept] : Parts_.Keeper.contracts())
    Out.push_back(contractJson(Kept));
  Respond(jsonReply(
      200, {{"contracts", Out}, {"applied", Parts_.Keeper.appliedVersion()}}));
}

void Api::changeContract(const std::string &Customer,
                         const HttpRequest &Request,
                         const HttpResponder &Respond) {
  const auto Body = parseJson(Request.Body, false);
  if (!Body)
    return Respond(errorReply(Body.error()));
  std::vector<Error> Faults;
  JsonObjectReader Reader(*Body, "", Faults);
  ContractChange Change;
  Change.Customer = Customer;
  Change.ExpectedVersion = Reader.integer("expected_version", VersionRange);
  Change.Operator = Reader.text("operator", "");
  if (!validCustomer(Customer))
    Reader.addError(ErrorCode::ValueOutOfRange, "customer",
                    "must be letters, digits, - and _");
  if (Request.Method == "PUT") {
    const nlohmann::json *Terms = Reader.member("terms");
    const auto Parsed = parseContractTerms(
        Terms == nullptr ? nlohmann::json::object() : *Terms);
    if (Parsed)
      Change.Terms = *Parsed;
    else
      Faults.push_back(Parsed.error());
  }
  Reader.finish();
  if (!Faults.empty())
    return Respond(errorReply(joinErrors(Faults)));
  Parts_.Keeper.propose(Change, [Respond](Result<ChangeResult> Got) {
    if (!Got)
      return Respond(errorReply(Got.error()));
    Respond(jsonReply(Got->Accepted ? 200 : 202,
                      {{"change_id", Got->ChangeId},
                       {"accepted", Got->Accepted},
                       {"in_force_everywhere", Got->InForce},
                       {"waits_for", Got->UnacknowledgedBy},
                       {"contract", toJson(Got->Record)}}));
  });
}

void Api::showState(const HttpResponder &Respond) {
  const OwnerInfo &Owner = Parts_.Owners.owner();
  nlohmann::json Members = nlohmann::json::array();
  for (const Identity &Member : Parts_.Members.all())
    Members.push_back({{"name", Member.Name},
                       {"failure_domain", Member.Domain},
                       {"http", Member.Http}});
  nlohmann::json Out{{"daemon", Parts_.Self.Name},
                     {"failure_domain", Parts_.Self.Domain},
                     {"is_owner", Parts_.Domain != nullptr},
                     {"owner", Owner.Holder},
                     {"epoch", Owner.Epoch},
                     {"platform_reachable", Parts_.Rows.reachable()},
                     {"config_version", Parts_.Keeper.appliedVersion()},
                     {"requests_waiting", Door_.waiting()},
                     {"daemons", Members}};
  if (Parts_.Domain) {
    Out["vms"] = nlohmann::json::array();
    for (const VmView &Vm : Parts_.Domain->vms())
      Out["vms"].push_back({{"id", Vm.Id},
                            {"condition", vmConditionName(Vm.Condition)},
                            {"total", capacityJson(Vm.Total)},
                            {"free", capacityJson(Vm.FreeCapacity)},
                            {"quarantined", Vm.Quarantined},
                            {"reserved", Vm.Reserved},
                            {"tasks", Vm.TaskCount}});
    Out["jobs"] = nlohmann::json::array();
    for (const JobView &Job : Parts_.Domain->jobs())
      Out["jobs"].push_back(jobJson(Job));
  }
  Respond(jsonReply(200, Out));
}

void Api::showEvents(const HttpRequest &Request, const HttpResponder &Respond) {
  std::uint64_t After = 0;
  const std::string_view Text = Request.query("after");
  std::from_chars(Text.data(), Text.data() + Text.size(), After);
  nlohmann::json Out = nlohmann::json::array();
  for (const Event &Each : Parts_.Events.since(After))
    Out.push_back({{"stamp", Each.Stamp},
                   {"event", static_cast<int>(Each.Id)},
                   {"name", eventInfo(Each.Id).Name},
                   {"subject", Each.Subject},
                   {"detail", Each.Detail}});
  Respond(jsonReply(200, {{"process", Parts_.Self.Name}, {"events", Out}}));
}

void Api::drainVm(const std::string &Vm, const HttpRequest &Request,
                  const HttpResponder &Respond) {
  if (Parts_.Domain) {
    const auto Vms = Parts_.Domain->vms();
    const bool Known =
        std::any_of(Vms.begin(), Vms.end(),
                    [&](const VmView &Each) { return Each.Id == Vm; });
    if (Known) {
      Parts_.Domain->drain(Vm);
      return Respond(jsonReply(202, {{"vm", Vm}, {"state", "leaving"}}));
    }
  }
  if (!Parts_.Domain && findHeader(Request.Headers, "X-Forwarded-By").empty())
    return forward(Parts_.Config.Domain, Request, Respond);
  Respond(errorReply(Error{ErrorCode::UnknownPath, Vm}));
}

void Api::forward(const std::string &Domain, const HttpRequest &Request,
                  HttpResponder Respond) {
  const HttpResponse NoOwner =
      outcomeReply(Outcome::NotRun, Error{ErrorCode::NoOwner, Domain});
  const bool Forwarded = !findHeader(Request.Headers, "X-Forwarded-By").empty();
  if (Forwarded)
    return Respond(NoOwner);
  if (Domain == Parts_.Config.Domain) {
    const OwnerInfo &Owner = Parts_.Owners.owner();
    if (Owner.Http.empty() || Owner.Holder == Parts_.Self.Name)
      return Respond(NoOwner);
    return forwardTo(Owner.Http, Request, std::move(Respond));
  }
  const auto &Domains = Parts_.Config.Domains;
  if (std::find(Domains.begin(), Domains.end(), Domain) == Domains.end())
    return Respond(errorReply(Error{ErrorCode::UnknownJob, Domain}));
  Parts_.Rows.read("owner/" + Domain, [this, Request, Respond,
                                       NoOwner](Result<TableRow> Row) {
    const std::string Http = Row ? Row->Value.value("http", "") : "";
    if (Http.empty())
      return Respond(NoOwner);
    forwardTo(Http, Request, Respond);
  });
}

void Api::forwardTo(const std::string &Http, const HttpRequest &Request,
                    HttpResponder Respond) {
  HttpCall Call;
  Call.Method = Request.Method;
  Call.Url = Parts_.Config.translateUrl("http://" + Http + Request.Path);
  Call.Body = Request.Body;
  Call.Timeout = ForwardTimeout;
  Call.Headers = {{"X-Forwarded-By", Parts_.Self.Name}};
  const std::string_view Token = findHeader(Request.Headers, "Authorization");
  if (!Token.empty())
    Call.Headers.emplace_back("Authorization", Token);
  Parts_.ControlClient->send(
      std::move(Call), [Respond = std::move(Respond)](HttpResult Got) {
        if (!Got) {
          const bool Certain = Got.error().Code == ErrorCode::ConnectFailed;
          return Respond(outcomeReply(
              Certain ? Outcome::NotRun : Outcome::Unknown, Got.error()));
        }
        HttpResponse Answer = std::move(*Got);
        const std::string What(findHeader(Answer.Headers, "X-Outcome"));
        Answer.Headers.clear();
        if (!What.empty())
          Answer.Headers.emplace_back("X-Outcome", What);
        Respond(std::move(Answer));
      });
}

} // namespace cuminroad
