// Tells what became of one job, from the collected logs of all daemons.

#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

#include <fmt/format.h>

#include "Command.h"
#include "Timeline.h"

namespace cuminroad::cli {

namespace {

/// Events of a pool or a VM this long before and after a job's own lines belong
/// to its story, microseconds.
constexpr std::uint64_t Around = 3'000'000;

/// Reads one line of a log; anything else than an event is left out. A line may
/// have words of the collector before the event.
void addLine(std::vector<TimelineEvent> &Events, const std::string &Line) {
  const std::size_t Brace = Line.find('{');
  if (Brace == std::string::npos)
    return;
  const auto Event =
      nlohmann::json::parse(Line.begin() + static_cast<std::ptrdiff_t>(Brace),
                            Line.end(), nullptr, false);
  if (!Event.is_object() || !Event.contains("stamp") ||
      !Event.contains("subject"))
    return;
  try {
    Events.push_back(TimelineEvent{Event.at("stamp"), Event.at("process"),
                                   Event.at("name"), Event.at("subject"),
                                   Event.at("detail")});
  } catch (const nlohmann::json::exception &) {
    // Not a line of a daemon.
  }
}

bool readLogs(const std::vector<std::string> &Paths,
              std::vector<TimelineEvent> &Events) {
  for (const std::string &Path : Paths) {
    std::ifstream File(Path);
    if (!File) {
      fmt::print(stderr, "cuminroad: can't read {}\n", Path);
      return false;
    }
    for (std::string Line; std::getline(File, Line);)
      addLine(Events, Line);
  }
  return true;
}

bool isAbout(const TimelineEvent &Event, const std::string &Job) {
  return Event.Subject == Job || Event.Subject.starts_with(Job + ".");
}

/// Words of the job's lines that name VMs.
std::set<std::string> wordsOf(const std::vector<TimelineEvent> &Own) {
  std::set<std::string> Out;
  for (const TimelineEvent &Event : Own) {
    std::stringstream Words(Event.Detail);
    for (std::string Word; Words >> Word;)
      Out.insert(Word);
  }
  return Out;
}

/// Events that are not about one job but may be the cause of what became of it.
bool isCircumstance(const TimelineEvent &Event,
                    const std::set<std::string> &Vms) {
  static const std::set<std::string> Names{
      "ownership_taken",   "ownership_lost", "jobs_loaded",
      "store_lost",        "store_back",     "store_relayed",
      "store_relay_ended", "daemon_started", "daemon_stopping",
      "config_applied"};
  return Names.contains(Event.Name) ||
         (Event.Name.starts_with("vm_") && Vms.contains(Event.Subject));
}

class Explain final : public Command {
public:
  std::string_view name() const override { return "explain"; }
  std::string_view summary() const override {
    return "what became of a job, from collected logs";
  }
  void declare(TCLAP::CmdLine &Line) override {
    Job_ = std::make_unique<TCLAP::UnlabeledValueArg<std::string>>(
        "job", "id of the job", true, "", "JOB", Line);
    Logs_ = std::make_unique<TCLAP::UnlabeledMultiArg<std::string>>(
        "logs", "logs of the daemons", true, "FILE", Line);
  }
  int run(Remote &, bool Json) override {
    std::vector<TimelineEvent> All;
    if (!readLogs(Logs_->getValue(), All))
      return ExitUsage;
    sortCausally(All);
    const std::vector<TimelineEvent> Story = storyOf(All, Job_->getValue());
    if (Story.empty()) {
      fmt::print(stderr, "cuminroad: no line about {}\n", Job_->getValue());
      return ExitRefused;
    }
    if (Json)
      fmt::print("{}\n", renderJson(Story).dump(2));
    else
      fmt::print("{}", renderText(Story));
    return ExitOk;
  }

private:
  static std::vector<TimelineEvent>
  storyOf(const std::vector<TimelineEvent> &All, const std::string &Job) {
    std::vector<TimelineEvent> Own;
    for (const TimelineEvent &Event : All)
      if (isAbout(Event, Job))
        Own.push_back(Event);
    if (Own.empty())
      return Own;
    const std::set<std::string> Vms = wordsOf(Own);
    const std::uint64_t From = Own.front().Stamp - Around;
    const std::uint64_t To = Own.back().Stamp + Around;
    std::vector<TimelineEvent> Out;
    for (const TimelineEvent &Event : All)
      if (isAbout(Event, Job) || (Event.Stamp >= From && Event.Stamp <= To &&
                                  isCircumstance(Event, Vms)))
        Out.push_back(Event);
    return Out;
  }

  std::unique_ptr<TCLAP::UnlabeledValueArg<std::string>> Job_;
  std::unique_ptr<TCLAP::UnlabeledMultiArg<std::string>> Logs_;
};

} // namespace

std::unique_ptr<Command> makeExplainCommand() {
  return std::make_unique<Explain>();
}

} // namespace cuminroad::cli
