// The limit of tasks of a step on a VM, while orders are carried out late.

#include <algorithm>
#include <set>
#include <utility>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "PoolTestSupport.h"

using namespace cuminroad;

namespace {

constexpr milliseconds RunTime{800};

/// An owner and one VM, which may run one task of the step at a time.
struct StepLimitFixture {
  StepLimitFixture() {
    Vms.add("vm0", 1);
    Vms.PlanRun = [](const TaskRun &) {
      return std::pair{RunTime, RunOutcome::Done};
    };
    list(1);
    ControlLoop.runFor(milliseconds(2000));
    BOOST_REQUIRE(Daemon.owns());
  }

  void list(std::int64_t Incarnation) {
    Daemon.listVms({StoredRow{RowName{"vms", "", "vm0"},
                              fmt::format("4 {}", Incarnation), 1, false}});
  }
  void submit() {
    StepPlan Step;
    Step.Tasks = 2;
    Step.PerTask = TestTaskSize;
    Step.Estimate = RunTime;
    Step.MaxPerVm = 1;
    submitTestJob(Rows, "00000000000000aa", std::move(Step));
  }
  /// \returns the most runs that were on the VM at a time.
  std::size_t mostRuns() const {
    std::size_t Most = 0;
    std::set<TaskRun> Running;
    for (const RunEvent &Event : Vms.RunHistory) {
      if (Event.IsStart)
        Running.insert(Event.Run);
      else
        Running.erase(Event.Run);
      Most = std::max(Most, Running.size());
    }
    return Most;
  }

  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeVms Vms{ControlLoop};
  TestDaemon Daemon{"a", ControlLoop, Rows, Vms, makeTestQueue()};
};

} // namespace

// Guards against a run too many of a step on a VM, and against two runs of a
// task: the first try of a start is carried out after its VM has restarted
// under its id, beside the run that was started there since.
BOOST_FIXTURE_TEST_CASE(lateStartOnARestartedVmKeepsTheLimit,
                        StepLimitFixture) {
  Daemon.Calls.NextFault = [this, Starts = 0](const std::string &) mutable {
    const bool IsFirstStart =
        std::exchange(Starts, Daemon.Calls.StartCalls) == 0 && Starts == 1;
    return IsFirstStart ? VmCallFault{VmCallFault::Delayed, milliseconds(1200)}
                        : VmCallFault{};
  };
  submit();
  ControlLoop.runFor(milliseconds(700));
  BOOST_REQUIRE_EQUAL(Vms.RunHistory.size(), 1);
  Vms.restart("vm0", 2);
  list(2);
  Daemon.Calls.LoseStops = true;
  ControlLoop.runFor(milliseconds(6000));
  BOOST_CHECK_EQUAL(Vms.FencedCalls, 1);
  BOOST_CHECK_EQUAL(mostRuns(), 1);
}
