#include "cuminroad/base/EventLog.h"

#include <climits>
#include <poll.h>
#include <unistd.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace cuminroad {

namespace {

/// How often lines that were left out are counted in a line.
constexpr seconds DropReport{1};

} // namespace

EventLog::EventLog(std::string Process, std::size_t Capacity, std::FILE *Out)
    : Process_(std::move(Process)), Capacity_(Capacity), Out_(Out) {}

std::string EventLog::format(EventId Id, std::uint64_t Stamp,
                             std::string_view Subject,
                             std::string_view Detail) const {
  const EventInfo &Info = eventInfo(Id);
  const nlohmann::json Line{{"stamp", Stamp},
                            {"process", Process_},
                            {"level", severityName(Info.Level)},
                            {"event", static_cast<int>(Id)},
                            {"name", Info.Name},
                            {"subject", Subject},
                            {"detail", Detail}};
  return Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

void EventLog::record(EventId Id, std::string_view Subject,
                      std::string_view Detail) {
  const std::uint64_t Stamp = Clock_.next();
  const std::lock_guard Lock(Mutex_);
  if (Out_ != nullptr) {
    const TimePoint Now = std::chrono::steady_clock::now();
    if (Budget_.take(Id, Now))
      write(format(Id, Stamp, Subject, Detail));
    tellDrops(Now);
  }
  Events_.push_back(
      Event{Stamp, Id, std::string(Subject), std::string(Detail)});
  if (Events_.size() > Capacity_)
    Events_.pop_front();
}

void EventLog::write(const std::string &Line) {
  // A pipe that is ready takes a line of this length whole, without blocking.
  pollfd Ready{fileno(Out_), POLLOUT, 0};
  const bool Takes = Line.size() <= PIPE_BUF && poll(&Ready, 1, 0) == 1 &&
                     (Ready.revents & POLLOUT) != 0;
  if (!Takes || ::write(Ready.fd, Line.data(), Line.size()) < 0)
    Budget_.drop();
}

void EventLog::tellDrops(TimePoint Now) {
  if (Now - DropsTold_ < DropReport)
    return;
  DropsTold_ = Now;
  if (const std::uint64_t Dropped = Budget_.takeDropped())
    write(format(EventId::LinesDropped, Clock_.next(), "log",
                 fmt::to_string(Dropped)));
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
