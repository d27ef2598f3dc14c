// Compares what the scheduler counts against accounts with a naive recount of
// all runs that may be on VMs, after each of a series of random events.

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "SchedulerFixture.h"

using namespace cuminroad;

namespace {

constexpr int VmCount = 3;
/// So many jobs a second that none of the model's is beyond its account's rate.
constexpr double LargeWeight = 1000;
constexpr Capacity VmSize{8000, 800, 8};
const std::vector<std::string> AccountNames{"x", "y"};

/// A run that may be on a VM: it was ordered and has not ended there.
struct ModelRun {
  StartRun Start;
  /// The scheduler was told that it is not there, but its order may still be
  /// carried out.
  bool GivenUp = false;
  /// It was, and then the order was carried out.
  bool Late = false;
};

class QuotaModel : public SchedulerFixture {
public:
  QuotaModel() {
    for (int Number = 0; Number < VmCount; ++Number)
      addVm(makeVm(fmt::format("v{}", Number), VmSize));
    setLimits({{"x", {4000, 400, 4}}, {"y", {2500, 10000, 2}}});
  }

  void act(unsigned Kind, unsigned Value) {
    switch (Kind % 14) {
    case 0:
    case 1:
    case 2:
      return submit(Value);
    case 3:
    case 4:
      return end(Value);
    case 5:
      if (!Plans_.empty())
        Scheduler->cancelJob(anyJob(Value));
      return;
    case 6:
      return setLimits({{"x", limitOf(Value)}, {"y", limitOf(Value / 5)}});
    case 7:
      return answer(Value);
    case 8:
      return report(Value % VmCount);
    case 9:
      return loseFromReport(Value);
    case 10:
      return carryOutLate(Value);
    case 11:
      return restartVm(Value % VmCount);
    case 12:
      return takeOver();
    default:
      MonotonicClock.advance(milliseconds(Value % 1500));
    }
  }
  /// Runs a pass. \returns whether the accounts whose tasks it started are
  /// within their limits in each component that these tasks use.
  bool pass() {
    runPass();
    bool Within = true;
    for (const StartRun &Start : Starts)
      Runs_.push_back(ModelRun{Start});
    for (const StartRun &Start : Starts) {
      const std::string &Account = accountOf(Start.Run);
      const auto Limit = Limits_.find(Account);
      if (Limit == Limits_.end())
        continue;
      const Capacity Size = sizeOf(Start.Run);
      const Capacity Used = recount(Account);
      Within =
          Within &&
          (Size.MilliCores == 0 ||
           Used.MilliCores <= Limit->second.MilliCores) &&
          (Size.MemoryMb == 0 || Used.MemoryMb <= Limit->second.MemoryMb) &&
          (Size.Accelerators == 0 ||
           Used.Accelerators <= Limit->second.Accelerators);
    }
    return Within && areGangsWhole();
  }
  /// \returns whether the scheduler counts what the recount finds.
  bool countsAgree() const {
    for (const AccountLoad &Load : Scheduler->accountLoads())
      if (Load.Used != recount(Load.Name))
        return false;
    return true;
  }

private:
  static Capacity limitOf(unsigned Value) {
    return Capacity{500 * static_cast<int>(Value % 12),
                    100 * static_cast<int>(Value / 3 % 9),
                    static_cast<int>(Value / 7 % 6)};
  }
  void setLimits(const std::map<std::string, Capacity> &Limits) {
    Limits_ = Limits;
    std::vector<ClientAccount> Accounts;
    for (const auto &[Name, Limit] : Limits)
      Accounts.push_back(ClientAccount{Name, LargeWeight, Limit});
    Scheduler->setAccounts(Accounts);
  }
  std::string anyJob(unsigned Value) const {
    return std::next(Plans_.begin(), Value % Plans_.size())->first;
  }
  const StepPlan &stepOf(const TaskRun &Run) const {
    return Plans_.at(Run.Task.Step.Job).Steps.at(Run.Task.Step.Step);
  }
  Capacity sizeOf(const TaskRun &Run) const { return stepOf(Run).PerTask; }
  const std::string &accountOf(const TaskRun &Run) const {
    return Plans_.at(Run.Task.Step.Job).Account;
  }
  Capacity recount(const std::string &Account) const {
    Capacity Out;
    for (const ModelRun &Run : Runs_)
      if (!Run.GivenUp && accountOf(Run.Start.Run) == Account)
        Out += sizeOf(Run.Start.Run);
    return Out;
  }
  bool areGangsWhole() const {
    std::map<StepName, int> Started;
    for (const StartRun &Start : Starts)
      if (stepOf(Start.Run).Gang)
        ++Started[Start.Run.Task.Step];
    return std::all_of(
        Started.begin(), Started.end(), [this](const auto &Each) {
          return Each.second ==
                 Plans_.at(Each.first.Job).Steps.at(Each.first.Step).Tasks;
        });
  }

  bool isNewest(const TaskRun &Run) const {
    return std::none_of(Runs_.begin(), Runs_.end(),
                        [&Run](const ModelRun &Other) {
                          return Other.Start.Run.Task.Step == Run.Task.Step &&
                                 Other.Start.Run.Number > Run.Number;
                        });
  }

  void submit(unsigned Value) {
    JobPlan Plan = makeJob(fmt::format("j{}", Plans_.size()), {});
    for (unsigned Each = 0; Each <= Value % 2; ++Each) {
      StepPlan Step = makeStep(1 + static_cast<int>(Value / 2 % 5),
                               Capacity{250 * static_cast<int>(Value / 11 % 5),
                                        50 * static_cast<int>(Value / 3 % 4),
                                        Value / 13 % 3 == 0 ? 1 : 0});
      Step.Gang = Value / 5 % 4 == 0;
      Step.BestEffort = Value / 7 % 6 == 0;
      Step.LongRunning = Value / 17 % 9 == 0;
      if (Each > 0)
        Step.DependsOn = {0};
      Plan.Steps.push_back(Step);
    }
    const unsigned Account = Value / 19 % 3;
    if (Account < AccountNames.size())
      Plan.Account = AccountNames[Account];
    Plans_[Plan.Id] = Plan;
    Scheduler->addJob(Plan, makeQueue(static_cast<int>(Value % 3)),
                      MonotonicClock.now());
  }
  std::vector<ModelRun>::iterator anyRun(unsigned Value, bool GivenUp) {
    std::vector<std::vector<ModelRun>::iterator> Candidates;
    for (auto Run = Runs_.begin(); Run != Runs_.end(); ++Run)
      if (Run->GivenUp == GivenUp)
        Candidates.push_back(Run);
    return Candidates.empty() ? Runs_.end()
                              : Candidates[Value % Candidates.size()];
  }
  void end(unsigned Value) {
    const auto Run = anyRun(Value, false);
    if (Run == Runs_.end())
      return;
    constexpr RunOutcome Outcomes[] = {RunOutcome::Done, RunOutcome::Done,
                                       RunOutcome::Failed, RunOutcome::Stopped,
                                       RunOutcome::LeaseExpired};
    const StartRun Start = Run->Start;
    const RunOutcome Outcome = Outcomes[Value / 3 % 5];
    // The members of a gang complete together, unless the gang was given up or
    // cancelled: each of its runs is stopped then.
    const auto Stage = Scheduler->stage(Start.Run.Task.Step.Job);
    const bool All = Outcome == RunOutcome::Done && stepOf(Start.Run).Gang &&
                     !stepOf(Start.Run).LongRunning && !Run->Late &&
                     isNewest(Start.Run) && Stage && !isFinal(*Stage);
    std::erase_if(Runs_, [&](const ModelRun &Each) {
      return !Each.GivenUp &&
             (All ? !Each.Late &&
                        Each.Start.Run.Task.Step == Start.Run.Task.Step &&
                        Each.Start.Run.Number == Start.Run.Number
                  : Each.Start.Run == Start.Run);
    });
    endRun(Start, Outcome);
  }
  /// A start is confirmed, or was not carried out.
  void answer(unsigned Value) {
    const auto Run = anyRun(Value, false);
    if (Run == Runs_.end())
      return;
    const StartRun Start = Run->Start;
    if (Value % 3 != 0) {
      Confirmed_.insert(Start.Run);
      return acceptStart(Start);
    }
    const bool WasCurrent = Scheduler->isCurrentRun(Start.Vm, Start.Run);
    if (!WasCurrent || Confirmed_.contains(Start.Run))
      return;
    Run->GivenUp = true;
    Scheduler->startAnswered(Start.Vm, Start.Run, StartOutcome::Refused);
  }
  void report(unsigned Number) {
    const std::string Vm = fmt::format("v{}", Number);
    std::vector<RunningTask> Running;
    for (const ModelRun &Run : Runs_) {
      if (Run.Start.Vm != Vm || Run.GivenUp)
        continue;
      Running.emplace_back();
      Running.back().Run = Run.Start.Run;
      Confirmed_.insert(Run.Start.Run);
    }
    MonotonicClock.advance(milliseconds(1));
    Scheduler->vmReported(Vm, Incarnations_[Vm], RunReport::complete(Running),
                          MonotonicClock.now());
  }
  /// A VM's report lacks a run that it had confirmed.
  void loseFromReport(unsigned Value) {
    const auto Run = anyRun(Value, false);
    if (Run == Runs_.end() || !Confirmed_.contains(Run->Start.Run))
      return;
    const std::string Vm = Run->Start.Vm;
    Run->GivenUp = true;
    report(static_cast<unsigned>(Vm.back() - '0'));
  }
  /// An order that was given up is carried out after all.
  void carryOutLate(unsigned Value) {
    const auto Run = anyRun(Value, true);
    if (Run == Runs_.end())
      return;
    Run->GivenUp = false;
    Run->Late = true;
    report(static_cast<unsigned>(Run->Start.Vm.back() - '0'));
  }
  void restartVm(unsigned Number) {
    const std::string Vm = fmt::format("v{}", Number);
    std::erase_if(Runs_,
                  [&Vm](const ModelRun &Run) { return Run.Start.Vm == Vm; });
    Scheduler->vmUnreachable(Vm);
    Scheduler->vmTasksEnded(Vm, RunsEndedCause::LeaseExpired);
    report(Number);
  }
  /// Another owner knows the rows of the jobs, before any VM has reported.
  void takeOver() {
    std::map<std::string, JobProgress> Progress;
    for (const auto &[Id, Plan] : Plans_)
      Progress[Id] = *decodeProgress(encodeProgress(Scheduler->progress(Id)));
    Scheduler = makePoolScheduler(MonotonicClock, SystemClock, Options);
    setLimits(Limits_);
    for (const auto &[Id, Plan] : Plans_)
      Scheduler->restoreJob(Plan, makeQueue(), MonotonicClock.now(),
                            Progress[Id]);
    for (unsigned Number = 0; Number < VmCount; ++Number) {
      Scheduler->vmListed(makeVm(fmt::format("v{}", Number), VmSize));
      report(Number);
    }
  }

  std::map<std::string, JobPlan> Plans_;
  std::map<std::string, Capacity> Limits_;
  std::vector<ModelRun> Runs_;
  std::set<TaskRun> Confirmed_;
  std::map<std::string, std::int64_t> Incarnations_{
      {"v0", 1}, {"v1", 1}, {"v2", 1}};
};

} // namespace

// Guards against a run that isn't counted against its account, or is counted
// twice or after its end, and against starts beyond the limit.
BOOST_AUTO_TEST_CASE(usedAgreesWithRecountOfAllRuns) {
  const bool Passed = rc::check(
      "used agrees with a recount of all runs",
      [](const std::vector<std::pair<unsigned char, unsigned>> &Events) {
        QuotaModel Model;
        for (const auto &[Kind, Value] : Events) {
          Model.act(Kind, Value);
          RC_ASSERT(Model.countsAgree());
          RC_ASSERT(Model.pass());
          RC_ASSERT(Model.countsAgree());
        }
      });
  BOOST_CHECK(Passed);
}
