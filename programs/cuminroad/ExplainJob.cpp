// The "explain" command: reconstructs the history of one job from the collected
// logs of all daemons.

#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

#include <fmt/format.h>

#include "Command.h"
#include "Timeline.h"

namespace cuminroad::cli {

namespace {

/// Related events of pools, VMs and daemons are shown if they lie at most this
/// long before the first or after the last event of the job, in microseconds.
constexpr std::uint64_t ContextWindowMicros = 3'000'000;

/// Appends the event in a line of a log, if there is one. A log collector may
/// have put a prefix before the JSON object of the event.
void parseLogLine(std::vector<TimelineEvent> &Events, const std::string &Line) {
  const std::size_t EventStart = Line.find('{');
  if (EventStart == std::string::npos)
    return;
  const auto Event = nlohmann::json::parse(
      Line.begin() + static_cast<std::ptrdiff_t>(EventStart), Line.end(),
      nullptr, false);
  if (!Event.is_object() || !Event.contains("stamp") ||
      !Event.contains("subject"))
    return;
  try {
    Events.push_back(TimelineEvent{Event.at("stamp"), Event.at("process"),
                                   Event.at("name"), Event.at("subject"),
                                   Event.at("detail")});
  } catch (const nlohmann::json::exception &) {
    // A JSON object of another program.
  }
}

bool readLogs(const std::vector<std::string> &Paths,
              std::vector<TimelineEvent> &Events) {
  for (const std::string &Path : Paths) {
    std::ifstream File(Path);
    if (!File) {
      fmt::print(stderr, "cuminroad: cannot read {}\n", Path);
      return false;
    }
    for (std::string Line; std::getline(File, Line);)
      parseLogLine(Events, Line);
  }
  return true;
}

/// \returns whether the event concerns the job itself or one of its parts,
/// whose ids begin with that of the job.
bool concernsJob(const TimelineEvent &Event, const std::string &Job) {
  return Event.Subject == Job || Event.Subject.starts_with(Job + ".");
}

/// \returns all words of the events' details, among them the ids of the VMs
/// that the job used.
std::set<std::string>
collectDetailWords(const std::vector<TimelineEvent> &JobEvents) {
  std::set<std::string> Words;
  for (const TimelineEvent &Event : JobEvents) {
    std::stringstream Detail(Event.Detail);
    for (std::string Word; Detail >> Word;)
      Words.insert(Word);
  }
  return Words;
}

/// \returns whether the event concerns no single job but may explain what
/// happened to one: a change of owner, store or daemon, or an event of a VM
/// that the job's events name.
bool isContextEvent(const TimelineEvent &Event,
                    const std::set<std::string> &DetailWords) {
  static const std::set<std::string> Names{
      "ownership_taken",   "ownership_lost", "jobs_loaded",
      "store_lost",        "store_back",     "store_relayed",
      "store_relay_ended", "daemon_started", "daemon_stopping",
      "config_applied"};
  return Names.contains(Event.Name) ||
         (Event.Name.starts_with("vm_") && DetailWords.contains(Event.Subject));
}

class ExplainJob final : public Command {
public:
  std::string_view name() const override { return "explain"; }
  std::string_view summary() const override {
    return "show the history of a job from collected logs";
  }
  void addOptions(TCLAP::CmdLine &Line) override {
    Job_ = std::make_unique<TCLAP::UnlabeledValueArg<std::string>>(
        "job", "id of the job", true, "", "JOB", Line);
    Logs_ = std::make_unique<TCLAP::UnlabeledMultiArg<std::string>>(
        "logs", "log files of the daemons", true, "FILE", Line);
  }
  int run(DaemonClient &, bool JsonOutput) override {
    std::vector<TimelineEvent> AllEvents;
    if (!readLogs(Logs_->getValue(), AllEvents))
      return ExitUsage;
    sortCausally(AllEvents);
    const std::vector<TimelineEvent> RelevantEvents =
        selectRelevantEvents(AllEvents, Job_->getValue());
    if (RelevantEvents.empty()) {
      fmt::print(stderr, "cuminroad: no line about {}\n", Job_->getValue());
      return ExitRefused;
    }
    if (JsonOutput)
      fmt::print("{}\n", renderJson(RelevantEvents).dump(2));
    else
      fmt::print("{}", renderText(RelevantEvents));
    return ExitOk;
  }

private:
  /// \returns the events of the job and those that may explain them; nothing if
  /// no event concerns the job.
  static std::vector<TimelineEvent>
  selectRelevantEvents(const std::vector<TimelineEvent> &AllEvents,
                       const std::string &Job) {
    std::vector<TimelineEvent> JobEvents;
    for (const TimelineEvent &Event : AllEvents)
      if (concernsJob(Event, Job))
        JobEvents.push_back(Event);
    if (JobEvents.empty())
      return JobEvents;
    const std::set<std::string> DetailWords = collectDetailWords(JobEvents);
    const std::uint64_t Begin = JobEvents.front().Stamp - ContextWindowMicros;
    const std::uint64_t End = JobEvents.back().Stamp + ContextWindowMicros;
    std::vector<TimelineEvent> RelevantEvents;
    for (const TimelineEvent &Event : AllEvents)
      if (concernsJob(Event, Job) ||
          (Event.Stamp >= Begin && Event.Stamp <= End &&
           isContextEvent(Event, DetailWords)))
        RelevantEvents.push_back(Event);
    return RelevantEvents;
  }

  std::unique_ptr<TCLAP::UnlabeledValueArg<std::string>> Job_;
  std::unique_ptr<TCLAP::UnlabeledMultiArg<std::string>> Logs_;
};

} // namespace

std::unique_ptr<Command> makeExplainCommand() {
  return std::make_unique<ExplainJob>();
}

} // namespace cuminroad::cli
