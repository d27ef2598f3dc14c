#include <algorithm>
#include <fstream>

#include <fmt/format.h>

#include "Command.h"
#include "Timeline.h"

namespace cuminroad::cli {

namespace {

using TextArg = TCLAP::ValueArg<std::string>;

/// \returns the state of every daemon that answers, by the member list of the
/// first one.
std::vector<nlohmann::json> readStates(Remote &Daemons, Result<Reply> &First) {
  std::vector<nlohmann::json> Out;
  First = Daemons.call("GET", "/v1/state");
  if (!First || !First->ok())
    return Out;
  const nlohmann::json Body = First->json();
  for (const nlohmann::json &Member : Body.at("daemons")) {
    const auto Answer = Daemons.callAt(Member.at("http"), "GET", "/v1/state");
    if (Answer && Answer->ok())
      Out.push_back(Answer->json());
    else
      Out.push_back({{"daemon", Member.at("name")},
                     {"failure_domain", Member.at("failure_domain")},
                     {"unreachable", true}});
  }
  return Out;
}

void printVms(const nlohmann::json &State) {
  for (const nlohmann::json &Vm : State.at("vms"))
    fmt::print("  VM {:<16} {:<10} {:>3} tasks, free {} of {} millicores{}{}\n",
               Vm.at("id").get<std::string>(),
               Vm.at("condition").get<std::string>(), Vm.at("tasks").get<int>(),
               Vm.at("free").at("milli_cores").get<std::int64_t>(),
               Vm.at("total").at("milli_cores").get<std::int64_t>(),
               Vm.at("quarantined").get<bool>() ? ", quarantined" : "",
               Vm.at("reserved").get<bool>() ? ", reserved" : "");
}

void printJobs(const nlohmann::json &State) {
  for (const nlohmann::json &Job : State.at("jobs"))
    fmt::print("  job {:<30} {} waiting ({}, {} of {} ms), {} running, {} "
               "ended\n",
               Job.at("job").at("id").get<std::string>(),
               Job.at("waiting").get<int>(),
               Job.at("wait_reason").get<std::string>(),
               Job.at("waited_ms").get<std::int64_t>(),
               Job.at("start_within_ms").get<std::int64_t>(),
               Job.at("running").get<int>(), Job.at("ended").get<int>());
}

class Status final : public Command {
public:
  std::string_view name() const override { return "status"; }
  std::string_view summary() const override {
    return "show daemons, owners, VMs and jobs";
  }
  void declare(TCLAP::CmdLine &) override {}
  int run(Remote &Daemons, bool Json) override {
    Result<Reply> First;
    const std::vector<nlohmann::json> States = readStates(Daemons, First);
    if (!First || !First->ok())
      return report(First);
    if (Json) {
      fmt::print("{}\n", nlohmann::json(States).dump());
      return ExitOk;
    }
    for (const nlohmann::json &State : States)
      print(State);
    return ExitOk;
  }

private:
  static void print(const nlohmann::json &State) {
    fmt::print("{} in {}", State.at("daemon").get<std::string>(),
               State.at("failure_domain").get<std::string>());
    if (State.value("unreachable", false)) {
      fmt::print(": unreachable\n");
      return;
    }
    fmt::print(": {}, configuration {}, platform {}, {} requests waiting\n",
               State.at("is_owner").get<bool>() ? "owner" : "standby",
               State.at("config_version").get<std::int64_t>(),
               State.at("platform_reachable").get<bool>() ? "reachable"
                                                          : "UNREACHABLE",
               State.at("requests_waiting").get<int>());
    if (!State.contains("vms"))
      return;
    printVms(State);
    printJobs(State);
  }
};

class ShowTimeline final : public Command {
public:
  std::string_view name() const override { return "timeline"; }
  std::string_view summary() const override {
    return "show the events of all daemons in causal order";
  }
  void declare(TCLAP::CmdLine &Line) override {
    Html_ = std::make_unique<TextArg>(
        "", "html", "write a page with a lane for each process", false, "",
        "FILE", Line);
  }
  int run(Remote &Daemons, bool Json) override {
    Result<Reply> First = Daemons.call("GET", "/v1/state");
    if (!First || !First->ok())
      return report(First);
    std::vector<TimelineEvent> Events;
    const nlohmann::json Body = First->json();
    for (const nlohmann::json &Member : Body.at("daemons")) {
      const auto Answer =
          Daemons.callAt(Member.at("http"), "GET", "/v1/events");
      if (Answer && Answer->ok())
        addEvents(Events, Answer->json());
      else
        fmt::print(stderr, "cuminroad: {} does not answer\n",
                   Member.at("name").get<std::string>());
    }
    sortCausally(Events);
    if (!Html_->getValue().empty())
      std::ofstream(Html_->getValue()) << renderHtml(Events);
    else if (Json)
      fmt::print("{}\n", renderJson(Events).dump());
    else
      fmt::print("{}", renderText(Events));
    return ExitOk;
  }

private:
  std::unique_ptr<TextArg> Html_;
};

} // namespace

std::vector<std::unique_ptr<Command>> makeViewCommands() {
  std::vector<std::unique_ptr<Command>> Out;
  Out.push_back(std::make_unique<Status>());
  Out.push_back(std::make_unique<ShowTimeline>());
  return Out;
}

} // namespace cuminroad::cli
