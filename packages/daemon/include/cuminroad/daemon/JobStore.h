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

/// The domain whose jobs a store writes, and the row that shows whether the
/// store may still write.
struct JobStoreScope {
  std::string Domain;
  /// Key and version of the epoch row, which changes only when the domain gets
  /// a new owner.
  std::string EpochKey;
  std::int64_t EpochVersion = 0;
};

/// Stores the jobs of a domain's owner in the platform's table. Changes are
/// collected and written in batches, one transaction at a time, so that the
/// number of writes does not grow with the number of tasks. Each transaction
/// checks the version of the domain's epoch row, so that the store of an
/// earlier owner can no longer write. Each also checks and replaces the
/// domain's marker row, so that a transaction that was resent after a lost
/// reply can't take effect twice or late. Runs on the control thread.
class JobStore : public std::enable_shared_from_this<JobStore> {
public:
  /// Called once a change is committed.
  using CommitCallback = std::function<void()>;
  /// Receives the id of the job: of the new one, or of the existing job with
  /// the same name. WriteOutcomeUnknown means that the job may exist, all other
  /// errors that it does not.
  using CreateCallback = std::function<void(Result<std::string>)>;
  /// Receives NoOwner if the cancellation was not written, and
  /// WriteOutcomeUnknown if it may have been.
  using CancelCallback = std::function<void(Result<void>)>;
  using LoadCallback = std::function<void(std::vector<JobRow>)>;

  /// \param JobTable must retry a transaction whose reply was lost until its
  /// outcome is known.
  JobStore(Table &JobTable, Loop &ControlLoop, JobStoreScope Scope);

  /// Reads all unfinished jobs of the domain; retries until it succeeds.
  void load(LoadCallback Done);
  /// Stops writing. Creations and cancellations that were not sent yet fail
  /// with NoOwner. A transaction in progress still completes, and calls the
  /// callbacks of its creations and cancellations, but no other ones.
  void close();
  /// Writes a new job.
  void create(JobRow Row, CreateCallback Done);
  /// Writes the end of a task. \returns false, without keeping \p Done, if the
  /// same end is already waiting to be written.
  bool recordEnd(const TaskRef &Task, bool Failed, CommitCallback Done);
  /// Whether the task's end needs no write: it is in the table, or no
  /// unfinished job has such a task.
  bool isEndRecorded(const TaskRef &Task) const;
  /// Writes that a task that must not run twice is about to be started.
  void recordStart(const TaskRef &Task, CommitCallback Done);
  void recordCancellation(const std::string &Job, CancelCallback Done);
  /// Moves the job's row to the finished jobs.
  void moveToFinished(const std::string &Job, JobOutcome FinalOutcome);
  /// \returns the row of an unfinished job, or null.
  const JobRow *find(const std::string &Job) const;
  /// Called when the table shows that the domain has another owner.
  std::function<void()> OnSuperseded;

private:
  struct StoredJob {
    JobRow Row;
    bool InTable = false;
    bool Finished = false;
    /// Indices of tasks whose end is not yet in the table.
    std::set<int> UnwrittenEnds;
  };
  struct PendingCreation {
    std::string Job;
    CreateCallback Done;
  };
  /// Changes that are written in one transaction.
  struct Batch {
    std::set<std::string> Jobs;
    std::vector<PendingCreation> Creations;
    std::vector<CommitCallback> Callbacks;
    std::vector<CancelCallback> Cancellations;
    std::vector<TaskRef> Ends;

    /// Whether a caller waits for the batch, or it has jobs to write. The job
    /// that a caller waits for may have been removed since.
    bool hasWork() const {
      return !Jobs.empty() || !Callbacks.empty() || !Cancellations.empty();
    }
  };

  std::string jobKey(const std::string &Job) const;
  std::string markerKey() const;
  void loadJobs(LoadCallback Done);
  void queueWrite(const std::string &Job, CommitCallback Done);
  void scheduleWrite();
  void writeBatch();
  void addJobWrites(Transaction &Change, const std::string &Job);
  void handleCommitResult(Batch SentBatch,
                          const Result<CommitOutcome> &Outcome);
  void handleCommitted(Batch SentBatch, std::int64_t Revision);
  void handleConflict(Batch SentBatch,
                      const std::vector<std::string> &Conflicts);
  void handleUnavailable(Batch SentBatch);
  void handleUnknown(const Batch &SentBatch);
  /// Removes a job that was not created.
  void removeJob(const std::string &Job);
  void requeue(Batch &SentBatch);
  static void failCancellations(const Batch &Failed);
  void resolveNameConflict(PendingCreation Creation);
  static std::string nameKey(const JobRow &Row);

  Table &Table_;
  Loop &ControlLoop_;
  JobStoreScope Scope_;
  bool Closed_ = false;
  /// Whether a transaction is scheduled or has no result yet.
  bool WriteInProgress_ = false;
  std::int64_t MarkerVersion_ = 0;
  std::map<std::string, StoredJob> Jobs_;
  Batch NextBatch_;
};

} // namespace cuminroad

#endif
