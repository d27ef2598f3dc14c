#include <algorithm>
#include <fstream>

#include <fmt/format.h>

#include "Command.h"
#include "Timeline.h"

namespace cuminroad::cli {

namespace {

using TextArg = TCLAP::ValueArg<std::string>;

/// Asks the first reachable daemon for the list of daemons and then each of
/// them for its state. \returns the states, with an entry marked as unreachable
/// for each daemon that did not respond; nothing if \p FirstResponse is a
/// failure.
std::vector<nlohmann::json> readStates(DaemonClient &Client,
                                       Result<DaemonResponse> &FirstResponse) {
  std::vector<nlohmann::json> DaemonStates;
  FirstResponse = Client.call("GET", "/v1/state");
  if (!FirstResponse || !FirstResponse->ok())
    return DaemonStates;
  const nlohmann::json Body = FirstResponse->json();
  for (const nlohmann::json &Member : Body.at("daemons")) {
    const auto Response =
        Client.callServer(Member.at("http"), "GET", "/v1/state");
    if (Response && Response->ok())
      DaemonStates.push_back(Response->json());
    else
      DaemonStates.push_back({{"daemon", Member.at("name")},
                              {"failure_domain", Member.at("failure_domain")},
                              {"unreachable", true}});
  }
  return DaemonStates;
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

class ShowStatus final : public Command {
public:
  std::string_view name() const override { return "status"; }
  std::string_view summary() const override {
    return "show daemons, owners, VMs and jobs";
  }
  void addOptions(TCLAP::CmdLine &) override {}
  int run(DaemonClient &Client, bool JsonOutput) override {
    Result<DaemonResponse> FirstResponse;
    const std::vector<nlohmann::json> DaemonStates =
        readStates(Client, FirstResponse);
    if (!FirstResponse || !FirstResponse->ok())
      return printResponse(FirstResponse);
    if (JsonOutput) {
      fmt::print("{}\n", nlohmann::json(DaemonStates).dump());
      return ExitOk;
    }
    for (const nlohmann::json &State : DaemonStates)
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
  void addOptions(TCLAP::CmdLine &Line) override {
    HtmlFile_ = std::make_unique<TextArg>(
        "", "html", "write an HTML page with a column for each process", false,
        "", "FILE", Line);
  }
  int run(DaemonClient &Client, bool JsonOutput) override {
    Result<DaemonResponse> FirstResponse = Client.call("GET", "/v1/state");
    if (!FirstResponse || !FirstResponse->ok())
      return printResponse(FirstResponse);
    std::vector<TimelineEvent> Events;
    const nlohmann::json Body = FirstResponse->json();
    for (const nlohmann::json &Member : Body.at("daemons")) {
      const auto Response =
          Client.callServer(Member.at("http"), "GET", "/v1/events");
      if (Response && Response->ok())
        addEvents(Events, Response->json());
      else
        fmt::print(stderr, "cuminroad: {} did not respond\n",
                   Member.at("name").get<std::string>());
    }
    sortCausally(Events);
    if (!HtmlFile_->getValue().empty())
      std::ofstream(HtmlFile_->getValue()) << renderHtml(Events);
    else if (JsonOutput)
      fmt::print("{}\n", renderJson(Events).dump());
    else
      fmt::print("{}", renderText(Events));
    return ExitOk;
  }

private:
  std::unique_ptr<TextArg> HtmlFile_;
};

} // namespace

std::vector<std::unique_ptr<Command>> makeInspectionCommands() {
  std::vector<std::unique_ptr<Command>> Commands;
  Commands.push_back(std::make_unique<ShowStatus>());
  Commands.push_back(std::make_unique<ShowTimeline>());
  return Commands;
}

} // namespace cuminroad::cli
