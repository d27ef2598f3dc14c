// Tests the policies that the reference model of DifferentialTest doesn't
// cover: spreading, packing, reservations, preemption, quarantine, tasks that
// exceed their declared size, and reports of ends that arrive late.

#include <map>
#include <set>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "cuminroad/base/ManualClock.h"
#include "cuminroad/scheduling/Scheduler.h"

using namespace cuminroad;

namespace {

/// A scheduler with VMs that start every task at once.
struct SchedulerFixture {
  ManualClock Clock;
  SchedulerOptions Options;
  std::unique_ptr<Scheduler> TestedScheduler = makeScheduler(Clock, Options, 1);
  std::map<TaskAttempt, std::string> Running;
  std::vector<StopTask> Stops;
  std::vector<ThrottleTask> Throttles;
  std::map<std::string, JobOutcome> Ended;

  SchedulerFixture() {
    limit("plain", false);
    limit("counter", true);
  }

  void limit(const std::string &Customer, bool Urgent) {
    ContractTerms Terms;
    Terms.MaxCapacity = Capacity{1'000'000, 1'000'000, 100};
    Terms.TaskStartWithin = milliseconds(10000);
    Terms.Urgent = Urgent;
    TestedScheduler->setLimit(Customer, Terms);
  }

  void addVm(const std::string &Id, const std::string &Rack, Capacity Total) {
    TestedScheduler->listVm(VmSpec{Id, "d1", Rack, "s", "", Total, 8, 64});
    TestedScheduler->vmClaimed(Id, {});
  }

  void submit(const std::string &Id, const std::string &Customer, JobKind Kind,
              int Tasks, Capacity Size, milliseconds Duration) {
    JobSpec Spec{Id, Customer, Kind, Tasks, Size, Duration, true, true};
    BOOST_REQUIRE(
        TestedScheduler->checkFeasible(Spec, {1'000'000, 1'000'000, 100}));
    TestedScheduler->submit(Spec);
    run();
  }

  void run() {
    TestedScheduler->schedule();
    for (const Command &Each : TestedScheduler->takeCommands()) {
      if (const auto *Start = std::get_if<StartTask>(&Each)) {
        Running[Start->Task] = Start->Vm;
        TestedScheduler->taskStarted(Start->Task);
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
      TestedScheduler->taskEnded(Each.Task, false, true);
    }
    run();
  }

  /// \p Task is a copy because it may be the key of the entry that is erased.
  void end(TaskAttempt Task, bool Failed = false) {
    Running.erase(Task);
    TestedScheduler->taskEnded(Task, Failed, false);
    run();
  }

  std::multiset<std::string> vmsOf(const std::string &Job) const {
    std::multiset<std::string> VmIds;
    for (const auto &[Task, Vm] : Running)
      if (Task.Task.Job == Job)
        VmIds.insert(Vm);
    return VmIds;
  }
};

constexpr Capacity SmallVmSize{16000, 32000, 0};
constexpr Capacity LargeVmSize{64000, 256000, 8};

} // namespace

BOOST_AUTO_TEST_CASE(serviceTasksAreSpreadOverRacks) {
  SchedulerFixture Fixture;
  for (int Index = 0; Index < 9; ++Index)
    Fixture.addVm(fmt::format("vm{}", Index), fmt::format("rack{}", Index / 3),
                  SmallVmSize);
  Fixture.submit("svc", "plain", JobKind::Service, 3, {1000, 1000, 0}, {});
  std::set<char> Racks;
  for (const std::string &Vm : Fixture.vmsOf("svc"))
    Racks.insert(static_cast<char>('0' + (Vm.back() - '0') / 3));
  BOOST_CHECK_EQUAL(Racks.size(), 3);
}

BOOST_AUTO_TEST_CASE(batchTasksArePackedOntoOneVm) {
  SchedulerFixture Fixture;
  for (int Index = 0; Index < 4; ++Index)
    Fixture.addVm(fmt::format("vm{}", Index), "rack", SmallVmSize);
  Fixture.submit("batch", "plain", JobKind::Batch, 8, {2000, 2000, 0},
                 milliseconds(1000));
  const auto Vms = Fixture.vmsOf("batch");
  BOOST_CHECK_EQUAL(std::set(Vms.begin(), Vms.end()).size(), 1);
}

BOOST_AUTO_TEST_CASE(acceleratorVmsAreUsedLastForOtherTasks) {
  SchedulerFixture Fixture;
  Fixture.addVm("gpu", "rack", LargeVmSize);
  Fixture.addVm("plain", "rack", SmallVmSize);
  Fixture.submit("first", "plain", JobKind::Batch, 8, {2000, 2000, 0},
                 milliseconds(1000));
  BOOST_CHECK_EQUAL(Fixture.vmsOf("first").count("gpu"), 0);
  Fixture.submit("more", "plain", JobKind::Batch, 1, {2000, 2000, 0},
                 milliseconds(1000));
  BOOST_CHECK_EQUAL(Fixture.vmsOf("more").count("gpu"), 1);
}

BOOST_AUTO_TEST_CASE(gangIsNotStarvedByBackfill) {
  SchedulerFixture Fixture;
  for (int Index = 0; Index < 4; ++Index)
    Fixture.addVm(fmt::format("vm{}", Index), "rack", SmallVmSize);
  const milliseconds Duration(1000);
  for (int Index = 0; Index < 8; ++Index)
    Fixture.submit(fmt::format("old{}", Index), "plain", JobKind::Batch, 1,
                   {8000, 8000, 0}, Duration);
  Fixture.submit("gang", "plain", JobKind::Gang, 4, {16000, 16000, 0},
                 Duration);
  int Rounds = 0;
  // Half of a VM becomes free every 125 ms, and a new job that would take it is
  // always waiting.
  for (; Rounds < 400 && Fixture.vmsOf("gang").empty(); ++Rounds) {
    Fixture.Clock.advance(milliseconds(125));
    Fixture.submit(fmt::format("new{}", Rounds), "plain", JobKind::Batch, 1,
                   {8000, 8000, 0}, Duration);
    if (!Fixture.Running.empty())
      Fixture.end(Fixture.Running.begin()->first);
  }
  BOOST_CHECK_EQUAL(Fixture.vmsOf("gang").size(), 4);
  // 2000 ms until the reservation, then time for the running tasks to end.
  BOOST_CHECK_LE(Rounds * 125, 2000 + 4 * Duration.count());
}

BOOST_AUTO_TEST_CASE(shortTaskIsBackfilledBeforeReservation) {
  SchedulerFixture Fixture;
  Fixture.addVm("vm0", "rack", SmallVmSize);
  Fixture.submit("long", "plain", JobKind::Batch, 1, {8000, 8000, 0},
                 milliseconds(60000));
  Fixture.submit("big", "plain", JobKind::Batch, 1, {16000, 16000, 0},
                 milliseconds(1000));
  Fixture.Clock.advance(milliseconds(3000));
  Fixture.run();
  Fixture.submit("endless", "plain", JobKind::Batch, 1, {8000, 8000, 0},
                 milliseconds(100000));
  BOOST_CHECK(Fixture.vmsOf("endless").empty());
  Fixture.submit("short", "plain", JobKind::Batch, 1, {8000, 8000, 0},
                 milliseconds(1000));
  BOOST_CHECK_EQUAL(Fixture.vmsOf("short").size(), 1);
}

BOOST_AUTO_TEST_CASE(urgentTaskPreemptsOnlyCheckpointableTasks) {
  SchedulerFixture Fixture;
  Fixture.addVm("vm0", "rack", SmallVmSize);
  Fixture.addVm("vm1", "rack", SmallVmSize);
  JobSpec FixedJob{"fixed", "plain",     JobKind::Batch,
                   1,       SmallVmSize, milliseconds(1000),
                   true,    false};
  Fixture.TestedScheduler->submit(FixedJob);
  Fixture.run();
  Fixture.submit("soft", "plain", JobKind::Batch, 1, SmallVmSize,
                 milliseconds(1000));
  Fixture.submit("urgent", "counter", JobKind::Batch, 1, {4000, 4000, 0},
                 milliseconds(100));
  BOOST_REQUIRE_EQUAL(Fixture.Stops.size(), 1);
  BOOST_CHECK_EQUAL(Fixture.Stops[0].Task.Task.Job, "soft");
  BOOST_CHECK(Fixture.Stops[0].Checkpoint);
  BOOST_CHECK(Fixture.vmsOf("urgent").empty());
  Fixture.confirmStops();
  BOOST_CHECK_EQUAL(Fixture.vmsOf("urgent").size(), 1);
  BOOST_CHECK_EQUAL(Fixture.TestedScheduler->job("soft")->WaitingCount, 1);
}

BOOST_AUTO_TEST_CASE(failingVmIsQuarantinedThenPutOnProbation) {
  SchedulerFixture Fixture;
  Fixture.addVm("bad", "rack", SmallVmSize);
  for (int Index = 0; Index < 3; ++Index) {
    Fixture.submit(fmt::format("job{}", Index), "plain", JobKind::Batch, 1,
                   {1000, 1000, 0}, milliseconds(1000));
    Fixture.end(Fixture.Running.begin()->first, true);
  }
  Fixture.submit("waits", "plain", JobKind::Batch, 2, {1000, 1000, 0},
                 milliseconds(1000));
  BOOST_CHECK(Fixture.vmsOf("waits").empty());
  Fixture.Clock.advance(Fixture.Options.QuarantineMin + milliseconds(1));
  Fixture.run();
  // On probation the VM gets one task; the next starts once that one succeeds.
  BOOST_CHECK_EQUAL(Fixture.vmsOf("waits").size(), 1);
  Fixture.Clock.advance(milliseconds(100));
  Fixture.end(Fixture.Running.begin()->first);
  BOOST_CHECK_EQUAL(Fixture.vmsOf("waits").size(), 1);
}

BOOST_AUTO_TEST_CASE(taskAboveDeclaredSizeIsThrottledOrStopped) {
  SchedulerFixture Fixture;
  Fixture.addVm("vm0", "rack", {4000, 4000, 0});
  Fixture.submit("liar", "plain", JobKind::Batch, 1, {1000, 1000, 0},
                 milliseconds(1000));
  Fixture.submit("honest", "plain", JobKind::Batch, 1, {1000, 2000, 0},
                 milliseconds(1000));
  const TaskAttempt FirstAttempt{{"liar", 0},
                                 Fixture.Running.begin()->first.Attempt};
  TaskAttempt Task = FirstAttempt;
  for (const auto &[Each, Vm] : Fixture.Running)
    if (Each.Task.Job == "liar")
      Task = Each;
  Fixture.TestedScheduler->usageReported(Task, {3000, 1000, 0});
  Fixture.run();
  BOOST_REQUIRE_EQUAL(Fixture.Throttles.size(), 1);
  // 500 MB more than declared fit and are taken from the VM's free capacity.
  Fixture.TestedScheduler->usageReported(Task, {1000, 1500, 0});
  Fixture.run();
  BOOST_CHECK_EQUAL(Fixture.TestedScheduler->vms()[0].FreeCapacity.MemoryMb,
                    500);
  // 3000 MB don't fit beside the memory allocated to the other task.
  Fixture.TestedScheduler->usageReported(Task, {1000, 3000, 0});
  Fixture.run();
  BOOST_REQUIRE_EQUAL(Fixture.Stops.size(), 1);
  BOOST_CHECK_EQUAL(Fixture.Stops[0].Task.Task.Job, "liar");
}

BOOST_AUTO_TEST_CASE(lostNonRestartableTaskEndsUnknown) {
  SchedulerFixture Fixture;
  Fixture.addVm("vm0", "rack", SmallVmSize);
  Fixture.addVm("vm1", "rack", SmallVmSize);
  JobSpec NonRestartableJob{
      "once", "plain", JobKind::Batch, 1, {1000, 1000, 0}, milliseconds(1000),
      false,  false};
  Fixture.TestedScheduler->submit(NonRestartableJob);
  Fixture.run();
  Fixture.TestedScheduler->vmTasksEnded(Fixture.Running.begin()->second, true);
  Fixture.run();
  BOOST_CHECK_EQUAL(Fixture.Running.size(), 1);
  BOOST_CHECK(Fixture.Ended.at("once") == JobOutcome::Unknown);
}

// The VM's lease lapses, so the task waits to run again; then the VM is claimed
// and reports that the first attempt had ended.
BOOST_AUTO_TEST_CASE(lateEndPreventsRestart) {
  SchedulerFixture Fixture;
  Fixture.addVm("vm0", "rack", SmallVmSize);
  Fixture.submit("job", "plain", JobKind::Batch, 1, {1000, 1000, 0},
                 milliseconds(1000));
  const TaskAttempt First = Fixture.Running.begin()->first;
  Fixture.Running.clear();
  Fixture.TestedScheduler->vmTasksEnded("vm0", false);
  Fixture.run();
  Fixture.TestedScheduler->taskEnded(First, false, false);
  Fixture.TestedScheduler->vmClaimed("vm0", {});
  Fixture.run();
  BOOST_CHECK(Fixture.Running.empty());
  BOOST_CHECK(Fixture.Ended.at("job") == JobOutcome::Done);
}

// As above, but the second attempt already runs on another VM.
BOOST_AUTO_TEST_CASE(lateEndStopsSecondAttempt) {
  SchedulerFixture Fixture;
  Fixture.addVm("vm0", "rack", SmallVmSize);
  Fixture.addVm("vm1", "rack", SmallVmSize);
  Fixture.submit("job", "plain", JobKind::Batch, 1, {1000, 1000, 0},
                 milliseconds(1000));
  const TaskAttempt First = Fixture.Running.begin()->first;
  const std::string Vm = Fixture.Running.begin()->second;
  Fixture.Running.clear();
  Fixture.TestedScheduler->vmTasksEnded(Vm, false);
  Fixture.run();
  BOOST_REQUIRE_EQUAL(Fixture.Running.size(), 1);
  Fixture.TestedScheduler->taskEnded(First, false, false);
  Fixture.run();
  BOOST_REQUIRE_EQUAL(Fixture.Stops.size(), 1);
  Fixture.confirmStops();
  BOOST_CHECK(Fixture.Running.empty());
  BOOST_CHECK(Fixture.Ended.at("job") == JobOutcome::Done);
}

BOOST_AUTO_TEST_CASE(endOfNonexistentTaskIsIgnored) {
  SchedulerFixture Fixture;
  Fixture.addVm("vm0", "rack", SmallVmSize);
  Fixture.submit("job", "plain", JobKind::Batch, 1, {1000, 1000, 0},
                 milliseconds(1000));
  // Reports of VMs are untrusted input: the index may be out of range.
  for (const int Index : {-1, 1, 1 << 28})
    Fixture.TestedScheduler->taskEnded(TaskAttempt{{"job", Index}, 0}, false,
                                       false);
  Fixture.run();
  BOOST_CHECK_EQUAL(Fixture.TestedScheduler->job("job")->RunningCount, 1);
}

BOOST_AUTO_TEST_CASE(cancellingManyJobsEndsAllOfThem) {
  SchedulerFixture Fixture;
  Fixture.addVm("vm0", "rack", SmallVmSize);
  for (int Index = 0; Index < 2000; ++Index)
    Fixture.submit(fmt::format("job{}", Index), "plain", JobKind::Batch, 5,
                   {1000, 1000, 0}, milliseconds(1000));
  for (int Index = 0; Index < 2000; ++Index)
    Fixture.TestedScheduler->cancel(fmt::format("job{}", Index));
  Fixture.run();
  Fixture.confirmStops();
  BOOST_CHECK_EQUAL(Fixture.Ended.size(), 2000);
  BOOST_CHECK(Fixture.TestedScheduler->jobs().empty());
  BOOST_CHECK(Fixture.TestedScheduler->held("plain") == Capacity{});
}
