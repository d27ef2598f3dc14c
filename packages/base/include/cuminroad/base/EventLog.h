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

/// One event that happened in this process.
struct Event {
  /// Stamp of the hybrid logical clock, microseconds since the epoch or later.
  std::uint64_t Stamp;
  EventId Id;
  /// What the event was about: a VM, job, customer or peer.
  std::string Subject;
  std::string Detail;
};

/// Writes events to standard output, a JSON object a line, and keeps the last
/// ones in memory for the time line. Safe to use from any thread. Lines are
/// bounded by LogRateLimiter, and one that the reader does not take at once is
/// left out: a reader that stops costs lines, not service.
class EventLog {
public:
  /// \param Process name of this process on every line.
  /// \param Capacity number of events kept; older ones are dropped.
  /// \param Output where lines go; null keeps them in memory only.
  EventLog(std::string Process, std::size_t Capacity,
           std::FILE *Output = stdout);

  /// Records an event now. Secrets never go into \p Subject or \p Detail.
  void record(EventId Id, std::string_view Subject,
              std::string_view Detail = {});
  /// \returns the kept events with a stamp above \p After, oldest first.
  std::vector<Event> since(std::uint64_t After) const;
  /// The clock whose stamps travel with messages to other processes.
  HybridLogicalClock &logicalClock() { return LogicalClock_; }
  const std::string &process() const { return Process_; }

private:
  /// Writes the line if the budget and the reader allow it.
  void writeLine(const std::string &Line);
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
