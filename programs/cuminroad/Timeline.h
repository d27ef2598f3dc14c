#ifndef CUMINROAD_PROGRAMS_CUMINROAD_TIMELINE_H
#define CUMINROAD_PROGRAMS_CUMINROAD_TIMELINE_H

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cuminroad::cli {

/// An event of one daemon.
struct TimelineEvent {
  /// Stamp of the daemon's hybrid logical clock, microseconds.
  std::uint64_t Stamp = 0;
  std::string Process;
  std::string Name;
  std::string Subject;
  std::string Detail;
};

/// Appends the events of one daemon's answer.
void addEvents(std::vector<TimelineEvent> &Events,
               const nlohmann::json &Response);
/// Sorts by stamp: a cause has a smaller stamp than its effects, since stamps
/// travel with the messages between daemons.
void sortCausally(std::vector<TimelineEvent> &Events);
std::string renderText(const std::vector<TimelineEvent> &Events);
nlohmann::json renderJson(const std::vector<TimelineEvent> &Events);
/// \returns a page that needs no other file, with a lane for each process.
std::string renderHtml(const std::vector<TimelineEvent> &Events);

} // namespace cuminroad::cli

#endif
