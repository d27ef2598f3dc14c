// A VM leaves single orders unanswered and carries them out seconds later.

#include <random>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "VmLinkFixture.h"

using namespace cuminroad;

namespace {

using Fixture = VmLinkFixture;

void startLongRun(Fixture &Test) {
  Test.Vms.PlanRun = [](const TaskRun &) {
    return std::pair{milliseconds(60000), RunOutcome::Done};
  };
  Test.connect();
  Test.ControlLoop.runFor(milliseconds(500));
  Test.Link->startRun(startOf(), "spec");
  Test.ControlLoop.runFor(milliseconds(100));
}

VmCallFault delayed(milliseconds Delay) {
  return VmCallFault{VmCallFault::Delayed, Delay};
}

void leaveEverySecondHoldUnanswered(Fixture &Test, milliseconds Duration) {
  Test.Calls.NextFault = [Calls = 0](const std::string &) mutable {
    return ++Calls % 2 == 0 ? VmCallFault{} : delayed(milliseconds(5000));
  };
  Test.ControlLoop.runFor(Duration);
}

void awaitReport(Fixture &Test) {
  const int Before = Test.Reports;
  while (Test.Reports == Before)
    Test.ControlLoop.runFor(milliseconds(1));
}

/// Leaves half of the VM's orders unanswered.
auto halfUnanswered(std::uint32_t Seed) {
  return [Random = std::mt19937(Seed)](const std::string &) mutable {
    const auto Value = Random();
    return Value % 2 == 0 ? VmCallFault{}
                          : delayed(milliseconds(2000 + Value / 2 % 10000));
  };
}

} // namespace

// Guards against leases that expire on a VM that answers every second hold: the
// hold after an unanswered one carried no lease.
BOOST_FIXTURE_TEST_CASE(runSurvivesIfEverySecondHoldIsAnswered, Fixture) {
  startLongRun(*this);
  leaveEverySecondHoldUnanswered(*this, milliseconds(30000));
  BOOST_CHECK_EQUAL(Vms.RunHistory.size(), 1);
  BOOST_CHECK(!LeaseExpiredAt);
}

// Guards against leases that expire although some hold is answered every two
// seconds.
BOOST_AUTO_TEST_CASE(runSurvivesIfAHoldIsAnsweredEveryTwoSeconds) {
  milliseconds Tried{0};
  for (std::uint32_t Seed = 1; Seed <= 40; ++Seed) {
    Fixture Test;
    startLongRun(Test);
    Test.Calls.NextFault = halfUnanswered(Seed);
    milliseconds Silence{0};
    milliseconds Trial{0};
    while (Silence < milliseconds(2000) && Trial < milliseconds(30000)) {
      const int Before = Test.Reports;
      Test.ControlLoop.runFor(milliseconds(10));
      Trial += milliseconds(10);
      Silence =
          Test.Reports > Before ? milliseconds(0) : Silence + milliseconds(10);
    }
    Tried += Trial;
    BOOST_CHECK_MESSAGE(Test.Vms.RunHistory.size() == 1,
                        "seed " << Seed << ": the run ended within "
                                << Trial.count() << " ms");
  }
  BOOST_CHECK_GE(Tried.count(), 100000);
}

// Guards against short timeouts for a VM that is slow, and not unreliable: it
// would not be reached any more.
BOOST_FIXTURE_TEST_CASE(slowVmIsGivenTimeAfterAnUnansweredHold, Fixture) {
  startLongRun(*this);
  leaveEverySecondHoldUnanswered(*this, milliseconds(5000));
  Calls.NextFault = [](const std::string &) {
    return VmCallFault{VmCallFault::SlowResponse, milliseconds(500)};
  };
  ControlLoop.runFor(milliseconds(3000));
  UnreachableAttempts.clear();
  ControlLoop.runFor(milliseconds(20000));
  BOOST_CHECK(UnreachableAttempts.empty());
  BOOST_CHECK_EQUAL(Vms.RunHistory.size(), 1);
}

// Guards against tasks that wait long before they are given up and started
// elsewhere, as the VM that ran them may be unreliable.
BOOST_FIXTURE_TEST_CASE(silentVmExpiresSoonAlsoIfItWasUnreliable, Fixture) {
  startLongRun(*this);
  leaveEverySecondHoldUnanswered(*this, milliseconds(10000));
  Calls.NextFault = [](const std::string &) {
    return VmCallFault{VmCallFault::RequestLost, {}};
  };
  ControlLoop.runFor(milliseconds(12000));
  BOOST_CHECK(LeaseExpiredAt);
}

// Guards against tasks that wait for the longer timeout of later tries, and
// then for new advice, since their ticket has expired.
BOOST_FIXTURE_TEST_CASE(startOnAnUnreliableVmIsRepeatedAtOnce, Fixture) {
  startLongRun(*this);
  leaveEverySecondHoldUnanswered(*this, milliseconds(5000));
  Outcomes.clear();
  awaitReport(*this);
  StartRun Next = startOf();
  Next.Run.Number = 2;
  // The first three tries are unanswered; holds are answered.
  Calls.NextFault = [this, Tries = Calls.StartCalls,
                     Last = Calls.StartCalls + 3](const std::string &) mutable {
    const bool IsStart =
        std::exchange(Tries, Calls.StartCalls) < Calls.StartCalls;
    return IsStart && Tries <= Last ? delayed(milliseconds(5000))
                                    : VmCallFault{};
  };
  Link->startRun(Next, "spec");
  ControlLoop.runFor(milliseconds(1300));
  BOOST_CHECK(Outcomes == std::vector{StartOutcome::Accepted});
}

// Guards against starts that wait for a timer although the VM has answered.
BOOST_FIXTURE_TEST_CASE(startIsRepeatedOnceTheNextHoldIsAnswered, Fixture) {
  startLongRun(*this);
  Outcomes.clear();
  Calls.NextFault = [](const std::string &) {
    return VmCallFault{VmCallFault::RequestLost, {}};
  };
  StartRun Next = startOf();
  Next.Run.Number = 2;
  Link->startRun(Next, "spec");
  ControlLoop.runFor(milliseconds(2500));
  Calls.NextFault = nullptr;
  const int Before = Calls.StartCalls;
  awaitReport(*this);
  BOOST_CHECK_EQUAL(Calls.StartCalls, Before + 1);
  ControlLoop.runFor(milliseconds(100));
  BOOST_CHECK(Outcomes == std::vector{StartOutcome::Accepted});
}

// Guards against a lease that expires while a VM that answered so far leaves
// its first holds unanswered.
BOOST_FIXTURE_TEST_CASE(runSurvivesThreeUnansweredHolds, Fixture) {
  startLongRun(*this);
  awaitReport(*this);
  Calls.NextFault = [Calls = 0](const std::string &) mutable {
    return ++Calls <= 3 ? delayed(milliseconds(5000)) : VmCallFault{};
  };
  ControlLoop.runFor(milliseconds(10000));
  BOOST_CHECK_EQUAL(Vms.RunHistory.size(), 1);
}

namespace {

struct LimitedFixture : VmLinkFixture {
  TimePoint leaseLimit() const override { return Limit; }
  TimePoint Limit = TimePoint::max();
};

} // namespace

// Guards against an owner that is busy with holds while it can't renew its
// ownership: holds without a lease were sent one after the other.
BOOST_FIXTURE_TEST_CASE(holdsWithoutALeaseAreSentAtTheUsualInterval,
                        LimitedFixture) {
  RecordingDelay = milliseconds(60000);
  connect();
  ControlLoop.runFor(milliseconds(500));
  Link->startRun(startOf(), "spec");
  while (EndedRuns.empty())
    ControlLoop.runFor(milliseconds(1));
  Limit = ControlLoop.MonotonicClock.now();
  const int Before = Calls.HoldCalls;
  ControlLoop.runFor(milliseconds(6000));
  BOOST_CHECK_LE(Calls.HoldCalls - Before, 11);
}
