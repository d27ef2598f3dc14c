#ifndef CUMINROAD_PROGRAMS_CUMINROAD_TIMELINE_H
#define CUMINROAD_PROGRAMS_CUMINROAD_TIMELINE_H

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cuminroad::cli {

/// An event from a daemon's event log.
struct TimelineEvent {
  /// Time of the daemon's hybrid logical clock, in microseconds since the Unix
  /// epoch.
  std::uint64_t Stamp = 0;
  std::string Process;
  std::string Name;
  std::string Subject;
  std::string Detail;
};

/// Appends the events of one daemon's response to GET /v1/events.
void addEvents(std::vector<TimelineEvent> &Events,
               const nlohmann::json &Response);
/// Sorts by stamp. An effect always has a larger stamp than its cause, also on
/// another daemon, because messages between daemons carry stamps and advance
/// the receiver's clock.
void sortCausally(std::vector<TimelineEvent> &Events);
std::string renderText(const std::vector<TimelineEvent> &Events);
nlohmann::json renderJson(const std::vector<TimelineEvent> &Events);
/// \returns a self-contained HTML page with a column for each process.
std::string renderHtml(const std::vector<TimelineEvent> &Events);

} // namespace cuminroad::cli

#endif
