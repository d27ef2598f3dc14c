#ifndef CUMINROAD_FLEET_JOBFRONTEND_H
#define CUMINROAD_FLEET_JOBFRONTEND_H

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "cuminroad/fleet/Caller.h"
#include "cuminroad/fleet/FleetContext.h"
#include "cuminroad/fleet/JobRows.h"
#include "cuminroad/fleet/OwnerLookup.h"
#include "cuminroad/fleet/PeerService.h"
#include "cuminroad/fleet/PendingJobCounter.h"
#include "cuminroad/fleet/QueryResult.h"
#include "cuminroad/fleet/UnsettledJobs.h"

namespace cuminroad {

/// Outcome of a submission, as the client receives it.
enum class SubmitOutcome {
  /// The job is in the store and will run.
  Accepted,
  /// The job was not accepted and will never run.
  NotAccepted,
  /// The id is that of a job of another account. The job was not accepted.
  IdInUse,
  /// The job is larger than a row of the store and can never be accepted.
  TooLarge,
  /// A task or a gang of the job is larger than its account's quota. The job
  /// was not accepted.
  ExceedsQuota,
  /// Whether the job was accepted, by this submission or by an earlier one of
  /// the same job, could not be determined. The client may send the same
  /// submission again.
  Unknown,
};

/// The answer to a submission.
struct SubmitReply {
  SubmitOutcome Outcome = SubmitOutcome::Unknown;
  /// When the client should try again.
  milliseconds RetryAfter{0};
};

/// Accepts, cancels and queries jobs for clients, on any daemon. A job is
/// accepted by a write of its row on condition that no such row exists. The
/// pool's owner learns of the job from the store, so that a daemon without a
/// connection to the owner still accepts jobs. Runs on the control thread.
class JobFrontend {
public:
  using SubmitDone = std::function<void(SubmitReply)>;
  /// A known but empty answer means that no such job was ever accepted, or only
  /// one that the caller may not access.
  using StatusDone = std::function<void(QueryResult<std::optional<JobStatus>>)>;
  using CountDone = std::function<void(QueryResult<int>)>;

  JobFrontend(const FleetContext &Context, const OwnedPools &Owned,
              const OwnerLookup &Owners)
      : Context_(Context), Owned_(Owned), Owners_(Owners),
        PendingJobs_(Context, Owned, Owners),
        Unsettled_(Context.MonotonicClock) {}

  /// \returns the most bytes in a row of the store.
  std::size_t maxRowBytes() const { return Context_.Settings.MaxRowBytes; }
  /// Takes note of changed contracts.
  void queuesChanged() { PendingJobs_.queuesChanged(); }
  /// Logs that no route of the contracts in force matches a request.
  void recordUnknownRoute(std::string_view Host, std::string_view Path);
  /// Logs and counts that a request is refused, because no key of an account in
  /// force came with it.
  ///
  /// \returns whether the key may nevertheless be one: the contracts are so old
  /// that newer ones may have it.
  bool refuseKey(const QueueTerms &Queue, std::string_view Method, bool HasKey);
  /// While the contracts have accounts and are stale, no job is accepted.
  ///
  /// \param CallerTimeout how long the client waits for the answer.
  void submit(const QueueTerms &Queue, JobPlan Plan, const Caller &Client,
              milliseconds CallerTimeout, SubmitDone Done);
  /// The answer is whether there is such a job that the client may access.
  void cancel(std::string_view Job, const Caller &Client,
              milliseconds CallerTimeout,
              std::function<void(QueryResult<bool>)> Done);
  void status(const QueueTerms &Queue, std::string_view Job,
              const Caller &Client, milliseconds CallerTimeout,
              StatusDone Done);
  /// Counts the queue's jobs of which no task has started. The answer may be as
  /// old as PendingJobCounter allows.
  void pending(const QueueTerms &Queue, milliseconds CallerTimeout,
               CountDone Done);

private:
  struct Submission;
  struct Cancellation;

  /// Writes the request, after a read if the store may be unreachable.
  void writeRequest(std::shared_ptr<Submission> Pending);
  void sendWrite(std::shared_ptr<Submission> Pending);
  /// Reads the job's row in \p Delay if the write is still unanswered then.
  void probeLater(const std::shared_ptr<Submission> &Pending, int Write,
                  milliseconds Delay);
  void probeWrite(const std::shared_ptr<Submission> &Pending, int Write,
                  milliseconds Delay);
  /// Retries the submission, or answers it if there is no time left.
  void handleWriteFailure(std::shared_ptr<Submission> Pending,
                          const Error &Failure);
  void handleWriteResult(std::shared_ptr<Submission> Pending,
                         Result<RowCommit> Outcome);
  /// Refuses a job that is larger than its account's quota, unless it exists:
  /// it may have been accepted when the quota was higher.
  void refuseBeyondQuota(std::shared_ptr<Submission> Pending);
  /// Answers a submission of a job that exists already.
  void handleKnownJob(const std::shared_ptr<Submission> &Pending,
                      std::span<const StoredRow> Rows);
  void reply(const Submission &Pending, const SubmitReply &Reply);
  /// Repeats the write as soon as the store has answered any call after \p
  /// FailedAt.
  void writeWhenReachable(std::shared_ptr<Submission> Pending,
                          TimePoint FailedAt);
  void readForCancel(std::shared_ptr<Cancellation> Pending);
  void writeCancel(std::shared_ptr<Cancellation> Pending,
                   std::int64_t RequestVersion);
  void retryCancel(std::shared_ptr<Cancellation> Pending);
  /// The page is empty if the store did not respond before the deadline.
  using ReadDone = std::function<void(std::optional<RowPage>)>;

  void readWithRetry(RowRange Range, TimePoint Deadline, ReadDone Done);
  void readStatus(std::string Job, const Caller &Client, TimePoint Deadline,
                  StatusDone Done);
  /// Answers with a status that the pool's owner has reported.
  void answerStatus(const OwnedJob &Job, const Caller &Client,
                    const StatusDone &Done);
  /// \returns whether the client may access the job with the given row, or
  /// nothing if the row can't be decoded, which is logged.
  std::optional<bool> checkAccess(const Caller &Client, std::string_view Job,
                                  std::string_view RequestBytes);
  /// Counts a request for a job of another account.
  void recordForeignJob();
  void readProgress(std::string_view Service, const std::string &Job,
                    TimePoint Deadline, StatusDone Done);
  milliseconds remaining(TimePoint Deadline) const;
  /// \returns whether the contracts are too old to accept jobs by the keys that
  /// they have.
  bool areKeysStale() const;
  /// \returns the version of the contracts in force, and the time since the
  /// store confirmed it.
  std::string describeContracts() const;
  /// Answers a submission without a further write, because the contracts are
  /// stale.
  void refuseAsStale(const Submission &Pending);

  FleetContext Context_;
  const OwnedPools &Owned_;
  const OwnerLookup &Owners_;
  PendingJobCounter PendingJobs_;
  UnsettledJobs Unsettled_;
};

} // namespace cuminroad

#endif
