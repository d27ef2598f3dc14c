#include "Timeline.h"

#include <algorithm>
#include <iterator>
#include <set>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace cuminroad::cli {

namespace {

constexpr std::uint64_t MicrosPerSecond = 1'000'000;

std::string timeText(std::uint64_t Stamp) {
  const auto Seconds = static_cast<std::time_t>(Stamp / MicrosPerSecond);
  return fmt::format("{:%H:%M:%S}.{:06}", fmt::gmtime(Seconds),
                     Stamp % MicrosPerSecond);
}

std::string escapeHtml(const std::string &Text) {
  std::string Out;
  for (const char Letter : Text) {
    switch (Letter) {
    case '<':
      Out += "&lt;";
      break;
    case '>':
      Out += "&gt;";
      break;
    case '&':
      Out += "&amp;";
      break;
    case '"':
      Out += "&quot;";
      break;
    default:
      Out += Letter;
    }
  }
  return Out;
}

} // namespace

void addEvents(std::vector<TimelineEvent> &Events,
               const nlohmann::json &Answer) {
  const std::string Process = Answer.at("process");
  for (const nlohmann::json &Each : Answer.at("events"))
    Events.push_back(TimelineEvent{Each.at("stamp"), Process, Each.at("name"),
                                   Each.at("subject"), Each.at("detail")});
}

void sortCausally(std::vector<TimelineEvent> &Events) {
  std::stable_sort(Events.begin(), Events.end(),
                   [](const TimelineEvent &A, const TimelineEvent &B) {
                     return std::tie(A.Stamp, A.Process) <
                            std::tie(B.Stamp, B.Process);
                   });
}

std::string renderText(const std::vector<TimelineEvent> &Events) {
  std::string Out;
  for (const TimelineEvent &Each : Events)
    fmt::format_to(std::back_inserter(Out), "{}  {:<10} {:<20} {} {}\n",
                   timeText(Each.Stamp), Each.Process, Each.Name, Each.Subject,
                   Each.Detail);
  return Out;
}

nlohmann::json renderJson(const std::vector<TimelineEvent> &Events) {
  nlohmann::json Out = nlohmann::json::array();
  for (const TimelineEvent &Each : Events)
    Out.push_back({{"stamp", Each.Stamp},
                   {"process", Each.Process},
                   {"name", Each.Name},
                   {"subject", Each.Subject},
                   {"detail", Each.Detail}});
  return Out;
}

std::string renderHtml(const std::vector<TimelineEvent> &Events) {
  std::set<std::string> Processes;
  for (const TimelineEvent &Each : Events)
    Processes.insert(Each.Process);
  std::string Out =
      "<!doctype html><meta charset=\"utf-8\"><title>cuminroad time "
      "line</title><style>body{font:13px sans-serif}table{border-collapse:"
      "collapse}td,th{border-left:1px solid #ccc;padding:1px 8px;text-align:"
      "left}tr:hover{background:#eef}small{color:#666}</style><table><tr><th>"
      "time (UTC)</th>";
  for (const std::string &Process : Processes)
    Out += "<th>" + escapeHtml(Process) + "</th>";
  Out += "</tr>\n";
  for (const TimelineEvent &Each : Events) {
    Out += "<tr><td>" + timeText(Each.Stamp) + "</td>";
    for (const std::string &Process : Processes) {
      Out += "<td>";
      if (Process == Each.Process)
        Out += fmt::format("{} {} <small>{}</small>", escapeHtml(Each.Name),
                           escapeHtml(Each.Subject), escapeHtml(Each.Detail));
      Out += "</td>";
    }
    Out += "</tr>\n";
  }
  return Out + "</table>\n";
}

} // namespace cuminroad::cli
