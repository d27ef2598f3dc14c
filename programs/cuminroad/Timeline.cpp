#include "Timeline.h"

#include <algorithm>
#include <iterator>
#include <set>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace cuminroad::cli {

namespace {

constexpr std::uint64_t MicrosPerSecond = 1'000'000;

std::string formatTime(std::uint64_t Stamp) {
  const auto Seconds = static_cast<std::time_t>(Stamp / MicrosPerSecond);
  return fmt::format("{:%H:%M:%S}.{:06}", fmt::gmtime(Seconds),
                     Stamp % MicrosPerSecond);
}

std::string escapeHtml(const std::string &Text) {
  std::string Escaped;
  for (const char Character : Text) {
    switch (Character) {
    case '<':
      Escaped += "&lt;";
      break;
    case '>':
      Escaped += "&gt;";
      break;
    case '&':
      Escaped += "&amp;";
      break;
    case '"':
      Escaped += "&quot;";
      break;
    default:
      Escaped += Character;
    }
  }
  return Escaped;
}

} // namespace

void addEvents(std::vector<TimelineEvent> &Events,
               const nlohmann::json &Response) {
  const std::string Process = Response.at("process");
  for (const nlohmann::json &Event : Response.at("events"))
    Events.push_back(TimelineEvent{Event.at("stamp"), Process, Event.at("name"),
                                   Event.at("subject"), Event.at("detail")});
}

void sortCausally(std::vector<TimelineEvent> &Events) {
  std::stable_sort(Events.begin(), Events.end(),
                   [](const TimelineEvent &A, const TimelineEvent &B) {
                     return std::tie(A.Stamp, A.Process) <
                            std::tie(B.Stamp, B.Process);
                   });
}

std::string renderText(const std::vector<TimelineEvent> &Events) {
  std::string Text;
  for (const TimelineEvent &Event : Events)
    fmt::format_to(std::back_inserter(Text), "{}  {:<10} {:<20} {} {}\n",
                   formatTime(Event.Stamp), Event.Process, Event.Name,
                   Event.Subject, Event.Detail);
  return Text;
}

nlohmann::json renderJson(const std::vector<TimelineEvent> &Events) {
  nlohmann::json Json = nlohmann::json::array();
  for (const TimelineEvent &Event : Events)
    Json.push_back({{"stamp", Event.Stamp},
                    {"process", Event.Process},
                    {"name", Event.Name},
                    {"subject", Event.Subject},
                    {"detail", Event.Detail}});
  return Json;
}

std::string renderHtml(const std::vector<TimelineEvent> &Events) {
  std::set<std::string> Processes;
  for (const TimelineEvent &Event : Events)
    Processes.insert(Event.Process);
  std::string Html =
      "<!doctype html><meta charset=\"utf-8\"><title>cuminroad time "
      "line</title><style>body{font:13px sans-serif}table{border-collapse:"
      "collapse}td,th{border-left:1px solid #ccc;padding:1px 8px;text-align:"
      "left}tr:hover{background:#eef}small{color:#666}</style><table><tr><th>"
      "time (UTC)</th>";
  for (const std::string &Process : Processes)
    Html += "<th>" + escapeHtml(Process) + "</th>";
  Html += "</tr>\n";
  for (const TimelineEvent &Event : Events) {
    Html += "<tr><td>" + formatTime(Event.Stamp) + "</td>";
    for (const std::string &Process : Processes) {
      Html += "<td>";
      if (Process == Event.Process)
        Html +=
            fmt::format("{} {} <small>{}</small>", escapeHtml(Event.Name),
                        escapeHtml(Event.Subject), escapeHtml(Event.Detail));
      Html += "</td>";
    }
    Html += "</tr>\n";
  }
  return Html + "</table>\n";
}

} // namespace cuminroad::cli
