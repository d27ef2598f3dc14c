#include "cuminroad/daemon/DomainOwner.h"

#include <algorithm>

#include <fmt/format.h>

#include "TaskText.h"
#include "cuminroad/base/Ids.h"

namespace cuminroad {

namespace {

/// How often what became due is looked at when nothing happens.
constexpr milliseconds TickInterval{50};
/// Spare time for clocks and messages in the settling of grants.
constexpr milliseconds SettleMargin{3000};
constexpr milliseconds EarlySettleMargin{500};

std::int64_t wallMillis() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// After this nobody starts requests on an earlier owner's grants: the lease
/// is over, and who is cut off together with that owner has noticed.
milliseconds earlySettleTime(const Timings &Times) {
  return Times.GrantLease + 2 * Times.GrantRenewal + EarlySettleMargin;
}

/// Request ids begin with the name and the first digits of the incarnation of
/// the daemon, holders are NAME/INCARNATION.
std::string requestIdPrefix(const std::string &Holder) {
  const std::size_t Slash = Holder.find('/');
  return Holder.substr(0, Slash) + "-" +
         Holder.substr(Slash + 1, IncarnationDigits) + "-";
}

GrantTimings grantTimes(const Timings &Times) {
  return GrantTimings{Times.GrantLease,
                      Times.GrantLease + Times.MaxRequestTime + SettleMargin};
}

} // namespace

DomainOwner::DomainOwner(const OwnerContext &Context, OwnerTerm Term)
    : Context_(Context), Term_(std::move(Term)),
      Scheduler_(makeScheduler(Context.Time, SchedulerOptions(), Term_.Epoch)),
      Grants_(Context.Time, grantTimes(Context.Config.Times), Term_.Inherited),
      Jobs_(std::make_shared<JobStore>(Context.Rows, Context.Home,
                                       JobStoreScope{Context.Self.Domain,
                                                     Term_.EpochKey,
                                                     Term_.EpochVersion})),
      Shares_(std::make_shared<ShareManager>(
          Context.Rows, Context.Home,
          ShareManagerContext{Context.Self.Domain, Context.Config.Domains,
                              Term_.EpochKey, Term_.EpochVersion,
                              Term_.EpochVersion != 0},
          *this)) {}

void DomainOwner::start() {
  configChanged();
  Jobs_->OnStale = [this] {
    if (!Closed_ && OnStale)
      OnStale(Term_.Epoch);
  };
  Shares_->OnChanged = [this] {
    if (Closed_)
      return;
    applyLimits();
    run();
  };
  Shares_->start();
  // The VMs must be known first: what an earlier owner started may run on any
  // of them. Without the table the jobs stay unknown, and what runs goes on.
  if (Term_.EpochVersion == 0)
    applyList(Context_.LastListing);
  readList();
  tick();
  if (Term_.Inherited)
    Context_.Home.after(earlySettleTime(Context_.Config.Times),
                        [Self = shared_from_this()] { Self->settleEarly(); });
}

void DomainOwner::settleEarly() {
  if (Closed_ || Grants_.recovered())
    return;
  const auto Round = std::make_shared<UnheardRequests>();
  for (const auto &[Id, Vm] : Vms_)
    Round->Open += Vm.Listed.State != ListedState::Gone;
  for (const auto &[Id, Vm] : Vms_) {
    if (Vm.Listed.State == ListedState::Gone)
      continue;
    Vm.Session->askRequests(
        [Self = shared_from_this(), Round,
         Id = Id](const std::optional<std::vector<RequestInFlight>> &Requests) {
          if (Requests)
            Self->countUnheard(Id, *Requests, *Round);
          // A VM that is silent keeps the full settling time.
          Round->Complete = Round->Complete && Requests;
          if (--Round->Open == 0 && Round->Complete && !Self->Closed_)
            Self->Grants_.finishRecovery(Round->OnVms, Round->OfCustomers);
        });
  }
}

void DomainOwner::countUnheard(const std::string &Vm,
                               const std::vector<RequestInFlight> &Requests,
                               UnheardRequests &Into) const {
  const std::vector<std::string> Heard = Grants_.holderIds();
  for (const RequestInFlight &Each : Requests) {
    const bool Known =
        std::any_of(Heard.begin(), Heard.end(), [&](const std::string &Holder) {
          return Each.Id.starts_with(requestIdPrefix(Holder));
        });
    if (Known)
      continue;
    ++Into.OnVms[Vm];
    ++Into.OfCustomers[Each.Customer];
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

void DomainOwner::readList() {
  Context_.List.read(
      Context_.Self.Domain,
      [Self = shared_from_this()](const Result<VmListing> &Listing) {
        if (Self->Closed_)
          return;
        const bool First = !std::exchange(
            Self->ListRead_, Listing.has_value() || Self->ListRead_);
        if (Listing)
          Self->applyList(*Listing);
        if (Listing && First && Self->Term_.EpochVersion != 0)
          Self->Jobs_->load([Self](const std::vector<JobRow> &Rows) {
            Self->loadedJobs(Rows);
          });
        Self->Context_.Home.after(Self->Context_.Config.Times.VmListPoll,
                                  [Self] {
                                    if (!Self->Closed_)
                                      Self->readList();
                                  });
      });
}

void DomainOwner::applyList(const VmListing &Listing) {
  bool Changed = VmTable_ == 0;
  for (const ListedVm &Listed : Listing.Vms) {
    KnownVm *Known = find(Listed.Spec.Id);
    if (!Known) {
      if (Listed.State != ListedState::Gone) {
        addVm(Listed);
        Changed = true;
      }
      continue;
    }
    const ListedState Before = Known->Listed.State;
    Known->Listed.State = Listed.State;
    if (Before == Listed.State)
      continue;
    if (Listed.State == ListedState::Leaving)
      leaving(Listed.Spec.Id);
    if (Listed.State == ListedState::Gone) {
      Context_.Events.record(EventId::VmGone, Listed.Spec.Id);
      Known->Session->close();
      Scheduler_->vmEmptied(Listed.Spec.Id, true);
      updateSlots(Listed.Spec.Id);
    }
  }
  if (Changed)
    ++VmTable_;
  if (OnGoneEntries && !Listing.GoneDaemons.empty())
    OnGoneEntries(Listing.GoneDaemons);
  run();
}

DomainOwner::KnownVm *DomainOwner::find(const std::string &Vm) {
  const auto Found = Vms_.find(Vm);
  return Found == Vms_.end() ? nullptr : &Found->second;
}

void DomainOwner::addVm(const ListedVm &Listed) {
  const std::string Id = Listed.Spec.Id;
  KnownVm &Vm = Vms_[Id];
  Vm.Listed = Listed;
  Scheduler_->listVm(Listed.Spec);
  Vm.Session = std::make_shared<VmSession>(
      VmClaim{Id, Listed.Spec.Url, Term_.Epoch,
              Context_.Self.Name + "/" + Context_.Self.Incarnation},
      Context_.Config, Context_.Time, Context_.Client, Context_.Home, *this);
  Vm.Session->start();
  if (Listed.State == ListedState::Leaving)
    leaving(Id);
}

void DomainOwner::loadedJobs(const std::vector<JobRow> &Rows) {
  for (const JobRow &Row : Rows) {
    RecoveredJob Job;
    Job.Spec = Row.Spec;
    Job.Age =
        milliseconds(std::max<std::int64_t>(wallMillis() - Row.AcceptedMs, 0));
    Job.Ended.assign(Row.Ended.begin(), Row.Ended.end());
    Job.RecordedStarts = Row.Recorded;
    Job.Cancelled = Row.Cancelled;
    Scheduler_->recover(Job);
  }
  Loaded_ = true;
  // Ends come first: once the last VM is claimed, what has not ended starts.
  for (auto &[Id, Vm] : Vms_)
    for (const EndedTask &End : std::exchange(Vm.Ends, {}))
      applyEnd(Id, End);
  for (auto &[Id, Vm] : Vms_) {
    if (!Vm.Inventory)
      continue;
    Scheduler_->vmClaimed(Id, *std::exchange(Vm.Inventory, std::nullopt));
    if (Vm.Leaving)
      Scheduler_->vmLeaving(Id);
  }
  run();
}

void DomainOwner::configChanged() {
  std::vector<std::string> Names;
  for (const Identity &Member :
       Context_.Contracts.members().inDomain(Context_.Self.Domain))
    Names.push_back(Member.Name);
  Grants_.setDaemons(std::move(Names));
  std::map<std::string, ContractTerms> Now;
  for (const auto &[Customer, Kept] : Context_.Contracts.contracts())
    if (const auto Terms = Kept.Record.effectiveTerms())
      Now.emplace(Customer, *Terms);
  for (const auto &[Customer, Terms] : Contracts_)
    if (!Now.contains(Customer)) {
      Scheduler_->removeLimit(Customer);
      Grants_.setCustomer(Customer, 0);
    }
  Contracts_ = std::move(Now);
  Shares_->setContracts(Contracts_);
  applyLimits();
  run();
}

void DomainOwner::applyLimits() {
  for (const auto &[Customer, Terms] : Contracts_) {
    const ContractTerms Part = Shares_->currentShare(Customer, Terms);
    Scheduler_->setLimit(Customer, Part);
    Grants_.setCustomer(Customer, static_cast<int>(Part.MaxRequests));
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
  return Loaded_ && Scheduler_->inventoriesKnown() && Grants_.usageFullyKnown();
}

void DomainOwner::tick() {
  if (Closed_)
    return;
  run();
  Context_.Home.after(TickInterval,
                      [Self = shared_from_this()] { Self->tick(); });
}

void DomainOwner::run() {
  if (Closed_ || !Loaded_)
    return;
  Scheduler_->schedule();
  for (const Command &Each : Scheduler_->takeCommands())
    std::visit([this](const auto &Do) { execute(Do); }, Each);
}

void DomainOwner::execute(const StartTask &Do) {
  KnownVm *Vm = find(Do.Vm);
  if (!Vm)
    return;
  if (!Do.RecordBeforeStart)
    return Vm->Session->startTask(Do);
  Recording_.insert(Do.Task);
  Jobs_->recordStart(Do.Task.Task, [this, Do] {
    // It may have been stopped or given up while the write was under way.
    if (Recording_.erase(Do.Task) > 0)
      if (KnownVm *Target = find(Do.Vm))
        Target->Session->startTask(Do);
  });
}

void DomainOwner::execute(const StopTask &Do) {
  if (Recording_.erase(Do.Task) > 0) {
    // The start was never sent.
    Scheduler_->startRefused(Do.Task);
    return;
  }
  if (KnownVm *Vm = find(Do.Vm))
    Vm->Session->stopTask(Do);
  if (Do.Checkpoint)
    Context_.Events.record(EventId::TaskPreempted, taskText(Do.Task), Do.Vm);
}

void DomainOwner::execute(const ThrottleTask &Do) {
  if (KnownVm *Vm = find(Do.Vm))
    Vm->Session->throttleTask(Do);
  Context_.Events.record(EventId::TaskThrottled, taskText(Do.Task), Do.Vm);
}

void DomainOwner::execute(const EndJob &Do) {
  Jobs_->finish(Do.Job, Do.Outcome);
  Context_.Events.record(EventId::JobFinished, Do.Job,
                         jobOutcomeName(Do.Outcome));
}

void DomainOwner::submit(JobSpec Spec, Submitted Done) {
  if (!Loaded_ || Closed_)
    return Done(failure(ErrorCode::NoOwner, Context_.Self.Domain));
  const auto Contract = Contracts_.find(Spec.Customer);
  if (Contract == Contracts_.end())
    return Done(failure(ErrorCode::UnknownCustomer, Spec.Customer));
  const auto Checked = Scheduler_->checkFeasible(
      Spec, Shares_->largestShare(Spec.Customer, Contract->second).MaxCapacity);
  if (!Checked) {
    Context_.Events.record(EventId::JobRefused, Spec.Customer,
                           Checked.error().text());
    return Done(tl::unexpected(Checked.error()));
  }
  JobRow Row;
  Row.Name = Spec.Id;
  const std::string Suffix = Spec.Id.empty() ? randomId() : Spec.Id;
  Spec.Id =
      fmt::format("{}.{}.{}", Context_.Self.Domain, Spec.Customer, Suffix);
  Row.Spec = Spec;
  Row.AcceptedMs = wallMillis();
  // A submission that is sent again names a job that is already here.
  if (Jobs_->find(Spec.Id))
    return Done(Spec.Id);
  Jobs_->create(Row, [Self = shared_from_this(), Spec,
                      Done = std::move(Done)](Result<std::string> Id) {
    if (Id && *Id == Spec.Id && !Self->Closed_) {
      Self->Context_.Events.record(EventId::JobAccepted, Spec.Id);
      Self->Scheduler_->submit(Spec);
      Self->run();
    }
    Done(std::move(Id));
  });
}

void DomainOwner::cancel(const std::string &Job,
                         std::function<void(Result<void>)> Done) {
  if (!Loaded_ || Closed_)
    return Done(failure(ErrorCode::NoOwner, Context_.Self.Domain));
  if (!Jobs_->find(Job))
    return Done(failure(ErrorCode::UnknownJob, Job));
  Jobs_->markCancelled(
      Job, [Self = shared_from_this(), Job, Done = std::move(Done)] {
        Self->Context_.Events.record(EventId::JobCancelled, Job);
        Self->Scheduler_->cancel(Job);
        Self->run();
        Done({});
      });
}

void DomainOwner::drain(const std::string &Vm) { leaving(Vm); }

GrantReply DomainOwner::answerGrants(const GrantRequest &Request) {
  for (const std::string &Vm : Request.Leaving)
    leaving(Vm);
  GrantDecision Decision = Grants_.handleRequest(Request);
  if (OnNudge && !Decision.DaemonsToNotify.empty())
    OnNudge(Decision.DaemonsToNotify);
  GrantReply Reply = std::move(Decision.Reply);
  Reply.Owner = Context_.Self.Name;
  Reply.Epoch = Term_.Epoch;
  // The epoch makes tables of two owners differ.
  Reply.VmTableVersion = (Term_.Epoch << 32) + VmTable_;
  if (Request.VmTableVersion != Reply.VmTableVersion) {
    Reply.Vms.emplace();
    for (const auto &[Id, Vm] : Vms_)
      if (Vm.Listed.State != ListedState::Gone)
        Reply.Vms->push_back(
            GrantVm{Id, Vm.Listed.Spec.Service, Vm.Listed.Spec.Url});
  }
  return Reply;
}

std::optional<JobView> DomainOwner::job(const std::string &Id) const {
  return Scheduler_->job(Id);
}

std::vector<JobView> DomainOwner::jobs() const { return Scheduler_->jobs(); }

std::vector<VmView> DomainOwner::vms() const { return Scheduler_->vms(); }

} // namespace cuminroad
