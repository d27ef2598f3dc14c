#ifndef CUMINROAD_FLEET_POOLOWNER_H
#define CUMINROAD_FLEET_POOLOWNER_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "cuminroad/fleet/AdviceDispatcher.h"
#include "cuminroad/fleet/FencingTokens.h"
#include "cuminroad/fleet/FleetContext.h"
#include "cuminroad/fleet/JobRows.h"
#include "cuminroad/fleet/PoolLease.h"
#include "cuminroad/fleet/QuotaExchange.h"
#include "cuminroad/fleet/VmLink.h"
#include "cuminroad/pool/PoolScheduler.h"
#include "cuminroad/store/FencedWriter.h"
#include "cuminroad/store/TableFollower.h"
#include "cuminroad/store/TableReader.h"

namespace cuminroad {

/// Runs the jobs of one pool for one term of ownership. It reads the jobs from
/// the store, holds the leases of the pool's VMs, lets the scheduler decide,
/// makes decisions durable in the store before they take effect, and sends the
/// orders to the VMs. Runs on the control thread.
///
/// Made durable first are: the VM and number of a run, before its start is
/// sent; the end of a run and its consequences, before the end is acknowledged
/// to the VM; a job's final stage, before clients can see it.
class PoolOwner final : public VmLinkListener,
                        public RowSink,
                        public std::enable_shared_from_this<PoolOwner> {
public:
  PoolOwner(const FleetContext &Context, PoolTerm Term);

  void start();
  /// Stops all work at once; no order is sent after this.
  void close();
  /// Releases the pool, so that a standby can take over at once, and closes.
  void release();
  /// Applies changed contracts.
  void queuesChanged();
  void setPeers(const DaemonRows &Others);

  /// Whether the pool's jobs have been read from the store.
  bool loaded() const { return Scheduler_ != nullptr; }
  std::optional<OwnedJob> status(std::string_view Job) const;
  int pending(std::string_view Queue) const;
  /// Called once when another daemon has become the pool's owner.
  std::function<void()> OnReplaced;
  /// Called once when this daemon releases the pool to another one: because it
  /// can't read the pool's jobs, while it can still renew its ownership, or
  /// because it is too slow for the pool.
  std::function<void()> OnReleased;

  void onReport(VmLink &Link, const HoldAnswer &Answer,
                TimePoint SentAt) override;
  void onNoAnswer(VmLink &Link) override;
  void onUnreachable(VmLink &Link, std::string_view Reason,
                     int Attempts) override;
  void onReachable(VmLink &Link) override;
  void onLeaseExpired(VmLink &Link, RunsEndedCause Cause) override;
  void onFenced(VmLink &Link) override;
  void onTokenRaised(VmLink &Link, std::string_view Reason) override;
  void onOrderVoided(VmLink &Link, std::string_view Order, const TaskRun *Run,
                     std::int64_t FencingToken) override;
  void onStartAnswered(VmLink &Link, const TaskRun &Run, StartOutcome Outcome,
                       std::string_view Reason) override;
  void onStartTried(milliseconds Duration, bool Answered) override;
  void onStopAnswered(VmLink &Link, const TaskRun &Run) override;
  bool isWanted(const VmLink &Link, const TaskRun &Run) const override;
  std::optional<milliseconds> capacityAge(const VmLink &Link) const override;
  TimePoint leaseLimit() const override;
  milliseconds idleHoldInterval() const override;

  void tableRead(std::vector<StoredRow> Rows) override;
  void rowsChanged(std::vector<StoredRow> Rows) override;

private:
  void handleAdvice(const StepName &Step,
                    const Result<AdviceDispatcher::Answer> &Answer);
  void readProgress();
  void applyProgress(TableReader::Contents Table);
  /// Whether no page of the pool's jobs has arrived for LoadStallLimit.
  bool loadStalled();
  /// Whether the daemon has had too little processor time for the pool for
  /// several reports of the load, and another one has much more.
  bool shouldHandOver() const;
  void handOver(std::string_view Reason);
  void loadJobsWhenRead();
  /// Passes the accounts' limits in the pool to the scheduler.
  void applyAccountLimits();
  /// Exchanges parts of the accounts' quotas with other pools.
  void exchangeQuotas();
  void applyRow(const StoredRow &Row);
  void applyRequest(JobRequest Request);
  /// Applies the requests that were read before the scheduler was created, and
  /// counts the jobs of other pools, in the order of their acceptance.
  void applyLoadedRequests();
  /// Counts a job of another pool towards the rate of its account.
  void countJob(std::string Account, milliseconds AcceptedAt);
  /// \returns the local time at which the store's clock showed \p StoreTime,
  /// now if it has not done so yet.
  TimePoint localTime(milliseconds StoreTime) const;
  void applyCancel(const std::string &Job);
  void syncVms();
  /// Queues the first holds of VMs whose links are new.
  void claimVms(std::span<const std::string> NewVms);
  /// Begins with the batches of HoldQueue_ unless one is scheduled.
  void holdQueuedVms();
  /// Holds the next VMs of HoldQueue_, and schedules the batch after it.
  void holdNextBatch();
  /// Passes the age of the VM's listed capacity to the scheduler.
  void updateCapacityAge(const VmLink &Link);
  void removeUnlistedVms();
  void schedulePass();
  void runPass();
  void execute(const StartRun &Command);
  void execute(const StopRun &Command);
  void execute(const ThrottleRun &Command);
  void execute(const RequestAdvice &Command);
  bool isRecordTooLarge(const std::string &Job) const;
  void recordChanges();
  void logDiagnostics();
  /// Logs that the terms under which the job was accepted apply to it, if they
  /// do.
  void logAcceptedTerms(const std::string &Job, const QueueTerms &Accepted);
  void logCrash(const VmCrash &Crash);
  void reportLoad();
  /// Sends starts that are recorded in the store.
  void sendStarts(std::span<const StartRun> Starts);
  /// Measures how late the loop runs this object's periodic work.
  void measureLoopDelay();
  void runPeriodicWork();
  void removeExpiredJobs();
  void updateMovedQueues();
  void handleReplacement();
  VmLink *findLink(std::string_view Vm) const;
  std::string headValue(std::int64_t Serial) const;
  std::int64_t serialOf(const std::string &HeadValue) const;

  FleetContext Context_;
  PoolTerm Term_;
  FencingTokens Tokens_;
  /// See OwnerRow.
  std::vector<std::string> MovedQueues_;
  std::shared_ptr<FencedWriter> Writer_;
  std::shared_ptr<QuotaExchange> Quotas_;
  std::shared_ptr<TableFollower> Requests_;
  std::shared_ptr<TableReader> Progress_;
  std::shared_ptr<AdviceDispatcher> AdviceDispatcher_;
  std::unique_ptr<PoolScheduler> Scheduler_;
  TimePoint InheritedLeasesUntil_{};
  /// When the jobs were loaded.
  TimePoint LoadedAt_{};
  int DirectoryListener_ = 0;
  std::map<std::string, std::shared_ptr<VmLink>, std::less<>> Links_;
  /// VMs that are to be held as soon as possible: for the first time, or since
  /// they are no longer listed.
  std::deque<std::string> HoldQueue_;
  bool HoldBatchScheduled_ = false;
  /// The VMs with a link that are no longer listed.
  std::set<std::string, std::less<>> UnlistedVms_;
  /// The last end that was processed of a VM's incarnation.
  struct ReceivedEnds {
    std::int64_t Incarnation = 0;
    std::int64_t LastEnd = 0;
  };
  std::map<std::string, ReceivedEnds> ReceivedEnds_;
  /// Rows that were read before the scheduler could be created.
  std::map<std::string, JobRequest> LoadedRequests_;
  std::set<std::string> LoadedCancels_;
  /// Jobs of other pools: when each was accepted, and its account.
  std::multimap<milliseconds, std::string> LoadedJobsElsewhere_;
  /// Rows of jobs of other pools that have been counted. A full read of the
  /// table passes the same rows again.
  std::set<std::string, std::less<>> CountedJobs_;
  std::map<std::string, JobProgress> LoadedProgress_;
  bool RequestsRead_ = false;
  bool ProgressRead_ = false;
  /// Pages of the pool's jobs that have arrived, and when the last one did.
  std::size_t PagesLoaded_ = 0;
  TimePoint LastPageLoadedAt_{};
  /// A final status that is in the store, and when it was written.
  struct FinalStatus {
    JobStatus Status;
    TimePoint RecordedAt;
  };
  std::map<std::string, FinalStatus, std::less<>> FinalStatuses_;
  /// The accounts of the jobs that have one, finished ones included: those no
  /// longer have a plan.
  std::map<std::string, std::string, std::less<>> JobAccounts_;
  /// Starts whose transaction has not been submitted yet. The spec of the job
  /// is added when they are sent.
  std::vector<StartRun> UnrecordedStarts_;
  /// When the starts were decided that are not yet sent, by batch.
  std::deque<TimePoint> UnsentStarts_;
  /// Measurements since the last report of the load.
  struct StartStatistics {
    int Sent = 0;
    /// Starts whose tickets expired before they reached their VMs.
    int Late = 0;
    /// Longest time from a decision until the start was sent.
    milliseconds LongestDelay{0};
    /// Starts that came to nothing, the late ones included.
    int Refused = 0;
    /// Tries of starts that got no answer in time, and are repeated.
    int Unanswered = 0;
    /// Longest time from sending a try of a start until its answer.
    milliseconds LongestAnswer{0};
    /// VMs that were checked for whether a step needs advice on them.
    std::int64_t AdviceChecks = 0;
    /// Longest time by which the loop was late.
    milliseconds LoopDelay{0};
  };
  StartStatistics StartStatistics_;
  /// Reports of the load in a row for which the loop was late.
  int LateReports_ = 0;
  /// When the next periodic work is due.
  TimePoint PeriodicWorkDue_{};
  bool PassScheduled_ = false;
  bool Closed_ = false;
  /// Whether the pool is about to be released.
  bool Releasing_ = false;
  TimePoint LastPassAt_{};
  milliseconds LastPassDuration_{0};
  TimePoint LastCleanupAt_{};
  TimePoint LastLoadReportAt_{};
};

} // namespace cuminroad

#endif
