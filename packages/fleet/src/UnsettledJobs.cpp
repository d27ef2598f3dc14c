#include "cuminroad/fleet/UnsettledJobs.h"

#include <algorithm>

namespace cuminroad {

void UnsettledJobs::add(const std::string &Job) {
  removeExpired();
  ++Jobs_[Job].Submissions;
}

void UnsettledJobs::settle(const std::string &Job, bool Accepted) {
  if (Accepted)
    Jobs_[Job].UnknownUntil = TimePoint{};
  end(Job, TimePoint{});
}

void UnsettledJobs::giveUp(const std::string &Job) {
  const TimePoint Until = MonotonicClock_.now() + UnknownLifetime;
  GivenUp_.emplace_back(Until, Job);
  end(Job, Until);
}

void UnsettledJobs::end(const std::string &Job, TimePoint UnknownUntil) {
  const auto Found = Jobs_.find(Job);
  Entry &Ended = Found->second;
  --Ended.Submissions;
  Ended.UnknownUntil = std::max(Ended.UnknownUntil, UnknownUntil);
  if (Ended.Submissions == 0 && Ended.UnknownUntil == TimePoint{})
    Jobs_.erase(Found);
}

bool UnsettledJobs::contains(std::string_view Job) const {
  const auto Found = Jobs_.find(Job);
  return Found != Jobs_.end() &&
         (Found->second.Submissions > 0 ||
          Found->second.UnknownUntil > MonotonicClock_.now());
}

void UnsettledJobs::removeExpired() {
  const TimePoint Now = MonotonicClock_.now();
  while (!GivenUp_.empty() && GivenUp_.front().first <= Now) {
    const auto Found = Jobs_.find(GivenUp_.front().second);
    if (Found != Jobs_.end() && Found->second.UnknownUntil <= Now) {
      Found->second.UnknownUntil = TimePoint{};
      if (Found->second.Submissions == 0)
        Jobs_.erase(Found);
    }
    GivenUp_.pop_front();
  }
}

} // namespace cuminroad
