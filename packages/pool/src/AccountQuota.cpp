#include "AccountQuota.h"

#include <algorithm>

namespace cuminroad {

namespace {

/// The quota is held for a step that has waited for it for this part of its
/// objective. The rest is for the runs that must end first, and for its own.
constexpr int HoldDivisor = 4;

std::int64_t fitsBeside(std::int64_t Used, std::int64_t Limit,
                        std::int64_t Each) {
  if (Each <= 0)
    return UnlimitedAmount;
  return std::max<std::int64_t>(Limit - Used, 0) / Each;
}

std::int64_t startsBeside(const Capacity &Used, const Capacity &Limit,
                          const Capacity &PerTask) {
  return std::min(
      {fitsBeside(Used.MilliCores, Limit.MilliCores, PerTask.MilliCores),
       fitsBeside(Used.MemoryMb, Limit.MemoryMb, PerTask.MemoryMb),
       fitsBeside(Used.Accelerators, Limit.Accelerators,
                  PerTask.Accelerators)});
}

/// \returns how many of the step's waiting tasks may start if that many fit
/// within the limit.
std::int64_t startsOf(const StepRecord &Step, std::int64_t WithinLimit) {
  if (!Step.Plan->Gang)
    return std::min<std::int64_t>(WithinLimit, Step.WaitingTasks);
  // Only a whole gang starts. While members of its last run are on VMs, it is
  // not the quota that it waits for.
  return Step.WaitingTasks < Step.Plan->Tasks || WithinLimit >= Step.Plan->Tasks
             ? Step.WaitingTasks
             : 0;
}

std::int64_t saturatedProduct(std::int64_t Each, std::int64_t Count) {
  return Each > UnlimitedAmount / Count ? UnlimitedAmount : Each * Count;
}

} // namespace

std::int64_t startsWithinLimit(const AccountRecord &Account,
                               const Capacity &PerTask) {
  return startsBeside(Account.Used + Account.Held, Account.Limit, PerTask);
}

std::int64_t startsWithinLimit(const StepRecord &Step) {
  const AccountRecord *Account = Step.Occurrence->Job->Account;
  return startsOf(Step, Account == nullptr
                            ? UnlimitedAmount
                            : startsWithinLimit(*Account, Step.Plan->PerTask));
}

void holdQuotaFor(const StepRecord &Step, TimePoint Now) {
  const JobRecord &Job = *Step.Occurrence->Job;
  AccountRecord &Account = *Job.Account;
  if (!Step.QuotaBlockedSince ||
      Now - *Step.QuotaBlockedSince < Job.objective() / HoldDivisor)
    return;
  const std::int64_t Tasks = Step.Plan->Gang ? Step.Plan->Tasks : 1;
  const Capacity Size{saturatedProduct(Step.Plan->PerTask.MilliCores, Tasks),
                      saturatedProduct(Step.Plan->PerTask.MemoryMb, Tasks),
                      saturatedProduct(Step.Plan->PerTask.Accelerators, Tasks)};
  Account.Claim = Account.UsedForLong + Size;
  // Otherwise nothing that ends makes room for the step.
  if (Account.Claim.fitsIn(Account.Limit))
    Account.Held = Size;
}

bool isBlockedByQuotaWhenReady(const StepRecord &Step) {
  const AccountRecord *Account = Step.Occurrence->Job->Account;
  if (Account == nullptr)
    return false;
  Capacity Used = Account->Used + Account->Held;
  for (const int Dependency : Step.Plan->DependsOn) {
    const StepRecord &Earlier =
        Step.Occurrence->Steps[static_cast<std::size_t>(Dependency)];
    Used -= Earlier.Plan->PerTask * Earlier.TasksOnVms;
  }
  return startsOf(Step,
                  startsBeside(Used, Account->Limit, Step.Plan->PerTask)) <= 0;
}

} // namespace cuminroad
