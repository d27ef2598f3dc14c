#ifndef CUMINROAD_DAEMON_JOBSTORE_H
#define CUMINROAD_DAEMON_JOBSTORE_H

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cuminroad/daemon/JobRow.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/store/Table.h"

namespace cuminroad {

/// Which rows a store writes, and what shows that it still may.
struct JobStoreScope {
  std::string Domain;
  /// The row that changes with the domain's owner, and its version.
  std::string EpochKey;
  std::int64_t EpochVersion = 0;
};

/// The owner's jobs in the table. Changes are gathered and written together,
/// one transaction at a time, so that the number of writes does not grow with
/// the number of tasks. Each checks the domain's epoch row: a store of an
/// earlier owner can't write any more. Each also replaces the domain's marker
/// row, checked against its version, so that a transaction that was sent again
/// after its reply was lost can't take effect twice or late. Runs on the
/// control thread.
class JobStore : public std::enable_shared_from_this<JobStore> {
public:
  using CommitCallback = std::function<void()>;
  /// The id of the job: a new one, or the one that has this name already.
  using CreateCallback = std::function<void(Result<std::string>)>;
  using LoadCallback = std::function<void(std::vector<JobRow>)>;

  /// \param Rows must resolve lost replies without giving up.
  JobStore(Table &JobTable, Loop &ControlLoop, JobStoreScope Scope);

  /// Reads all unfinished jobs of the domain, trying until it succeeds.
  void load(LoadCallback Done);
  /// Ends the store: nothing is written or called back any more, but for a
  /// transaction that is under way.
  void close();
  void create(JobRow Row, CreateCallback Done);
  /// \returns false where the end is known and its write under way; then
  /// \p Done is dropped.
  bool recordEnd(const TaskRef &Task, bool Failed, CommitCallback Done);
  /// Whether nothing is left to write of the task's end: it is in the table, or
  /// no unfinished job has such a task.
  bool isEndRecorded(const TaskRef &Task) const;
  void recordStart(const TaskRef &Task, CommitCallback Done);
  void recordCancellation(const std::string &Job, CommitCallback Done);
  /// Moves the job to the finished ones.
  void moveToFinished(const std::string &Job, JobOutcome FinalOutcome);
  /// \returns the unfinished job, or null.
  const JobRow *find(const std::string &Job) const;
  /// Called when the table shows that there is another owner.
  std::function<void()> OnSuperseded;

private:
  struct StoredJob {
    JobRow Row;
    bool InTable = false;
    bool Finished = false;
    /// Ends that are not yet in the table.
    std::set<int> UnwrittenEnds;
  };
  struct PendingCreation {
    std::string Job;
    CreateCallback Done;
  };
  struct Batch {
    std::set<std::string> Jobs;
    std::vector<PendingCreation> Creations;
    std::vector<CommitCallback> Callbacks;
    std::vector<TaskRef> Ends;
  };

  std::string jobKey(const std::string &Job) const;
  std::string markerKey() const;
  void loadJobs(LoadCallback Done);
  void queueWrite(const std::string &Job, CommitCallback Done);
  void scheduleWrite();
  void writeBatch();
  void addJobWrites(Transaction &Change, const std::string &Job);
  void handleCommitResult(Batch Sent, const Result<CommitOutcome> &Outcome);
  void handleCommitted(Batch Sent, std::int64_t Revision);
  void handleConflict(Batch Sent, const std::vector<std::string> &Conflicts);
  void handleUnavailable(Batch Sent);
  void requeue(Batch &Sent);
  void resolveNameConflict(PendingCreation Creation);
  static std::string nameKey(const JobRow &Row);

  Table &Table_;
  Loop &ControlLoop_;
  JobStoreScope Scope_;
  bool Closed_ = false;
  bool WriteInProgress_ = false;
  std::int64_t MarkerVersion_ = 0;
  std::map<std::string, StoredJob> Jobs_;
  Batch NextBatch_;
};

} // namespace cuminroad

#endif
