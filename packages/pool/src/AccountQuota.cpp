#include "AccountQuota.h"

#include <algorithm>

namespace cuminroad {

namespace {

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

} // namespace

std::int64_t startsWithinLimit(const AccountRecord &Account,
                               const Capacity &PerTask) {
  return startsBeside(Account.Used, Account.Limit, PerTask);
}

std::int64_t startsWithinLimit(const StepRecord &Step) {
  const AccountRecord *Account = Step.Occurrence->Job->Account;
  return startsOf(Step, Account == nullptr
                            ? UnlimitedAmount
                            : startsWithinLimit(*Account, Step.Plan->PerTask));
}

bool isBlockedByQuotaWhenReady(const StepRecord &Step) {
  const AccountRecord *Account = Step.Occurrence->Job->Account;
  if (Account == nullptr)
    return false;
  Capacity Used = Account->Used;
  for (const int Dependency : Step.Plan->DependsOn) {
    const StepRecord &Earlier =
        Step.Occurrence->Steps[static_cast<std::size_t>(Dependency)];
    Used -= Earlier.Plan->PerTask * Earlier.TasksOnVms;
  }
  return startsOf(Step,
                  startsBeside(Used, Account->Limit, Step.Plan->PerTask)) <= 0;
}

} // namespace cuminroad
