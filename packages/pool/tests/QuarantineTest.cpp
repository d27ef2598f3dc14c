// VMs that fail what they start get nothing for a while, and then a little.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "SchedulerTrial.h"

using namespace cuminroad;

namespace {

struct QuarantineTrial : SchedulerTrial {
  QuarantineTrial() {
    Queue.MaxAttempts = 100;
    Queue.Advice = AdviceTerms{milliseconds(100), 1.0, milliseconds(2000)};
  }
  /// The VMs added so far refuse what they are sent until their quarantine is
  /// long.
  void quarantineAll(int Vms, Capacity Size) {
    Scheduler->addJob(makeJob("bad", {makeStep(Vms, Size)}), makeQueue(),
                      Time.now());
    for (int Round = 0; Round < 40; ++Round) {
      pass();
      for (const StartRun &Start : Starts)
        Scheduler->startAnswered(Start.Vm, Start.Run, StartOutcome::Refused);
      Time.advance(Starts.empty() ? milliseconds(1000)
                                  : Options.RefusedStartDelay);
    }
    Scheduler->cancelJob("bad");
    Time.advance(Options.MinProbeInterval);
  }
  /// Passes until the time is over, and how many starts they made.
  int startsWithin(milliseconds Span, StartOutcome Answer) {
    int Out = 0;
    for (milliseconds Past{0}; Past < Span; Past += Step) {
      pass();
      for (const StartRun &Start : Starts)
        Scheduler->startAnswered(Start.Vm, Start.Run, Answer);
      Out += static_cast<int>(Starts.size());
      Time.advance(Step);
    }
    return Out;
  }

  static constexpr milliseconds Step{50};
  QueueTerms Queue = makeQueue();
};

} // namespace

BOOST_FIXTURE_TEST_CASE(badVmGetsNothingForAWhile, SchedulerTrial) {
  // A VM that fails all that it starts would draw all work to itself.
  addVm(makeVm("a", Small));
  QueueTerms Queue = makeQueue();
  Queue.MaxAttempts = 100;
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), Queue, Time.now());
  for (int Round = 0; Round < 3; ++Round) {
    pass();
    BOOST_REQUIRE_EQUAL(Starts.size(), 1);
    end(Starts[0], RunOutcome::Failed);
  }
  pass();
  BOOST_CHECK(Starts.empty());
  const PoolDiagnostics Notes = Scheduler->takeDiagnostics();
  BOOST_REQUIRE_EQUAL(Notes.Quarantines.size(), 1);
  BOOST_CHECK_EQUAL(Notes.Quarantines[0].Vm, "a");
  BOOST_CHECK(Notes.Quarantines[0].Duration == Options.QuarantineMin);
  Time.advance(Options.QuarantineMin);
  pass();
  BOOST_CHECK_EQUAL(Starts.size(), 1);
}

BOOST_FIXTURE_TEST_CASE(failuresOfOneMomentCountOnce, SchedulerTrial) {
  // A VM that hangs fails all it runs at once; that is one trouble, not many.
  addVm(makeVm("a", Big));
  QueueTerms Queue = makeQueue();
  Queue.MaxAttempts = 100;
  Scheduler->addJob(makeJob("j", {makeStep(40, {100, 10, 0})}), Queue,
                    Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 40);
  const auto First = Starts;
  Time.advance(milliseconds(100));
  for (const StartRun &Start : First)
    end(Start, RunOutcome::Failed);
  Time.advance(Options.QuarantineMin);
  pass();
  BOOST_CHECK_EQUAL(Starts.size(), 40);
}

BOOST_FIXTURE_TEST_CASE(probeThatEndsWellEndsTheQuarantine, QuarantineTrial) {
  addVm(makeVm("a", Big));
  quarantineAll(1, Big);
  Scheduler->addJob(makeJob("j", {makeStep(4, Small)}), makeQueue(),
                    Time.now());
  pass();
  Time.advance(Options.ProbeAfter);
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  accept(Starts[0]);
  end(Starts[0], RunOutcome::Done);
  pass();
  BOOST_CHECK_EQUAL(Starts.size(), 3);
}

BOOST_FIXTURE_TEST_CASE(blockedStepProbesABadVm, QuarantineTrial) {
  // The VM may be well long before its quarantine ends.
  addVm(makeVm("a", Big));
  quarantineAll(1, Big);
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), makeQueue(),
                    Time.now());
  BOOST_CHECK_EQUAL(
      startsWithin(Options.ProbeAfter + Step, StartOutcome::Accepted), 1);
}

BOOST_FIXTURE_TEST_CASE(badVmIsProbedRarely, QuarantineTrial) {
  addVm(makeVm("a", Big));
  quarantineAll(1, Big);
  QueueTerms Plain = makeQueue();
  Plain.MaxAttempts = 100;
  Scheduler->addJob(makeJob("j", {makeStep(4, Small)}), Plain, Time.now());
  const milliseconds Span{10000};
  const int Probes = startsWithin(Span, StartOutcome::Refused);
  BOOST_CHECK_GE(Probes, 3);
  BOOST_CHECK_LE(Probes, 1 + Span / Options.MinProbeInterval);
}

BOOST_FIXTURE_TEST_CASE(goodVmIsUsedBeforeABadOneIsProbed, QuarantineTrial) {
  addVm(makeVm("a", Big));
  quarantineAll(1, Big);
  addVm(makeVm("b", Big));
  Scheduler->addJob(makeJob("j", {makeStep(4, Small)}), makeQueue(),
                    Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 4);
  for (const StartRun &Start : Starts)
    BOOST_CHECK_EQUAL(Start.Vm, "b");
}

BOOST_FIXTURE_TEST_CASE(lastAttemptIsRiskedLater, QuarantineTrial) {
  // Each failed run is one attempt less; the last one ends the job.
  addVm(makeVm("a", Big));
  quarantineAll(1, Big);
  QueueTerms Plain = makeQueue();
  Plain.MaxAttempts = 1;
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), Plain, Time.now());
  BOOST_CHECK_EQUAL(
      startsWithin(Options.ProbeAfter + Step, StartOutcome::Accepted), 0);
  BOOST_CHECK_EQUAL(
      startsWithin(Options.ProbeAfter + Step, StartOutcome::Accepted), 1);
}

BOOST_FIXTURE_TEST_CASE(gangProbesBadVmsTogether, QuarantineTrial) {
  addVm(makeVm("a", Small));
  quarantineAll(1, Small);
  addVm(makeVm("b", Small));
  StepPlan Gang = makeStep(2, Small);
  Gang.Gang = true;
  Scheduler->addJob(makeJob("g", {Gang}), makeQueue(), Time.now());
  BOOST_CHECK_EQUAL(
      startsWithin(Options.ProbeAfter + Step, StartOutcome::Accepted), 2);
}

BOOST_FIXTURE_TEST_CASE(ticketsOfGoodVmsAreRenewedFirst, QuarantineTrial) {
  // Nothing runs on bad VMs: they would always have the most room.
  for (int Number = 0; Number < Options.MaxRenewedVms; ++Number)
    addVm(makeVm("bad" + std::to_string(Number), Big));
  quarantineAll(Options.MaxRenewedVms, Big);
  addVm(makeVm("good", Small));
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), Queue, Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Asks.size(), 1);
  std::vector<AdviceTicket> Allowed;
  for (const std::string &Vm : Asks[0].Vms)
    Allowed.push_back({Vm, "t"});
  BOOST_REQUIRE_EQUAL(Allowed.size(), Options.MaxRenewedVms + 1);
  // All tickets expire on the way; the good VM's must be renewed.
  Scheduler->adviceReceived(Asks[0].Step, Asks[0].Vms, Allowed,
                            Time.now() + milliseconds(10));
  pass();
  BOOST_REQUIRE_EQUAL(Asks.size(), 1);
  BOOST_CHECK(std::find(Asks[0].Vms.begin(), Asks[0].Vms.end(), "good") !=
              Asks[0].Vms.end());
}
