// Client accounts of the pool.
#include "PoolSchedulerImpl.h"

#include <map>

namespace cuminroad {

void PoolSchedulerImpl::setAccounts(std::span<const ClientAccount> Accounts) {
  for (const auto &[Name, Account] : Tables_.Accounts)
    Account->InForce = false;
  Tables_.AnyAccountInForce = !Accounts.empty();
  for (const ClientAccount &Terms : Accounts) {
    AccountRecord &Account = Tables_.findOrCreateAccount(Terms.Name);
    Account.Terms = Terms;
    Account.InForce = true;
    if (!Account.LimitSet)
      Account.Limit = Terms.MaxRunning;
  }
}

void PoolSchedulerImpl::countJob(std::string_view Account,
                                 TimePoint AcceptedAt) {
  if (!Account.empty())
    Tables_.countJob(Tables_.findOrCreateAccount(Account), AcceptedAt);
}

void PoolSchedulerImpl::setAccountLimit(std::string_view Account,
                                        const Capacity &Limit) {
  AccountRecord &Record = Tables_.findOrCreateAccount(Account);
  Record.Limit = Limit;
  Record.LimitSet = true;
}

std::vector<AccountLoad> PoolSchedulerImpl::accountLoads() const {
  std::map<const AccountRecord *, Capacity> Waiting;
  if (!Tables_.Accounts.empty())
    for (const auto &[Id, Job] : Tables_.Jobs) {
      if (Job->Account == nullptr || isFinal(Job->Stage))
        continue;
      for (const auto &[Number, Occurrence] : Job->Occurrences)
        for (const StepRecord &Step : Occurrence->Steps)
          if (Step.WaitingTasks > 0 && isReady(Step))
            Waiting[Job->Account] += Step.Plan->PerTask * Step.WaitingTasks;
    }
  std::vector<AccountLoad> Out;
  for (const auto &[Name, Account] : Tables_.Accounts) {
    const auto Found = Waiting.find(Account.get());
    AccountLoad Load{Name, Account->InForce, Account->Used,
                     Found == Waiting.end() ? Capacity{} : Found->second,
                     Account->Limit};
    if (Load.InForce || Load.Used != Capacity{} || Load.Waiting != Capacity{})
      Out.push_back(std::move(Load));
  }
  return Out;
}

} // namespace cuminroad
