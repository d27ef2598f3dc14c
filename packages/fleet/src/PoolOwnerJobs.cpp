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
  if (Row.Removed)
    return;
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
  const milliseconds Age = std::max(
      Context_.Store.storeTime() - Request.AcceptedAt, milliseconds(0));
  const TimePoint Accepted = Context_.MonotonicClock.now() - Age;
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
