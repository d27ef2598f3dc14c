// Requests for placement advice while daemons and the advisor fail.

#include <boost/test/unit_test.hpp>

#include "PoolTestSupport.h"
#include "cuminroad/fakes/FakeRowStore.h"
#include "cuminroad/fleet/AdviceDispatcher.h"
#include "cuminroad/fleet/PeerService.h"
#include "cuminroad/pool/PoolOptions.h"

using namespace cuminroad;

namespace {

/// Fails while Failing is set, and for one job always; allows all VMs
/// otherwise.
class FlakyAdvisor final : public PlacementAdvisor {
public:
  explicit FlakyAdvisor(FakeLoop &ControlLoop) : ControlLoop_(ControlLoop) {}
  void advise(const StepName &Step, std::span<const std::string> Vms,
              milliseconds, Done Done) override {
    ++Calls;
    CalledSteps.insert(Step);
    if (Failing || Step.Job == FailingJob) {
      ControlLoop_.after(milliseconds(20),
                         [Done] { Done(failure(ErrorCode::ConnectFailed)); });
      return;
    }
    std::vector<AdviceTicket> Allowed;
    for (const std::string &Vm : Vms)
      Allowed.push_back(AdviceTicket{Vm, Step.Job});
    ControlLoop_.after(Step.Job == SlowJob ? SlowLatency : Latency,
                       [Allowed, Done] { Done(Allowed); });
  }
  milliseconds Latency{20};
  static constexpr milliseconds SlowLatency{1100};
  std::string SlowJob;
  std::set<StepName> CalledSteps;
  bool Failing = false;
  std::string FailingJob;
  int Calls = 0;

private:
  FakeLoop &ControlLoop_;
};

struct Fixture {
  explicit Fixture(bool PeersWork = false)
      : Advisor(ControlLoop), PeerStore(Rows, ControlLoop),
        PeerHttp(makePeerHandler(Pools, Advisor, PeerStore,
                                 ControlLoop.MonotonicClock),
                 ControlLoop),
        Peers(PeersWork ? static_cast<HttpClient &>(PeerHttp) : Http) {
    Dispatcher = std::make_shared<AdviceDispatcher>(
        Advisor, Peers, ControlLoop, ControlLoop.MonotonicClock, "self",
        [this](const StepName &) { return Needed; },
        [this](const StepName &Step,
               const Result<AdviceDispatcher::Answer> &Answer) {
          if (Answer)
            AnswerReceivedAt = ControlLoop.MonotonicClock.now();
          else
            requestAgain(Step);
          AnswerCounts[Step.Job] += Answer ? 1 : 0;
          QueriedVmCount = Answer ? Answer->QueriedVms.size() : 0;
        });
  }
  ~Fixture() { Dispatcher->close(); }

  /// As the pool scheduler does, but with the shortest delay each time.
  void requestAgain(const StepName &Step) {
    RequestAdvice Request = adviceRequest(Step);
    Request.AfterFailure = true;
    ControlLoop.after(PoolOptions{}.AdviceRetryMin,
                      [this, Request] { Dispatcher->requestAdvice(Request); });
  }
  static RequestAdvice adviceRequest(const StepName &Step) {
    return RequestAdvice{Step, {"vm1", "vm2"}, 20, 0, false};
  }

  FakeLoop ControlLoop;
  FlakyAdvisor Advisor;
  FailingHttpClient Http;
  FakeRows Rows;
  FakeRowStore PeerStore;
  NoOwnedPools Pools;
  PeerHttpClient PeerHttp;
  PeerCalls Peers;
  std::shared_ptr<AdviceDispatcher> Dispatcher;
  bool Needed = true;
  std::optional<TimePoint> AnswerReceivedAt;
  std::size_t QueriedVmCount = 0;
  std::map<std::string, int> AnswerCounts;
};

const StepName Step{"j", 0, 0};

} // namespace

BOOST_AUTO_TEST_CASE(adviceArrivesSoonAfterTheAdvisorRecovers) {
  // Guards against a backoff that outlasts an outage: after an outage of 5 s, a
  // step got no advice for 8.8 s, since the backoff had doubled to 8 s for
  // every daemon.
  for (int OutageMs = 1000; OutageMs <= 12000; OutageMs += 500) {
    Fixture Setup;
    Setup.Dispatcher->setPeers({{"b", {"b:1", "x"}}, {"c", {"c:1", "y"}}});
    Setup.Advisor.Failing = true;
    Setup.Dispatcher->requestAdvice(Fixture::adviceRequest(Step));
    Setup.ControlLoop.runFor(milliseconds(OutageMs));
    BOOST_CHECK(!Setup.AnswerReceivedAt);
    Setup.Advisor.Failing = false;
    const TimePoint RecoveredAt = Setup.ControlLoop.MonotonicClock.now();
    Setup.ControlLoop.runFor(milliseconds(12000));
    BOOST_REQUIRE_MESSAGE(Setup.AnswerReceivedAt, OutageMs << " ms outage");
    BOOST_CHECK_MESSAGE(*Setup.AnswerReceivedAt - RecoveredAt <=
                            milliseconds(2000),
                        OutageMs << " ms outage");
  }
}

BOOST_FIXTURE_TEST_CASE(requestThatIsNotNeededGetsAnEmptyAnswer, Fixture) {
  Needed = false;
  Dispatcher->requestAdvice(Fixture::adviceRequest(Step));
  ControlLoop.runFor(milliseconds(1000));
  BOOST_CHECK(AnswerReceivedAt);
  BOOST_CHECK_EQUAL(QueriedVmCount, 0);
  BOOST_CHECK_EQUAL(Advisor.Calls, 0);
}

BOOST_FIXTURE_TEST_CASE(failedPeerIsReplacedByAnotherDaemon, Fixture) {
  // All calls to peers fail at once.
  Dispatcher->setPeers({{"b", {"b:1", "x"}}, {"c", {"c:1", "y"}}});
  Dispatcher->requestAdvice(Fixture::adviceRequest(Step));
  ControlLoop.runFor(milliseconds(1000));
  BOOST_REQUIRE(AnswerReceivedAt);
  BOOST_CHECK_EQUAL(QueriedVmCount, 2);
}

// Guards against a step that the advisor fails for on every daemon: each daemon
// in turn was set aside for its request, and other steps got no advice.
BOOST_AUTO_TEST_CASE(requestThatFailsEverywhereDelaysNoOther) {
  constexpr int Requests = 40;
  constexpr milliseconds RequestInterval{100};
  constexpr milliseconds LongestWait{2000};
  for (const bool PeersWork : {false, true}) {
    Fixture Setup(PeersWork);
    if (PeersWork)
      Setup.Dispatcher->setPeers({{"b", {"b:1", "x"}}, {"c", {"c:1", "y"}}});
    Setup.Advisor.FailingJob = "bad";
    Setup.Dispatcher->requestAdvice(Fixture::adviceRequest({"bad", 0, 0}));
    for (int Number = 0; Number < Requests; ++Number) {
      RequestAdvice Request = Fixture::adviceRequest({"good", 0, Number});
      Request.Priority = 1;
      Setup.Dispatcher->requestAdvice(Request);
      Setup.ControlLoop.runFor(RequestInterval);
    }
    Setup.ControlLoop.runFor(LongestWait);
    BOOST_CHECK_EQUAL(Setup.AnswerCounts["good"], Requests);
  }
}

// Guards against an overloaded pool of gangs that ask for advice on ever more
// VMs: the requests took all daemons, and the first request of a less urgent
// step waited 20 s.
BOOST_FIXTURE_TEST_CASE(firstRequestIsSentAheadOfExtensions, Fixture) {
  constexpr int Extensions = 400;
  for (int Number = 0; Number < Extensions; ++Number) {
    RequestAdvice Request = adviceRequest({"gang", 0, Number});
    Request.ExpectedLatencyMs = 1300;
    Request.Extension = true;
    Dispatcher->requestAdvice(Request);
  }
  RequestAdvice First = adviceRequest({"small", 0, 0});
  First.ExpectedLatencyMs = 230;
  First.Priority = 2;
  Dispatcher->requestAdvice(First);
  ControlLoop.runFor(milliseconds(700));
  BOOST_CHECK_EQUAL(AnswerCounts["small"], 1);
}

// Guards against second copies of requests whose daemon is only busy with a
// call of another pool: under saturation a third of all calls were copies, and
// less urgent requests waited for them.
BOOST_AUTO_TEST_CASE(copiesOfSlowRequestsDelayNoOther) {
  Fixture Setup(true);
  Setup.Dispatcher->setPeers({{"b", {"b:1", "x"}}, {"c", {"c:1", "y"}}});
  Setup.Advisor.Latency = milliseconds(300);
  Setup.Advisor.SlowJob = "busy";
  RequestAdvice Urgent = Fixture::adviceRequest({"busy", 0, 0});
  Urgent.ExpectedLatencyMs = 300;
  Setup.Dispatcher->requestAdvice(Urgent);
  constexpr int Requests = 20;
  for (int Number = 0; Number < Requests; ++Number) {
    RequestAdvice Request = Fixture::adviceRequest({"small", 0, Number});
    Request.ExpectedLatencyMs = 300;
    Request.Priority = 2;
    Setup.Dispatcher->requestAdvice(Request);
  }
  Setup.ControlLoop.runFor(milliseconds(1500));
  // Other requests still wait, so that no step was called for twice.
  BOOST_CHECK_LT(Setup.AnswerCounts["small"], Requests);
  BOOST_CHECK_EQUAL(Setup.Advisor.Calls, Setup.Advisor.CalledSteps.size());
}
