// The part of PoolOwner that reads the pool's jobs from the store.
#include "cuminroad/fleet/PoolOwner.h"

#include <algorithm>
#include <utility>

#include "cuminroad/fleet/LeaseTimes.h"

namespace cuminroad {

namespace {

/// A new owner that receives no page of its pool's jobs for this long releases
/// the pool to another daemon. Several times the timeout of a page.
constexpr milliseconds LoadStallLimit{4000};

QueueTerms acceptedTerms(const JobRequest &Request) {
  if (Request.Terms)
    return *Request.Terms;
  QueueTerms Out;
  Out.Name = Request.Queue;
  Out.Service = Request.Service;
  Out.Known = false;
  return Out;
}

} // namespace

void PoolOwner::readProgress() {
  Progress_ = std::make_shared<TableReader>(
      Context_.Store, Context_.ControlLoop, std::string(ProgressTable),
      std::vector{poolPartition(Term_.Service)});
  Progress_->start([Self = shared_from_this()](TableReader::Contents Table) {
    Self->applyProgress(std::move(Table));
  });
}

void PoolOwner::applyProgress(TableReader::Contents Table) {
  for (const StoredRow &Row : Table.Rows) {
    auto Progress = decodeProgress(Row.Value);
    if (Progress)
      LoadedProgress_[Row.Name.Key] = std::move(*Progress);
    else
      Context_.Events.record(EventId::RowUnreadable, Row.Name.Key,
                             Progress.error().text());
  }
  ProgressRead_ = true;
  loadJobsWhenRead();
}

bool PoolOwner::loadStalled() {
  const TimePoint Now = Context_.MonotonicClock.now();
  const std::size_t Pages = Requests_->pagesRead() + Progress_->pagesRead();
  // While the ownership can't be renewed either, the store is away: no other
  // daemon could do better.
  if (Pages != PagesLoaded_ || Now - Writer_->renewedAt() > MinOwnerLease) {
    PagesLoaded_ = Pages;
    LastPageLoadedAt_ = Now;
  }
  return Now - LastPageLoadedAt_ >= LoadStallLimit;
}

void PoolOwner::tableRead(std::vector<StoredRow> Rows) {
  std::set<std::string, std::less<>> Present;
  for (const StoredRow &Row : Rows)
    if (CountedJobs_.contains(Row.Name.Key))
      Present.insert(Row.Name.Key);
  CountedJobs_ = std::move(Present);
  for (const StoredRow &Row : Rows)
    applyRow(Row);
  RequestsRead_ = true;
  loadJobsWhenRead();
  schedulePass();
}

void PoolOwner::rowsChanged(std::vector<StoredRow> Rows) {
  for (const StoredRow &Row : Rows)
    applyRow(Row);
  schedulePass();
}

void PoolOwner::applyRow(const StoredRow &Row) {
  if (Row.Removed) {
    CountedJobs_.erase(Row.Name.Key);
    return;
  }
  const std::string_view Cancelled = cancelledJob(Row.Name.Key);
  if (!Cancelled.empty())
    return applyCancel(std::string(Cancelled));
  auto Request = decodeRequest(Row.Name.Key, Row.Value);
  if (!Request) {
    Context_.Events.record(EventId::RowUnreadable, Row.Name.Key,
                           Request.error().text());
    return;
  }
  if (Request->Service == Term_.Service)
    applyRequest(std::move(*Request));
  else if (!Request->Plan.Account.empty() &&
           CountedJobs_.insert(Row.Name.Key).second)
    countJob(std::move(Request->Plan.Account), Request->AcceptedAt);
}

TimePoint PoolOwner::localTime(milliseconds StoreTime) const {
  const milliseconds Age =
      std::max(Context_.Store.storeTime() - StoreTime, milliseconds(0));
  return Context_.MonotonicClock.now() - Age;
}

void PoolOwner::countJob(std::string Account, milliseconds AcceptedAt) {
  if (Scheduler_)
    Scheduler_->countJob(Account, localTime(AcceptedAt));
  else
    LoadedJobsElsewhere_.emplace(AcceptedAt, std::move(Account));
}

void PoolOwner::applyLoadedRequests() {
  std::vector<JobRequest *> Requests;
  Requests.reserve(LoadedRequests_.size());
  for (auto &[Job, Request] : LoadedRequests_)
    Requests.push_back(&Request);
  std::stable_sort(Requests.begin(), Requests.end(),
                   [](const JobRequest *Left, const JobRequest *Right) {
                     return Left->AcceptedAt < Right->AcceptedAt;
                   });
  auto Elsewhere = LoadedJobsElsewhere_.begin();
  const auto CountUntil = [&](milliseconds When) {
    for (; Elsewhere != LoadedJobsElsewhere_.end() && Elsewhere->first <= When;
         ++Elsewhere)
      Scheduler_->countJob(Elsewhere->second, localTime(Elsewhere->first));
  };
  for (JobRequest *Request : Requests) {
    CountUntil(Request->AcceptedAt);
    applyRequest(std::move(*Request));
  }
  CountUntil(milliseconds::max());
}

void PoolOwner::applyRequest(JobRequest Request) {
  const std::string Job = Request.Plan.Id;
  if (!Scheduler_) {
    LoadedRequests_[Job] = std::move(Request);
    return;
  }
  if (Scheduler_->stage(Job) || FinalStatuses_.contains(Job))
    return;
  if (!Request.Plan.Account.empty())
    JobAccounts_[Job] = Request.Plan.Account;
  QueueTerms Terms = acceptedTerms(Request);
  const TimePoint Accepted = localTime(Request.AcceptedAt);
  const auto Progress = LoadedProgress_.find(Job);
  if (Progress == LoadedProgress_.end() || !isFinal(Progress->second.Stage))
    logAcceptedTerms(Job, Terms);
  if (Progress == LoadedProgress_.end()) {
    Scheduler_->addJob(std::move(Request.Plan), std::move(Terms), Accepted);
    return;
  }
  if (isFinal(Progress->second.Stage))
    FinalStatuses_[Job] =
        FinalStatus{JobStatus{Progress->second.Stage, Progress->second.Failure},
                    Context_.MonotonicClock.now()};
  Scheduler_->restoreJob(std::move(Request.Plan), std::move(Terms), Accepted,
                         Progress->second);
}

void PoolOwner::applyCancel(const std::string &Job) {
  if (!Scheduler_)
    LoadedCancels_.insert(Job);
  else
    Scheduler_->cancelJob(Job);
}

} // namespace cuminroad
