#include "cuminroad/daemon/JobStore.h"

#include <algorithm>

#include <fmt/format.h>

#include "cuminroad/base/Ids.h"

namespace cuminroad {

namespace {

/// Changes that are made within this time share a transaction, which limits a
/// domain to ten transactions a second.
constexpr milliseconds BatchDelay{100};
constexpr milliseconds RetryDelay{1000};
constexpr std::size_t MaxJobsPerWrite = 200;

} // namespace

JobStore::JobStore(Table &JobTable, Loop &ControlLoop, JobStoreScope Scope)
    : Table_(JobTable), ControlLoop_(ControlLoop), Scope_(std::move(Scope)) {}

std::string JobStore::jobKey(const std::string &Job) const {
  return fmt::format("job/{}/{}", Scope_.Domain, Job);
}

std::string JobStore::markerKey() const { return "jobstore/" + Scope_.Domain; }

std::string JobStore::nameKey(const JobRow &Row) {
  return fmt::format("jobname/{}/{}", Row.Spec.Customer, Row.Name);
}

void JobStore::load(LoadCallback Done) {
  Table_.read(markerKey(), [Self = shared_from_this(),
                            Done = std::move(Done)](Result<TableRow> Row) {
    if (Self->Closed_)
      return;
    if (!Row) {
      Self->ControlLoop_.after(RetryDelay, [Self, Done] { Self->load(Done); });
      return;
    }
    Self->MarkerVersion_ = Row->Version;
    Self->loadJobs(Done);
  });
}

void JobStore::loadJobs(LoadCallback Done) {
  Table_.scan(fmt::format("job/{}/", Scope_.Domain),
              [Self = shared_from_this(),
               Done = std::move(Done)](Result<std::vector<TableRow>> Rows) {
                if (Self->Closed_)
                  return;
                if (!Rows) {
                  Self->ControlLoop_.after(RetryDelay,
                                           [Self, Done] { Self->load(Done); });
                  return;
                }
                std::vector<JobRow> LoadedJobs;
                for (const TableRow &Row : *Rows) {
                  const auto Job = parseJobRow(Row.Value);
                  if (!Job)
                    continue;
                  Self->Jobs_[Job->Spec.Id] = StoredJob{*Job, true, false, {}};
                  LoadedJobs.push_back(*Job);
                }
                Done(std::move(LoadedJobs));
              });
}

void JobStore::close() {
  Closed_ = true;
  for (PendingCreation &Entry : NextBatch_.Creations)
    Entry.Done(failure(ErrorCode::NoOwner));
  failCancellations(std::exchange(NextBatch_, {}));
}

void JobStore::failCancellations(const Batch &Failed) {
  for (const CancelCallback &Done : Failed.Cancellations)
    Done(failure(ErrorCode::NoOwner));
}

const JobRow *JobStore::find(const std::string &Job) const {
  const auto Found = Jobs_.find(Job);
  return Found == Jobs_.end() ? nullptr : &Found->second.Row;
}

void JobStore::create(JobRow Row, CreateCallback Done) {
  const std::string Job = Row.Spec.Id;
  Jobs_[Job] = StoredJob{std::move(Row), false, false, {}};
  NextBatch_.Jobs.insert(Job);
  NextBatch_.Creations.push_back(PendingCreation{Job, std::move(Done)});
  scheduleWrite();
}

void JobStore::queueWrite(const std::string &Job, CommitCallback Done) {
  NextBatch_.Jobs.insert(Job);
  if (Done)
    NextBatch_.Callbacks.push_back(std::move(Done));
  scheduleWrite();
}

bool JobStore::recordEnd(const TaskRef &Task, bool Failed,
                         CommitCallback Done) {
  StoredJob &Job = Jobs_.at(Task.Job);
  if (!Job.UnwrittenEnds.insert(Task.Index).second)
    return false;
  Job.Row.Ended[Task.Index] = Failed;
  NextBatch_.Ends.push_back(Task);
  queueWrite(Task.Job, std::move(Done));
  return true;
}

bool JobStore::isEndRecorded(const TaskRef &Task) const {
  const auto Found = Jobs_.find(Task.Job);
  if (Found == Jobs_.end())
    return true;
  const StoredJob &Job = Found->second;
  if (Task.Index < 0 || Task.Index >= Job.Row.Spec.Tasks)
    return true;
  return Job.Row.Ended.contains(Task.Index) &&
         !Job.UnwrittenEnds.contains(Task.Index);
}

void JobStore::recordStart(const TaskRef &Task, CommitCallback Done) {
  const auto Found = Jobs_.find(Task.Job);
  if (Found == Jobs_.end())
    return;
  Found->second.Row.RecordedStarts.insert(Task.Index);
  queueWrite(Task.Job, std::move(Done));
}

void JobStore::recordCancellation(const std::string &Job, CancelCallback Done) {
  const auto Found = Jobs_.find(Job);
  if (Found == Jobs_.end() || Closed_)
    return Done(failure(ErrorCode::NoOwner));
  Found->second.Row.Cancelled = true;
  NextBatch_.Cancellations.push_back(std::move(Done));
  queueWrite(Job, nullptr);
}

void JobStore::moveToFinished(const std::string &Job, JobOutcome FinalOutcome) {
  const auto Found = Jobs_.find(Job);
  if (Found == Jobs_.end())
    return;
  Found->second.Row.Outcome = FinalOutcome;
  Found->second.Finished = true;
  queueWrite(Job, nullptr);
}

void JobStore::scheduleWrite() {
  if (WriteInProgress_ || Closed_)
    return;
  WriteInProgress_ = true;
  ControlLoop_.after(BatchDelay,
                     [Self = shared_from_this()] { Self->writeBatch(); });
}

void JobStore::addJobWrites(Transaction &Change, const std::string &Job) {
  const StoredJob &Entry = Jobs_.at(Job);
  const std::string Key = jobKey(Job);
  if (Entry.Finished) {
    Change.Writes.push_back(RowWrite{Key, nullptr});
    Change.Writes.push_back(RowWrite{"done/" + Job, toJson(Entry.Row)});
    return;
  }
  Change.Writes.push_back(RowWrite{Key, toJson(Entry.Row)});
  if (!Entry.InTable && !Entry.Row.Name.empty()) {
    Change.Checks.push_back(VersionCheck{nameKey(Entry.Row), 0});
    Change.Writes.push_back(RowWrite{nameKey(Entry.Row), {{"job", Job}}});
  }
}

void JobStore::writeBatch() {
  if (Closed_)
    return;
  Transaction Change;
  Change.WriteId = randomId();
  Change.Checks = {{markerKey(), MarkerVersion_},
                   {Scope_.EpochKey, Scope_.EpochVersion}};
  Change.Writes = {{markerKey(), {{"epoch", Scope_.EpochVersion}}}};
  Batch SentBatch = std::exchange(NextBatch_, {});
  while (SentBatch.Jobs.size() > MaxJobsPerWrite) {
    // All callbacks are called after the last transaction of the batch, so that
    // none is called before its change is committed.
    NextBatch_.Jobs.insert(
        SentBatch.Jobs.extract(std::prev(SentBatch.Jobs.end())));
  }
  if (!NextBatch_.Jobs.empty()) {
    NextBatch_.Callbacks.swap(SentBatch.Callbacks);
    NextBatch_.Cancellations.swap(SentBatch.Cancellations);
    NextBatch_.Ends.swap(SentBatch.Ends);
    const auto FirstDeferred =
        std::partition(SentBatch.Creations.begin(), SentBatch.Creations.end(),
                       [&](const PendingCreation &Creation) {
                         return SentBatch.Jobs.contains(Creation.Job);
                       });
    NextBatch_.Creations.assign(
        std::make_move_iterator(FirstDeferred),
        std::make_move_iterator(SentBatch.Creations.end()));
    SentBatch.Creations.erase(FirstDeferred, SentBatch.Creations.end());
  }
  for (const std::string &Job : SentBatch.Jobs)
    addJobWrites(Change, Job);
  auto SharedBatch = std::make_shared<Batch>(std::move(SentBatch));
  Table_.commit(std::move(Change), [Self = shared_from_this(), SharedBatch](
                                       Result<CommitOutcome> Outcome) {
    Self->handleCommitResult(std::move(*SharedBatch), Outcome);
  });
}

void JobStore::handleCommitResult(Batch SentBatch,
                                  const Result<CommitOutcome> &Outcome) {
  WriteInProgress_ = false;
  if (!Outcome && Outcome.error().Code == ErrorCode::WriteOutcomeUnknown)
    handleUnknown(SentBatch);
  else if (!Outcome)
    handleUnavailable(std::move(SentBatch));
  else if (Outcome->committed())
    handleCommitted(std::move(SentBatch), Outcome->Revision);
  else
    handleConflict(std::move(SentBatch), Outcome->Conflicts);
  if (NextBatch_.hasWork() && !WriteInProgress_)
    scheduleWrite();
}

void JobStore::handleCommitted(Batch SentBatch, std::int64_t Revision) {
  MarkerVersion_ = Revision;
  for (const TaskRef &Task : SentBatch.Ends)
    Jobs_.at(Task.Job).UnwrittenEnds.erase(Task.Index);
  for (const std::string &Job : SentBatch.Jobs) {
    const auto Found = Jobs_.find(Job);
    Found->second.InTable = true;
    if (Found->second.Finished && !NextBatch_.Jobs.contains(Job))
      Jobs_.erase(Found);
  }
  if (!Closed_)
    for (const CommitCallback &Callback : SentBatch.Callbacks)
      Callback();
  // Report committed creations and cancellations even if the store was closed
  // meanwhile, because the next owner will load the jobs.
  for (const CancelCallback &Done : SentBatch.Cancellations)
    Done({});
  for (const PendingCreation &Creation : SentBatch.Creations)
    Creation.Done(Creation.Job);
}

void JobStore::handleConflict(Batch SentBatch,
                              const std::vector<std::string> &Conflicts) {
  const auto HasConflict = [&](const std::string &Key) {
    return std::find(Conflicts.begin(), Conflicts.end(), Key) !=
           Conflicts.end();
  };
  std::vector<PendingCreation> NameTaken;
  std::vector<PendingCreation> ToRetry;
  for (PendingCreation &Creation : SentBatch.Creations) {
    if (HasConflict(nameKey(Jobs_.at(Creation.Job).Row)))
      NameTaken.push_back(std::move(Creation));
    else
      ToRetry.push_back(std::move(Creation));
  }
  if (Closed_ || NameTaken.empty()) {
    for (PendingCreation &Creation : ToRetry)
      Creation.Done(failure(ErrorCode::NoOwner));
    for (PendingCreation &Creation : NameTaken)
      resolveNameConflict(std::move(Creation));
    failCancellations(SentBatch);
    if (!Closed_ && OnSuperseded)
      OnSuperseded();
    return;
  }
  for (PendingCreation &Creation : NameTaken) {
    SentBatch.Jobs.erase(Creation.Job);
    resolveNameConflict(std::move(Creation));
  }
  requeue(SentBatch);
  std::move(ToRetry.begin(), ToRetry.end(),
            std::back_inserter(NextBatch_.Creations));
}

void JobStore::handleUnavailable(Batch SentBatch) {
  // Certainly nothing was written: refuse new jobs, and retry the other
  // changes.
  for (const PendingCreation &Creation : SentBatch.Creations) {
    SentBatch.Jobs.erase(Creation.Job);
    removeJob(Creation.Job);
    Creation.Done(failure(ErrorCode::PlatformUnavailable));
  }
  if (Closed_)
    return failCancellations(SentBatch);
  requeue(SentBatch);
  if (!NextBatch_.hasWork())
    return;
  WriteInProgress_ = true;
  ControlLoop_.after(RetryDelay,
                     [Self = shared_from_this()] { Self->writeBatch(); });
}

void JobStore::handleUnknown(const Batch &SentBatch) {
  // The next owner may have loaded the changes. They can't be written again:
  // the marker row no longer has the version that this store knows.
  for (const PendingCreation &Creation : SentBatch.Creations)
    Creation.Done(failure(ErrorCode::WriteOutcomeUnknown, Creation.Job));
  for (const CancelCallback &Done : SentBatch.Cancellations)
    Done(failure(ErrorCode::WriteOutcomeUnknown));
  if (!Closed_ && OnSuperseded)
    OnSuperseded();
}

void JobStore::removeJob(const std::string &Job) {
  Jobs_.erase(Job);
  // It may have been cancelled while its creation was written.
  NextBatch_.Jobs.erase(Job);
}

void JobStore::requeue(Batch &SentBatch) {
  NextBatch_.Jobs.merge(SentBatch.Jobs);
  std::move(SentBatch.Callbacks.begin(), SentBatch.Callbacks.end(),
            std::back_inserter(NextBatch_.Callbacks));
  std::move(SentBatch.Cancellations.begin(), SentBatch.Cancellations.end(),
            std::back_inserter(NextBatch_.Cancellations));
  std::move(SentBatch.Ends.begin(), SentBatch.Ends.end(),
            std::back_inserter(NextBatch_.Ends));
}

void JobStore::resolveNameConflict(PendingCreation Creation) {
  const std::string Key = nameKey(Jobs_.at(Creation.Job).Row);
  removeJob(Creation.Job);
  Table_.read(Key,
              [Key, Done = std::move(Creation.Done)](Result<TableRow> Row) {
                // A job with this name exists, so "not run" would be wrong even
                // if its id can't be read.
                if (!Row || Row->Version == 0)
                  Done(failure(ErrorCode::WriteOutcomeUnknown, Key));
                else
                  Done(Row->Value.value("job", ""));
              });
}

} // namespace cuminroad
