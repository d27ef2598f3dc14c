#ifndef CUMINROAD_FLEET_UNSETTLEDJOBS_H
#define CUMINROAD_FLEET_UNSETTLEDJOBS_H

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "cuminroad/base/Clock.h"

namespace cuminroad {

/// Jobs of which this daemon can't say that they were not accepted: one of
/// their submissions is under way, or was answered as unknown within the last
/// UnknownLifetime. Runs on the control thread.
class UnsettledJobs {
public:
  /// Callers send a submission with an unknown outcome again within seconds.
  static constexpr milliseconds UnknownLifetime{60000};

  explicit UnsettledJobs(const Clock &MonotonicClock)
      : MonotonicClock_(MonotonicClock) {}

  /// Adds a submission of \p Job, until settle() or giveUp() ends it.
  void add(const std::string &Job);
  /// Ends a submission after which it is known whether the job was accepted.
  /// \param Accepted if not, other submissions of the job may still be.
  void settle(const std::string &Job, bool Accepted);
  /// Ends a submission whose outcome remains unknown.
  void giveUp(const std::string &Job);
  bool contains(std::string_view Job) const;
  /// \returns the number of jobs that are kept, some of which may have expired.
  std::size_t size() const { return Jobs_.size(); }

private:
  struct Entry {
    int Submissions = 0;
    /// The default if no outcome is unknown.
    TimePoint UnknownUntil{};
  };

  void end(const std::string &Job, TimePoint UnknownUntil);
  void removeExpired();

  const Clock &MonotonicClock_;
  std::map<std::string, Entry, std::less<>> Jobs_;
  /// The jobs that were given up, in the order of the time at which they are
  /// removed.
  std::deque<std::pair<TimePoint, std::string>> GivenUp_;
};

} // namespace cuminroad

#endif
