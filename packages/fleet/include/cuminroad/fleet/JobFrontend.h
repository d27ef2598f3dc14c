#ifndef CUMINROAD_FLEET_JOBFRONTEND_H
#define CUMINROAD_FLEET_JOBFRONTEND_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "cuminroad/fleet/FleetContext.h"
#include "cuminroad/fleet/JobRows.h"
#include "cuminroad/fleet/PeerService.h"
#include "cuminroad/fleet/PoolLease.h"

namespace cuminroad {

/// What a caller is told of a submission.
enum class SubmitOutcome {
  /// The job is in the store and will run.
  Accepted,
  /// The job was not accepted and will never run.
  NotAccepted,
  /// Nobody knows yet; the same submission may be sent again.
  Unknown,
};

/// The answer to a submission or a cancellation.
struct SubmitReply {
  SubmitOutcome Outcome = SubmitOutcome::Unknown;
  /// When it makes sense to come back.
  milliseconds RetryAfter{0};
};

/// The answer to a question about a job or a queue.
template <typename T> struct QueryResult {
  /// Nothing where the answer is not known at present.
  std::optional<T> Value;

  static QueryResult known(T Answer) {
    QueryResult Out;
    // An answer that is itself empty would be taken for no answer otherwise.
    Out.Value.emplace(std::move(Answer));
    return Out;
  }
  static QueryResult unknown() { return {}; }
};

/// Whom to ask about a pool.
class OwnerLookup {
public:
  virtual ~OwnerLookup() = default;
  /// \returns the owner as last read, or null.
  virtual const OwnerRow *ownerOf(std::string_view Service) const = 0;
};

/// Where callers' jobs come in and are asked about, at any daemon. A job is
/// accepted by writing its row, under a check that there is none; the pool's
/// owner hears of it by the store, so that a daemon that is cut off from the
/// owner still accepts jobs. Runs on the control thread.
class JobFrontend {
public:
  using SubmitDone = std::function<void(SubmitReply)>;
  /// Nothing inside a known answer: no such job was ever accepted.
  using StageDone = std::function<void(QueryResult<std::optional<JobStage>>)>;
  using CountDone = std::function<void(QueryResult<int>)>;

  JobFrontend(const FleetContext &Context, const OwnedPools &Owned,
              const OwnerLookup &Owners)
      : Context_(Context), Owned_(Owned), Owners_(Owners) {}

  /// \param Patience how long the caller waits for an answer.
  void submit(const QueueTerms &Queue, JobPlan Plan, milliseconds CallerTimeout,
              SubmitDone Done);
  void cancel(std::string_view Job, milliseconds CallerTimeout,
              std::function<void(QueryResult<bool>)> Done);
  void stage(const QueueTerms &Queue, std::string_view Job,
             milliseconds CallerTimeout, StageDone Done);
  void pending(const QueueTerms &Queue, milliseconds CallerTimeout,
               CountDone Done);

private:
  struct Submission;
  struct Cancellation;

  void writeRequest(std::shared_ptr<Submission> Pending);
  void handleWriteResult(std::shared_ptr<Submission> Pending,
                         Result<RowCommit> Outcome);
  void reply(const Submission &Pending, const SubmitReply &Reply);
  /// Writes again when the store has answered any call since \p FailedAt.
  void writeWhenReachable(std::shared_ptr<Submission> Pending,
                          TimePoint FailedAt);
  void readForCancel(std::shared_ptr<Cancellation> Pending);
  void writeCancel(std::shared_ptr<Cancellation> Pending,
                   std::int64_t RequestVersion);
  void retryCancel(std::shared_ptr<Cancellation> Pending);
  /// Nothing where the store gave no answer until then.
  using ReadDone = std::function<void(std::optional<RowPage>)>;

  void readWithRetry(RowRange Range, TimePoint Deadline, ReadDone Done);
  void readStage(std::string Job, TimePoint Deadline, StageDone Done);
  void readProgress(std::string_view Service, const std::string &Job,
                    TimePoint Deadline, StageDone Done);
  milliseconds remaining(TimePoint Deadline) const;

  FleetContext Context_;
  const OwnedPools &Owned_;
  const OwnerLookup &Owners_;
};

} // namespace cuminroad

#endif
