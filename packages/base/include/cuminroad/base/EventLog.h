#ifndef CUMINROAD_BASE_EVENTLOG_H
#define CUMINROAD_BASE_EVENTLOG_H

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "cuminroad/base/EventId.h"
#include "cuminroad/base/HybridLogicalClock.h"
#include "cuminroad/base/LogRateLimiter.h"

namespace cuminroad {

/// An event recorded in this process.
struct Event {
  /// Timestamp of the hybrid logical clock: microseconds since the Unix epoch,
  /// or ahead of that after a message from a process whose clock is ahead.
  std::uint64_t Stamp;
  EventId Id;
  /// The VM, job, customer or peer concerned.
  std::string Subject;
  std::string Detail;
};

/// Writes events to standard output as JSON, one object a line, and keeps the
/// most recent ones in memory for the timeline command. Thread-safe.
/// LogRateLimiter bounds the number of lines, and a line that can't be written
/// without blocking is dropped, so that a reader that stops reading loses log
/// lines instead of stalling the process.
class EventLog {
public:
  /// \param Process name of this process, in every line.
  /// \param Capacity number of events kept in memory; older ones are discarded.
  /// \param Output stream that lines are written to; null keeps events in
  /// memory only.
  EventLog(std::string Process, std::size_t Capacity,
           std::FILE *Output = stdout);

  /// Records an event. \p Subject and \p Detail must not contain secrets.
  void record(EventId Id, std::string_view Subject,
              std::string_view Detail = {});
  /// \returns the events in memory with a stamp above \p After, oldest first.
  std::vector<Event> since(std::uint64_t After) const;
  /// The clock whose stamps are sent with messages to other processes.
  HybridLogicalClock &logicalClock() { return LogicalClock_; }
  const std::string &process() const { return Process_; }

private:
  /// Writes the line, or counts it as dropped if that would block.
  void writeLine(const std::string &Line);
  /// Logs the number of dropped lines, at most once a second.
  void reportDroppedLines(TimePoint Now);
  std::string format(EventId Id, std::uint64_t Stamp, std::string_view Subject,
                     std::string_view Detail) const;

  std::string Process_;
  std::size_t Capacity_;
  std::FILE *Output_;
  LogRateLimiter RateLimiter_;
  TimePoint LastDropReport_{};
  HybridLogicalClock LogicalClock_;
  mutable std::mutex Mutex_;
  std::deque<Event> Events_;
};

} // namespace cuminroad

#endif
