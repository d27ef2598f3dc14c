// Questions to the placement advisor while daemons and the advisor fail.

#include <boost/test/unit_test.hpp>

#include "PoolTestSupport.h"
#include "cuminroad/fleet/AdviceDispatcher.h"

using namespace cuminroad;

namespace {

/// Fails while it is away; names all VMs otherwise.
class MoodyAdvisor final : public PlacementAdvisor {
public:
  explicit MoodyAdvisor(FakeLoop &ControlLoop) : ControlLoop_(ControlLoop) {}
  void advise(const StepName &Step, std::span<const std::string> Vms,
              milliseconds, Done Done) override {
    ++Calls;
    if (Away) {
      ControlLoop_.after(milliseconds(20),
                         [Done] { Done(failure(ErrorCode::ConnectFailed)); });
      return;
    }
    std::vector<AdviceTicket> Good;
    for (const std::string &Vm : Vms)
      Good.push_back(AdviceTicket{Vm, Step.Job});
    ControlLoop_.after(milliseconds(20), [Good, Done] { Done(Good); });
  }
  bool Away = false;
  int Calls = 0;

private:
  FakeLoop &ControlLoop_;
};

struct Fixture {
  Fixture() : Advisor(ControlLoop), Peers(Http) {
    Desk = std::make_shared<AdviceDispatcher>(
        Advisor, Peers, ControlLoop, ControlLoop.Time, "self",
        [this](const StepName &) { return Needed; },
        [this](const StepName &Step,
               const Result<AdviceDispatcher::Answer> &Answer) {
          if (Answer)
            AnsweredAt = ControlLoop.Time.now();
          else
            Desk->ask(question(Step));
          LastAsked = Answer ? Answer->Asked.size() : 0;
        });
  }
  ~Fixture() { Desk->close(); }

  static AskAdvice question(const StepName &Step) {
    return AskAdvice{Step, {"vm1", "vm2"}, 20, 0, false};
  }

  FakeLoop ControlLoop;
  MoodyAdvisor Advisor;
  NoHttp Http;
  PeerCalls Peers;
  std::shared_ptr<AdviceDispatcher> Desk;
  bool Needed = true;
  std::optional<TimePoint> AnsweredAt;
  std::size_t LastAsked = 0;
};

const StepName Step{"j", 0, 0};

} // namespace

BOOST_AUTO_TEST_CASE(answersSoonAfterTheAdvisorIsBack) {
  // Found as a step that got no advice for 8.8 s after a cut of 5 s: the pause
  // after failures had doubled to 8 s for every daemon.
  for (int AwayMs = 1000; AwayMs <= 12000; AwayMs += 500) {
    Fixture Trial;
    Trial.Desk->setPeers({{"b", {"b:1", "x"}}, {"c", {"c:1", "y"}}});
    Trial.Advisor.Away = true;
    Trial.Desk->ask(Fixture::question(Step));
    Trial.ControlLoop.runFor(milliseconds(AwayMs));
    BOOST_CHECK(!Trial.AnsweredAt);
    Trial.Advisor.Away = false;
    const TimePoint Back = Trial.ControlLoop.Time.now();
    Trial.ControlLoop.runFor(milliseconds(12000));
    BOOST_REQUIRE_MESSAGE(Trial.AnsweredAt, AwayMs << " ms away");
    BOOST_CHECK_MESSAGE(*Trial.AnsweredAt - Back <= milliseconds(2000),
                        AwayMs << " ms away");
  }
}

BOOST_FIXTURE_TEST_CASE(droppedQuestionIsAnsweredWithNothing, Fixture) {
  Needed = false;
  Desk->ask(Fixture::question(Step));
  ControlLoop.runFor(milliseconds(1000));
  BOOST_CHECK(AnsweredAt);
  BOOST_CHECK_EQUAL(LastAsked, 0);
  BOOST_CHECK_EQUAL(Advisor.Calls, 0);
}

BOOST_FIXTURE_TEST_CASE(failedPeerIsReplacedByAnother, Fixture) {
  // All calls to peers fail at once.
  Desk->setPeers({{"b", {"b:1", "x"}}, {"c", {"c:1", "y"}}});
  Desk->ask(Fixture::question(Step));
  ControlLoop.runFor(milliseconds(1000));
  BOOST_REQUIRE(AnsweredAt);
  BOOST_CHECK_EQUAL(LastAsked, 2);
}
