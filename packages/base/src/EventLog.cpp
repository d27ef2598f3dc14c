#include "cuminroad/base/EventLog.h"

#include <climits>
#include <poll.h>
#include <unistd.h>

#include <fmt/format.h>

#include "cuminroad/base/JsonObjectWriter.h"

namespace cuminroad {

namespace {

/// Interval between log lines that report the number of dropped lines.
constexpr seconds DropReportInterval{1};
/// Expected bytes of a line without its texts.
constexpr std::size_t LineBytes = 160;

} // namespace

EventLog::EventLog(std::string Process, std::size_t Capacity, std::FILE *Output)
    : Process_(std::move(Process)), Capacity_(Capacity), Output_(Output) {}

std::string EventLog::format(EventId Id, std::uint64_t Stamp,
                             std::string_view Subject,
                             std::string_view Detail) const {
  const EventInfo &Info = eventInfo(Id);
  JsonObjectWriter Line(LineBytes + Process_.size() + Subject.size() +
                        Detail.size());
  Line.add("detail", Detail);
  Line.add("event", static_cast<int>(Id));
  Line.add("level", severityName(Info.Level));
  Line.add("name", Info.Name);
  Line.add("process", Process_);
  Line.add("stamp", Stamp);
  Line.add("subject", Subject);
  return Line.finish() + "\n";
}

void EventLog::record(EventId Id, std::string_view Subject,
                      std::string_view Detail) {
  const std::uint64_t Stamp = LogicalClock_.next();
  const std::lock_guard Lock(Mutex_);
  if (Output_ != nullptr) {
    const TimePoint Now = std::chrono::steady_clock::now();
    if (RateLimiter_.tryAcquire(Id, Now))
      writeLine(format(Id, Stamp, Subject, Detail));
    reportDroppedLines(Now);
  }
  Events_.push_back(
      Event{Stamp, Id, std::string(Subject), std::string(Detail)});
  if (Events_.size() > Capacity_)
    Events_.pop_front();
}

void EventLog::writeLine(const std::string &Line) {
  // A pipe that is ready for writing accepts up to PIPE_BUF bytes at once,
  // without blocking or splitting the line.
  pollfd Descriptor{fileno(Output_), POLLOUT, 0};
  const bool Writable = Line.size() <= PIPE_BUF &&
                        poll(&Descriptor, 1, 0) == 1 &&
                        (Descriptor.revents & POLLOUT) != 0;
  if (!Writable || ::write(Descriptor.fd, Line.data(), Line.size()) < 0)
    RateLimiter_.recordDrop();
}

void EventLog::reportDroppedLines(TimePoint Now) {
  if (Now - LastDropReport_ < DropReportInterval)
    return;
  LastDropReport_ = Now;
  if (const std::uint64_t Dropped = RateLimiter_.takeDropCount())
    writeLine(format(EventId::LinesDropped, LogicalClock_.next(), "log",
                     fmt::to_string(Dropped)));
}

std::vector<Event> EventLog::since(std::uint64_t After) const {
  const std::lock_guard Lock(Mutex_);
  std::vector<Event> Newer;
  for (const Event &Candidate : Events_)
    if (Candidate.Stamp > After)
      Newer.push_back(Candidate);
  return Newer;
}

} // namespace cuminroad
