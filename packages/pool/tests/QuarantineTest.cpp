// Tests the quarantine of VMs on which starts and runs fail, and its probes.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "SchedulerFixture.h"

using namespace cuminroad;

// Guards against a task that every VM rejects as invalid: it put VM after VM in
// quarantine, and was sent again several times a second.
BOOST_FIXTURE_TEST_CASE(startsRejectedAsInvalidAreNotTheVmsFault,
                        SchedulerFixture) {
  addVm(makeVm("a", SmallSize));
  addVm(makeVm("b", SmallSize));
  Scheduler->addJob(makeJob("invalid", {makeStep(1, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  int StartCount = 0;
  for (int Elapsed = 0; Elapsed < 10000; Elapsed += 50) {
    runPass();
    for (const StartRun &Start : Starts) {
      ++StartCount;
      Scheduler->startAnswered(Start.Vm, Start.Run, StartOutcome::Invalid);
    }
    MonotonicClock.advance(milliseconds(50));
  }
  BOOST_CHECK(Scheduler->takeDiagnostics().Quarantines.empty());
  BOOST_CHECK_LE(StartCount, 10);
  BOOST_CHECK(Scheduler->stage("invalid") == JobStage::Running);
}

namespace {

/// A fixture with a queue that needs advice and allows many attempts.
struct QuarantineFixture : SchedulerFixture {
  QuarantineFixture() {
    Queue.MaxAttempts = 100;
    Queue.Advice = AdviceTerms{milliseconds(100), 1.0, milliseconds(2000)};
  }
  /// Lets the VMs added so far refuse all starts, until their quarantine is
  /// long.
  void quarantineVms(int Vms, Capacity Size) {
    Scheduler->addJob(makeJob("bad", {makeStep(Vms, Size)}), makeQueue(),
                      MonotonicClock.now());
    for (int Round = 0; Round < 40; ++Round) {
      runPass();
      for (const StartRun &Start : Starts)
        Scheduler->startAnswered(Start.Vm, Start.Run, StartOutcome::Refused);
      MonotonicClock.advance(Starts.empty() ? milliseconds(1000)
                                            : Options.RefusedStartDelay);
    }
    Scheduler->cancelJob("bad");
    MonotonicClock.advance(Options.MinProbeInterval);
  }
  /// Runs passes for \p Span and answers all starts with \p Answer.
  /// \returns the number of starts.
  int countStartsWithin(milliseconds Span, StartOutcome Answer) {
    int Out = 0;
    for (milliseconds Elapsed{0}; Elapsed < Span; Elapsed += Step) {
      runPass();
      for (const StartRun &Start : Starts)
        Scheduler->startAnswered(Start.Vm, Start.Run, Answer);
      Out += static_cast<int>(Starts.size());
      MonotonicClock.advance(Step);
    }
    return Out;
  }

  static constexpr milliseconds Step{50};
  QueueTerms Queue = makeQueue();
};

} // namespace

BOOST_FIXTURE_TEST_CASE(failingVmIsQuarantined, SchedulerFixture) {
  // A VM on which all runs fail at once always has free capacity and would
  // attract all tasks.
  addVm(makeVm("a", SmallSize));
  QueueTerms Queue = makeQueue();
  Queue.MaxAttempts = 100;
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), Queue,
                    MonotonicClock.now());
  for (int Round = 0; Round < 3; ++Round) {
    runPass();
    BOOST_REQUIRE_EQUAL(Starts.size(), 1);
    endRun(Starts[0], RunOutcome::Failed);
  }
  runPass();
  BOOST_CHECK(Starts.empty());
  const PoolDiagnostics Diagnostics = Scheduler->takeDiagnostics();
  BOOST_REQUIRE_EQUAL(Diagnostics.Quarantines.size(), 1);
  BOOST_CHECK_EQUAL(Diagnostics.Quarantines[0].Vm, "a");
  BOOST_CHECK(Diagnostics.Quarantines[0].Duration == Options.QuarantineMin);
  MonotonicClock.advance(Options.QuarantineMin);
  runPass();
  BOOST_CHECK_EQUAL(Starts.size(), 1);
}

// Load: a few VMs fail all that they start, within a fraction of a second. They
// have room again at once, so that the tightest fit prefers them. Guards
// against jobs that lose their last attempt on a VM that has just failed
// another task.
BOOST_FIXTURE_TEST_CASE(vmThatHasJustFailedARunIsUsedLast, SchedulerFixture) {
  addVm(makeVm("bad", SmallSize));
  addVm(makeVm("good", BigSize));
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  // The tightest fit.
  BOOST_REQUIRE_EQUAL(Starts[0].Vm, "bad");
  acceptStart(Starts[0]);
  endRun(Starts[0], RunOutcome::Failed);
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Vm, "good");
}

BOOST_FIXTURE_TEST_CASE(simultaneousFailuresCountOnce, SchedulerFixture) {
  // A VM that hangs fails all its runs at once; that counts as one failure.
  addVm(makeVm("a", BigSize));
  QueueTerms Queue = makeQueue();
  Queue.MaxAttempts = 100;
  Scheduler->addJob(makeJob("j", {makeStep(40, {100, 10, 0})}), Queue,
                    MonotonicClock.now());
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 40);
  const auto First = Starts;
  MonotonicClock.advance(milliseconds(100));
  for (const StartRun &Start : First)
    endRun(Start, RunOutcome::Failed);
  MonotonicClock.advance(Options.QuarantineMin);
  runPass();
  BOOST_CHECK_EQUAL(Starts.size(), 40);
}

BOOST_FIXTURE_TEST_CASE(successfulProbeEndsTheQuarantine, QuarantineFixture) {
  addVm(makeVm("a", BigSize));
  quarantineVms(1, BigSize);
  Scheduler->addJob(makeJob("j", {makeStep(4, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  MonotonicClock.advance(Options.ProbeAfter);
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  acceptStart(Starts[0]);
  endRun(Starts[0], RunOutcome::Done);
  runPass();
  BOOST_CHECK_EQUAL(Starts.size(), 3);
}

BOOST_FIXTURE_TEST_CASE(blockedStepProbesAQuarantinedVm, QuarantineFixture) {
  // The VM may have recovered long before its quarantine ends.
  addVm(makeVm("a", BigSize));
  quarantineVms(1, BigSize);
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  BOOST_CHECK_EQUAL(
      countStartsWithin(Options.ProbeAfter + Step, StartOutcome::Accepted), 1);
}

BOOST_FIXTURE_TEST_CASE(probesOfAQuarantinedVmAreLimited, QuarantineFixture) {
  addVm(makeVm("a", BigSize));
  quarantineVms(1, BigSize);
  QueueTerms Plain = makeQueue();
  Plain.MaxAttempts = 100;
  Scheduler->addJob(makeJob("j", {makeStep(4, SmallSize)}), Plain,
                    MonotonicClock.now());
  const milliseconds Span{10000};
  const int Probes = countStartsWithin(Span, StartOutcome::Refused);
  BOOST_CHECK_GE(Probes, 3);
  BOOST_CHECK_LE(Probes, 1 + Span / Options.MinProbeInterval);
}

BOOST_FIXTURE_TEST_CASE(healthyVmIsUsedBeforeAQuarantinedOne,
                        QuarantineFixture) {
  addVm(makeVm("a", BigSize));
  quarantineVms(1, BigSize);
  addVm(makeVm("b", BigSize));
  Scheduler->addJob(makeJob("j", {makeStep(4, SmallSize)}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 4);
  for (const StartRun &Start : Starts)
    BOOST_CHECK_EQUAL(Start.Vm, "b");
}

BOOST_FIXTURE_TEST_CASE(lastAttemptProbesLater, QuarantineFixture) {
  // Each failed run uses up an attempt, and the last one fails the job.
  addVm(makeVm("a", BigSize));
  quarantineVms(1, BigSize);
  QueueTerms Plain = makeQueue();
  Plain.MaxAttempts = 1;
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), Plain,
                    MonotonicClock.now());
  BOOST_CHECK_EQUAL(
      countStartsWithin(Options.ProbeAfter + Step, StartOutcome::Accepted), 0);
  BOOST_CHECK_EQUAL(
      countStartsWithin(Options.ProbeAfter + Step, StartOutcome::Accepted), 1);
}

BOOST_FIXTURE_TEST_CASE(gangMayProbeAQuarantinedVm, QuarantineFixture) {
  addVm(makeVm("a", SmallSize));
  quarantineVms(1, SmallSize);
  addVm(makeVm("b", SmallSize));
  StepPlan Gang = makeStep(2, SmallSize);
  Gang.Gang = true;
  Scheduler->addJob(makeJob("g", {Gang}), makeQueue(), MonotonicClock.now());
  BOOST_CHECK_EQUAL(
      countStartsWithin(Options.ProbeAfter + Step, StartOutcome::Accepted), 2);
}

BOOST_FIXTURE_TEST_CASE(ticketsOfHealthyVmsAreRenewedFirst, QuarantineFixture) {
  // Nothing runs on VMs in quarantine, so they would always have the most room.
  for (int Number = 0; Number < Options.MaxRenewedVms; ++Number)
    addVm(makeVm("bad" + std::to_string(Number), BigSize));
  quarantineVms(Options.MaxRenewedVms, BigSize);
  addVm(makeVm("good", SmallSize));
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), Queue,
                    MonotonicClock.now());
  runPass();
  BOOST_REQUIRE_EQUAL(AdviceRequests.size(), 1);
  std::vector<AdviceTicket> Tickets;
  for (const std::string &Vm : AdviceRequests[0].Vms)
    Tickets.push_back({Vm, "t"});
  BOOST_REQUIRE_EQUAL(Tickets.size(), Options.MaxRenewedVms + 1);
  // All tickets would expire before a start reaches its VM; that of the healthy
  // VM must be renewed.
  Scheduler->adviceReceived(AdviceRequests[0].Step, AdviceRequests[0].Vms,
                            Tickets, MonotonicClock.now() + milliseconds(10));
  runPass();
  BOOST_REQUIRE_EQUAL(AdviceRequests.size(), 1);
  BOOST_CHECK(std::find(AdviceRequests[0].Vms.begin(),
                        AdviceRequests[0].Vms.end(),
                        "good") != AdviceRequests[0].Vms.end());
}
