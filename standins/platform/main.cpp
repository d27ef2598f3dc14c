// Simulates the platform for tests: the transactional table service, the object
// store and the list of VMs, which may lag behind. Tests inject faults with
// /control.
//
// usage: standin_platform PORT

#include <cstdlib>
#include <map>

#include "StandinServer.h"

using namespace cuminroad;
using standin::respondJson;

namespace {

struct Row {
  std::int64_t Version = 0;
  nlohmann::json Value;
};

struct Faults {
  /// All calls except those of the test itself (/control, /counts,
  /// /vms/register, /vms/state) fail with status 503.
  bool Down = false;
  /// Delay of each such call, in milliseconds.
  int SlowMs = 0;
  /// Number of commits, from now on, that take effect but whose responses are
  /// lost.
  int LoseReplies = 0;
  /// Delay until a changed state of a VM appears in the list, in milliseconds.
  int ListLagMs = 0;
};

/// A lost response is delayed by this time, which exceeds every client's
/// timeout.
constexpr milliseconds LostReplyDelay{20000};

class Platform {
public:
  explicit Platform(Loop &ControlLoop) : ControlLoop_(ControlLoop) {}

  void handle(const HttpRequest &Request, const HttpResponder &Respond) {
    if (Request.Path == "/control")
      return setFaults(nlohmann::json::parse(Request.Body), Respond);
    if (Request.Path == "/vms/register")
      return registerVm(nlohmann::json::parse(Request.Body), Respond);
    if (Request.Path == "/vms/state")
      return setVmState(nlohmann::json::parse(Request.Body), Respond);
    if (Request.Path == "/counts")
      return respondJson(Respond, 200,
                         {{"writes", Writes_}, {"reads", Reads_}});
    if (Faults_.Down)
      return respondJson(Respond, 503, {{"error", "down"}});
    if (Faults_.SlowMs > 0) {
      ControlLoop_.after(
          milliseconds(Faults_.SlowMs),
          [this, Request, Respond] { dispatchServiceCall(Request, Respond); });
      return;
    }
    dispatchServiceCall(Request, Respond);
  }

private:
  void dispatchServiceCall(const HttpRequest &Request,
                           const HttpResponder &Respond) {
    if (Request.Path == "/table/commit")
      return commitTransaction(nlohmann::json::parse(Request.Body), Respond);
    ++Reads_;
    if (Request.Path == "/table/row")
      return respondJson(
          Respond, 200,
          {{"rows", {readRowJson(std::string(Request.query("key")))}}});
    if (Request.Path == "/table/scan")
      return scanRows(std::string(Request.query("prefix")), Respond);
    if (Request.Path == "/vms")
      return listVms(std::string(Request.query("domain")), Respond,
                     findHeader(Request.Headers, "If-None-Match"));
    if (Request.Path.starts_with("/objects/"))
      return accessObject(Request, Respond);
    respondJson(Respond, 404, {{"error", "unknown path"}});
  }

  nlohmann::json readRowJson(const std::string &Key) {
    const Row &Found = Rows_[Key];
    return {{"key", Key}, {"version", Found.Version}, {"value", Found.Value}};
  }

  void commitTransaction(const nlohmann::json &Body,
                         const HttpResponder &Respond) {
    ++Writes_;
    std::vector<std::string> Conflicts;
    for (const nlohmann::json &Check : Body.at("checks"))
      if (Rows_[Check.at("key")].Version != Check.at("version"))
        Conflicts.push_back(Check.at("key"));
    int Status = 409;
    if (Conflicts.empty()) {
      Status = 200;
      ++Revision_;
      for (const nlohmann::json &Write : Body.at("writes")) {
        const bool Deleted = Write.at("value").is_null();
        Rows_[Write.at("key")] =
            Row{Deleted ? 0 : Revision_, Write.at("value")};
      }
    }
    const nlohmann::json CommitResult{{"revision", Revision_},
                                      {"conflicts", Conflicts}};
    if (Faults_.LoseReplies > 0 && Status == 200) {
      --Faults_.LoseReplies;
      ControlLoop_.after(LostReplyDelay,
                         [=] { respondJson(Respond, Status, CommitResult); });
      return;
    }
    respondJson(Respond, Status, CommitResult);
  }

  void scanRows(const std::string &Prefix, const HttpResponder &Respond) {
    nlohmann::json RowList = nlohmann::json::array();
    for (auto Entry = Rows_.lower_bound(Prefix);
         Entry != Rows_.end() && Entry->first.starts_with(Prefix); ++Entry)
      if (Entry->second.Version != 0)
        RowList.push_back(readRowJson(Entry->first));
    respondJson(Respond, 200, {{"rows", RowList}});
  }

  void listVms(const std::string &Domain, const HttpResponder &Respond,
               std::string_view KnownTag) {
    const std::string Tag = std::to_string(ListVersion_);
    if (KnownTag == Tag)
      return Respond(HttpResponse{304, {{"ETag", Tag}}, ""});
    nlohmann::json VmList = nlohmann::json::array();
    for (const auto &[Id, Vm] : Vms_)
      if (Domain.empty() || Vm.at("domain") == Domain)
        VmList.push_back(Vm);
    Respond(HttpResponse{
        200,
        {{"ETag", Tag}},
        nlohmann::json{{"vms", VmList}, {"gone_entries", GoneEntries_}}
            .dump()});
  }

  void accessObject(const HttpRequest &Request, const HttpResponder &Respond) {
    if (Request.Method == "PUT") {
      Objects_[Request.Path] = Request.Body;
      return respondJson(Respond, 200);
    }
    const auto Found = Objects_.find(Request.Path);
    if (Found == Objects_.end())
      return respondJson(Respond, 404);
    Respond(HttpResponse{200, {}, Found->second, "application/octet-stream"});
  }

  void setFaults(const nlohmann::json &Body, const HttpResponder &Respond) {
    Faults_.Down = Body.value("down", Faults_.Down);
    Faults_.SlowMs = Body.value("slow_ms", Faults_.SlowMs);
    Faults_.LoseReplies = Body.value("lose_replies", Faults_.LoseReplies);
    Faults_.ListLagMs = Body.value("list_lag_ms", Faults_.ListLagMs);
    respondJson(Respond, 200);
  }

  void registerVm(const nlohmann::json &Body, const HttpResponder &Respond) {
    Vms_[Body.at("id")] = Body;
    ++ListVersion_;
    respondJson(Respond, 200);
  }

  void setVmState(const nlohmann::json &Body, const HttpResponder &Respond) {
    ControlLoop_.after(milliseconds(Faults_.ListLagMs), [this, Body] {
      const std::string Id = Body.at("id");
      ++ListVersion_;
      if (Vms_.contains(Id))
        Vms_[Id]["state"] = Body.at("state");
      else
        GoneEntries_.push_back(Id);
    });
    respondJson(Respond, 200);
  }

  Loop &ControlLoop_;
  Faults Faults_;
  std::int64_t Revision_ = 0;
  std::int64_t ListVersion_ = 1;
  std::int64_t Writes_ = 0;
  std::int64_t Reads_ = 0;
  std::map<std::string, Row> Rows_;
  std::map<std::string, nlohmann::json> Vms_;
  std::map<std::string, std::string> Objects_;
  std::vector<std::string> GoneEntries_;
};

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 2)
    return 2;
  const auto ControlLoop = makeAsioLoop();
  Platform Service(*ControlLoop);
  return standin::serveUntilSignal(
      std::atoi(Argv[1]), *ControlLoop,
      [&Service](const HttpRequest &Request, const HttpResponder &Respond) {
        Service.handle(Request, Respond);
      });
}
