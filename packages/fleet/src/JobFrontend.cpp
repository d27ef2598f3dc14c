#include "cuminroad/fleet/JobFrontend.h"

#include <algorithm>
#include <span>

#include <fmt/format.h>

#include "cuminroad/fleet/OwnerRow.h"
#include "cuminroad/pool/JobProgress.h"
#include "cuminroad/pool/QuotaCheck.h"

namespace cuminroad {

namespace {

/// Part of the caller's timeout that is reserved for returning the answer.
constexpr milliseconds ResponseMargin{150};
/// Timeout of one attempt of a transaction. Two attempts fit into the usual
/// caller timeout; a shorter one would repeat calls to a store that is only
/// slow.
constexpr milliseconds WriteTimeout{1600};
constexpr milliseconds ReadTimeout{1200};
/// Timeout of the read that precedes a write while the store may be
/// unreachable.
constexpr milliseconds ProbeTimeout{300};
/// A write that has no response after this time is probed by a read, and again
/// each time this doubles. A caller whose job is in the store learns of it
/// before the write times out.
constexpr milliseconds FirstProbeDelay{200};
constexpr milliseconds OwnerTimeout{350};
constexpr milliseconds RetryInterval{60};
/// Longest interval between two attempts while no other call shows that the
/// store responds.
constexpr milliseconds MaxUnreachableRetryInterval{600};
/// Share of the caller's timeout during which a write is retried while the
/// store is unreachable: enough to bridge a short interruption. Callers that
/// retry later wait no longer in total.
constexpr double RetryShare = 0.15;
/// Retry-After for callers that are refused because the store is unreachable.
/// Outages last seconds, and so do the callers' timeouts.
constexpr milliseconds StoreRetryAfter{1000};

/// Bytes of a request's path that the log shows, at most.
constexpr std::size_t MaxLoggedPath = 80;
/// Steps of a job that the log shows, at most.
constexpr std::size_t MaxLoggedSteps = 20;
/// Failed writes of a job that the log shows, at most.
constexpr int MaxLoggedWrites = 4;

/// Summarizes a job's queue and steps for the event log.
std::string describe(const JobRequest &Request) {
  std::string Out = Request.Queue;
  const std::span<const StepPlan> Steps = Request.Plan.Steps;
  for (const StepPlan &Step :
       Steps.first(std::min(Steps.size(), MaxLoggedSteps)))
    Out += fmt::format(" {}x{}m/{}MB/{}g{}{}{}", Step.Tasks,
                       Step.PerTask.MilliCores, Step.PerTask.MemoryMb,
                       Step.PerTask.Accelerators, Step.Gang ? " gang" : "",
                       Step.LongRunning ? " long-running" : "",
                       Step.BestEffort ? " best-effort" : "");
  if (Steps.size() > MaxLoggedSteps)
    Out += fmt::format(" steps {}", Steps.size());
  return Out;
}

/// The rows of a job's request and of its cancellation.
RowRange requestRange(std::string_view Job) {
  const RowName Row = requestRow(Job);
  return RowRange{Row.Table, Row.Partition, Row.Key,
                  keyAfter(cancelRow(Job).Key), 2};
}

/// \returns the row of the job's request among \p Rows, or nullptr.
const StoredRow *findRequest(std::span<const StoredRow> Rows,
                             std::string_view Job) {
  const auto Found =
      std::find_if(Rows.begin(), Rows.end(), [Job](const StoredRow &Each) {
        return Each.Name.Key == Job;
      });
  return Found == Rows.end() ? nullptr : &*Found;
}

} // namespace

struct JobFrontend::Submission {
  JobRequest Request;
  Caller Client;
  /// Encoded once: a write is repeated with the same bytes.
  std::string EncodedRequest;
  TimePoint ReceivedAt;
  /// The answer must be given by this time.
  TimePoint Deadline;
  /// A job that was certainly not accepted is refused after this time.
  TimePoint RetryUntil;
  SubmitDone Done;
  /// An earlier attempt, or another submission of the job, may have taken
  /// effect, or may still do so.
  bool Uncertain = false;
  int Writes = 0;
  /// The write whose outcome is awaited; 0 without one.
  int AwaitedWrite = 0;
  /// How the first writes failed, for the event log.
  std::string FailedWrites;
};

struct JobFrontend::Cancellation {
  std::string Job;
  Caller Client;
  TimePoint Deadline;
  std::function<void(QueryResult<bool>)> Done;
};

milliseconds JobFrontend::remaining(TimePoint Deadline) const {
  return std::chrono::duration_cast<milliseconds>(
      Deadline - Context_.MonotonicClock.now());
}

void JobFrontend::recordUnknownRoute(std::string_view Host,
                                     std::string_view Path) {
  Context_.Metrics.recordRefusal("unknown_route");
  Context_.Events.record(EventId::RouteUnknown, Host,
                         fmt::format("path {} {}",
                                     Path.substr(0, MaxLoggedPath),
                                     describeContracts()));
}

bool JobFrontend::refuseKey(const QueueTerms &Queue, std::string_view Method,
                            bool HasKey) {
  const bool MayBeValid = HasKey && areKeysStale();
  Context_.Metrics.recordRefusal(MayBeValid ? "stale_config" : "unknown_key");
  Context_.Events.record(EventId::KeyUnknown, Queue.Name,
                         fmt::format("{} key {} {}", Method,
                                     HasKey ? "unknown" : "missing",
                                     describeContracts()));
  return MayBeValid;
}

std::string JobFrontend::describeContracts() const {
  return fmt::format(
      "version {} age_ms {}", Context_.Queues.config().Version,
      Context_.Queues.age(Context_.MonotonicClock.now()).count());
}

bool JobFrontend::areKeysStale() const {
  return Context_.Queues.hasAccounts() &&
         Context_.Queues.age(Context_.MonotonicClock.now()) >
             Context_.Settings.ConfigApplyTime +
                 Context_.Settings.ConfigStaleTolerance;
}

void JobFrontend::refuseAsStale(const Submission &Pending) {
  const std::string &Job = Pending.Request.Plan.Id;
  const std::string Reason = "stale_config " + describeContracts();
  Context_.Metrics.recordRefusal("stale_config");
  // An earlier copy may have been written, so that the job may still run.
  if (Pending.Uncertain) {
    Context_.Events.record(EventId::JobOutcomeUnknown, Job, Reason);
    return reply(Pending, SubmitReply{SubmitOutcome::Unknown});
  }
  Context_.Events.record(EventId::JobRefused, Job, Reason);
  reply(Pending, SubmitReply{SubmitOutcome::NotAccepted, StoreRetryAfter});
}

void JobFrontend::submit(const QueueTerms &Queue, JobPlan Plan,
                         const Caller &Client, milliseconds CallerTimeout,
                         SubmitDone Done) {
  auto Pending = std::make_shared<Submission>();
  Plan.Account = Client.Account;
  Pending->Client = Client;
  Pending->Request =
      JobRequest{Queue.Name, Queue.Service, Context_.Store.storeTime(),
                 std::move(Plan), Queue};
  const TimePoint Now = Context_.MonotonicClock.now();
  Pending->ReceivedAt = Now;
  Pending->Deadline = Now + CallerTimeout - ResponseMargin;
  Pending->RetryUntil =
      Now + milliseconds(static_cast<std::int64_t>(
                RetryShare * static_cast<double>(CallerTimeout.count())));
  Pending->Done = std::move(Done);
  Pending->EncodedRequest = encodeRequest(Pending->Request);
  Pending->Uncertain = Unsettled_.contains(Pending->Request.Plan.Id);
  Unsettled_.add(Pending->Request.Plan.Id);
  // The store would refuse the row each time, as if it were away.
  if (Pending->EncodedRequest.size() > Context_.Settings.MaxRowBytes) {
    Context_.Metrics.recordRefusal("too_large");
    Context_.Events.record(
        EventId::JobRefused, Pending->Request.Plan.Id,
        fmt::format("too_large bytes {}", Pending->EncodedRequest.size()));
    return reply(*Pending, SubmitReply{SubmitOutcome::TooLarge});
  }
  const ClientAccount *Account = Context_.Queues.account(Client.Account);
  if (Account != nullptr && !areKeysStale() &&
      exceedsQuota(Pending->Request.Plan, Account->MaxRunning))
    return refuseBeyondQuota(std::move(Pending));
  writeRequest(std::move(Pending));
}

void JobFrontend::refuseBeyondQuota(std::shared_ptr<Submission> Pending) {
  readWithRetry(
      requestRange(Pending->Request.Plan.Id), Pending->RetryUntil,
      [this, Pending](const std::optional<RowPage> &Page) {
        const std::string &Job = Pending->Request.Plan.Id;
        if (Page && findRequest(Page->Rows, Job) != nullptr)
          return handleKnownJob(Pending, Page->Rows);
        // An earlier copy may still be written.
        if (Pending->Uncertain) {
          Context_.Events.record(EventId::JobOutcomeUnknown, Job,
                                 "exceeds_account_quota");
          return reply(*Pending, SubmitReply{SubmitOutcome::Unknown});
        }
        Context_.Events.record(
            EventId::JobRefused, Job,
            fmt::format("{} account {}",
                        Page ? "exceeds_account_quota" : "store_unreachable",
                        Pending->Client.Account));
        if (!Page)
          return reply(*Pending, SubmitReply{SubmitOutcome::NotAccepted,
                                             StoreRetryAfter});
        Context_.Metrics.recordRefusal("exceeds_account_quota");
        reply(*Pending, SubmitReply{SubmitOutcome::ExceedsQuota});
      });
}

void JobFrontend::writeRequest(std::shared_ptr<Submission> Pending) {
  // A write that may have taken effect is repeated nevertheless: the contracts
  // were recent enough when it was sent first.
  if ((Pending->Writes == 0 || !Pending->Uncertain) && areKeysStale())
    return refuseAsStale(*Pending);
  // A write that gets no answer may take effect, and the caller could not be
  // told whether it did. A read has no effect.
  if (Pending->Uncertain ||
      Context_.Store.lastFailure() <= Context_.Store.lastContact())
    return sendWrite(std::move(Pending));
  RowRange Range = requestRange(Pending->Request.Plan.Id);
  const milliseconds Timeout =
      std::clamp(remaining(Pending->RetryUntil), RetryInterval, ProbeTimeout);
  Context_.Store.read(std::move(Range), Timeout,
                      [this, Pending](const Result<RowPage> &Page) {
                        if (Page)
                          return sendWrite(Pending);
                        handleWriteFailure(Pending, Page.error());
                      });
}

void JobFrontend::sendWrite(std::shared_ptr<Submission> Pending) {
  const RowName Row = requestRow(Pending->Request.Plan.Id);
  RowTransaction Change;
  Change.Checks.push_back(RowCheck{Row, 0});
  Change.Puts.push_back(RowPut{Row, Pending->EncodedRequest});
  const milliseconds Timeout =
      std::clamp(remaining(Pending->Deadline), RetryInterval, WriteTimeout);
  const int Write = ++Pending->Writes;
  Pending->AwaitedWrite = Write;
  Context_.Store.commit(std::move(Change), Timeout,
                        [this, Pending, Write](Result<RowCommit> Outcome) {
                          if (Pending->AwaitedWrite != Write)
                            return;
                          Pending->AwaitedWrite = 0;
                          handleWriteResult(Pending, std::move(Outcome));
                        });
  probeLater(Pending, Write, FirstProbeDelay);
}

void JobFrontend::probeLater(const std::shared_ptr<Submission> &Pending,
                             int Write, milliseconds Delay) {
  if (Pending->AwaitedWrite != Write)
    return;
  Context_.ControlLoop.after(Delay, [this, Pending, Write, Delay] {
    if (Pending->AwaitedWrite == Write)
      probeWrite(Pending, Write, Delay);
  });
}

void JobFrontend::probeWrite(const std::shared_ptr<Submission> &Pending,
                             int Write, milliseconds Delay) {
  Context_.Store.read(
      requestRange(Pending->Request.Plan.Id), ProbeTimeout,
      [this, Pending, Write, Delay](const Result<RowPage> &Page) {
        if (Pending->AwaitedWrite != Write)
          return;
        if (!Page ||
            findRequest(Page->Rows, Pending->Request.Plan.Id) == nullptr)
          return probeLater(Pending, Write, Delay * 2);
        Pending->AwaitedWrite = 0;
        handleKnownJob(Pending, Page->Rows);
      });
}

void JobFrontend::handleWriteResult(std::shared_ptr<Submission> Pending,
                                    Result<RowCommit> Outcome) {
  if (Outcome && Outcome->committed()) {
    Context_.Events.record(EventId::JobAccepted, Pending->Request.Plan.Id,
                           describe(Pending->Request));
    return reply(*Pending, SubmitReply{SubmitOutcome::Accepted});
  }
  if (Outcome)
    return handleKnownJob(Pending, Outcome->CheckedRows);
  Pending->Uncertain = Pending->Uncertain ||
                       Outcome.error().Code == ErrorCode::WriteOutcomeUnknown;
  if (Pending->Writes <= MaxLoggedWrites)
    Pending->FailedWrites += fmt::format("; write {}: {} {}", Pending->Writes,
                                         errorInfo(Outcome.error().Code).Name,
                                         Outcome.error().Detail);
  handleWriteFailure(std::move(Pending), Outcome.error());
}

void JobFrontend::handleKnownJob(const std::shared_ptr<Submission> &Pending,
                                 std::span<const StoredRow> Rows) {
  const std::string &Job = Pending->Request.Plan.Id;
  const StoredRow *Row = findRequest(Rows, Job);
  const auto Access =
      checkAccess(Pending->Client, Job, Row == nullptr ? "" : Row->Value);
  if (!Access)
    return reply(*Pending, SubmitReply{SubmitOutcome::Unknown});
  if (!*Access) {
    Context_.Metrics.recordRefusal("id_in_use");
    Context_.Events.record(
        EventId::JobRefused, Job,
        fmt::format("id_in_use account {}", Pending->Client.Account));
    return reply(*Pending, SubmitReply{SubmitOutcome::IdInUse});
  }
  // The job was submitted before and is not duplicated.
  Context_.Events.record(EventId::JobKnown, Job, describe(Pending->Request));
  reply(*Pending, SubmitReply{SubmitOutcome::Accepted});
}

void JobFrontend::handleWriteFailure(std::shared_ptr<Submission> Pending,
                                     const Error &Failure) {
  const std::string &Job = Pending->Request.Plan.Id;
  const TimePoint Now = Context_.MonotonicClock.now();
  // An uncertain write is retried until the caller's deadline, since its
  // outcome could only be reported as unknown. A write that certainly failed is
  // retried for a part of that time only.
  if (Now < (Pending->Uncertain ? Pending->Deadline : Pending->RetryUntil))
    return writeWhenReachable(std::move(Pending), Now);
  const std::string Reason = fmt::format(
      "{} writes {}{}", Failure.text(), Pending->Writes, Pending->FailedWrites);
  if (Pending->Uncertain) {
    Context_.Events.record(EventId::JobOutcomeUnknown, Job, Reason);
    return reply(*Pending, SubmitReply{SubmitOutcome::Unknown});
  }
  Context_.Metrics.recordRefusal("store_unreachable");
  Context_.Events.record(EventId::JobRefused, Job, Reason);
  reply(*Pending, SubmitReply{SubmitOutcome::NotAccepted, StoreRetryAfter});
}

void JobFrontend::reply(const Submission &Pending, const SubmitReply &Reply) {
  constexpr std::string_view Names[] = {
      "accepted",  "not_accepted",          "id_in_use",
      "too_large", "exceeds_account_quota", "unknown"};
  if (Reply.Outcome == SubmitOutcome::Unknown)
    Unsettled_.giveUp(Pending.Request.Plan.Id);
  else
    Unsettled_.settle(Pending.Request.Plan.Id,
                      Reply.Outcome == SubmitOutcome::Accepted);
  Context_.Metrics.recordSubmission(
      Pending.Request.Queue, Names[static_cast<std::size_t>(Reply.Outcome)],
      std::chrono::duration_cast<milliseconds>(Context_.MonotonicClock.now() -
                                               Pending.ReceivedAt));
  Pending.Done(Reply);
}

void JobFrontend::writeWhenReachable(std::shared_ptr<Submission> Pending,
                                     TimePoint FailedAt) {
  Context_.ControlLoop.after(RetryInterval, [this, Pending, FailedAt] {
    const TimePoint Now = Context_.MonotonicClock.now();
    const bool StoreReached = Context_.Store.lastContact() > FailedAt;
    // While the store is unreachable, other calls show when it is back; retries
    // by every waiting caller would only add to its load.
    if (StoreReached || Now - FailedAt > MaxUnreachableRetryInterval ||
        Now >= (Pending->Uncertain ? Pending->Deadline : Pending->RetryUntil))
      writeRequest(Pending);
    else
      writeWhenReachable(Pending, FailedAt);
  });
}

std::optional<bool> JobFrontend::checkAccess(const Caller &Client,
                                             std::string_view Job,
                                             std::string_view RequestBytes) {
  if (!Client.Restricted)
    return true;
  const auto Request = decodeRequest(Job, RequestBytes);
  if (Request)
    return Client.mayAccess(Request->Plan.Account);
  Context_.Events.record(EventId::RowUnreadable, Job, Request.error().text());
  return std::nullopt;
}

void JobFrontend::recordForeignJob() {
  Context_.Metrics.recordRefusal("other_account");
}

void JobFrontend::cancel(std::string_view Job, const Caller &Client,
                         milliseconds CallerTimeout,
                         std::function<void(QueryResult<bool>)> Done) {
  auto Pending = std::make_shared<Cancellation>();
  Pending->Job = Job;
  Pending->Client = Client;
  Pending->Deadline =
      Context_.MonotonicClock.now() + CallerTimeout - ResponseMargin;
  Pending->Done = std::move(Done);
  readForCancel(std::move(Pending));
}

void JobFrontend::retryCancel(std::shared_ptr<Cancellation> Pending) {
  if (remaining(Pending->Deadline) <= RetryInterval)
    return Pending->Done(QueryResult<bool>::unknown());
  Context_.ControlLoop.after(RetryInterval,
                             [this, Pending] { readForCancel(Pending); });
}

void JobFrontend::readForCancel(std::shared_ptr<Cancellation> Pending) {
  const TimePoint Deadline = Pending->Deadline;
  readWithRetry(
      requestRange(Pending->Job), Deadline,
      [this, Pending](const std::optional<RowPage> &Page) {
        if (!Page)
          return Pending->Done(QueryResult<bool>::unknown());
        std::int64_t Version = 0;
        bool Cancelled = false;
        std::string_view Request;
        for (const StoredRow &Each : Page->Rows) {
          Cancelled = Cancelled || !cancelledJob(Each.Name.Key).empty();
          if (Each.Name.Key != Pending->Job)
            continue;
          Version = Each.Version;
          Request = Each.Value;
        }
        if (Version != 0) {
          const auto Access =
              checkAccess(Pending->Client, Pending->Job, Request);
          if (!Access)
            return Pending->Done(QueryResult<bool>::unknown());
          if (!*Access) {
            recordForeignJob();
            return Pending->Done(QueryResult<bool>::known(false));
          }
        }
        if (Version == 0 && Unsettled_.contains(Pending->Job))
          return retryCancel(Pending);
        if (Version == 0 || Cancelled)
          return Pending->Done(QueryResult<bool>::known(Version != 0));
        writeCancel(Pending, Version);
      });
}

void JobFrontend::writeCancel(std::shared_ptr<Cancellation> Pending,
                              std::int64_t RequestVersion) {
  RowTransaction Change;
  Change.Checks.push_back(RowCheck{requestRow(Pending->Job), RequestVersion});
  Change.Puts.push_back(RowPut{cancelRow(Pending->Job), "1"});
  Context_.Store.commit(
      std::move(Change),
      std::clamp(remaining(Pending->Deadline), RetryInterval, WriteTimeout),
      [this, Pending](const Result<RowCommit> &Outcome) {
        if (!Outcome || !Outcome->committed())
          return retryCancel(Pending);
        Context_.Events.record(EventId::JobCancelled, Pending->Job);
        Pending->Done(QueryResult<bool>::known(true));
      });
}

void JobFrontend::status(const QueueTerms &Queue, std::string_view Id,
                         const Caller &Client, milliseconds CallerTimeout,
                         StatusDone Done) {
  const std::string Job(Id);
  const TimePoint Deadline =
      Context_.MonotonicClock.now() + CallerTimeout - ResponseMargin;
  if (Owned_.owns(Queue.Service)) {
    if (const auto Owned = Owned_.status(Queue.Service, Job))
      return answerStatus(*Owned, Client, Done);
    return readStatus(Job, Client, Deadline, std::move(Done));
  }
  const OwnerRow *Owner = Owners_.ownerOf(Queue.Service);
  if (Owner == nullptr || Owner->PeerAddress.empty())
    return readStatus(Job, Client, Deadline, std::move(Done));
  Context_.Peers.status(Owner->PeerAddress, Queue.Service, Job, OwnerTimeout,
                        [this, Job, Client, Deadline, Done = std::move(Done)](
                            const Result<std::optional<OwnedJob>> &Answer) {
                          if (Answer && *Answer)
                            return answerStatus(**Answer, Client, Done);
                          // The owner may not have learned of the job yet, so
                          // the store decides.
                          readStatus(Job, Client, Deadline, Done);
                        });
}

void JobFrontend::answerStatus(const OwnedJob &Job, const Caller &Client,
                               const StatusDone &Done) {
  using Answer = QueryResult<std::optional<JobStatus>>;
  if (Client.mayAccess(Job.Account))
    return Done(Answer::known(Job.Status));
  recordForeignJob();
  Done(Answer::known(std::nullopt));
}

void JobFrontend::readWithRetry(RowRange Range, TimePoint Deadline,
                                ReadDone Done) {
  Context_.Store.read(
      Range, std::clamp(remaining(Deadline), RetryInterval, ReadTimeout),
      [this, Range, Deadline, Done = std::move(Done)](Result<RowPage> Page) {
        if (Page)
          return Done(std::move(*Page));
        if (remaining(Deadline) <= RetryInterval)
          return Done(std::nullopt);
        Context_.ControlLoop.after(RetryInterval,
                                   [this, Range, Deadline, Done] {
                                     readWithRetry(Range, Deadline, Done);
                                   });
      });
}

void JobFrontend::readStatus(std::string Job, const Caller &Client,
                             TimePoint Deadline, StatusDone Done) {
  using Answer = QueryResult<std::optional<JobStatus>>;
  RowRange Range = requestRange(Job);
  readWithRetry(std::move(Range), Deadline,
                [this, Job = std::move(Job), Client, Deadline,
                 Done = std::move(Done)](const std::optional<RowPage> &Page) {
                  if (!Page)
                    return Done(Answer::unknown());
                  if (Page->Rows.empty() || Page->Rows.front().Name.Key != Job)
                    return Done(Answer::known(std::nullopt));
                  const auto Request =
                      decodeRequest(Job, Page->Rows.front().Value);
                  if (!Request) {
                    Context_.Events.record(EventId::RowUnreadable, Job,
                                           Request.error().text());
                    return Done(Answer::unknown());
                  }
                  if (!Client.mayAccess(Request->Plan.Account)) {
                    recordForeignJob();
                    return Done(Answer::known(std::nullopt));
                  }
                  readProgress(Request->Service, Job, Deadline, Done);
                });
}

void JobFrontend::readProgress(std::string_view Service, const std::string &Job,
                               TimePoint Deadline, StatusDone Done) {
  using Answer = QueryResult<std::optional<JobStatus>>;
  const RowName Row = progressRow(Service, Job);
  readWithRetry(
      RowRange{Row.Table, Row.Partition, Row.Key, keyAfter(Row.Key), 1},
      Deadline,
      [this, Job, Done = std::move(Done)](const std::optional<RowPage> &Page) {
        if (!Page)
          return Done(Answer::unknown());
        if (Page->Rows.empty())
          return Done(Answer::known(JobStatus{}));
        const auto Progress = decodeProgress(Page->Rows.front().Value);
        if (!Progress) {
          Context_.Events.record(EventId::RowUnreadable, Job,
                                 Progress.error().text());
          return Done(Answer::unknown());
        }
        Done(Answer::known(JobStatus{Progress->Stage, Progress->Failure}));
      });
}

void JobFrontend::pending(const QueueTerms &Queue, milliseconds CallerTimeout,
                          CountDone Done) {
  PendingJobs_.count(Queue,
                     std::min(CallerTimeout - ResponseMargin, ReadTimeout),
                     std::move(Done));
}

} // namespace cuminroad
