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
  const std::vector<AdviceTicket> Good{{"v3", "t"}, {"v4", "t"}};
  Scheduler->adviceCame(Asks[0].Step, Asks[0].Vms, Good,
                        Time.now() + milliseconds(100));
  // The ticket would expire on the way: a new one is asked for first.
  pass();
  BOOST_CHECK(Starts.empty());
  BOOST_REQUIRE_EQUAL(Asks.size(), 1);
  BOOST_CHECK_EQUAL(Asks[0].Vms.size(), 2);
  Scheduler->adviceCame(Asks[0].Step, Asks[0].Vms, Good,
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
  Scheduler->adviceCame(Asks[0].Step, {}, {}, Time.now());
  pass();
  BOOST_CHECK_EQUAL(Asks.size(), 1);
}
