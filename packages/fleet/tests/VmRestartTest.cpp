// The leases of a VM that restarts while its answers are lost.

#include <boost/test/unit_test.hpp>

#include "VmLinkFixture.h"

using namespace cuminroad;

namespace {

/// Calls to a VM whose clock starts anew when it restarts.
class RestartingVmCalls final : public VmCalls {
public:
  RestartingVmCalls(FakeVms &Vms, FakeLoop &ControlLoop)
      : Vms_(Vms), ControlLoop_(ControlLoop) {}

  void restart(std::int64_t Incarnation) {
    BootedAt_ = now();
    Vms_.restart("a", Incarnation);
  }
  void start(const VmTarget &Vm, const StartOrder &Order, milliseconds Timeout,
             OrderDone Done) override {
    send<OrderAnswer>(StartFault, Timeout, std::move(Done), [this, Vm, Order] {
      StartOrder Local = Order;
      Local.LeaseUntil += BootedAt_;
      OrderAnswer Answer = Vms_.start(Vm, Local);
      Answer.VmClock = now() - BootedAt_;
      return Answer;
    });
  }
  void stop(const VmTarget &Vm, const TaskRun &Run, milliseconds Timeout,
            OrderDone Done) override {
    send<OrderAnswer>(HoldFault, Timeout, std::move(Done),
                      [this, Vm, Run] { return Vms_.stop(Vm, Run); });
  }
  void throttle(const VmTarget &, const TaskRun &, int, milliseconds,
                OrderDone) override {}
  void hold(const VmTarget &Vm, const HoldOrder &Order, milliseconds Timeout,
            HoldDone Done) override {
    send<HoldAnswer>(HoldFault, Timeout, std::move(Done), [this, Vm, Order] {
      HoldOrder Local = Order;
      Local.LeaseUntil += BootedAt_;
      HoldAnswer Answer = Vms_.hold(Vm, Local);
      Answer.VmClock = now() - BootedAt_;
      return Answer;
    });
  }

  VmCallFault::FaultKind StartFault = VmCallFault::None;
  VmCallFault::FaultKind HoldFault = VmCallFault::None;

private:
  milliseconds now() const {
    return std::chrono::duration_cast<milliseconds>(
        ControlLoop_.MonotonicClock.now().time_since_epoch());
  }
  template <typename T, typename Order>
  void send(VmCallFault::FaultKind Fault, milliseconds Timeout,
            std::function<void(Result<T>)> Done, Order Execute) {
    static constexpr milliseconds Latency{4};
    ControlLoop_.after(Latency, [this, Fault, Execute, Done] {
      if (Fault == VmCallFault::RequestLost)
        return;
      const T Answer = Execute();
      if (Fault == VmCallFault::None)
        ControlLoop_.after(Latency, [Done, Answer] { Done(Answer); });
    });
    if (Fault != VmCallFault::None)
      ControlLoop_.after(Timeout,
                         [Done] { Done(failure(ErrorCode::Timeout)); });
  }

  FakeVms &Vms_;
  FakeLoop &ControlLoop_;
  milliseconds BootedAt_{0};
};

/// A link to a VM that has run for long and restarts.
struct RestartFixture : VmLinkFixture {
  RestartFixture() {
    Vms.PlanRun = [](const TaskRun &) {
      return std::pair{milliseconds(60000), RunOutcome::Done};
    };
    ControlLoop.runFor(milliseconds(100000));
    VmEntry Entry;
    Entry.Vm.Id = "a";
    Entry.Vm.Incarnation = 1;
    Entry.Address = "a:1";
    VmLink::Options Options;
    Link = std::make_shared<VmLink>(Entry, Options, Tokens, RestartingCalls,
                                    ControlLoop, ControlLoop.MonotonicClock,
                                    *this);
    Link->start();
    ControlLoop.runFor(milliseconds(500));
  }
  /// Checks that the lease is reported as expired when no run is left.
  void checkLeaseExpiredAfterRuns() const {
    BOOST_REQUIRE(LeaseExpiredAt);
    BOOST_REQUIRE(!Vms.RunHistory.empty());
    BOOST_CHECK(!Vms.RunHistory.back().IsStart);
    BOOST_CHECK(Vms.RunHistory.back().Time <= *LeaseExpiredAt);
  }

  void onStartAnswered(VmLink &Vm, const TaskRun &Run, StartOutcome Outcome,
                       std::string_view Reason) override {
    VmLinkFixture::onStartAnswered(Vm, Run, Outcome, Reason);
    if (OnStartAnswered)
      OnStartAnswered();
  }

  std::function<void()> OnStartAnswered;
  RestartingVmCalls RestartingCalls{Vms, ControlLoop};
};

} // namespace

// Guards against leases that are counted by the clock of the VM's earlier
// incarnation, which was far ahead: the runs of a VM that is gone would count
// as alive for as long as the VM had been up.
BOOST_FIXTURE_TEST_CASE(leaseOfARestartedVmEndsThoughOnlyAStartWasAnswered,
                        RestartFixture) {
  RestartingCalls.StartFault = VmCallFault::RequestLost;
  RestartingCalls.HoldFault = VmCallFault::RequestLost;
  Link->startRun(startOf(), "spec");
  RestartingCalls.restart(2);
  RestartingCalls.StartFault = VmCallFault::None;
  ControlLoop.runFor(milliseconds(500));
  BOOST_REQUIRE(Outcomes == std::vector{StartOutcome::Accepted});
  RestartingCalls.StartFault = VmCallFault::RequestLost;
  ControlLoop.runFor(milliseconds(12000));
  checkLeaseExpiredAfterRuns();
}

// Guards against a run that starts on a VM's new incarnation after it was given
// up: a repeat of the start was accepted by the earlier incarnation, and the
// first try is carried out late.
BOOST_FIXTURE_TEST_CASE(lateTryOfAnAcceptedStartIsVoidAfterARestart,
                        VmLinkFixture) {
  Vms.PlanRun = [](const TaskRun &) {
    return std::pair{milliseconds(60000), RunOutcome::Done};
  };
  connect();
  ControlLoop.runFor(milliseconds(500));
  Calls.NextFault = [this](const std::string &) {
    Calls.NextFault = nullptr;
    return VmCallFault{VmCallFault::Delayed, milliseconds(2500)};
  };
  Link->startRun(startOf(), "spec");
  ControlLoop.runFor(milliseconds(1000));
  BOOST_REQUIRE(Outcomes == std::vector{StartOutcome::Accepted});
  Vms.restart("a", 7);
  ControlLoop.runFor(milliseconds(5000));
  BOOST_CHECK_EQUAL(Vms.FencedCalls, 1);
  BOOST_CHECK_EQUAL(Vms.RunHistory.size(), 2);
}

// Guards against a start that reaches a VM's new incarnation after the owner
// has seen it, and after another task was started there: all stops are lost.
BOOST_FIXTURE_TEST_CASE(lateStartIsVoidOnceTheNewIncarnationIsReported,
                        VmLinkFixture) {
  connect();
  ControlLoop.runFor(milliseconds(500));
  Calls.LoseStops = true;
  Calls.NextFault = [this](const std::string &) {
    Calls.NextFault = nullptr;
    return VmCallFault{VmCallFault::Delayed, milliseconds(2500)};
  };
  Link->startRun(startOf(), "spec");
  ControlLoop.runFor(milliseconds(100));
  Vms.restart("a", 7);
  while (LastAnswer.Incarnation != 7)
    ControlLoop.runFor(milliseconds(1));
  ControlLoop.runFor(milliseconds(5000));
  BOOST_CHECK_EQUAL(Vms.FencedCalls, 1);
  BOOST_CHECK(Vms.RunHistory.empty());
}

// Guards against a VM that gets no task for a second after an unseen restart,
// since the hold with the raised token waits for an end of a run.
BOOST_FIXTURE_TEST_CASE(newIncarnationIsReportedWithoutALongPoll,
                        VmLinkFixture) {
  connect();
  ControlLoop.runFor(milliseconds(500));
  Vms.restart("a", 7);
  TimePoint LastSentAt{};
  for (int Sent = Calls.HoldCalls; LastAnswer.Incarnation != 7;) {
    ControlLoop.runFor(milliseconds(1));
    if (std::exchange(Sent, Calls.HoldCalls) != Calls.HoldCalls)
      LastSentAt = ControlLoop.MonotonicClock.now();
  }
  BOOST_CHECK(ControlLoop.MonotonicClock.now() - LastSentAt <=
              Calls.Latency * 2);
}

// Guards against a start that reaches a VM's new incarnation after the VM was
// not listed for a while, so that the link that had sent it was removed.
BOOST_FIXTURE_TEST_CASE(lateStartOfAnEarlierLinkIsVoid, VmLinkFixture) {
  connect();
  ControlLoop.runFor(milliseconds(500));
  Calls.NextFault = [this](const std::string &) {
    Calls.NextFault = nullptr;
    return VmCallFault{VmCallFault::Delayed, milliseconds(2500)};
  };
  Link->startRun(startOf(), "spec");
  Link->close();
  Vms.restart("a", 7);
  connect();
  ControlLoop.runFor(milliseconds(5000));
  BOOST_CHECK_EQUAL(Vms.FencedCalls, 1);
  BOOST_CHECK(Vms.RunHistory.empty());
}

// Guards against a start that is given up and carried out later, by a VM whose
// clock says that its lease has not expired.
BOOST_FIXTURE_TEST_CASE(startIsVoidOnceItIsGivenUp, VmLinkFixture) {
  connect();
  ControlLoop.runFor(milliseconds(500));
  Calls.StartDelay = milliseconds(6000);
  Link->startRun(startOf(), "spec");
  while (Outcomes.empty())
    ControlLoop.runFor(milliseconds(10));
  ControlLoop.runFor(milliseconds(10000));
  BOOST_CHECK(Outcomes == std::vector{StartOutcome::OldRun});
  BOOST_CHECK_EQUAL(Vms.FencedCalls, Calls.StartCalls);
  BOOST_CHECK(Vms.RunHistory.empty());
  BOOST_REQUIRE_EQUAL(RaisedTokens.size(), 1);
  BOOST_CHECK_EQUAL(RaisedTokens[0].second, "start_given_up");
}

// Guards against an owner that gives its pool up, since a VM refuses an order
// that the owner itself has voided.
BOOST_FIXTURE_TEST_CASE(voidedOrderIsNotTakenForANewerOwner, VmLinkFixture) {
  connect();
  ControlLoop.runFor(milliseconds(500));
  const milliseconds Latency = std::exchange(Calls.Latency, milliseconds(300));
  Link->startRun(startOf(), "spec");
  Calls.Latency = Latency;
  Vms.restart("a", 7);
  ControlLoop.runFor(milliseconds(2000));
  BOOST_CHECK_EQUAL(Vms.FencedCalls, 1);
  BOOST_CHECK(!Fenced);
  BOOST_CHECK(Outcomes == std::vector{StartOutcome::OldRun});
  BOOST_CHECK(Vms.RunHistory.empty());
}

// Guards against a log that can't tell why a start came to nothing: its token
// was raised before it arrived.
BOOST_FIXTURE_TEST_CASE(raisedTokenAndVoidedOrderAreReported, VmLinkFixture) {
  connect();
  ControlLoop.runFor(milliseconds(500));
  const std::int64_t First = Link->fencingToken();
  const milliseconds Latency = std::exchange(Calls.Latency, milliseconds(300));
  Link->startRun(startOf(), "spec");
  Calls.Latency = Latency;
  BOOST_CHECK(RaisedTokens.empty());
  Vms.restart("a", 7);
  ControlLoop.runFor(milliseconds(2000));
  BOOST_REQUIRE_EQUAL(RaisedTokens.size(), 1);
  BOOST_CHECK_GT(RaisedTokens[0].first, First);
  BOOST_CHECK_EQUAL(RaisedTokens[0].second, "vm_restarted");
  BOOST_REQUIRE_EQUAL(VoidedOrders.size(), 1);
  BOOST_CHECK_EQUAL(VoidedOrders[0].Order, "start");
  BOOST_CHECK(VoidedOrders[0].HasRun);
  BOOST_CHECK_EQUAL(VoidedOrders[0].FencingToken, First);
  Vms.crash("a");
  ControlLoop.runFor(milliseconds(15000));
  BOOST_REQUIRE_EQUAL(RaisedTokens.size(), 2);
  BOOST_CHECK_GT(RaisedTokens[1].first, RaisedTokens[0].first);
  BOOST_CHECK_EQUAL(RaisedTokens[1].second, "lease_expired");
}

// Guards against a start that is repeated until a VM's new incarnation, of
// which the owner knows nothing, carries it out: the VM refused connections in
// between, and the answer to a hold is lost.
BOOST_FIXTURE_TEST_CASE(startIsNotRepeatedAfterTheVmRefusedConnections,
                        VmLinkFixture) {
  connect();
  ControlLoop.runFor(milliseconds(500));
  Calls.NextFault = [](const std::string &) {
    return VmCallFault{VmCallFault::RequestLost, milliseconds(0)};
  };
  Link->startRun(startOf(), "spec");
  ControlLoop.runFor(milliseconds(200));
  Calls.NextFault = nullptr;
  Vms.crash("a");
  ControlLoop.runFor(milliseconds(500));
  Vms.restart("a", 7);
  ControlLoop.runFor(milliseconds(5000));
  BOOST_CHECK(Outcomes == std::vector{StartOutcome::OldRun});
  BOOST_CHECK(Vms.RunHistory.empty());
}

// Guards against a task that is started elsewhere while it runs on a VM that
// has restarted unseen: a repeated start reached the new incarnation, by whose
// clock the start's deadline is far off.
BOOST_FIXTURE_TEST_CASE(leaseOfAnUnseenRestartIsCounted, RestartFixture) {
  RestartingCalls.StartFault = VmCallFault::ResponseLost;
  RestartingCalls.HoldFault = VmCallFault::ResponseLost;
  RestartingCalls.restart(2);
  Link->startRun(startOf(), "spec");
  ControlLoop.runFor(milliseconds(30000));
  checkLeaseExpiredAfterRuns();
}

// Guards against a task that is started elsewhere while it runs on a VM that
// has restarted: the VM is cut off before it has seen the raised token, and
// carries out the old start later than the owner assumes.
BOOST_FIXTURE_TEST_CASE(lateStartOnACutOffVmEndsBeforeItsLeaseCountsAsExpired,
                        RestartFixture) {
  RestartingCalls.StartFault = VmCallFault::RequestLost;
  Link->startRun(startOf(), "spec");
  ControlLoop.runFor(milliseconds(50));
  RestartingCalls.restart(2);
  OnStartAnswered = [this] {
    RestartingCalls.HoldFault = VmCallFault::RequestLost;
  };
  ControlLoop.runFor(milliseconds(3000));
  BOOST_REQUIRE(Outcomes == std::vector{StartOutcome::OldRun});
  RestartingCalls.StartFault = VmCallFault::None;
  RestartingCalls.start(
      VmTarget{"a", "a:1", FencingTokens(1).next(), false},
      StartOrder{LinkRun, "spec", milliseconds(104000), "", ""},
      milliseconds(500), [](const Result<OrderAnswer> &) {});
  ControlLoop.runFor(milliseconds(40000));
  checkLeaseExpiredAfterRuns();
}

// Guards against a task that runs again after its end was taken note of: the
// acknowledgement for a VM's earlier incarnation reaches the next one, on which
// a run was started and has ended between two holds.
BOOST_FIXTURE_TEST_CASE(endOnAnUnseenIncarnationIsNotAcknowledged,
                        RestartFixture) {
  Vms.PlanRun = [](const TaskRun &) {
    return std::pair{milliseconds(20), RunOutcome::Done};
  };
  RecordingDelay = milliseconds(150);
  Link->startRun(startOf(), "spec");
  while (EndedRuns.empty())
    ControlLoop.runFor(milliseconds(1));
  RestartingCalls.restart(2);
  const TaskRun Next{LinkRun.Task, 2};
  StartRun Command = startOf();
  Command.Run = Next;
  Link->startRun(Command, "spec");
  ControlLoop.runFor(milliseconds(5000));
  BOOST_REQUIRE_EQUAL(Outcomes.size(), 2);
  BOOST_CHECK(Outcomes[1] == StartOutcome::Accepted);
  BOOST_CHECK(EndedRuns.contains(Next));
}

// Guards against a lost end: the new incarnation accepts starts before it is
// held, and its answers to them counted as those of the earlier incarnation, so
// that the next hold acknowledged the earlier one's ends.
BOOST_FIXTURE_TEST_CASE(answeredStartsDontHideARestart, RestartFixture) {
  Vms.PlanRun = [](const TaskRun &) {
    return std::pair{milliseconds(20), RunOutcome::Done};
  };
  RecordingDelay = milliseconds(500);
  Link->startRun(startOf(), "spec");
  while (EndedRuns.empty())
    ControlLoop.runFor(milliseconds(1));
  RestartingCalls.restart(2);
  std::set<TaskRun> Runs;
  for (int Index = 1; Index <= 4; ++Index) {
    StartRun Command = startOf();
    Command.Run.Task.Index = Index;
    Runs.insert(Command.Run);
    Link->startRun(Command, "spec");
    ControlLoop.runFor(milliseconds(100));
  }
  ControlLoop.runFor(milliseconds(5000));
  BOOST_REQUIRE_EQUAL(Vms.RunHistory.size(), 10);
  for (const TaskRun &Run : Runs)
    BOOST_CHECK(EndedRuns.contains(Run));
}
