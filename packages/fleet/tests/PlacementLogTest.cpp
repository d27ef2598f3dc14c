// What an owner's log tells about the tasks of a step on a VM, and about orders
// that outlive an incarnation of a VM.

#include <algorithm>
#include <utility>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "PoolTestSupport.h"

using namespace cuminroad;

namespace {

/// One owner, and one VM.
struct OwnerLogFixture {
  OwnerLogFixture() {
    Vms.add("vm0", 1);
    Vms.PlanRun = [](const TaskRun &) {
      return std::pair{milliseconds(60000), RunOutcome::Done};
    };
    list();
    ControlLoop.runFor(milliseconds(2000));
    BOOST_REQUIRE(Daemon.owns());
  }

  void list() {
    Daemon.listVms({StoredRow{RowName{"vms", "", "vm0"},
                              fmt::format("4 {}", Incarnation), 1, false}});
  }
  void submit(const std::string &Job, int Tasks, int MaxPerVm) {
    StepPlan Step;
    Step.Tasks = Tasks;
    Step.PerTask = TestTaskSize;
    Step.Estimate = milliseconds(900);
    Step.MaxPerVm = MaxPerVm;
    submitTestJob(Rows, Job, std::move(Step));
  }
  std::vector<Event> eventsOf(EventId Id) const {
    std::vector<Event> Out;
    for (const Event &Each : Daemon.events())
      if (Each.Id == Id)
        Out.push_back(Each);
    return Out;
  }

  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeVms Vms{ControlLoop};
  TestDaemon Daemon{"a", ControlLoop, Rows, Vms, makeTestQueue()};
  std::int64_t Incarnation = 1;
};

const std::string Job = "00000000000000aa";

bool contains(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

// Guards against a log that can't tell which tasks of a step the owner believed
// to be on a VM when it placed another there.
BOOST_FIXTURE_TEST_CASE(startOfALimitedStepIsLoggedWithTheTasksBesideIt,
                        OwnerLogFixture) {
  submit(Job, 2, 2);
  submit("00000000000000bb", 1, 0);
  ControlLoop.runFor(milliseconds(1000));
  BOOST_CHECK_EQUAL(eventsOf(EventId::RunStarted).size(), 3);
  const std::vector<Event> Orders = eventsOf(EventId::RunOrdered);
  BOOST_REQUIRE_EQUAL(Orders.size(), 2);
  BOOST_CHECK_EQUAL(Orders[0].Subject, Job + ".0.0.0#1");
  BOOST_CHECK(
      Orders[0].Detail.starts_with("vm0 step_on_vm 0 of 2 incarnation 1 "));
  BOOST_CHECK(Orders[1].Detail.starts_with(
      "vm0 step_on_vm 1 of 2 runs 0#1 incarnation 1 report_age_ms "));
  const std::string Token = fmt::format("{}", (std::int64_t{1} << 28) + 1);
  for (const Event &Each : Orders)
    BOOST_CHECK(Each.Detail.ends_with(" token " + Token));
}

// Guards against a log that can't tell which orders are void: the VM restarts
// while a start is under way, and refuses it when it arrives.
BOOST_FIXTURE_TEST_CASE(orderThatOutlivesAnIncarnationIsLogged,
                        OwnerLogFixture) {
  Daemon.Calls.NextFault = [this, Starts = 0](const std::string &) mutable {
    const bool IsFirstStart = std::exchange(Starts, Daemon.Calls.StartCalls) <
                              std::min(Daemon.Calls.StartCalls, 1);
    Daemon.Calls.Latency = milliseconds(IsFirstStart ? 300 : 4);
    return VmCallFault{};
  };
  submit(Job, 1, 1);
  while (Daemon.Calls.StartCalls == 0)
    ControlLoop.runFor(milliseconds(1));
  Vms.restart("vm0", ++Incarnation);
  list();
  ControlLoop.runFor(milliseconds(2000));
  const std::int64_t FirstToken = (std::int64_t{1} << 28) + 1;
  const std::vector<Event> Orders = eventsOf(EventId::RunOrdered);
  BOOST_REQUIRE(!Orders.empty());
  BOOST_CHECK(contains(Orders[0].Detail, " incarnation 1 "));
  BOOST_CHECK(Orders[0].Detail.ends_with(fmt::format(" token {}", FirstToken)));
  const std::vector<Event> Raised = eventsOf(EventId::VmTokenRaised);
  BOOST_REQUIRE_EQUAL(Raised.size(), 1);
  BOOST_CHECK_EQUAL(Raised[0].Subject, "vm0");
  BOOST_CHECK_EQUAL(
      Raised[0].Detail,
      fmt::format("pool vm_restarted incarnation 2 token {}", FirstToken + 1));
  const std::vector<Event> Voided = eventsOf(EventId::VmOrderVoided);
  BOOST_REQUIRE_EQUAL(Voided.size(), 1);
  BOOST_CHECK_EQUAL(Voided[0].Subject, Job + ".0.0.0#1");
  BOOST_CHECK_EQUAL(
      Voided[0].Detail,
      fmt::format("vm0 start token {} raised {}", FirstToken, FirstToken + 1));
}

// Guards against a log that can't tell which runs of a VM its owner did not
// count, or that tells of them with each report.
BOOST_FIXTURE_TEST_CASE(runThatTheOwnerDidNotCountIsLoggedOnce,
                        OwnerLogFixture) {
  Vms.PlanStop = [](const TaskRun &) { return milliseconds(2000); };
  StartOrder Late;
  Late.Run = TaskRun{{{Job, 0, 0}, 3}, 2};
  Late.LeaseUntil = Vms.vmTime("vm0") + milliseconds(5000);
  Vms.start(VmTarget{"vm0", "vm0:1", (std::int64_t{1} << 28) + 1, false}, Late);
  ControlLoop.runFor(milliseconds(5000));
  const std::vector<Event> Unknown = eventsOf(EventId::RunUnknown);
  BOOST_REQUIRE_EQUAL(Unknown.size(), 1);
  BOOST_CHECK_EQUAL(Unknown[0].Subject, Job + ".0.0.3#2");
  BOOST_CHECK_EQUAL(Unknown[0].Detail, "vm0 incarnation 1 stopped");
}
