#include "cuminroad/daemon/DomainOwner.h"

#include <algorithm>

#include <fmt/format.h>

#include "TaskText.h"
#include "cuminroad/base/Ids.h"

namespace cuminroad {

namespace {

/// Interval of scheduling passes without an event, for work that becomes due by
/// time alone.
constexpr milliseconds ScheduleInterval{50};
/// Part of GrantTimings::RequestDrainTime that allows for clock differences and
/// message delays.
constexpr milliseconds RequestDrainMargin{3000};
/// Part of earlyRecoveryDelay() that allows for the same. After that delay the
/// VMs are queried for the requests still in flight.
constexpr milliseconds EarlyRecoveryMargin{500};

std::int64_t unixTimeMillis() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// \returns the delay after which no frontend starts requests on an earlier
/// owner's grants any more: the lease is over, and a frontend that was cut off
/// together with that owner has noticed it.
milliseconds earlyRecoveryDelay(const Timings &Times) {
  return Times.GrantLease + 2 * Times.GrantRenewal + EarlyRecoveryMargin;
}

/// \returns the prefix "NAME-DIGITS-" of the ids of the requests that a grant
/// holder sends. A holder is given as "NAME/INCARNATION"; DIGITS are the first
/// IncarnationDigits of the incarnation.
std::string requestIdPrefix(const std::string &Holder) {
  const std::size_t Slash = Holder.find('/');
  return Holder.substr(0, Slash) + "-" +
         Holder.substr(Slash + 1, IncarnationDigits) + "-";
}

GrantTimings grantTimings(const Timings &Times) {
  return GrantTimings{Times.GrantLease, Times.GrantLease +
                                            Times.MaxRequestTime +
                                            RequestDrainMargin};
}

} // namespace

DomainOwner::DomainOwner(const OwnerContext &Context, OwnerTerm Term)
    : Context_(Context), Term_(std::move(Term)),
      Scheduler_(makeScheduler(Context.MonotonicClock, SchedulerOptions(),
                               Term_.Epoch)),
      Grants_(Context.MonotonicClock, grantTimings(Context.Config.Times),
              Term_.Inherited),
      Jobs_(std::make_shared<JobStore>(
          Context.PlatformTable, Context.ControlLoop,
          JobStoreScope{Context.Self.Domain, Term_.EpochKey,
                        Term_.EpochVersion})),
      Shares_(std::make_shared<ShareManager>(
          Context.PlatformTable, Context.ControlLoop,
          ShareManagerContext{Context.Self.Domain, Context.Config.Domains,
                              Term_.EpochKey, Term_.EpochVersion,
                              Term_.EpochVersion != 0},
          *this)) {}

void DomainOwner::start() {
  configChanged();
  Jobs_->OnSuperseded = [this] {
    if (!Closed_ && OnSuperseded)
      OnSuperseded(Term_.Epoch);
  };
  Shares_->OnChanged = [this] {
    if (Closed_)
      return;
    applyCustomerLimits();
    runScheduler();
  };
  Shares_->start();
  // The VM list is read before the jobs, because a task that an earlier owner
  // started may run on any VM. An owner chosen without the table doesn't load
  // the jobs; the tasks that run continue.
  if (Term_.EpochVersion == 0)
    applyVmList(Context_.LastListing);
  pollVmList();
  runSchedulerPeriodically();
  if (Term_.Inherited)
    Context_.ControlLoop.after(
        earlyRecoveryDelay(Context_.Config.Times),
        [Self = shared_from_this()] { Self->tryFinishRecoveryEarly(); });
}

void DomainOwner::tryFinishRecoveryEarly() {
  if (Closed_ || Grants_.recovered())
    return;
  const auto Totals = std::make_shared<UntrackedRequests>();
  for (const auto &[Id, Vm] : Vms_)
    Totals->PendingResponses += Vm.ListEntry.State != ListedState::Gone;
  for (const auto &[Id, Vm] : Vms_) {
    if (Vm.ListEntry.State == ListedState::Gone)
      continue;
    Vm.Session->fetchInFlightRequests(
        [Self = shared_from_this(), Totals,
         Id = Id](const std::optional<std::vector<InFlightRequest>> &Requests) {
          if (Requests)
            Self->countUntrackedRequests(Id, *Requests, *Totals);
          // If any VM doesn't respond, the full recovery period applies.
          Totals->AllVmsResponded = Totals->AllVmsResponded && Requests;
          if (--Totals->PendingResponses == 0 && Totals->AllVmsResponded &&
              !Self->Closed_)
            Self->Grants_.finishRecovery(Totals->CountByVm,
                                         Totals->CountByCustomer);
        });
  }
}

void DomainOwner::countUntrackedRequests(
    const std::string &Vm, const std::vector<InFlightRequest> &Requests,
    UntrackedRequests &Totals) const {
  const std::vector<std::string> TrackedHolders = Grants_.holderIds();
  for (const InFlightRequest &Request : Requests) {
    const bool IsTracked =
        std::any_of(TrackedHolders.begin(), TrackedHolders.end(),
                    [&](const std::string &Holder) {
                      return Request.Id.starts_with(requestIdPrefix(Holder));
                    });
    if (IsTracked)
      continue;
    ++Totals.CountByVm[Vm];
    ++Totals.CountByCustomer[Request.Customer];
  }
}

void DomainOwner::close() {
  Closed_ = true;
  Jobs_->close();
  Shares_->close();
  for (auto &[Id, Vm] : Vms_)
    if (Vm.Session)
      Vm.Session->close();
}

void DomainOwner::pollVmList() {
  Context_.VmListSource.read(
      Context_.Self.Domain,
      [Self = shared_from_this()](const Result<VmListing> &Listing) {
        if (Self->Closed_)
          return;
        const bool IsFirstRead = !std::exchange(
            Self->VmListRead_, Listing.has_value() || Self->VmListRead_);
        if (Listing)
          Self->applyVmList(*Listing);
        if (Listing && IsFirstRead && Self->Term_.EpochVersion != 0)
          Self->Jobs_->load([Self](const std::vector<JobRow> &Rows) {
            Self->recoverJobs(Rows);
          });
        Self->Context_.ControlLoop.after(Self->Context_.Config.Times.VmListPoll,
                                         [Self] {
                                           if (!Self->Closed_)
                                             Self->pollVmList();
                                         });
      });
}

void DomainOwner::applyVmList(const VmListing &Listing) {
  bool TableChanged = VmTableVersion_ == 0;
  for (const ListedVm &ListEntry : Listing.Vms) {
    KnownVm *Vm = findVm(ListEntry.Spec.Id);
    if (!Vm) {
      if (ListEntry.State != ListedState::Gone) {
        addVm(ListEntry);
        TableChanged = true;
      }
      continue;
    }
    const ListedState PreviousState = Vm->ListEntry.State;
    Vm->ListEntry.State = ListEntry.State;
    if (PreviousState == ListEntry.State)
      continue;
    if (ListEntry.State == ListedState::Leaving)
      onVmLeaving(ListEntry.Spec.Id);
    if (ListEntry.State == ListedState::Gone) {
      Context_.Events.record(EventId::VmGone, ListEntry.Spec.Id);
      Vm->Session->close();
      Scheduler_->vmTasksEnded(ListEntry.Spec.Id, true);
      updateVmSlots(ListEntry.Spec.Id);
    }
  }
  if (TableChanged)
    ++VmTableVersion_;
  if (OnEntryVmsGone && !Listing.GoneDaemons.empty())
    OnEntryVmsGone(Listing.GoneDaemons);
  runScheduler();
}

DomainOwner::KnownVm *DomainOwner::findVm(const std::string &Vm) {
  const auto Found = Vms_.find(Vm);
  return Found == Vms_.end() ? nullptr : &Found->second;
}

void DomainOwner::addVm(const ListedVm &ListEntry) {
  const std::string Id = ListEntry.Spec.Id;
  KnownVm &Vm = Vms_[Id];
  Vm.ListEntry = ListEntry;
  Scheduler_->listVm(ListEntry.Spec);
  Vm.Session = std::make_shared<VmSession>(
      VmClaim{Id, ListEntry.Spec.Url, Term_.Epoch,
              Context_.Self.Name + "/" + Context_.Self.Incarnation},
      Context_.Config, Context_.MonotonicClock, Context_.Client,
      Context_.ControlLoop, *this);
  Vm.Session->start();
  if (ListEntry.State == ListedState::Leaving)
    onVmLeaving(Id);
}

void DomainOwner::recoverJobs(const std::vector<JobRow> &Rows) {
  for (const JobRow &Row : Rows) {
    RecoveredJob Job;
    Job.Spec = Row.Spec;
    Job.Age = milliseconds(
        std::max<std::int64_t>(unixTimeMillis() - Row.AcceptedMs, 0));
    Job.Ended.assign(Row.Ended.begin(), Row.Ended.end());
    Job.RecordedStarts = Row.RecordedStarts;
    Job.Cancelled = Row.Cancelled;
    Scheduler_->recover(Job);
  }
  JobsLoaded_ = true;
  // Ends are applied before inventories: once the last VM is claimed, the
  // scheduler starts every task that has not ended.
  for (auto &[Id, Vm] : Vms_)
    for (const EndedTask &End : std::exchange(Vm.EndedTasks, {}))
      applyTaskEnd(Id, End);
  for (auto &[Id, Vm] : Vms_) {
    if (!Vm.Inventory)
      continue;
    Scheduler_->vmClaimed(Id, *std::exchange(Vm.Inventory, std::nullopt));
    if (Vm.Leaving)
      Scheduler_->vmLeaving(Id);
  }
  runScheduler();
}

void DomainOwner::configChanged() {
  std::vector<std::string> Names;
  for (const Identity &Member :
       Context_.SharedConfig.members().inDomain(Context_.Self.Domain))
    Names.push_back(Member.Name);
  Grants_.setDaemons(std::move(Names));
  std::map<std::string, ContractTerms> Effective;
  for (const auto &[Customer, Contract] : Context_.SharedConfig.contracts())
    if (const auto Terms = Contract.Record.effectiveTerms())
      Effective.emplace(Customer, *Terms);
  for (const auto &[Customer, Terms] : Contracts_)
    if (!Effective.contains(Customer)) {
      Scheduler_->removeLimit(Customer);
      Grants_.setCustomer(Customer, 0);
    }
  Contracts_ = std::move(Effective);
  Shares_->setContracts(Contracts_);
  applyCustomerLimits();
  runScheduler();
}

void DomainOwner::applyCustomerLimits() {
  for (const auto &[Customer, Terms] : Contracts_) {
    const ContractTerms ShareTerms = Shares_->currentShare(Customer, Terms);
    Scheduler_->setLimit(Customer, ShareTerms);
    Grants_.setCustomer(Customer, static_cast<int>(ShareTerms.MaxRequests));
  }
}

ShareAmount DomainOwner::demand(const std::string &Customer) const {
  return ShareAmount{Scheduler_->held(Customer) +
                         Scheduler_->waitingSize(Customer),
                     Grants_.demandOfCustomer(Customer)};
}

ShareAmount DomainOwner::maxUsage(const std::string &Customer) const {
  return ShareAmount{Scheduler_->held(Customer),
                     Grants_.maxInFlightOfCustomer(Customer)};
}

bool DomainOwner::usageFullyKnown() const {
  return JobsLoaded_ && Scheduler_->inventoriesKnown() &&
         Grants_.usageFullyKnown();
}

void DomainOwner::runSchedulerPeriodically() {
  if (Closed_)
    return;
  runScheduler();
  Context_.ControlLoop.after(ScheduleInterval, [Self = shared_from_this()] {
    Self->runSchedulerPeriodically();
  });
}

void DomainOwner::runScheduler() {
  if (Closed_ || !JobsLoaded_)
    return;
  Scheduler_->schedule();
  for (const Command &NextCommand : Scheduler_->takeCommands())
    std::visit([this](const auto &Command) { execute(Command); }, NextCommand);
}

void DomainOwner::execute(const StartTask &Command) {
  KnownVm *Vm = findVm(Command.Vm);
  if (!Vm)
    return;
  if (!Command.RecordBeforeStart)
    return Vm->Session->startTask(Command);
  StartsBeingRecorded_.insert(Command.Task);
  Jobs_->recordStart(Command.Task.Task, [this, Command] {
    // Skip the start if the task was stopped while the write was in progress.
    if (StartsBeingRecorded_.erase(Command.Task) > 0)
      if (KnownVm *Target = findVm(Command.Vm))
        Target->Session->startTask(Command);
  });
}

void DomainOwner::execute(const StopTask &Command) {
  if (StartsBeingRecorded_.erase(Command.Task) > 0) {
    // The start command has not been sent, so the task certainly did not run.
    Scheduler_->startRefused(Command.Task);
    return;
  }
  if (KnownVm *Vm = findVm(Command.Vm))
    Vm->Session->stopTask(Command);
  if (Command.Checkpoint)
    Context_.Events.record(EventId::TaskPreempted, taskText(Command.Task),
                           Command.Vm);
}

void DomainOwner::execute(const ThrottleTask &Command) {
  if (KnownVm *Vm = findVm(Command.Vm))
    Vm->Session->throttleTask(Command);
  Context_.Events.record(EventId::TaskThrottled, taskText(Command.Task),
                         Command.Vm);
}

void DomainOwner::execute(const EndJob &Command) {
  Jobs_->moveToFinished(Command.Job, Command.Outcome);
  Context_.Events.record(EventId::JobFinished, Command.Job,
                         jobOutcomeName(Command.Outcome));
}

void DomainOwner::submit(JobSpec Spec, SubmitCallback Done) {
  if (!JobsLoaded_ || Closed_)
    return Done(failure(ErrorCode::NoOwner, Context_.Self.Domain));
  const auto Contract = Contracts_.find(Spec.Customer);
  if (Contract == Contracts_.end())
    return Done(failure(ErrorCode::UnknownCustomer, Spec.Customer));
  const auto CheckResult = Scheduler_->checkFeasible(
      Spec, Shares_->largestShare(Spec.Customer, Contract->second).MaxCapacity);
  if (!CheckResult) {
    Context_.Events.record(EventId::JobRefused, Spec.Customer,
                           CheckResult.error().text());
    return Done(tl::unexpected(CheckResult.error()));
  }
  JobRow Row;
  Row.Name = Spec.Id;
  const std::string LocalId = Spec.Id.empty() ? randomId() : Spec.Id;
  Spec.Id =
      fmt::format("{}.{}.{}", Context_.Self.Domain, Spec.Customer, LocalId);
  Row.Spec = Spec;
  Row.AcceptedMs = unixTimeMillis();
  // A repeated submission under the same name returns the existing job.
  if (Jobs_->find(Spec.Id))
    return Done(Spec.Id);
  Jobs_->create(Row, [Self = shared_from_this(), Spec,
                      Done = std::move(Done)](Result<std::string> Id) {
    if (Id && *Id == Spec.Id && !Self->Closed_) {
      Self->Context_.Events.record(EventId::JobAccepted, Spec.Id);
      Self->Scheduler_->submit(Spec);
      Self->runScheduler();
    }
    Done(std::move(Id));
  });
}

void DomainOwner::cancel(const std::string &Job,
                         std::function<void(Result<void>)> Done) {
  if (!JobsLoaded_ || Closed_)
    return Done(failure(ErrorCode::NoOwner, Context_.Self.Domain));
  if (!Jobs_->find(Job))
    return Done(failure(ErrorCode::UnknownJob, Job));
  Jobs_->recordCancellation(
      Job, [Self = shared_from_this(), Job,
            Done = std::move(Done)](Result<void> Recorded) {
        if (Recorded)
          Self->Context_.Events.record(EventId::JobCancelled, Job);
        if (Recorded && !Self->Closed_) {
          Self->Scheduler_->cancel(Job);
          Self->runScheduler();
        }
        Done(std::move(Recorded));
      });
}

void DomainOwner::drain(const std::string &Vm) { onVmLeaving(Vm); }

GrantReply DomainOwner::handleGrantRequest(const GrantRequest &Request) {
  for (const std::string &Vm : Request.Leaving)
    onVmLeaving(Vm);
  GrantDecision Decision = Grants_.handleRequest(Request);
  if (OnGrantRenewalWanted && !Decision.DaemonsToNotify.empty())
    OnGrantRenewalWanted(Decision.DaemonsToNotify);
  GrantReply Reply = std::move(Decision.Reply);
  Reply.Owner = Context_.Self.Name;
  Reply.Epoch = Term_.Epoch;
  // The epoch in the upper 32 bits makes the versions of two owners distinct.
  Reply.VmTableVersion = (Term_.Epoch << 32) + VmTableVersion_;
  if (Request.VmTableVersion != Reply.VmTableVersion) {
    Reply.Vms.emplace();
    for (const auto &[Id, Vm] : Vms_)
      if (Vm.ListEntry.State != ListedState::Gone)
        Reply.Vms->push_back(
            GrantVm{Id, Vm.ListEntry.Spec.Service, Vm.ListEntry.Spec.Url});
  }
  return Reply;
}

std::optional<JobView> DomainOwner::job(const std::string &Id) const {
  return Scheduler_->job(Id);
}

std::vector<JobView> DomainOwner::jobs() const { return Scheduler_->jobs(); }

std::vector<VmView> DomainOwner::vms() const { return Scheduler_->vms(); }

} // namespace cuminroad
