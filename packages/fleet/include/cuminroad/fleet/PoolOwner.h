#ifndef CUMINROAD_FLEET_POOLOWNER_H
#define CUMINROAD_FLEET_POOLOWNER_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cuminroad/fleet/AdviceDesk.h"
#include "cuminroad/fleet/FleetContext.h"
#include "cuminroad/fleet/JobRows.h"
#include "cuminroad/fleet/PoolLease.h"
#include "cuminroad/fleet/VmLink.h"
#include "cuminroad/pool/PoolScheduler.h"
#include "cuminroad/store/FencedWriter.h"
#include "cuminroad/store/TableFollower.h"

namespace cuminroad {

/// Runs the jobs of one pool for one term of ownership: reads them from the
/// store, holds the pool's VMs, lets the scheduler decide, records what must
/// last before it takes effect, and sends the orders. Runs on the control
/// thread.
///
/// Recorded before it takes effect: the VM and number of each run, before the
/// start is sent; an end and what follows from it, before it is acknowledged to
/// the VM; a final stage, before callers are told.
class PoolOwner final : public VmLinkEvents,
                        public RowSink,
                        public std::enable_shared_from_this<PoolOwner> {
public:
  PoolOwner(const FleetContext &Context, PoolTerm Term);

  void start();
  /// Stops all work at once; no order leaves after this.
  void close();
  /// Hands the pool over to a standby, and closes.
  void release();
  /// Takes in changed contracts.
  void queuesChanged();
  void setPeers(const DaemonRows &Others);

  /// Whether the pool's jobs are known.
  bool loaded() const { return Scheduler_ != nullptr; }
  std::optional<JobStage> stage(std::string_view Job) const;
  int pending(std::string_view Queue) const;
  /// Called once when another daemon owns the pool.
  std::function<void()> OnReplaced;

  void reported(VmLink &Link, const HoldAnswer &Answer,
                TimePoint AskedAt) override;
  void unanswered(VmLink &Link) override;
  void silent(VmLink &Link, std::string_view Why, int Tries) override;
  void answering(VmLink &Link) override;
  void lapsed(VmLink &Link) override;
  void fenced(VmLink &Link) override;
  void startAnswered(VmLink &Link, const TaskRun &Run, StartOutcome Outcome,
                     std::string_view Why) override;
  void stopAnswered(VmLink &Link, const TaskRun &Run) override;
  bool wanted(const VmLink &Link, const TaskRun &Run) const override;
  TimePoint leaseLimit() const override;

  void tableRead(std::vector<StoredRow> Rows) override;
  void rowsChanged(std::vector<StoredRow> Rows) override;

private:
  void adviceAnswered(const StepName &Step,
                      const Result<AdviceDesk::Answer> &Answer);
  void readProgress(std::string From);
  void progressRead(Result<RowPage> Page);
  void loadWhenRead();
  void addRow(const StoredRow &Row);
  void applyRequest(JobRequest Request);
  void applyCancel(const std::string &Job);
  void syncVms();
  void checkUnlistedVms();
  void wake();
  void pass();
  void execute(const StartRun &Do);
  void execute(const StopRun &Do);
  void execute(const PaceRun &Do);
  void execute(const AskAdvice &Do);
  void recordChanges();
  void tellNotes();
  void tellLoad();
  void renewRegularly();
  void forgetOldJobs();
  void replaced();
  VmLink *link(std::string_view Vm) const;
  std::string headValue(std::int64_t Serial) const;
  std::int64_t serialOf(const std::string &HeadValue) const;

  FleetContext Context_;
  PoolTerm Term_;
  std::shared_ptr<FencedWriter> Writer_;
  std::shared_ptr<TableFollower> Requests_;
  std::shared_ptr<AdviceDesk> Advice_;
  std::unique_ptr<PoolScheduler> Scheduler_;
  TimePoint InheritedUntil_{};
  int DirectoryListener_ = 0;
  std::map<std::string, std::shared_ptr<VmLink>, std::less<>> Links_;
  /// The last end of a VM's life that was taken in.
  struct SeenEnds {
    std::int64_t Born = 0;
    std::int64_t Last = 0;
  };
  std::map<std::string, SeenEnds> SeenEnds_;
  /// Jobs read before the progress was.
  std::map<std::string, JobRequest> ReadRequests_;
  std::set<std::string> ReadCancels_;
  std::map<std::string, JobProgress> ReadProgress_;
  bool RequestsRead_ = false;
  bool ProgressRead_ = false;
  /// Final stages that are in the store, and when they got there.
  struct FinalStage {
    JobStage Stage;
    TimePoint At;
  };
  std::map<std::string, FinalStage, std::less<>> Final_;
  /// Specs of unfinished jobs go with their starts.
  std::vector<StartRun> Starts_;
  bool PassPlanned_ = false;
  bool Closed_ = false;
  TimePoint LastPass_{};
  milliseconds PassTook_{0};
  TimePoint LastCleaning_{};
  TimePoint LastLoad_{};
};

} // namespace cuminroad

#endif
