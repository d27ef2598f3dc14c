#include "cuminroad/fleet/PoolOwner.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "RunText.h"
#include "cuminroad/fleet/LeaseTimes.h"

namespace cuminroad {

namespace {

/// Least time between two passes of the scheduler: events that come together
/// are handled together.
constexpr milliseconds PassInterval{15};
/// Passes take at most one part in this many of the time.
constexpr int PassShare = 4;
/// A pass at least this often, for what becomes due without an event.
constexpr milliseconds IdlePass{150};
/// Pause between reads of new jobs, so that several come in one.
constexpr milliseconds GatherRequests{15};
constexpr milliseconds ReadTimeout{1500};
/// While nothing could be recorded for this long, nothing is placed: it would
/// wait all the same, and its ticket would expire.
constexpr milliseconds StoreStall{700};
constexpr int StoreStallDelays = 3;
/// From the record of a start in the store until it is at its VM.
constexpr milliseconds SendDelay{40};
constexpr milliseconds ReadRetry{100};
constexpr milliseconds CleaningInterval{10000};
constexpr milliseconds LoadInterval{1000};
/// Finished jobs stay readable this much longer than promised.
constexpr milliseconds KeepMargin{60000};

PoolOptions poolOptions(const FleetSettings &Settings) {
  PoolOptions Out;
  Out.RemoteFactor = Settings.RemoteFactor;
  return Out;
}

} // namespace

PoolOwner::PoolOwner(const FleetContext &Context, PoolTerm Term)
    : Context_(Context), Term_(std::move(Term)) {}

std::string PoolOwner::headValue(std::int64_t Serial) const {
  const milliseconds Lapse =
      std::clamp(OwnerLapseMin + Writer_->recentDelay() * OwnerLapseDelays,
                 OwnerLapseMin, OwnerLapseMax);
  return encodeOwner(OwnerRow{Context_.Self.Name, Context_.Self.Incarnation,
                              Context_.Self.Peer, Term_.Epoch, Serial, Lapse});
}

std::int64_t PoolOwner::serialOf(const std::string &HeadValue) const {
  const auto Row = decodeOwner(HeadValue);
  const bool Mine = Row && Row->Incarnation == Context_.Self.Incarnation &&
                    Row->Epoch == Term_.Epoch;
  return Mine ? Row->Serial : 0;
}

void PoolOwner::start() {
  if (Term_.Inherited)
    InheritedUntil_ = Context_.Time.now() + InheritedWait;
  Writer_ = std::make_shared<FencedWriter>(
      Context_.Store, Context_.Home, Context_.Time,
      FencedWriter::HeadRow{
          ownerRow(Term_.Service),
          [this](std::int64_t Serial) { return headValue(Serial); },
          [this](const std::string &Value) { return serialOf(Value); }});
  Writer_->OnReplaced = [this] { replaced(); };
  Writer_->begin(Term_.RowVersion, Term_.WrittenAt);
  Advice_ = std::make_shared<AdviceDesk>(
      Context_.Advisor, Context_.Peers, Context_.Home, Context_.Time,
      Context_.Self.Name,
      [this](const StepName &Step) { return Scheduler_->wantsAdvice(Step); },
      [this](const StepName &Step, const Result<AdviceDesk::Answer> &Answer) {
        adviceAnswered(Step, Answer);
      });
  Advice_->setQueues(Context_.Queues.config().Routes);
  Requests_ = std::make_shared<TableFollower>(
      Context_.Store, Context_.Home,
      FollowOptions{.Table = std::string(RequestTable),
                    .Partitions = requestPartitions(),
                    .BatchDelay = GatherRequests},
      *this);
  Requests_->start();
  readProgress("");
  renewRegularly();
}

void PoolOwner::adviceAnswered(const StepName &Step,
                               const Result<AdviceDesk::Answer> &Answer) {
  Context_.Metrics.adviceCame(Answer ? "answered" : "failed");
  if (!Answer) {
    Context_.Events.record(EventId::AdviceFailed, Step.Job,
                           Answer.error().text());
    return Scheduler_->adviceFailed(Step);
  }
  if (!Answer->Asked.empty())
    Context_.Events.record(EventId::AdviceCame, Step.Job,
                           fmt::format("{}.{} good {} of {}", Step.Occurrence,
                                       Step.Step, Answer->Good.size(),
                                       Answer->Asked.size()));
  const QueueTerms *Terms = Scheduler_->terms(Step.Job);
  const milliseconds ValidFor = Terms != nullptr && Terms->Advice
                                    ? Terms->Advice->ValidFor
                                    : milliseconds(0);
  Scheduler_->adviceCame(Step, Answer->Asked, Answer->Good,
                         Answer->At + ValidFor);
  wake();
}

void PoolOwner::close() {
  if (Closed_)
    return;
  Closed_ = true;
  Context_.Metrics.poolLoad(Term_.Service, PoolLoad{});
  if (DirectoryListener_ != 0)
    Context_.Directory.removeListener(DirectoryListener_);
  Writer_->close();
  Requests_->close();
  Advice_->close();
  for (const auto &[Id, Link] : Links_)
    Link->close();
}

void PoolOwner::release() {
  if (Closed_)
    return;
  for (const auto &[Id, Link] : Links_)
    Link->close();
  // What is recorded so far goes first; then the row becomes vacant.
  Writer_->whenCommitted([Self = shared_from_this()] {
    RowTransaction Change;
    const RowName Row = ownerRow(Self->Term_.Service);
    Change.Checks.push_back(RowCheck{Row, Self->Writer_->headVersion()});
    Change.Puts.push_back(
        RowPut{Row, encodeOwner(OwnerRow{"", "", "", Self->Term_.Epoch, 0,
                                         milliseconds(0)})});
    Self->close();
    Self->Context_.Store.commit(std::move(Change), ReadTimeout,
                                [](const Result<RowCommit> &) {
                                  // Without an answer a standby waits for the
                                  // lease.
                                });
  });
}

void PoolOwner::replaced() {
  if (Closed_)
    return;
  Context_.Events.record(EventId::OwnershipLost, Term_.Service,
                         fmt::format("epoch {}", Term_.Epoch));
  close();
  if (OnReplaced)
    OnReplaced();
}

void PoolOwner::setPeers(const DaemonRows &Others) {
  Advice_->setPeers(Others);
}

void PoolOwner::readProgress(std::string From) {
  const RowName First = progressRow(Term_.Service, From);
  Context_.Store.read(RowRange{First.Table, First.Partition, First.Key, ""},
                      ReadTimeout,
                      [Self = shared_from_this(), From](Result<RowPage> Page) {
                        if (Self->Closed_)
                          return;
                        if (Page)
                          return Self->progressRead(std::move(Page));
                        Self->Context_.Home.after(ReadRetry, [Self, From] {
                          Self->readProgress(From);
                        });
                      });
}

void PoolOwner::progressRead(Result<RowPage> Page) {
  for (const StoredRow &Row : Page->Rows) {
    auto Progress = decodeProgress(Row.Value);
    if (Progress)
      ReadProgress_[Row.Name.Key] = std::move(*Progress);
    else
      Context_.Events.record(EventId::RowUnreadable, Row.Name.Key,
                             Progress.error().text());
  }
  if (Page->HasMore && !Page->Rows.empty())
    return readProgress(keyAfter(Page->Rows.back().Name.Key));
  ProgressRead_ = true;
  loadWhenRead();
}

void PoolOwner::tableRead(std::vector<StoredRow> Rows) {
  for (const StoredRow &Row : Rows)
    addRow(Row);
  RequestsRead_ = true;
  loadWhenRead();
  wake();
}

void PoolOwner::rowsChanged(std::vector<StoredRow> Rows) {
  for (const StoredRow &Row : Rows)
    addRow(Row);
  wake();
}

void PoolOwner::addRow(const StoredRow &Row) {
  if (Row.Removed)
    return;
  const std::string_view Cancelled = cancelledJob(Row.Name.Key);
  if (!Cancelled.empty())
    return applyCancel(std::string(Cancelled));
  auto Request = decodeRequest(Row.Name.Key, Row.Value);
  if (!Request) {
    Context_.Events.record(EventId::RowUnreadable, Row.Name.Key,
                           Request.error().text());
    return;
  }
  if (Request->Service == Term_.Service)
    applyRequest(std::move(*Request));
}

void PoolOwner::applyRequest(JobRequest Request) {
  const std::string Job = Request.Plan.Id;
  if (!Scheduler_) {
    ReadRequests_[Job] = std::move(Request);
    return;
  }
  if (Scheduler_->stage(Job) || Final_.contains(Job))
    return;
  QueueTerms Terms;
  if (const QueueTerms *Known = Context_.Queues.terms(Request.Queue))
    Terms = *Known;
  Terms.Name = Request.Queue;
  const milliseconds Age = std::max(
      Context_.Store.storeTime() - Request.AcceptedAt, milliseconds(0));
  const TimePoint Accepted = Context_.Time.now() - Age;
  const auto Progress = ReadProgress_.find(Job);
  if (Progress == ReadProgress_.end()) {
    Scheduler_->addJob(std::move(Request.Plan), std::move(Terms), Accepted);
    return;
  }
  if (isFinal(Progress->second.Stage))
    Final_[Job] = FinalStage{Progress->second.Stage, Context_.Time.now()};
  Scheduler_->restoreJob(std::move(Request.Plan), std::move(Terms), Accepted,
                         Progress->second);
}

void PoolOwner::applyCancel(const std::string &Job) {
  if (!Scheduler_)
    ReadCancels_.insert(Job);
  else
    Scheduler_->cancelJob(Job);
}

void PoolOwner::loadWhenRead() {
  if (!RequestsRead_ || !ProgressRead_ || Scheduler_)
    return;
  Scheduler_ = makePoolScheduler(Context_.Time, Context_.Wall,
                                 poolOptions(Context_.Settings));
  for (auto &[Job, Request] : ReadRequests_)
    applyRequest(std::move(Request));
  for (const std::string &Job : ReadCancels_)
    Scheduler_->cancelJob(Job);
  Context_.Events.record(EventId::JobsLoaded, Term_.Service,
                         fmt::format("epoch {} jobs {} with progress {}",
                                     Term_.Epoch, ReadRequests_.size(),
                                     ReadProgress_.size()));
  ReadRequests_.clear();
  ReadCancels_.clear();
  ReadProgress_.clear();
  DirectoryListener_ = Context_.Directory.addListener([this] { syncVms(); });
  syncVms();
  wake();
}

void PoolOwner::queuesChanged() {
  if (!Scheduler_)
    return;
  Advice_->setQueues(Context_.Queues.config().Routes);
  for (const QueueRoute &Route : Context_.Queues.config().Routes)
    Scheduler_->setTerms(Route.Terms);
  wake();
}

VmLink *PoolOwner::link(std::string_view Vm) const {
  const auto Found = Links_.find(Vm);
  return Found == Links_.end() ? nullptr : Found->second.get();
}

void PoolOwner::wake() {
  if (PassPlanned_ || Closed_ || !Scheduler_)
    return;
  PassPlanned_ = true;
  const auto Since =
      std::chrono::duration_cast<milliseconds>(Context_.Time.now() - LastPass_);
  const milliseconds Interval = std::max(PassInterval, PassTook_ * PassShare);
  Context_.Home.after(std::max(Interval - Since, milliseconds(0)),
                      [Self = shared_from_this()] {
                        Self->PassPlanned_ = false;
                        if (!Self->Closed_)
                          Self->pass();
                      });
}

void PoolOwner::pass() {
  LastPass_ = Context_.Time.now();
  Scheduler_->setStartDelay(Writer_->expectedDelay() + SendDelay);
  if (LastPass_ - Writer_->renewedAt() <
      StoreStall + Writer_->recentDelay() * StoreStallDelays)
    Scheduler_->schedule();
  for (const PoolCommand &Command : Scheduler_->takeCommands())
    std::visit([this](const auto &Do) { execute(Do); }, Command);
  tellNotes();
  recordChanges();
  PassTook_ =
      std::chrono::duration_cast<milliseconds>(Context_.Time.now() - LastPass_);
}

void PoolOwner::execute(const StartRun &Do) { Starts_.push_back(Do); }

void PoolOwner::execute(const StopRun &Do) {
  VmLink *Link = link(Do.Vm);
  if (Link != nullptr && Link->stopRun(Do.Run))
    Context_.Events.record(EventId::RunStopped, runText(Do.Run), Do.Vm);
}

void PoolOwner::execute(const PaceRun &Do) {
  Context_.Events.record(EventId::RunPaced, runText(Do.Run),
                         fmt::format("{} percent {}", Do.Vm, Do.Percent));
  if (VmLink *Link = link(Do.Vm))
    Link->paceRun(Do.Run, Do.Percent);
}

void PoolOwner::execute(const AskAdvice &Do) { Advice_->ask(Do); }

void PoolOwner::tellNotes() {
  const PoolNotes Notes = Scheduler_->takeNotes();
  for (const RunLoss &Loss : Notes.Losses)
    Context_.Events.record(EventId::RunLost, runText(Loss.Run),
                           fmt::format("{} {}", Loss.Vm, Loss.Reason));
  for (const VmQuarantine &Each : Notes.Quarantines)
    Context_.Events.record(EventId::VmQuarantined, Each.Vm,
                           fmt::format("for_ms {}", Each.Length.count()));
  for (const BlockedStep &Each : Notes.Blocked)
    Context_.Events.record(
        EventId::StepBlocked, Each.Step.Job,
        fmt::format("{}.{} waited_ms {} tasks {} vms good {} held {} usable {} "
                    "ticket {} room {}",
                    Each.Step.Occurrence, Each.Step.Step, Each.Waited.count(),
                    Each.Waiting, Each.Good, Each.Held, Each.Usable,
                    Each.Ticketed, Each.Roomy));
}

void PoolOwner::recordChanges() {
  const std::vector<std::string> Changed = Scheduler_->takeChangedJobs();
  std::vector<std::pair<std::string, JobStage>> Finals;
  for (const std::string &Job : Changed) {
    Writer_->put(progressRow(Term_.Service, Job), [this, Job] {
      return encodeProgress(Scheduler_->progress(Job));
    });
    const auto Stage = Scheduler_->stage(Job);
    if (Stage && isFinal(*Stage) && !Final_.contains(Job))
      Finals.emplace_back(Job, *Stage);
  }
  if (Starts_.empty() && Finals.empty())
    return;
  Writer_->whenCommitted([Self = shared_from_this(),
                          Starts = std::exchange(Starts_, {}),
                          Finals = std::move(Finals)] {
    if (Self->Closed_)
      return;
    for (const auto &[Job, Stage] : Finals) {
      Self->Final_[Job] = FinalStage{Stage, Self->Context_.Time.now()};
      Self->Context_.Events.record(EventId::JobStage, Job, jobStageName(Stage));
    }
    for (const StartRun &Start : Starts) {
      const JobPlan *Plan = Self->Scheduler_->plan(Start.Run.Task.Step.Job);
      VmLink *Link = Self->link(Start.Vm);
      if (Plan == nullptr || Link == nullptr)
        continue;
      Link->startRun(Start, Plan->Spec);
    }
  });
}

void PoolOwner::tellLoad() {
  const TimePoint Now = Context_.Time.now();
  if (Now - LastLoad_ < LoadInterval)
    return;
  LastLoad_ = Now;
  const PoolLoad Load = Scheduler_->load();
  Context_.Metrics.poolLoad(Term_.Service, Load);
  if (Load.Jobs == 0)
    return;
  Context_.Events.record(
      EventId::PoolLoad, Term_.Service,
      fmt::format("vms {} held {} jobs {} waiting {} placed {} running {} "
                  "stopping {} strangers {} cpu {} of {} pass_ms {} "
                  "write_ms {} questions {}",
                  Load.Vms, Load.HeldVms, Load.Jobs, Load.WaitingTasks,
                  Load.Placed, Load.Running, Load.Stopping, Load.Strangers,
                  Load.UsedCpu, Load.TotalCpu, PassTook_.count(),
                  Writer_->expectedDelay().count(), Advice_->waiting()));
}

void PoolOwner::renewRegularly() {
  if (Closed_)
    return;
  const TimePoint Now = Context_.Time.now();
  if (Now - Writer_->renewedAt() >= OwnerRenewal)
    Writer_->renew();
  if (Scheduler_) {
    checkUnlistedVms();
    tellLoad();
    wake();
    if (Now - LastCleaning_ >= CleaningInterval)
      forgetOldJobs();
  }
  Context_.Home.after(IdlePass,
                      [Self = shared_from_this()] { Self->renewRegularly(); });
}

void PoolOwner::forgetOldJobs() {
  const TimePoint Now = Context_.Time.now();
  LastCleaning_ = Now;
  for (auto Entry = Final_.begin(); Entry != Final_.end();) {
    if (Now - Entry->second.At < Context_.Settings.KeepFinished + KeepMargin) {
      ++Entry;
      continue;
    }
    const std::string &Job = Entry->first;
    Scheduler_->forgetJob(Job);
    Writer_->remove(progressRow(Term_.Service, Job));
    RowTransaction Change;
    Change.Removals = {requestRow(Job), cancelRow(Job)};
    Context_.Store.commit(std::move(Change), ReadTimeout,
                          [](const Result<RowCommit> &) {
                            // A row that stays is removed by a later owner.
                          });
    Entry = Final_.erase(Entry);
  }
}

std::optional<JobStage> PoolOwner::stage(std::string_view Job) const {
  const auto Final = Final_.find(Job);
  if (Final != Final_.end())
    return Final->second.Stage;
  const auto Stage = Scheduler_->stage(Job);
  // A final stage is not told before it is recorded.
  if (Stage && isFinal(*Stage))
    return JobStage::Running;
  return Stage;
}

int PoolOwner::pending(std::string_view Queue) const {
  return Scheduler_->pending(Queue);
}

} // namespace cuminroad
