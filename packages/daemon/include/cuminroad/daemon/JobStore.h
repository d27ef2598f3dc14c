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
  using Committed = std::function<void()>;
  /// The id of the job: a new one, or the one that has this name already.
  using Created = std::function<void(Result<std::string>)>;
  using Loaded = std::function<void(std::vector<JobRow>)>;

  /// \param Rows must resolve lost replies without giving up.
  JobStore(Table &Rows, Loop &Home, JobStoreScope Scope);

  /// Reads all unfinished jobs of the domain, trying until it succeeds.
  void load(Loaded Done);
  /// Ends the store: nothing is written or called back any more, but for a
  /// transaction that is under way.
  void close();
  void create(JobRow Row, Created Done);
  /// \returns false where the end is known and its write under way; then
  /// \p Done is dropped.
  bool markEnded(const TaskRef &Task, bool Failed, Committed Done);
  /// Whether nothing is left to write of the task's end: it is in the table, or
  /// no unfinished job has such a task.
  bool hasEnd(const TaskRef &Task) const;
  void recordStart(const TaskRef &Task, Committed Done);
  void markCancelled(const std::string &Job, Committed Done);
  /// Moves the job to the finished ones.
  void finish(const std::string &Job, JobOutcome What);
  /// \returns the unfinished job, or null.
  const JobRow *find(const std::string &Job) const;
  /// Called when the table shows that there is another owner.
  std::function<void()> OnSuperseded;

private:
  struct Kept {
    JobRow Row;
    bool InTable = false;
    bool Finished = false;
    /// Ends that are not yet in the table.
    std::set<int> NewEnds;
  };
  struct Creation {
    std::string Job;
    Created Done;
  };
  struct Batch {
    std::set<std::string> Jobs;
    std::vector<Creation> Creations;
    std::vector<Committed> Callbacks;
    std::vector<TaskRef> Ends;
  };

  std::string jobKey(const std::string &Job) const;
  std::string markerKey() const;
  void loadJobs(Loaded Done);
  void touch(const std::string &Job, Committed Done);
  void plan();
  void write();
  void addWrites(Transaction &Change, const std::string &Job);
  void settle(Batch Sent, const Result<CommitOutcome> &Outcome);
  void settleCommitted(Batch Sent, std::int64_t Revision);
  void settleConflict(Batch Sent, const std::vector<std::string> &Conflicts);
  void settleUnavailable(Batch Sent);
  void keepForLater(Batch &Sent);
  void lookUpName(Creation Lost);
  static std::string nameKey(const JobRow &Row);

  Table &Rows_;
  Loop &Home_;
  JobStoreScope Scope_;
  bool Closed_ = false;
  bool Writing_ = false;
  std::int64_t MarkerVersion_ = 0;
  std::map<std::string, Kept> Jobs_;
  Batch Next_;
};

} // namespace cuminroad

#endif
