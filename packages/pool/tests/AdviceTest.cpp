// Tests which advice the scheduler requests, and when.

#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

#include "SchedulerFixture.h"

using namespace cuminroad;

BOOST_FIXTURE_TEST_CASE(adviceIsRequestedOnceForAllVmsThenForFew,
                        SchedulerFixture) {
  for (int Number = 0; Number < 20; ++Number)
    addVm(makeVm("v" + std::to_string(Number), SmallSize));
  QueueTerms Queue = makeQueue();
  Queue.Advice = AdviceTerms{milliseconds(100), 1.0, milliseconds(2000)};
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), Queue,
                    MonotonicClock.now());
  runPass();
  BOOST_CHECK(Starts.empty());
  BOOST_REQUIRE_EQUAL(AdviceRequests.size(), 1);
  BOOST_CHECK_EQUAL(AdviceRequests[0].Vms.size(), 20);
  const std::vector<AdviceTicket> Tickets{{"v3", "t"}, {"v4", "t"}};
  Scheduler->adviceReceived(AdviceRequests[0].Step, AdviceRequests[0].Vms,
                            Tickets, MonotonicClock.now() + milliseconds(100));
  // The tickets would expire before a start reaches the VM: new ones are
  // requested first.
  runPass();
  BOOST_CHECK(Starts.empty());
  BOOST_REQUIRE_EQUAL(AdviceRequests.size(), 1);
  BOOST_CHECK_EQUAL(AdviceRequests[0].Vms.size(), 2);
  Scheduler->adviceReceived(AdviceRequests[0].Step, AdviceRequests[0].Vms,
                            Tickets, MonotonicClock.now() + milliseconds(2000));
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Ticket, "t");
}

BOOST_FIXTURE_TEST_CASE(droppedAdviceRequestIsRepeated, SchedulerFixture) {
  addVm(makeVm("a", SmallSize));
  QueueTerms Queue = makeQueue();
  Queue.Advice = AdviceTerms{milliseconds(100), 1.0, milliseconds(2000)};
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), Queue,
                    MonotonicClock.now());
  runPass();
  BOOST_REQUIRE_EQUAL(AdviceRequests.size(), 1);
  Scheduler->adviceReceived(AdviceRequests[0].Step, {}, {},
                            MonotonicClock.now());
  runPass();
  BOOST_CHECK_EQUAL(AdviceRequests.size(), 1);
}

// Guards against an owner with a backlog that spends its processor time on
// looking for VMs without advice where there are none: each blocked step went
// through the whole pool in each pass.
BOOST_FIXTURE_TEST_CASE(blockedStepsLookForNewVmsOnlyAfterChanges,
                        SchedulerFixture) {
  constexpr int Vms = 30;
  constexpr int Steps = 50;
  constexpr int Passes = 40;
  const auto List = [&](int Count) {
    for (int Number = 0; Number < Count; ++Number)
      Scheduler->vmListed(makeVm("v" + std::to_string(Number), SmallSize));
  };
  const auto Answer = [&] {
    for (const RequestAdvice &Each : AdviceRequests)
      Scheduler->adviceReceived(Each.Step, Each.Vms, {},
                                MonotonicClock.now() + milliseconds(2000));
  };
  for (int Number = 0; Number < Vms; ++Number)
    addVm(makeVm("v" + std::to_string(Number), SmallSize));
  QueueTerms Queue = makeQueue();
  Queue.Advice = AdviceTerms{milliseconds(100), 1.0, milliseconds(2000)};
  for (int Number = 0; Number < Steps; ++Number)
    Scheduler->addJob(
        makeJob("j" + std::to_string(Number), {makeStep(1, SmallSize)}), Queue,
        MonotonicClock.now());
  runPass();
  BOOST_CHECK_EQUAL(AdviceRequests.size(), Steps);
  Answer();
  // The VMs write their entries again and again.
  for (int Pass = 0; Pass < Passes; ++Pass) {
    MonotonicClock.advance(milliseconds(50));
    List(Vms);
    runPass();
    BOOST_CHECK(AdviceRequests.empty());
  }
  // Once when the job came, and once when it had been blocked for long.
  BOOST_CHECK_LE(Scheduler->takeDiagnostics().AdviceChecks, 2 * Steps * Vms);
  // A VM that is new, that accepts work again, or that comes back as another
  // incarnation is noticed all the same.
  addVm(makeVm("new", SmallSize));
  runPass();
  BOOST_CHECK_EQUAL(AdviceRequests.size(), Steps);
  Answer();
  PoolVm Changed = makeVm("v3", SmallSize);
  Changed.Incarnation = 2;
  addVm(Changed);
  runPass();
  BOOST_CHECK_EQUAL(AdviceRequests.size(), Steps);
  Answer();
  runPass();
  BOOST_CHECK(AdviceRequests.empty());
  // So is one whose entry tells of the restart before its reports do.
  PoolVm Restarted = makeVm("v4", SmallSize);
  const std::int64_t Before = Restarted.Incarnation;
  Restarted.Incarnation = Before + 1;
  Scheduler->vmListed(Restarted);
  Scheduler->vmReported("v4", Before, RunReport::complete({}),
                        MonotonicClock.now());
  runPass();
  BOOST_CHECK(AdviceRequests.empty());
  Scheduler->vmReported("v4", Restarted.Incarnation, RunReport::complete({}),
                        MonotonicClock.now());
  runPass();
  BOOST_CHECK_EQUAL(AdviceRequests.size(), Steps);
}

// Guards against a step that the advisor always fails for: its advice was
// requested again in each pass, and kept the daemons busy.
BOOST_FIXTURE_TEST_CASE(failedAdviceIsRequestedLessAndLessOften,
                        SchedulerFixture) {
  constexpr milliseconds PassInterval{20};
  constexpr milliseconds Duration{10000};
  // After the first few, less than two in a second.
  constexpr int MostRequests = 20;
  addVm(makeVm("a", SmallSize));
  QueueTerms Queue = makeQueue();
  Queue.Advice = AdviceTerms{milliseconds(100), 1.0, milliseconds(2000)};
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), Queue,
                    MonotonicClock.now());
  const auto CountRequests = [&](milliseconds Span) {
    int Out = 0;
    for (milliseconds At{0}; At < Span; At += PassInterval) {
      runPass();
      Out += static_cast<int>(AdviceRequests.size());
      for (const RequestAdvice &Request : AdviceRequests)
        Scheduler->adviceFailed(Request.Step);
      MonotonicClock.advance(PassInterval);
    }
    return Out;
  };
  BOOST_CHECK_LE(CountRequests(Duration), MostRequests);
  // The step is requested again soon after the advisor has recovered.
  BOOST_CHECK_GE(CountRequests(milliseconds(2000)), 1);
}

BOOST_FIXTURE_TEST_CASE(ticketsOfGangsWithReservedVmsAreRenewed,
                        SchedulerFixture) {
  // Guards against a pool that was idle for 20 s after a period of high load:
  // VMs were reserved for the gangs with the nearest deadlines, but tickets
  // were renewed for the gangs that were submitted first.
  constexpr int Vms = 8;
  for (int Number = 0; Number < Vms; ++Number)
    addVm(makeVm("v" + std::to_string(Number), BigSize));
  Scheduler->addJob(makeJob("first", {makeStep(Vms, BigSize, 10000)}),
                    makeQueue(), MonotonicClock.now());
  runPass();
  const auto BlockingRuns = Starts;
  BOOST_REQUIRE_EQUAL(BlockingRuns.size(), Vms);
  QueueTerms Queue = makeQueue();
  Queue.Advice = AdviceTerms{milliseconds(100), 1.0, milliseconds(1500)};
  Queue.Stretch = 20;
  const auto AddGangs = [&](const std::string &Name, int Count, int Estimate) {
    for (int Each = 0; Each < Count; ++Each) {
      StepPlan Gang = makeStep(2, BigSize, Estimate);
      Gang.Gang = true;
      Scheduler->addJob(makeJob(Name + std::to_string(Each), {Gang}), Queue,
                        MonotonicClock.now());
      MonotonicClock.advance(milliseconds(1));
    }
  };
  AddGangs("long", 40, 8000);
  AddGangs("short", 10, 500);
  // Answers all advice requests after the advisor's latency.
  const auto Answer = [&] {
    const auto Requests = AdviceRequests;
    MonotonicClock.advance(milliseconds(120));
    for (const RequestAdvice &Request : Requests) {
      std::vector<AdviceTicket> Tickets;
      for (const std::string &Vm : Request.Vms)
        Tickets.push_back({Vm, "t"});
      Scheduler->adviceReceived(Request.Step, Request.Vms, Tickets,
                                MonotonicClock.now() + Queue.Advice->ValidFor);
    }
  };
  for (int Round = 0; Round < 10; ++Round) {
    runPass();
    BOOST_REQUIRE(Starts.empty());
    Answer();
  }
  MonotonicClock.advance(milliseconds(5000));
  for (const StartRun &Start : BlockingRuns)
    endRun(Start, RunOutcome::Done);
  std::size_t Started = 0;
  for (int Round = 0; Round < 4; ++Round) {
    runPass();
    Started += Starts.size();
    Answer();
  }
  BOOST_CHECK_EQUAL(Started, Vms);
}

// Load: more gangs wait for occupied VMs than get VMs reserved. Guards against
// a gang behind them that waits with enough VMs free, since its tickets are not
// renewed.
BOOST_FIXTURE_TEST_CASE(ticketsOfGangsWithRoomAreRenewed, SchedulerFixture) {
  const int OccupiedVms = 2 * Options.MaxReservedSteps;
  constexpr int FreeGangs = 3;
  const milliseconds AdvisorLatency{120};
  for (int Number = 0; Number < OccupiedVms; ++Number)
    addVm(makeVm("x" + std::to_string(Number), BigSize, {"x"}));
  for (int Number = 0; Number < 2 * FreeGangs; ++Number)
    addVm(makeVm("y" + std::to_string(Number), BigSize));
  Scheduler->addJob(
      makeJob("first", {makeStep(OccupiedVms + 2 * FreeGangs, BigSize, 60000)}),
      makeQueue(), MonotonicClock.now());
  runPass();
  const auto BlockingRuns = Starts;
  for (const StartRun &Start : BlockingRuns)
    acceptStart(Start);
  QueueTerms Queue = makeQueue();
  Queue.Advice = AdviceTerms{milliseconds(100), 1.0, milliseconds(1500)};
  Queue.Stretch = 20;
  const auto AddGang = [&](const std::string &Job, const std::string &Label) {
    StepPlan Gang = makeStep(2, BigSize, 5000);
    Gang.Gang = true;
    Gang.RequiredLabel = Label;
    Scheduler->addJob(makeJob(Job, {Gang}), Queue, MonotonicClock.now());
    MonotonicClock.advance(milliseconds(1));
  };
  for (int Number = 0; Number < 2 * Options.MaxReservedSteps; ++Number)
    AddGang("ahead" + std::to_string(Number), "x");
  for (int Number = 0; Number < FreeGangs; ++Number)
    AddGang("behind" + std::to_string(Number), "");
  std::size_t Started = 0;
  const auto RunRounds = [&](int Rounds) {
    for (int Round = 0; Round < Rounds; ++Round) {
      runPass();
      Started += Starts.size();
      MonotonicClock.advance(AdvisorLatency);
      for (const RequestAdvice &Request : AdviceRequests) {
        std::vector<AdviceTicket> Tickets;
        for (const std::string &Vm : Request.Vms)
          Tickets.push_back({Vm, "t"});
        Scheduler->adviceReceived(Request.Step, Request.Vms, Tickets,
                                  MonotonicClock.now() +
                                      Queue.Advice->ValidFor);
      }
    }
  };
  RunRounds(20);
  BOOST_REQUIRE_EQUAL(Started, 0);
  for (const StartRun &Start : BlockingRuns)
    if (Start.Vm.starts_with("y"))
      endRun(Start, RunOutcome::Done);
  // A request and a pass for each gang.
  RunRounds(2 * FreeGangs);
  BOOST_CHECK_EQUAL(Started, 2 * FreeGangs);
}

BOOST_FIXTURE_TEST_CASE(ticketsOfTheTightestVmsAreRenewed, SchedulerFixture) {
  // Small tasks placed on empty VMs would block gangs that need whole VMs.
  Options.MaxRenewedVms = 2;
  Scheduler = makePoolScheduler(MonotonicClock, SystemClock, Options);
  addVm(makeVm("tight1", BigSize));
  addVm(makeVm("tight2", BigSize));
  StepPlan First = makeStep(6, SmallSize, 10000);
  First.MaxPerVm = 3;
  Scheduler->addJob(makeJob("first", {First}), makeQueue(),
                    MonotonicClock.now());
  runPass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 6);
  addVm(makeVm("empty1", BigSize));
  addVm(makeVm("empty2", BigSize));
  QueueTerms Queue = makeQueue();
  Queue.Advice = AdviceTerms{milliseconds(100), 1.0, milliseconds(1500)};
  Scheduler->addJob(makeJob("j", {makeStep(2, SmallSize)}), Queue,
                    MonotonicClock.now());
  const auto AnswerWithValidity = [&](milliseconds ValidFor) {
    runPass();
    BOOST_REQUIRE_EQUAL(AdviceRequests.size(), 1);
    std::vector<AdviceTicket> Tickets;
    for (const std::string &Vm : AdviceRequests[0].Vms)
      Tickets.push_back({Vm, "t"});
    Scheduler->adviceReceived(AdviceRequests[0].Step, AdviceRequests[0].Vms,
                              Tickets, MonotonicClock.now() + ValidFor);
    return AdviceRequests[0].Vms;
  };
  BOOST_CHECK_EQUAL(AnswerWithValidity(milliseconds(10)).size(), 4);
  const std::vector<std::string> Renewed =
      AnswerWithValidity(milliseconds(1500));
  const std::vector<std::string> Tight{"tight1", "tight2"};
  BOOST_CHECK_EQUAL_COLLECTIONS(Renewed.begin(), Renewed.end(), Tight.begin(),
                                Tight.end());
}

// Guards against a start with a ticket for the VM's earlier incarnation, which
// the VM refuses: it restarted while the advice was on its way.
BOOST_FIXTURE_TEST_CASE(adviceForAnEarlierIncarnationIsNotUsed,
                        SchedulerFixture) {
  PoolVm Vm = makeVm("a", SmallSize);
  addVm(Vm);
  QueueTerms Queue = makeQueue();
  Queue.Advice = AdviceTerms{milliseconds(100), 1.0, milliseconds(2000)};
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), Queue,
                    MonotonicClock.now());
  runPass();
  BOOST_REQUIRE_EQUAL(AdviceRequests.size(), 1);
  Vm.Incarnation = 2;
  MonotonicClock.advance(milliseconds(10));
  addVm(Vm);
  Scheduler->adviceReceived(AdviceRequests[0].Step, AdviceRequests[0].Vms,
                            std::vector<AdviceTicket>{{"a", "t"}},
                            MonotonicClock.now() + milliseconds(2000));
  runPass();
  BOOST_CHECK(Starts.empty());
  BOOST_CHECK_EQUAL(AdviceRequests.size(), 1);
}

// Guards against VMs that no request names, since a request holds 100 at most.
BOOST_FIXTURE_TEST_CASE(allVmsOfALargePoolAreNamed, SchedulerFixture) {
  constexpr int VmCount = 250;
  constexpr std::size_t MaxVmsPerRequest = 100;
  QueueTerms Queue = makeQueue();
  Queue.Advice = AdviceTerms{milliseconds(10), 0.1, milliseconds(2000)};
  for (int Number = 0; Number < VmCount; ++Number)
    addVm(makeVm("v" + std::to_string(1000 + Number), SmallSize));
  Scheduler->addJob(makeJob("j", {makeStep(1, SmallSize)}), Queue,
                    MonotonicClock.now());
  std::set<std::string> Named;
  for (int Pass = 0; Pass < 20 && Starts.empty(); ++Pass) {
    runPass();
    for (const RequestAdvice &Request : AdviceRequests) {
      BOOST_CHECK_LE(Request.Vms.size(), MaxVmsPerRequest);
      Named.insert(Request.Vms.begin(), Request.Vms.end());
      // Only the VM that is named last is allowed.
      std::vector<AdviceTicket> Tickets;
      if (Named.size() == VmCount)
        Tickets.push_back(AdviceTicket{Request.Vms.back(), "ticket"});
      Scheduler->adviceReceived(Request.Step, Request.Vms, Tickets,
                                MonotonicClock.now() + milliseconds(2000));
    }
    MonotonicClock.advance(milliseconds(150));
  }
  BOOST_CHECK_EQUAL(Named.size(), VmCount);
  BOOST_CHECK_EQUAL(Starts.size(), 1);
}
