#include "cuminroad/fleet/PendingJobCounter.h"

#include <algorithm>

#include <fmt/format.h>

#include "cuminroad/fleet/OwnerLookup.h"
#include "cuminroad/fleet/OwnerRow.h"
#include "cuminroad/fleet/PeerService.h"

namespace cuminroad {

namespace {

/// How long an owner's answer is used.
constexpr milliseconds MaxCountAge{1000};
/// Time from a change of the contracts until the owner of a service that a
/// queue has left knows of the change, and other daemons have read its row.
constexpr milliseconds MoveNoticeTime{15000};

/// Adds up the counts of several pools.
struct Summation {
  std::size_t OpenCounts = 0;
  int Jobs = 0;
  bool Known = true;
  PendingJobCounter::CountDone Done;

  void add(std::optional<int> Count) {
    Jobs += Count.value_or(0);
    Known = Known && Count;
    if (--OpenCounts == 0)
      Done(Known ? QueryResult<int>::known(Jobs) : QueryResult<int>::unknown());
  }
};

} // namespace

void PendingJobCounter::queuesChanged() {
  const TimePoint Now = Context_.MonotonicClock.now();
  std::map<std::string, std::string> Services;
  for (const QueueRoute &Route : Context_.Queues.config().Routes)
    Services[Route.Terms.Name] = Route.Terms.Service;
  for (const auto &[Queue, Service] : Services_) {
    const auto Present = Services.find(Queue);
    if (Present == Services.end() || Present->second != Service)
      LeftAt_[{Queue, Service}] = Now;
  }
  std::erase_if(LeftAt_, [Now](const auto &Entry) {
    return Now - Entry.second > MoveNoticeTime;
  });
  // Clears the cache, except for calls under way.
  std::erase_if(Counts_,
                [](const auto &Entry) { return Entry.second.Waiting.empty(); });
  Services_ = std::move(Services);
}

std::set<std::string>
PendingJobCounter::poolsOf(const QueueTerms &Queue,
                           std::span<const std::string> Pools) const {
  std::set<std::string> Out{Queue.Service};
  const TimePoint Now = Context_.MonotonicClock.now();
  for (const auto &[Pool, LeftAt] : LeftAt_)
    if (Pool.first == Queue.Name && Now - LeftAt <= MoveNoticeTime)
      Out.insert(Pool.second);
  for (const std::string &Service : Pools) {
    const OwnerRow *Owner = Owners_.ownerOf(Service);
    // While the row has not been read, the pool may have jobs of any queue.
    const bool MayHaveJobs =
        Owner == nullptr ||
        std::find(Owner->MovedQueues.begin(), Owner->MovedQueues.end(),
                  Queue.Name) != Owner->MovedQueues.end();
    if (MayHaveJobs || Owned_.owns(Service))
      Out.insert(Service);
  }
  return Out;
}

void PendingJobCounter::count(const QueueTerms &Queue, milliseconds Timeout,
                              CountDone Done) {
  const auto AllPools = Owners_.pools();
  if (!AllPools) {
    Context_.Events.record(EventId::PoolCountFailed, Queue.Name,
                           "pools not read");
    return Done(QueryResult<int>::unknown());
  }
  const std::set<std::string> Pools = poolsOf(Queue, *AllPools);
  auto Sum = std::make_shared<Summation>();
  Sum->OpenCounts = Pools.size();
  Sum->Done = std::move(Done);
  for (const std::string &Service : Pools)
    countInPool({Queue.Name, Service}, Timeout,
                [Sum](std::optional<int> Count) { Sum->add(Count); });
}

void PendingJobCounter::countInPool(const QueuePool &Pool, milliseconds Timeout,
                                    Add Done) {
  const auto &[Queue, Service] = Pool;
  if (Owned_.owns(Service))
    return Done(Owned_.pending(Service, Queue));
  PoolCount &Count = Counts_[Pool];
  if (Count.AnsweredAt &&
      Context_.MonotonicClock.now() - *Count.AnsweredAt < MaxCountAge)
    return Done(Count.Jobs);
  Count.Waiting.push_back(std::move(Done));
  if (Count.Waiting.size() == 1)
    askOwner(Pool, Timeout);
}

void PendingJobCounter::askOwner(const QueuePool &Pool, milliseconds Timeout) {
  const auto &[Queue, Service] = Pool;
  const OwnerRow *Owner = Owners_.ownerOf(Service);
  if (Owner == nullptr || Owner->PeerAddress.empty())
    return handleAnswer(Pool, failure(ErrorCode::NoOwner));
  Context_.Peers.pending(
      Owner->PeerAddress, Service, Queue, Timeout,
      [this, Pool](const Result<int> &Answer) { handleAnswer(Pool, Answer); });
}

void PendingJobCounter::handleAnswer(const QueuePool &Pool,
                                     const Result<int> &Answer) {
  PoolCount &Count = Counts_[Pool];
  std::optional<int> Jobs;
  if (Answer) {
    Jobs = Count.Jobs = *Answer;
    Count.AnsweredAt = Context_.MonotonicClock.now();
  } else {
    Context_.Events.record(
        EventId::PoolCountFailed, Pool.first,
        fmt::format("{} {}", Pool.second, Answer.error().text()));
  }
  for (const Add &Done : std::exchange(Count.Waiting, {}))
    Done(Jobs);
}

} // namespace cuminroad
