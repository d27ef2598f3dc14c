#include "cuminroad/fleet/JobDoor.h"

#include <algorithm>

#include <fmt/format.h>

#include "cuminroad/pool/JobProgress.h"

namespace cuminroad {

namespace {

/// Kept back from a caller's patience for the answer's way.
constexpr milliseconds AnswerMargin{150};
/// Longest wait for one try of a transaction: two fit into the usual patience.
/// Shorter ones would repeat calls to a store that is only slow.
constexpr milliseconds WriteTimeout{1600};
constexpr milliseconds ReadTimeout{1200};
constexpr milliseconds OwnerTimeout{350};
constexpr milliseconds RetryDelay{60};
/// Longest time between two tries while no other call shows that the store
/// answers.
constexpr milliseconds BlindRetry{600};
/// Share of a caller's patience for which a job is held while the store is
/// away: enough for a blip. Callers who come back later wait no longer in all.
constexpr double HoldShare = 0.15;
/// Told to callers who are refused since the store is away: outages last
/// seconds.
constexpr milliseconds StoreRetryAfter{2000};

/// Queue and steps in short, as a log line has them.
std::string describe(const JobRequest &Request) {
  std::string Out = Request.Queue;
  for (const StepPlan &Step : Request.Plan.Steps)
    Out += fmt::format(" {}x{}m/{}MB/{}g{}{}{}", Step.Tasks,
                       Step.PerTask.MilliCores, Step.PerTask.MemoryMb,
                       Step.PerTask.Accelerators, Step.Gang ? " gang" : "",
                       Step.LongRunning ? " lasting" : "",
                       Step.Fills ? " fills" : "");
  return Out;
}

/// The rows of a job's request and of its cancellation.
RowRange requestRange(std::string_view Job) {
  const RowName Row = requestRow(Job);
  return RowRange{Row.Table, Row.Partition, Row.Key,
                  keyAfter(cancelRow(Job).Key), 2};
}

} // namespace

struct JobDoor::Submission {
  JobRequest Request;
  TimePoint Began;
  /// The caller waits until then.
  TimePoint Until;
  /// A job that was certainly not accepted is refused after this.
  TimePoint HoldUntil;
  SubmitDone Done;
  /// An earlier try may have taken effect, or may do so yet.
  bool Uncertain = false;
};

struct JobDoor::Cancellation {
  std::string Job;
  TimePoint Until;
  std::function<void(DoorAnswer<bool>)> Done;
};

milliseconds JobDoor::left(TimePoint Until) const {
  return std::chrono::duration_cast<milliseconds>(Until - Context_.Time.now());
}

void JobDoor::submit(const QueueTerms &Queue, JobPlan Plan,
                     milliseconds Patience, SubmitDone Done) {
  auto Open = std::make_shared<Submission>();
  Open->Request = JobRequest{Queue.Name, Queue.Service,
                             Context_.Store.storeTime(), std::move(Plan)};
  const TimePoint Now = Context_.Time.now();
  Open->Began = Now;
  Open->Until = Now + Patience - AnswerMargin;
  Open->HoldUntil =
      Now + milliseconds(static_cast<std::int64_t>(
                HoldShare * static_cast<double>(Patience.count())));
  Open->Done = std::move(Done);
  write(std::move(Open));
}

void JobDoor::write(std::shared_ptr<Submission> Open) {
  const RowName Row = requestRow(Open->Request.Plan.Id);
  RowTransaction Change;
  Change.Checks.push_back(RowCheck{Row, 0});
  Change.Puts.push_back(RowPut{Row, encodeRequest(Open->Request)});
  const milliseconds Timeout =
      std::clamp(left(Open->Until), RetryDelay, WriteTimeout);
  Context_.Store.commit(std::move(Change), Timeout,
                        [this, Open](Result<RowCommit> Outcome) {
                          written(Open, std::move(Outcome));
                        });
}

void JobDoor::written(std::shared_ptr<Submission> Open,
                      Result<RowCommit> Outcome) {
  const std::string &Job = Open->Request.Plan.Id;
  if (Outcome) {
    // A conflict means that the job is there already: it remains one job.
    Context_.Events.record(Outcome->committed() ? EventId::JobAccepted
                                                : EventId::JobKnown,
                           Job, describe(Open->Request));
    return finish(*Open, SubmitReply{SubmitOutcome::Accepted});
  }
  Open->Uncertain =
      Open->Uncertain || Outcome.error().Code == ErrorCode::WriteOutcomeUnknown;
  const TimePoint Now = Context_.Time.now();
  // What is uncertain is tried for as long as the caller waits, since nothing
  // better can be told; what was certainly not accepted, for a part of it.
  if (Now < (Open->Uncertain ? Open->Until : Open->HoldUntil))
    return writeWhenReachable(std::move(Open), Now);
  if (Open->Uncertain) {
    Context_.Events.record(EventId::JobOutcomeUnknown, Job,
                           Outcome.error().text());
    return finish(*Open, SubmitReply{SubmitOutcome::Unknown});
  }
  Context_.Events.record(EventId::JobRefused, Job, Outcome.error().text());
  finish(*Open, SubmitReply{SubmitOutcome::NotAccepted, StoreRetryAfter});
}

void JobDoor::finish(const Submission &Open, const SubmitReply &Reply) {
  constexpr std::string_view Names[] = {"accepted", "not_accepted", "unknown"};
  Context_.Metrics.submitted(Open.Request.Queue,
                             Names[static_cast<std::size_t>(Reply.Outcome)],
                             std::chrono::duration_cast<milliseconds>(
                                 Context_.Time.now() - Open.Began));
  Open.Done(Reply);
}

void JobDoor::writeWhenReachable(std::shared_ptr<Submission> Open,
                                 TimePoint FailedAt) {
  Context_.Home.after(RetryDelay, [this, Open, FailedAt] {
    const TimePoint Now = Context_.Time.now();
    const bool Reached = Context_.Store.lastContact() > FailedAt;
    // Other calls show that the store is back; a try of each waiting caller
    // would only add to its load.
    if (Reached || Now - FailedAt > BlindRetry ||
        Now >= (Open->Uncertain ? Open->Until : Open->HoldUntil))
      write(Open);
    else
      writeWhenReachable(Open, FailedAt);
  });
}

void JobDoor::cancel(std::string_view Job, milliseconds Patience,
                     std::function<void(DoorAnswer<bool>)> Done) {
  auto Open = std::make_shared<Cancellation>();
  Open->Job = Job;
  Open->Until = Context_.Time.now() + Patience - AnswerMargin;
  Open->Done = std::move(Done);
  findForCancel(std::move(Open));
}

void JobDoor::retryCancel(std::shared_ptr<Cancellation> Open) {
  if (left(Open->Until) <= RetryDelay)
    return Open->Done(DoorAnswer<bool>::unknown());
  Context_.Home.after(RetryDelay, [this, Open] { findForCancel(Open); });
}

void JobDoor::findForCancel(std::shared_ptr<Cancellation> Open) {
  const TimePoint Until = Open->Until;
  readUntil(requestRange(Open->Job), Until,
            [this, Open](const std::optional<RowPage> &Page) {
              if (!Page)
                return Open->Done(DoorAnswer<bool>::unknown());
              std::int64_t Version = 0;
              bool Cancelled = false;
              for (const StoredRow &Each : Page->Rows) {
                Cancelled = Cancelled || !cancelledJob(Each.Name.Key).empty();
                if (Each.Name.Key == Open->Job)
                  Version = Each.Version;
              }
              if (Version == 0 || Cancelled)
                return Open->Done(DoorAnswer<bool>::known(Version != 0));
              writeCancel(Open, Version);
            });
}

void JobDoor::writeCancel(std::shared_ptr<Cancellation> Open,
                          std::int64_t RequestVersion) {
  RowTransaction Change;
  Change.Checks.push_back(RowCheck{requestRow(Open->Job), RequestVersion});
  Change.Puts.push_back(RowPut{cancelRow(Open->Job), "1"});
  Context_.Store.commit(std::move(Change),
                        std::clamp(left(Open->Until), RetryDelay, WriteTimeout),
                        [this, Open](const Result<RowCommit> &Outcome) {
                          if (!Outcome || !Outcome->committed())
                            return retryCancel(Open);
                          Context_.Events.record(EventId::JobCancelled,
                                                 Open->Job);
                          Open->Done(DoorAnswer<bool>::known(true));
                        });
}

void JobDoor::stage(const QueueTerms &Queue, std::string_view Id,
                    milliseconds Patience, StageDone Done) {
  const std::string Job(Id);
  const TimePoint Until = Context_.Time.now() + Patience - AnswerMargin;
  if (Owned_.owns(Queue.Service)) {
    const auto Stage = Owned_.stage(Queue.Service, Job);
    if (Stage)
      return Done(DoorAnswer<std::optional<JobStage>>::known(Stage));
    return readStage(Job, Until, std::move(Done));
  }
  const OwnerRow *Owner = Owners_.ownerOf(Queue.Service);
  if (Owner == nullptr || Owner->Peer.empty())
    return readStage(Job, Until, std::move(Done));
  Context_.Peers.stage(
      Owner->Peer, Queue.Service, Job, OwnerTimeout,
      [this, Job, Until,
       Done = std::move(Done)](Result<std::optional<JobStage>> Stage) {
        if (Stage && *Stage)
          return Done(DoorAnswer<std::optional<JobStage>>::known(*Stage));
        // The owner may not have heard of it yet; the store decides.
        readStage(Job, Until, Done);
      });
}

void JobDoor::readUntil(RowRange Range, TimePoint Until, ReadDone Done) {
  Context_.Store.read(
      Range, std::clamp(left(Until), RetryDelay, ReadTimeout),
      [this, Range, Until, Done = std::move(Done)](Result<RowPage> Page) {
        if (Page)
          return Done(std::move(*Page));
        if (left(Until) <= RetryDelay)
          return Done(std::nullopt);
        Context_.Home.after(RetryDelay, [this, Range, Until, Done] {
          readUntil(Range, Until, Done);
        });
      });
}

void JobDoor::readStage(std::string Job, TimePoint Until, StageDone Done) {
  using Answer = DoorAnswer<std::optional<JobStage>>;
  RowRange Range = requestRange(Job);
  readUntil(std::move(Range), Until,
            [this, Job = std::move(Job), Until,
             Done = std::move(Done)](const std::optional<RowPage> &Page) {
              if (!Page)
                return Done(Answer::unknown());
              if (Page->Rows.empty() || Page->Rows.front().Name.Key != Job)
                return Done(Answer::known(std::nullopt));
              const auto Request = decodeRequest(Job, Page->Rows.front().Value);
              if (!Request) {
                Context_.Events.record(EventId::RowUnreadable, Job,
                                       Request.error().text());
                return Done(Answer::unknown());
              }
              readProgress(Request->Service, Job, Until, Done);
            });
}

void JobDoor::readProgress(std::string_view Service, const std::string &Job,
                           TimePoint Until, StageDone Done) {
  using Answer = DoorAnswer<std::optional<JobStage>>;
  const RowName Row = progressRow(Service, Job);
  readUntil(
      RowRange{Row.Table, Row.Partition, Row.Key, keyAfter(Row.Key), 1}, Until,
      [this, Job, Done = std::move(Done)](const std::optional<RowPage> &Page) {
        if (!Page)
          return Done(Answer::unknown());
        if (Page->Rows.empty())
          return Done(Answer::known(JobStage::Queued));
        const auto Progress = decodeProgress(Page->Rows.front().Value);
        if (!Progress) {
          Context_.Events.record(EventId::RowUnreadable, Job,
                                 Progress.error().text());
          return Done(Answer::unknown());
        }
        Done(Answer::known(Progress->Stage));
      });
}

void JobDoor::pending(const QueueTerms &Queue, milliseconds Patience,
                      CountDone Done) {
  if (Owned_.owns(Queue.Service))
    return Done(
        DoorAnswer<int>::known(Owned_.pending(Queue.Service, Queue.Name)));
  const OwnerRow *Owner = Owners_.ownerOf(Queue.Service);
  if (Owner == nullptr || Owner->Peer.empty())
    return Done(DoorAnswer<int>::unknown());
  Context_.Peers.pending(Owner->Peer, Queue.Service, Queue.Name,
                         std::min(Patience - AnswerMargin, ReadTimeout),
                         [Done = std::move(Done)](const Result<int> &Count) {
                           Done(Count ? DoorAnswer<int>::known(*Count)
                                      : DoorAnswer<int>::unknown());
                         });
}

} // namespace cuminroad
