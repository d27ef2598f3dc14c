// What the policies promise beyond the naive version: spread, packing, gangs
// that start in the end, urgent work, quarantine, sizes that were wrong.

#include <map>
#include <set>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "cuminroad/base/ManualClock.h"
#include "cuminroad/scheduling/Scheduler.h"

using namespace cuminroad;

namespace {

/// A scheduler with VMs that start whatever they are told to.
struct Site {
  ManualClock Time;
  SchedulerOptions Options;
  std::unique_ptr<Scheduler> Core = makeScheduler(Time, Options, 1);
  std::map<TaskAttempt, std::string> Running;
  std::vector<StopTask> Stops;
  std::vector<ThrottleTask> Throttles;
  std::map<std::string, JobOutcome> Ended;

  Site() {
    limit("plain", false);
    limit("counter", true);
  }

  void limit(const std::string &Customer, bool Urgent) {
    ContractTerms Terms;
    Terms.MaxHeld = Capacity{1'000'000, 1'000'000, 100};
    Terms.TaskStartWithin = milliseconds(10000);
    Terms.Urgent = Urgent;
    Core->setLimit(Customer, Terms);
  }

  void addVm(const std::string &Id, const std::string &Rack, Capacity Total) {
    Core->listVm(VmSpec{Id, "d1", Rack, "s", "", Total, 8, 64});
    Core->vmClaimed(Id, {});
  }

  void submit(const std::string &Id, const std::string &Customer, JobKind Kind,
              int Tasks, Capacity Size, milliseconds Duration) {
    JobSpec Spec{Id, Customer, Kind, Tasks, Size, Duration, true, true};
    BOOST_REQUIRE(Core->checkFeasible(Spec, {1'000'000, 1'000'000, 100}));
    Core->submit(Spec);
    run();
  }

  void run() {
    Core->schedule();
    for (const Command &Each : Core->takeCommands()) {
      if (const auto *Start = std::get_if<StartTask>(&Each)) {
        Running[Start->Task] = Start->Vm;
        Core->taskStarted(Start->Task);
      } else if (const auto *Stop = std::get_if<StopTask>(&Each)) {
        Stops.push_back(*Stop);
      } else if (const auto *Throttle = std::get_if<ThrottleTask>(&Each)) {
        Throttles.push_back(*Throttle);
      } else if (const auto *End = std::get_if<EndJob>(&Each)) {
        Ended[End->Job] = End->Outcome;
      }
    }
  }

  void confirmStops() {
    for (const StopTask &Each : std::exchange(Stops, {})) {
      Running.erase(Each.Task);
      Core->taskEnded(Each.Task, false, true);
    }
    run();
  }

  /// Takes a copy: the name may be the one in the entry that is erased.
  void end(TaskAttempt Task, bool Failed = false) {
    Running.erase(Task);
    Core->taskEnded(Task, Failed, false);
    run();
  }

  std::multiset<std::string> vmsOf(const std::string &Job) const {
    std::multiset<std::string> Out;
    for (const auto &[Task, Vm] : Running)
      if (Task.Task.Job == Job)
        Out.insert(Vm);
    return Out;
  }
};

constexpr Capacity Small{16000, 32000, 0};
constexpr Capacity Large{64000, 256000, 8};

} // namespace

BOOST_AUTO_TEST_CASE(servicesSpreadOverRacks) {
  Site At;
  for (int Index = 0; Index < 9; ++Index)
    At.addVm(fmt::format("vm{}", Index), fmt::format("rack{}", Index / 3),
             Small);
  At.submit("svc", "plain", JobKind::Service, 3, {1000, 1000, 0}, {});
  std::set<char> Racks;
  for (const std::string &Vm : At.vmsOf("svc"))
    Racks.insert(static_cast<char>('0' + (Vm.back() - '0') / 3));
  BOOST_CHECK_EQUAL(Racks.size(), 3);
}

BOOST_AUTO_TEST_CASE(batchIsPackedOntoOneVm) {
  Site At;
  for (int Index = 0; Index < 4; ++Index)
    At.addVm(fmt::format("vm{}", Index), "rack", Small);
  At.submit("batch", "plain", JobKind::Batch, 8, {2000, 2000, 0},
            milliseconds(1000));
  const auto Vms = At.vmsOf("batch");
  BOOST_CHECK_EQUAL(std::set(Vms.begin(), Vms.end()).size(), 1);
}

BOOST_AUTO_TEST_CASE(acceleratorsAreKeptForWorkThatNeedsThem) {
  Site At;
  At.addVm("gpu", "rack", Large);
  At.addVm("plain", "rack", Small);
  At.submit("first", "plain", JobKind::Batch, 8, {2000, 2000, 0},
            milliseconds(1000));
  BOOST_CHECK_EQUAL(At.vmsOf("first").count("gpu"), 0);
  At.submit("more", "plain", JobKind::Batch, 1, {2000, 2000, 0},
            milliseconds(1000));
  BOOST_CHECK_EQUAL(At.vmsOf("more").count("gpu"), 1);
}

BOOST_AUTO_TEST_CASE(gangIsNotStarvedByBackfill) {
  Site At;
  for (int Index = 0; Index < 4; ++Index)
    At.addVm(fmt::format("vm{}", Index), "rack", Small);
  const milliseconds Duration(1000);
  for (int Index = 0; Index < 8; ++Index)
    At.submit(fmt::format("old{}", Index), "plain", JobKind::Batch, 1,
              {8000, 8000, 0}, Duration);
  At.submit("gang", "plain", JobKind::Gang, 4, {16000, 16000, 0}, Duration);
  int Rounds = 0;
  // Half of a VM falls free every 125 ms, and a new job that would take it is
  // always there.
  for (; Rounds < 400 && At.vmsOf("gang").empty(); ++Rounds) {
    At.Time.advance(milliseconds(125));
    At.submit(fmt::format("new{}", Rounds), "plain", JobKind::Batch, 1,
              {8000, 8000, 0}, Duration);
    if (!At.Running.empty())
      At.end(At.Running.begin()->first);
  }
  BOOST_CHECK_EQUAL(At.vmsOf("gang").size(), 4);
  // The wait before a reservation, and a turnover of the VMs with it.
  BOOST_CHECK_LE(Rounds * 125, 2000 + 4 * Duration.count());
}

BOOST_AUTO_TEST_CASE(shortWorkIsBackfilledBeforeAReservation) {
  Site At;
  At.addVm("vm0", "rack", Small);
  At.submit("long", "plain", JobKind::Batch, 1, {8000, 8000, 0},
            milliseconds(60000));
  At.submit("big", "plain", JobKind::Batch, 1, {16000, 16000, 0},
            milliseconds(1000));
  At.Time.advance(milliseconds(3000));
  At.run();
  At.submit("endless", "plain", JobKind::Batch, 1, {8000, 8000, 0},
            milliseconds(100000));
  BOOST_CHECK(At.vmsOf("endless").empty());
  At.submit("short", "plain", JobKind::Batch, 1, {8000, 8000, 0},
            milliseconds(1000));
  BOOST_CHECK_EQUAL(At.vmsOf("short").size(), 1);
}

BOOST_AUTO_TEST_CASE(urgentWorkPreemptsOnlyWhatCanBeCheckpointed) {
  Site At;
  At.addVm("vm0", "rack", Small);
  At.addVm("vm1", "rack", Small);
  JobSpec Fixed{"fixed", "plain", JobKind::Batch, 1, Small, milliseconds(1000),
                true,    false};
  At.Core->submit(Fixed);
  At.run();
  At.submit("soft", "plain", JobKind::Batch, 1, Small, milliseconds(1000));
  At.submit("urgent", "counter", JobKind::Batch, 1, {4000, 4000, 0},
            milliseconds(100));
  BOOST_REQUIRE_EQUAL(At.Stops.size(), 1);
  BOOST_CHECK_EQUAL(At.Stops[0].Task.Task.Job, "soft");
  BOOST_CHECK(At.Stops[0].Checkpoint);
  BOOST_CHECK(At.vmsOf("urgent").empty());
  At.confirmStops();
  BOOST_CHECK_EQUAL(At.vmsOf("urgent").size(), 1);
  BOOST_CHECK_EQUAL(At.Core->job("soft")->WaitingCount, 1);
}

BOOST_AUTO_TEST_CASE(vmThatFailsEverythingIsQuarantinedAndTriedAgain) {
  Site At;
  At.addVm("bad", "rack", Small);
  for (int Index = 0; Index < 3; ++Index) {
    At.submit(fmt::format("job{}", Index), "plain", JobKind::Batch, 1,
              {1000, 1000, 0}, milliseconds(1000));
    At.end(At.Running.begin()->first, true);
  }
  At.submit("waits", "plain", JobKind::Batch, 2, {1000, 1000, 0},
            milliseconds(1000));
  BOOST_CHECK(At.vmsOf("waits").empty());
  At.Time.advance(At.Options.QuarantineMin + milliseconds(1));
  At.run();
  // On probation it gets one task, and more once that one succeeds.
  BOOST_CHECK_EQUAL(At.vmsOf("waits").size(), 1);
  At.Time.advance(milliseconds(100));
  At.end(At.Running.begin()->first);
  BOOST_CHECK_EQUAL(At.vmsOf("waits").size(), 1);
}

BOOST_AUTO_TEST_CASE(taskAboveItsSizeIsHeldBack) {
  Site At;
  At.addVm("vm0", "rack", {4000, 4000, 0});
  At.submit("liar", "plain", JobKind::Batch, 1, {1000, 1000, 0},
            milliseconds(1000));
  At.submit("honest", "plain", JobKind::Batch, 1, {1000, 2000, 0},
            milliseconds(1000));
  const TaskAttempt Liar{{"liar", 0}, At.Running.begin()->first.Attempt};
  TaskAttempt Task = Liar;
  for (const auto &[Each, Vm] : At.Running)
    if (Each.Task.Job == "liar")
      Task = Each;
  At.Core->usageReported(Task, {3000, 1000, 0});
  At.run();
  BOOST_REQUIRE_EQUAL(At.Throttles.size(), 1);
  // 500 MB more than declared fit; the VM's books show it.
  At.Core->usageReported(Task, {1000, 1500, 0});
  At.run();
  BOOST_CHECK_EQUAL(At.Core->vms()[0].FreeCapacity.MemoryMb, 500);
  // 3000 MB would take what the neighbour was promised.
  At.Core->usageReported(Task, {1000, 3000, 0});
  At.run();
  BOOST_REQUIRE_EQUAL(At.Stops.size(), 1);
  BOOST_CHECK_EQUAL(At.Stops[0].Task.Task.Job, "liar");
}

BOOST_AUTO_TEST_CASE(lostTaskThatMayNotRunTwiceEndsUnknown) {
  Site At;
  At.addVm("vm0", "rack", Small);
  At.addVm("vm1", "rack", Small);
  JobSpec Once{
      "once", "plain", JobKind::Batch, 1, {1000, 1000, 0}, milliseconds(1000),
      false,  false};
  At.Core->submit(Once);
  At.run();
  At.Core->vmEmptied(At.Running.begin()->second, true);
  At.run();
  BOOST_CHECK_EQUAL(At.Running.size(), 1);
  BOOST_CHECK(At.Ended.at("once") == JobOutcome::Unknown);
}

BOOST_AUTO_TEST_CASE(endThatIsHeardLateKeepsTheTaskFromRunningAgain) {
  Site At;
  At.addVm("vm0", "rack", Small);
  At.submit("job", "plain", JobKind::Batch, 1, {1000, 1000, 0},
            milliseconds(1000));
  const TaskAttempt First = At.Running.begin()->first;
  At.Running.clear();
  At.Core->vmEmptied("vm0", false);
  At.run();
  At.Core->taskEnded(First, false, false);
  At.Core->vmClaimed("vm0", {});
  At.run();
  BOOST_CHECK(At.Running.empty());
  BOOST_CHECK(At.Ended.at("job") == JobOutcome::Done);
}

BOOST_AUTO_TEST_CASE(endThatIsHeardLateStopsTheSecondRun) {
  Site At;
  At.addVm("vm0", "rack", Small);
  At.addVm("vm1", "rack", Small);
  At.submit("job", "plain", JobKind::Batch, 1, {1000, 1000, 0},
            milliseconds(1000));
  const TaskAttempt First = At.Running.begin()->first;
  const std::string Vm = At.Running.begin()->second;
  At.Running.clear();
  At.Core->vmEmptied(Vm, false);
  At.run();
  BOOST_REQUIRE_EQUAL(At.Running.size(), 1);
  At.Core->taskEnded(First, false, false);
  At.run();
  BOOST_REQUIRE_EQUAL(At.Stops.size(), 1);
  At.confirmStops();
  BOOST_CHECK(At.Running.empty());
  BOOST_CHECK(At.Ended.at("job") == JobOutcome::Done);
}

BOOST_AUTO_TEST_CASE(endOfATaskThatTheJobDoesNotHaveIsIgnored) {
  Site At;
  At.addVm("vm0", "rack", Small);
  At.submit("job", "plain", JobKind::Batch, 1, {1000, 1000, 0},
            milliseconds(1000));
  // What a VM reports is input; the index must not be believed.
  for (const int Index : {-1, 1, 1 << 28})
    At.Core->taskEnded(TaskAttempt{{"job", Index}, 0}, false, false);
  At.run();
  BOOST_CHECK_EQUAL(At.Core->job("job")->RunningCount, 1);
}

BOOST_AUTO_TEST_CASE(waveOfCancellationsEndsAllJobs) {
  Site At;
  At.addVm("vm0", "rack", Small);
  for (int Index = 0; Index < 2000; ++Index)
    At.submit(fmt::format("job{}", Index), "plain", JobKind::Batch, 5,
              {1000, 1000, 0}, milliseconds(1000));
  for (int Index = 0; Index < 2000; ++Index)
    At.Core->cancel(fmt::format("job{}", Index));
  At.run();
  At.confirmStops();
  BOOST_CHECK_EQUAL(At.Ended.size(), 2000);
  BOOST_CHECK(At.Core->jobs().empty());
  BOOST_CHECK(At.Core->held("plain") == Capacity{});
}
