// Client accounts of the pool.
#include "PoolSchedulerImpl.h"

#include <map>

namespace cuminroad {

namespace {

/// Adds \p Tasks times \p Each, up to UnlimitedAmount.
void addTasks(std::int64_t &Sum, std::int64_t Each, int Tasks) {
  const std::int64_t Room = UnlimitedAmount - Sum;
  Sum += Each > 0 && Tasks > Room / Each ? Room : Each * Tasks;
}

void addTasks(Capacity &Sum, const Capacity &Each, int Tasks) {
  addTasks(Sum.MilliCores, Each.MilliCores, Tasks);
  addTasks(Sum.MemoryMb, Each.MemoryMb, Tasks);
  addTasks(Sum.Accelerators, Each.Accelerators, Tasks);
}

/// What the tasks of an account that could start now would use.
struct WaitingCapacity {
  Capacity All;
  /// Of tasks that fit on one of the VMs if it is empty, without the CPU time
  /// of best-effort tasks, which is not limited by the VMs.
  Capacity Placeable;
  std::int64_t BestEffortMilliCores = 0;

  void add(const StepRecord &Step, const Capacity &LargestVm) {
    addTasks(All, Step.Plan->PerTask, Step.WaitingTasks);
    const Capacity Reserved = Step.Plan->reservedCapacity();
    if (!Reserved.fitsIn(LargestVm))
      return;
    addTasks(Placeable, Reserved, Step.WaitingTasks);
    addTasks(BestEffortMilliCores,
             Step.Plan->PerTask.MilliCores - Reserved.MilliCores,
             Step.WaitingTasks);
  }
};

} // namespace

void PoolSchedulerImpl::setAccounts(std::span<const ClientAccount> Accounts) {
  for (const auto &[Name, Account] : Tables_.Accounts)
    Account->InForce = false;
  Tables_.AnyAccountInForce = !Accounts.empty();
  for (const ClientAccount &Terms : Accounts) {
    AccountRecord &Account = Tables_.findOrCreateAccount(Terms.Name);
    Account.Terms = Terms;
    Account.InForce = true;
    Account.UnknownUntil.reset();
    Account.HadTermsOrJobs = true;
    if (!Account.LimitSet)
      Account.Limit = Terms.MaxRunning;
  }
}

void PoolSchedulerImpl::countJob(std::string_view Account,
                                 TimePoint AcceptedAt) {
  if (!Account.empty())
    Tables_.countJob(Tables_.findOrCreateAccount(Account), AcceptedAt,
                     Options_);
}

void PoolSchedulerImpl::setAccountLimit(std::string_view Account,
                                        const Capacity &Limit) {
  AccountRecord &Record = Tables_.findOrCreateAccount(Account);
  Record.Limit = Limit;
  Record.LimitSet = true;
}

void PoolSchedulerImpl::admitUnknownAccounts() {
  for (const auto &[Name, Account] : Tables_.Accounts)
    if (Account->UnknownUntil &&
        MonotonicClock_.now() >= *Account->UnknownUntil) {
      Account->UnknownUntil.reset();
      if (!Account->LimitSet)
        Account->Limit = UnlimitedCapacity;
    }
}

std::vector<AccountLoad> PoolSchedulerImpl::accountLoads() const {
  Capacity Total;
  Capacity LargestVm;
  for (const VmRecord *Vm : Tables_.OrderedVms) {
    Total += Vm->Description.Total;
    LargestVm = componentwiseMax(LargestVm, Vm->Description.Total);
  }
  std::map<const AccountRecord *, WaitingCapacity> Waiting;
  if (!Tables_.Accounts.empty())
    for (const auto &[Id, Job] : Tables_.Jobs) {
      if (Job->Account == nullptr || isFinal(Job->Stage))
        continue;
      for (const auto &[Number, Occurrence] : Job->Occurrences)
        for (const StepRecord &Step : Occurrence->Steps)
          if (Step.WaitingTasks > 0 && isReady(Step))
            Waiting[Job->Account].add(Step, LargestVm);
    }
  std::vector<AccountLoad> Out;
  for (const auto &[Name, Account] : Tables_.Accounts) {
    const WaitingCapacity Each = Waiting[Account.get()];
    AccountLoad Load;
    Load.Name = Name;
    Load.InForce = Account->InForce;
    Load.Used = Account->Used;
    Load.Waiting = Each.All;
    Load.Needed = componentwiseMax(
        Account->Used, componentwiseMin(Account->Used + Each.Placeable, Total));
    Load.Needed.MilliCores += Each.BestEffortMilliCores;
    Load.Claim = Account->Claim;
    Load.Limit = Account->Limit;
    if (Load.InForce || Load.Used != Capacity{} || Load.Waiting != Capacity{})
      Out.push_back(std::move(Load));
  }
  return Out;
}

} // namespace cuminroad
