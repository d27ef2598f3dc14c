#include "cuminroad/daemon/JobStore.h"

#include <algorithm>

#include <fmt/format.h>

#include "cuminroad/base/Ids.h"

namespace cuminroad {

namespace {

/// Changes that come within this time share a transaction. It bounds a domain
/// to ten writes a second.
constexpr milliseconds GatherTime{100};
constexpr milliseconds RetryDelay{1000};
constexpr std::size_t MaxJobsPerWrite = 200;

} // namespace

JobStore::JobStore(Table &Rows, Loop &Home, JobStoreScope Scope)
    : Rows_(Rows), Home_(Home), Scope_(std::move(Scope)) {}

std::string JobStore::jobKey(const std::string &Job) const {
  return fmt::format("job/{}/{}", Scope_.Domain, Job);
}

std::string JobStore::markerKey() const { return "jobstore/" + Scope_.Domain; }

std::string JobStore::nameKey(const JobRow &Row) {
  return fmt::format("jobname/{}/{}", Row.Spec.Customer, Row.Name);
}

void JobStore::load(Loaded Done) {
  Rows_.read(markerKey(), [Self = shared_from_this(),
                           Done = std::move(Done)](Result<TableRow> Row) {
    if (Self->Closed_)
      return;
    if (!Row) {
      Self->Home_.after(RetryDelay, [Self, Done] { Self->load(Done); });
      return;
    }
    Self->MarkerVersion_ = Row->Version;
    Self->loadJobs(Done);
  });
}

void JobStore::loadJobs(Loaded Done) {
  Rows_.scan(fmt::format("job/{}/", Scope_.Domain),
             [Self = shared_from_this(),
              Done = std::move(Done)](Result<std::vector<TableRow>> Rows) {
               if (Self->Closed_)
                 return;
               if (!Rows) {
                 Self->Home_.after(RetryDelay,
                                   [Self, Done] { Self->load(Done); });
                 return;
               }
               std::vector<JobRow> Out;
               for (const TableRow &Row : *Rows) {
                 const auto Job = parseJobRow(Row.Value);
                 if (!Job)
                   continue;
                 Self->Jobs_[Job->Spec.Id] = Kept{*Job, true, false, {}};
                 Out.push_back(*Job);
               }
               Done(std::move(Out));
             });
}

void JobStore::close() {
  Closed_ = true;
  for (Creation &Entry : Next_.Creations)
    Entry.Done(failure(ErrorCode::NoOwner));
  Next_ = {};
}

const JobRow *JobStore::find(const std::string &Job) const {
  const auto Found = Jobs_.find(Job);
  return Found == Jobs_.end() ? nullptr : &Found->second.Row;
}

void JobStore::create(JobRow Row, Created Done) {
  const std::string Job = Row.Spec.Id;
  Jobs_[Job] = Kept{std::move(Row), false, false, {}};
  Next_.Jobs.insert(Job);
  Next_.Creations.push_back(Creation{Job, std::move(Done)});
  plan();
}

void JobStore::touch(const std::string &Job, Committed Done) {
  Next_.Jobs.insert(Job);
  if (Done)
    Next_.Callbacks.push_back(std::move(Done));
  plan();
}

bool JobStore::markEnded(const TaskRef &Task, bool Failed, Committed Done) {
  Kept &Job = Jobs_.at(Task.Job);
  if (!Job.NewEnds.insert(Task.Index).second)
    return false;
  Job.Row.Ended[Task.Index] = Failed;
  Next_.Ends.push_back(Task);
  touch(Task.Job, std::move(Done));
  return true;
}

bool JobStore::hasEnd(const TaskRef &Task) const {
  const auto Found = Jobs_.find(Task.Job);
  if (Found == Jobs_.end())
    return true;
  const Kept &Job = Found->second;
  if (Task.Index < 0 || Task.Index >= Job.Row.Spec.Tasks)
    return true;
  return Job.Row.Ended.contains(Task.Index) &&
         !Job.NewEnds.contains(Task.Index);
}

void JobStore::recordStart(const TaskRef &Task, Committed Done) {
  const auto Found = Jobs_.find(Task.Job);
  if (Found == Jobs_.end())
    return;
  Found->second.Row.Recorded.insert(Task.Index);
  touch(Task.Job, std::move(Done));
}

void JobStore::markCancelled(const std::string &Job, Committed Done) {
  const auto Found = Jobs_.find(Job);
  if (Found == Jobs_.end())
    return;
  Found->second.Row.Cancelled = true;
  touch(Job, std::move(Done));
}

void JobStore::finish(const std::string &Job, JobOutcome What) {
  const auto Found = Jobs_.find(Job);
  if (Found == Jobs_.end())
    return;
  Found->second.Row.Outcome = What;
  Found->second.Finished = true;
  touch(Job, nullptr);
}

void JobStore::plan() {
  if (Writing_ || Closed_)
    return;
  Writing_ = true;
  Home_.after(GatherTime, [Self = shared_from_this()] { Self->write(); });
}

void JobStore::addWrites(Transaction &Change, const std::string &Job) {
  const Kept &Entry = Jobs_.at(Job);
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

void JobStore::write() {
  if (Closed_)
    return;
  Transaction Change;
  Change.WriteId = randomId();
  Change.Checks = {{markerKey(), MarkerVersion_},
                   {Scope_.EpochKey, Scope_.EpochVersion}};
  Change.Writes = {{markerKey(), {{"epoch", Scope_.EpochVersion}}}};
  Batch Sent = std::exchange(Next_, {});
  while (Sent.Jobs.size() > MaxJobsPerWrite) {
    // Callbacks wait for the last part, so none comes too early.
    Next_.Jobs.insert(Sent.Jobs.extract(std::prev(Sent.Jobs.end())));
  }
  if (!Next_.Jobs.empty()) {
    Next_.Callbacks.swap(Sent.Callbacks);
    Next_.Ends.swap(Sent.Ends);
    const auto Later = std::partition(
        Sent.Creations.begin(), Sent.Creations.end(),
        [&](const Creation &Each) { return Sent.Jobs.contains(Each.Job); });
    Next_.Creations.assign(std::make_move_iterator(Later),
                           std::make_move_iterator(Sent.Creations.end()));
    Sent.Creations.erase(Later, Sent.Creations.end());
  }
  for (const std::string &Job : Sent.Jobs)
    addWrites(Change, Job);
  auto Shared = std::make_shared<Batch>(std::move(Sent));
  Rows_.commit(std::move(Change), [Self = shared_from_this(),
                                   Shared](Result<CommitOutcome> Outcome) {
    Self->settle(std::move(*Shared), Outcome);
  });
}

void JobStore::settle(Batch Sent, const Result<CommitOutcome> &Outcome) {
  Writing_ = false;
  if (!Outcome)
    settleUnavailable(std::move(Sent));
  else if (Outcome->committed())
    settleCommitted(std::move(Sent), Outcome->Revision);
  else
    settleConflict(std::move(Sent), Outcome->Conflicts);
  if (!Next_.Jobs.empty() && !Writing_)
    plan();
}

void JobStore::settleCommitted(Batch Sent, std::int64_t Revision) {
  MarkerVersion_ = Revision;
  for (const TaskRef &Task : Sent.Ends)
    Jobs_.at(Task.Job).NewEnds.erase(Task.Index);
  for (const std::string &Job : Sent.Jobs) {
    const auto Found = Jobs_.find(Job);
    Found->second.InTable = true;
    if (Found->second.Finished && !Next_.Jobs.contains(Job))
      Jobs_.erase(Found);
  }
  if (!Closed_)
    for (const Committed &Each : Sent.Callbacks)
      Each();
  // A creation that took effect is told even by a store that was closed
  // meanwhile: the next owner has the job.
  for (const Creation &Each : Sent.Creations)
    Each.Done(Each.Job);
}

void JobStore::settleConflict(Batch Sent,
                              const std::vector<std::string> &Conflicts) {
  const auto Lost = [&](const std::string &Key) {
    return std::find(Conflicts.begin(), Conflicts.end(), Key) !=
           Conflicts.end();
  };
  std::vector<Creation> Taken;
  std::vector<Creation> Again;
  for (Creation &Each : Sent.Creations) {
    if (Lost(nameKey(Jobs_.at(Each.Job).Row)))
      Taken.push_back(std::move(Each));
    else
      Again.push_back(std::move(Each));
  }
  if (Closed_ || Taken.empty()) {
    for (Creation &Each : Again)
      Each.Done(failure(ErrorCode::NoOwner));
    for (Creation &Each : Taken)
      Each.Done(failure(ErrorCode::NoOwner));
    if (!Closed_ && OnSuperseded)
      OnSuperseded();
    return;
  }
  for (Creation &Each : Taken) {
    Sent.Jobs.erase(Each.Job);
    lookUpName(std::move(Each));
  }
  keepForLater(Sent);
  std::move(Again.begin(), Again.end(), std::back_inserter(Next_.Creations));
}

void JobStore::settleUnavailable(Batch Sent) {
  // Certainly nothing was written: new jobs are refused, the rest waits.
  for (const Creation &Each : Sent.Creations) {
    Sent.Jobs.erase(Each.Job);
    Jobs_.erase(Each.Job);
    Each.Done(failure(ErrorCode::PlatformUnavailable));
  }
  if (Closed_)
    return;
  keepForLater(Sent);
  if (Next_.Jobs.empty())
    return;
  Writing_ = true;
  Home_.after(RetryDelay, [Self = shared_from_this()] { Self->write(); });
}

void JobStore::keepForLater(Batch &Sent) {
  Next_.Jobs.merge(Sent.Jobs);
  std::move(Sent.Callbacks.begin(), Sent.Callbacks.end(),
            std::back_inserter(Next_.Callbacks));
  std::move(Sent.Ends.begin(), Sent.Ends.end(), std::back_inserter(Next_.Ends));
}

void JobStore::lookUpName(Creation Lost) {
  const std::string Key = nameKey(Jobs_.at(Lost.Job).Row);
  Jobs_.erase(Lost.Job);
  Rows_.read(Key, [Done = std::move(Lost.Done)](Result<TableRow> Row) {
    if (!Row)
      Done(tl::unexpected(Row.error()));
    else
      Done(Row->Value.value("job", ""));
  });
}

} // namespace cuminroad
