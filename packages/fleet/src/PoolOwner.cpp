#include "cuminroad/fleet/PoolOwner.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "RunFormat.h"
#include "cuminroad/fleet/LeaseTimes.h"

namespace cuminroad {

namespace {

/// Least time between two passes of the scheduler, so that events that arrive
/// together are handled together.
constexpr milliseconds MinPassInterval{15};
/// Passes take at most one part in this many of the time.
constexpr int PassTimeDivisor = 4;
/// Interval of periodic work. It includes a scheduler pass, for what becomes
/// due without an event.
constexpr milliseconds PeriodicWorkInterval{150};
/// Delay between reads of new jobs, so that one read returns several.
constexpr milliseconds RequestBatchDelay{15};
/// Of transactions that are not the writer's.
constexpr milliseconds CommitTimeout{1500};
/// Nothing is placed while no transaction has succeeded for this long, plus a
/// multiple of the store's recent delay: starts would have to wait for the
/// store, and their tickets would expire.
constexpr milliseconds StoreStallThreshold{700};
constexpr int StoreStallDelayFactor = 3;
/// Time from when a start is durable in the store until it reaches its VM.
constexpr milliseconds StartSendDelay{40};
/// An owner whose loop was late in this many reports of the load in a row, each
/// about a second long, hands its pool over if a daemon with a share of a core
/// that is larger by this factor is there. A smaller gain is not worth a change
/// of owners.
constexpr int LateReportsUntilHandOver = 3;
constexpr double MinCpuShareGain = 1.5;
constexpr milliseconds CleanupInterval{10000};
/// A new owner gives nothing of the accounts' quotas away for this long: VMs
/// are listed every 1.5 s, and their runs are reported then.
constexpr milliseconds QuotaExchangeDelay{2000};
/// Most bytes that a task with a run takes in the stored progress of its job.
constexpr std::size_t MaxTaskRecordBytes = 96;
/// Least such bytes.
constexpr std::size_t MinTaskRecordBytes = 16;
/// Finished jobs remain readable this much longer than the retention time.
constexpr milliseconds RetentionMargin{60000};

std::string formatStatus(const JobStatus &Status) {
  std::string Out(jobStageName(Status.Stage));
  if (Status.Failure != JobFailure::None)
    Out += fmt::format(" {}", jobFailureName(Status.Failure));
  return Out;
}

PoolOptions poolOptions(const FleetSettings &Settings, bool HasAccounts) {
  PoolOptions Out;
  // Client accounts compete for capacity, so that jobs that are certain to be
  // late yield to those that can be in time.
  Out.SlackOrder = HasAccounts;
  Out.RemoteFactor = Settings.RemoteFactor;
  Out.MaxCapacityAge = maxCapacityAge(Settings);
  Out.MaxRecordedTasks =
      static_cast<int>(Settings.MaxRowBytes / MaxTaskRecordBytes);
  Out.MaxGangTasks =
      static_cast<int>(Settings.MaxRowBytes / MinTaskRecordBytes);
  return Out;
}

} // namespace

PoolOwner::PoolOwner(const FleetContext &Context, PoolTerm Term)
    : Context_(Context), Term_(std::move(Term)), Tokens_(Term_.Epoch),
      MovedQueues_(Term_.MovedQueues) {}

std::string PoolOwner::headValue(std::int64_t Serial) const {
  const milliseconds LeaseDuration =
      std::clamp(MinOwnerLease + Writer_->recentDelay() * OwnerLeaseDelayFactor,
                 MinOwnerLease, MaxOwnerLease);
  return encodeOwner(OwnerRow{Context_.Self.Name, Context_.Self.Incarnation,
                              Context_.Self.PeerAddress, Term_.Epoch, Serial,
                              LeaseDuration, MovedQueues_});
}

std::int64_t PoolOwner::serialOf(const std::string &HeadValue) const {
  const auto Row = decodeOwner(HeadValue);
  const bool IsOwn = Row && Row->Incarnation == Context_.Self.Incarnation &&
                     Row->Epoch == Term_.Epoch;
  return IsOwn ? Row->Serial : 0;
}

void PoolOwner::start() {
  if (Term_.Inherited)
    InheritedLeasesUntil_ = Context_.MonotonicClock.now() + InheritedLeaseWait;
  Writer_ = std::make_shared<FencedWriter>(
      Context_.Store, Context_.ControlLoop, Context_.MonotonicClock,
      FencedWriter::HeadRow{
          ownerRow(Term_.Service),
          [this](std::int64_t Serial) { return headValue(Serial); },
          [this](const std::string &Value) { return serialOf(Value); }});
  Writer_->OnReplaced = [this] { handleReplacement(); };
  Writer_->begin(Term_.RowVersion, Term_.WrittenAt);
  Quotas_ = std::make_shared<QuotaExchange>(Context_, Term_.Service, Writer_);
  Quotas_->OnRead = [this] {
    if (!Scheduler_)
      return;
    applyAccountLimits();
    schedulePass();
  };
  Quotas_->contractsChanged();
  AdviceDispatcher_ = std::make_shared<AdviceDispatcher>(
      Context_.Advisor, Context_.Peers, Context_.ControlLoop,
      Context_.MonotonicClock, Context_.Self.Name,
      [this](const StepName &Step) { return Scheduler_->needsAdvice(Step); },
      [this](const StepName &Step,
             const Result<AdviceDispatcher::Answer> &Answer) {
        handleAdvice(Step, Answer);
      });
  AdviceDispatcher_->setQueues(Context_.Queues.config().Routes);
  Requests_ = std::make_shared<TableFollower>(
      Context_.Store, Context_.ControlLoop,
      FollowOptions{.Table = std::string(RequestTable),
                    .Partitions = requestPartitions(),
                    .BatchDelay = RequestBatchDelay},
      *this);
  Requests_->start();
  LastPageLoadedAt_ = Context_.MonotonicClock.now();
  readProgress();
  runPeriodicWork();
}

void PoolOwner::handleAdvice(const StepName &Step,
                             const Result<AdviceDispatcher::Answer> &Answer) {
  Context_.Metrics.recordAdvice(Answer ? "answered" : "failed");
  if (!Answer) {
    Context_.Events.record(EventId::AdviceFailed, Step.Job,
                           Answer.error().text());
    return Scheduler_->adviceFailed(Step);
  }
  if (!Answer->QueriedVms.empty())
    Context_.Events.record(
        EventId::AdviceCame, Step.Job,
        fmt::format("{}.{} allowed {} of {}", Step.Occurrence, Step.Step,
                    Answer->Allowed.size(), Answer->QueriedVms.size()));
  const QueueTerms *Terms = Scheduler_->terms(Step.Job);
  const milliseconds ValidFor = Terms != nullptr && Terms->Advice
                                    ? Terms->Advice->ValidFor
                                    : milliseconds(0);
  Scheduler_->adviceReceived(Step, Answer->QueriedVms, Answer->Allowed,
                             Answer->ReceivedAt + ValidFor);
  schedulePass();
}

void PoolOwner::close() {
  if (Closed_)
    return;
  Closed_ = true;
  Context_.Metrics.setPoolLoad(Term_.Service, PoolLoad{});
  Context_.Metrics.setAccountLoads(Term_.Service, {});
  if (DirectoryListener_ != 0)
    Context_.Directory.removeListener(DirectoryListener_);
  Writer_->close();
  Quotas_->close();
  Requests_->close();
  Progress_->close();
  AdviceDispatcher_->close();
  for (const auto &[Id, Link] : Links_)
    Link->close();
}

void PoolOwner::release() {
  if (Closed_ || Releasing_)
    return;
  Releasing_ = true;
  for (const auto &[Id, Link] : Links_)
    Link->close();
  // What has been submitted is made durable first; then the row becomes vacant.
  Writer_->whenCommitted([Self = shared_from_this()] {
    RowTransaction Change;
    const RowName Row = ownerRow(Self->Term_.Service);
    Change.Checks.push_back(RowCheck{Row, Self->Writer_->headVersion()});
    Change.Puts.push_back(RowPut{
        Row, encodeOwner(OwnerRow{"", "", "", Self->Term_.Epoch, 0,
                                  milliseconds(0), Self->MovedQueues_})});
    Self->close();
    Self->Context_.Store.commit(std::move(Change), CommitTimeout,
                                [](const Result<RowCommit> &) {
                                  // If this write fails, a standby waits until
                                  // the lease expires.
                                });
  });
}

void PoolOwner::handleReplacement() {
  if (Closed_)
    return;
  Context_.Events.record(EventId::OwnershipLost, Term_.Service,
                         fmt::format("epoch {}", Term_.Epoch));
  close();
  if (OnReplaced)
    OnReplaced();
}

void PoolOwner::setPeers(const DaemonRows &Others) {
  AdviceDispatcher_->setPeers(Others);
}

bool PoolOwner::shouldHandOver() const {
  return LateReports_ >= LateReportsUntilHandOver &&
         AdviceDispatcher_->hasHealthyPeer(Context_.Self.CpuShare *
                                           MinCpuShareGain);
}

void PoolOwner::handOver(std::string_view Reason) {
  Context_.Events.record(EventId::OwnershipReleased, Term_.Service,
                         fmt::format("epoch {} {}", Term_.Epoch, Reason));
  release();
  if (OnReleased)
    OnReleased();
}

void PoolOwner::loadJobsWhenRead() {
  if (!RequestsRead_ || !ProgressRead_ || Scheduler_)
    return;
  Scheduler_ = makePoolScheduler(
      Context_.MonotonicClock, Context_.SystemClock,
      poolOptions(Context_.Settings, Context_.Queues.hasAccounts()));
  Scheduler_->setQueues(Context_.Queues.allTerms());
  Scheduler_->setAccounts(Context_.Queues.allAccounts());
  applyAccountLimits();
  LoadedAt_ = Context_.MonotonicClock.now();
  applyLoadedRequests();
  for (const std::string &Job : LoadedCancels_)
    Scheduler_->cancelJob(Job);
  Context_.Events.record(EventId::JobsLoaded, Term_.Service,
                         fmt::format("epoch {} jobs {} with progress {}",
                                     Term_.Epoch, LoadedRequests_.size(),
                                     LoadedProgress_.size()));
  LoadedRequests_.clear();
  LoadedJobsElsewhere_.clear();
  LoadedCancels_.clear();
  LoadedProgress_.clear();
  DirectoryListener_ = Context_.Directory.addListener([this] { syncVms(); });
  syncVms();
  schedulePass();
}

void PoolOwner::applyAccountLimits() {
  for (const auto &[Account, Limit] : Quotas_->limits())
    Scheduler_->setAccountLimit(Account, Limit);
}

void PoolOwner::exchangeQuotas() {
  // Until the VMs are listed, it isn't known what the pool needs.
  if (Context_.MonotonicClock.now() - LoadedAt_ < QuotaExchangeDelay)
    return;
  if (Quotas_->update([this] { return Scheduler_->accountLoads(); }))
    applyAccountLimits();
}

void PoolOwner::queuesChanged() {
  Quotas_->contractsChanged();
  if (!Scheduler_)
    return;
  AdviceDispatcher_->setQueues(Context_.Queues.config().Routes);
  Scheduler_->setQueues(Context_.Queues.allTerms());
  Scheduler_->setAccounts(Context_.Queues.allAccounts());
  applyAccountLimits();
  schedulePass();
}

VmLink *PoolOwner::findLink(std::string_view Vm) const {
  const auto Found = Links_.find(Vm);
  return Found == Links_.end() ? nullptr : Found->second.get();
}

void PoolOwner::schedulePass() {
  if (PassScheduled_ || Closed_ || !Scheduler_)
    return;
  PassScheduled_ = true;
  const auto Since = std::chrono::duration_cast<milliseconds>(
      Context_.MonotonicClock.now() - LastPassAt_);
  const milliseconds Interval =
      std::max(MinPassInterval, LastPassDuration_ * PassTimeDivisor);
  Context_.ControlLoop.after(std::max(Interval - Since, milliseconds(0)),
                             [Self = shared_from_this()] {
                               Self->PassScheduled_ = false;
                               if (!Self->Closed_)
                                 Self->runPass();
                             });
}

void PoolOwner::runPass() {
  LastPassAt_ = Context_.MonotonicClock.now();
  Scheduler_->setStartDelay(Writer_->expectedDelay() + StartSendDelay);
  if (LastPassAt_ - Writer_->renewedAt() <
      StoreStallThreshold + Writer_->recentDelay() * StoreStallDelayFactor)
    Scheduler_->schedule();
  for (const PoolCommand &Next : Scheduler_->takeCommands())
    std::visit([this](const auto &Command) { execute(Command); }, Next);
  logDiagnostics();
  recordChanges();
  LastPassDuration_ = std::chrono::duration_cast<milliseconds>(
      Context_.MonotonicClock.now() - LastPassAt_);
}

void PoolOwner::execute(const StartRun &Command) {
  UnrecordedStarts_.push_back(Command);
}

void PoolOwner::execute(const StopRun &Command) {
  VmLink *Link = findLink(Command.Vm);
  if (Link != nullptr && Link->stopRun(Command.Run))
    Context_.Events.record(EventId::RunStopped, formatRun(Command.Run),
                           Command.Vm);
}

void PoolOwner::execute(const ThrottleRun &Command) {
  Context_.Events.record(
      EventId::RunPaced, formatRun(Command.Run),
      fmt::format("{} percent {}", Command.Vm, Command.SpeedPercent));
  if (VmLink *Link = findLink(Command.Vm))
    Link->throttleRun(Command.Run, Command.SpeedPercent);
}

void PoolOwner::execute(const RequestAdvice &Command) {
  AdviceDispatcher_->requestAdvice(Command);
}

bool PoolOwner::isRecordTooLarge(const std::string &Job) const {
  const JobPlan *Plan = Scheduler_->plan(Job);
  if (Plan == nullptr)
    return false;
  std::size_t Tasks = 0;
  for (const StepPlan &Step : Plan->Steps)
    Tasks += static_cast<std::size_t>(Step.Tasks);
  // Spares most jobs the encoding.
  if (Plan->Occurrences == 0 &&
      Tasks * MaxTaskRecordBytes < Context_.Settings.MaxRowBytes)
    return false;
  return encodeProgress(Scheduler_->progress(Job)).size() >
         Context_.Settings.MaxRowBytes;
}

void PoolOwner::recordChanges() {
  const std::vector<std::string> Changed = Scheduler_->takeChangedJobs();
  // One row that the store refuses would block all later ones.
  for (const std::string &Job : Changed)
    if (isRecordTooLarge(Job))
      Scheduler_->failJob(Job, JobFailure::RecordTooLarge);
  std::vector<std::pair<std::string, JobStatus>> Finals;
  for (const std::string &Job : Changed) {
    Writer_->put(progressRow(Term_.Service, Job), [this, Job] {
      return encodeProgress(Scheduler_->progress(Job));
    });
    const auto Stage = Scheduler_->stage(Job);
    if (Stage && isFinal(*Stage) && !FinalStatuses_.contains(Job))
      Finals.emplace_back(Job, JobStatus{*Stage, Scheduler_->failure(Job)});
  }
  if (UnrecordedStarts_.empty() && Finals.empty())
    return;
  if (!UnrecordedStarts_.empty())
    UnsentStarts_.push_back(LastPassAt_);
  Writer_->whenCommitted([Self = shared_from_this(),
                          Starts = std::exchange(UnrecordedStarts_, {}),
                          Finals = std::move(Finals)] {
    if (Self->Closed_)
      return;
    for (const auto &[Job, Status] : Finals) {
      Self->FinalStatuses_[Job] =
          FinalStatus{Status, Self->Context_.MonotonicClock.now()};
      Self->Context_.Events.record(EventId::JobStage, Job,
                                   formatStatus(Status));
    }
    Self->sendStarts(Starts);
  });
}

void PoolOwner::runPeriodicWork() {
  if (Closed_ || Releasing_)
    return;
  if (!Scheduler_ && loadStalled())
    return handOver(fmt::format("jobs not loaded, pages {}", PagesLoaded_));
  if (Tokens_.nearlyExhausted())
    return handOver("fencing tokens used up");
  const TimePoint Now = Context_.MonotonicClock.now();
  measureLoopDelay();
  if (Now - Writer_->renewedAt() >= OwnerRenewalInterval)
    Writer_->renew();
  if (Scheduler_) {
    removeUnlistedVms();
    updateMovedQueues();
    exchangeQuotas();
    reportLoad();
    if (shouldHandOver())
      return handOver("too slow");
    schedulePass();
    if (Now - LastCleanupAt_ >= CleanupInterval)
      removeExpiredJobs();
  }
  PeriodicWorkDue_ = Context_.MonotonicClock.now() + PeriodicWorkInterval;
  Context_.ControlLoop.after(PeriodicWorkInterval, [Self = shared_from_this()] {
    Self->runPeriodicWork();
  });
}

void PoolOwner::removeExpiredJobs() {
  const TimePoint Now = Context_.MonotonicClock.now();
  LastCleanupAt_ = Now;
  for (const auto &Entry : FinalStatuses_) {
    if (Now - Entry.second.RecordedAt <
        Context_.Settings.FinishedJobRetention + RetentionMargin)
      continue;
    const std::string &Job = Entry.first;
    RowTransaction Change;
    Change.Removals = {requestRow(Job), cancelRow(Job)};
    Context_.Store.commit(
        std::move(Change), CommitTimeout,
        [Self = shared_from_this(), Job](const Result<RowCommit> &Outcome) {
          // A job whose request remains without its progress would run again.
          if (Self->Closed_ || !Outcome)
            return;
          Self->Scheduler_->forgetJob(Job);
          Self->Writer_->remove(progressRow(Self->Term_.Service, Job));
          Self->FinalStatuses_.erase(Job);
          Self->JobAccounts_.erase(Job);
        });
  }
}

std::optional<OwnedJob> PoolOwner::status(std::string_view Job) const {
  const auto Account = JobAccounts_.find(Job);
  OwnedJob Out;
  if (Account != JobAccounts_.end())
    Out.Account = Account->second;
  const auto Final = FinalStatuses_.find(Job);
  if (Final != FinalStatuses_.end()) {
    Out.Status = Final->second.Status;
    return Out;
  }
  const auto Stage = Scheduler_->stage(Job);
  if (!Stage)
    return std::nullopt;
  // A final stage is not reported before it is durable.
  Out.Status.Stage = isFinal(*Stage) ? JobStage::Running : *Stage;
  return Out;
}

void PoolOwner::updateMovedQueues() {
  MovedQueues_ = Scheduler_->pendingQueues();
  std::erase_if(MovedQueues_, [this](const std::string &Queue) {
    const QueueTerms *InForce = Context_.Queues.terms(Queue);
    return InForce != nullptr && InForce->Service == Term_.Service;
  });
}

int PoolOwner::pending(std::string_view Queue) const {
  return Scheduler_->pendingJobs(Queue);
}

} // namespace cuminroad
