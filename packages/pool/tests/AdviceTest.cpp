// What is asked of the placement advisor, and when.

#include <boost/test/unit_test.hpp>

#include "SchedulerTrial.h"

using namespace cuminroad;

BOOST_FIXTURE_TEST_CASE(adviceIsAskedOnceForAllAndThenForAFew, SchedulerTrial) {
  for (int Number = 0; Number < 20; ++Number)
    addVm(makeVm("v" + std::to_string(Number), Small));
  QueueTerms Queue = makeQueue();
  Queue.Advice = AdviceTerms{milliseconds(100), 1.0, milliseconds(2000)};
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), Queue, Time.now());
  pass();
  BOOST_CHECK(Starts.empty());
  BOOST_REQUIRE_EQUAL(Asks.size(), 1);
  BOOST_CHECK_EQUAL(Asks[0].Vms.size(), 20);
  const std::vector<AdviceTicket> Allowed{{"v3", "t"}, {"v4", "t"}};
  Scheduler->adviceReceived(Asks[0].Step, Asks[0].Vms, Allowed,
                            Time.now() + milliseconds(100));
  // The ticket would expire on the way: a new one is asked for first.
  pass();
  BOOST_CHECK(Starts.empty());
  BOOST_REQUIRE_EQUAL(Asks.size(), 1);
  BOOST_CHECK_EQUAL(Asks[0].Vms.size(), 2);
  Scheduler->adviceReceived(Asks[0].Step, Asks[0].Vms, Allowed,
                            Time.now() + milliseconds(2000));
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 1);
  BOOST_CHECK_EQUAL(Starts[0].Ticket, "t");
}

BOOST_FIXTURE_TEST_CASE(questionThatWasDroppedIsAskedAgain, SchedulerTrial) {
  addVm(makeVm("a", Small));
  QueueTerms Queue = makeQueue();
  Queue.Advice = AdviceTerms{milliseconds(100), 1.0, milliseconds(2000)};
  Scheduler->addJob(makeJob("j", {makeStep(1, Small)}), Queue, Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Asks.size(), 1);
  Scheduler->adviceReceived(Asks[0].Step, {}, {}, Time.now());
  pass();
  BOOST_CHECK_EQUAL(Asks.size(), 1);
}

BOOST_FIXTURE_TEST_CASE(gangsWithRoomGetTheirTicketsRenewed, SchedulerTrial) {
  // Found as a pool that stood idle for 20 s at the end of a crowded day: room
  // was kept for the gangs with the nearest deadlines, and tickets were renewed
  // for those that had come first.
  constexpr int Vms = 8;
  for (int Number = 0; Number < Vms; ++Number)
    addVm(makeVm("v" + std::to_string(Number), Big));
  Scheduler->addJob(makeJob("first", {makeStep(Vms, Big, 10000)}), makeQueue(),
                    Time.now());
  pass();
  const auto Blockers = Starts;
  BOOST_REQUIRE_EQUAL(Blockers.size(), Vms);
  QueueTerms Queue = makeQueue();
  Queue.Advice = AdviceTerms{milliseconds(100), 1.0, milliseconds(1500)};
  Queue.Stretch = 20;
  const auto AddGangs = [&](const std::string &Name, int Count, int Estimate) {
    for (int Each = 0; Each < Count; ++Each) {
      StepPlan Gang = makeStep(2, Big, Estimate);
      Gang.Gang = true;
      Scheduler->addJob(makeJob(Name + std::to_string(Each), {Gang}), Queue,
                        Time.now());
      Time.advance(milliseconds(1));
    }
  };
  AddGangs("long", 40, 8000);
  AddGangs("short", 10, 500);
  // Answers all questions after the advisor's time.
  const auto Answer = [&] {
    const auto Asked = Asks;
    Time.advance(milliseconds(120));
    for (const RequestAdvice &Ask : Asked) {
      std::vector<AdviceTicket> Allowed;
      for (const std::string &Vm : Ask.Vms)
        Allowed.push_back({Vm, "t"});
      Scheduler->adviceReceived(Ask.Step, Ask.Vms, Allowed,
                                Time.now() + Queue.Advice->ValidFor);
    }
  };
  for (int Round = 0; Round < 10; ++Round) {
    pass();
    BOOST_REQUIRE(Starts.empty());
    Answer();
  }
  Time.advance(milliseconds(5000));
  for (const StartRun &Start : Blockers)
    end(Start, RunOutcome::Done);
  std::size_t Started = 0;
  for (int Round = 0; Round < 4; ++Round) {
    pass();
    Started += Starts.size();
    Answer();
  }
  BOOST_CHECK_EQUAL(Started, Vms);
}

BOOST_FIXTURE_TEST_CASE(ticketsOfTheTightestVmsAreRenewed, SchedulerTrial) {
  // Small tasks on empty VMs would keep those from gangs that need them whole.
  Options.MaxRenewedVms = 2;
  Scheduler = makePoolScheduler(Time, Wall, Options);
  addVm(makeVm("tight1", Big));
  addVm(makeVm("tight2", Big));
  StepPlan First = makeStep(6, Small, 10000);
  First.MaxPerVm = 3;
  Scheduler->addJob(makeJob("first", {First}), makeQueue(), Time.now());
  pass();
  BOOST_REQUIRE_EQUAL(Starts.size(), 6);
  addVm(makeVm("empty1", Big));
  addVm(makeVm("empty2", Big));
  QueueTerms Queue = makeQueue();
  Queue.Advice = AdviceTerms{milliseconds(100), 1.0, milliseconds(1500)};
  Scheduler->addJob(makeJob("j", {makeStep(2, Small)}), Queue, Time.now());
  const auto AskedWith = [&](milliseconds ValidFor) {
    pass();
    BOOST_REQUIRE_EQUAL(Asks.size(), 1);
    std::vector<AdviceTicket> Allowed;
    for (const std::string &Vm : Asks[0].Vms)
      Allowed.push_back({Vm, "t"});
    Scheduler->adviceReceived(Asks[0].Step, Asks[0].Vms, Allowed,
                              Time.now() + ValidFor);
    return Asks[0].Vms;
  };
  BOOST_CHECK_EQUAL(AskedWith(milliseconds(10)).size(), 4);
  const std::vector<std::string> Renewed = AskedWith(milliseconds(1500));
  const std::vector<std::string> Tight{"tight1", "tight2"};
  BOOST_CHECK_EQUAL_COLLECTIONS(Renewed.begin(), Renewed.end(), Tight.begin(),
                                Tight.end());
}
