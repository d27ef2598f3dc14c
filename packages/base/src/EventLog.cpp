#include "cuminroad/base/EventLog.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace cuminroad {

EventLog::EventLog(std::string Process, std::size_t Capacity, std::FILE *Out)
    : Process_(std::move(Process)), Capacity_(Capacity), Out_(Out) {}

void EventLog::record(EventId Id, std::string_view Subject,
                      std::string_view Detail) {
  const EventInfo &Info = eventInfo(Id);
  const std::uint64_t Stamp = Clock_.next();
  const nlohmann::json Line{{"stamp", Stamp},
                            {"process", Process_},
                            {"level", severityName(Info.Level)},
                            {"event", static_cast<int>(Id)},
                            {"name", Info.Name},
                            {"subject", Subject},
                            {"detail", Detail}};
  const std::string Text =
      Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  const std::lock_guard Lock(Mutex_);
  if (Out_ != nullptr) {
    fmt::print(Out_, "{}\n", Text);
    std::fflush(Out_);
  }
  Events_.push_back(
      Event{Stamp, Id, std::string(Subject), std::string(Detail)});
  if (Events_.size() > Capacity_)
    Events_.pop_front();
}

std::vector<Event> EventLog::since(std::uint64_t After) const {
  const std::lock_guard Lock(Mutex_);
  std::vector<Event> Out;
  for (const Event &Entry : Events_)
    if (Entry.Stamp > After)
      Out.push_back(Entry);
  return Out;
}

} // namespace cuminroad
