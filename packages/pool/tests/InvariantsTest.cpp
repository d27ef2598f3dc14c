// Checks on random events that a task is on at most one VM and that a VM's
// capacity is never exceeded.

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include <boost/test/unit_test.hpp>

#include "SchedulerFixture.h"

using namespace cuminroad;

BOOST_AUTO_TEST_CASE(invariantsHoldOverRandomEvents) {
  for (unsigned Seed = 1; Seed <= 40; ++Seed) {
    std::mt19937 Random(Seed);
    SchedulerFixture Fixture;
    std::map<std::string, std::vector<StartRun>> OnVm;
    for (int Number = 0; Number < 5; ++Number)
      Fixture.addVm(makeVm("v" + std::to_string(Number), BigSize));
    for (int Step = 0; Step < 400; ++Step) {
      if (Random() % 4 == 0)
        Fixture.Scheduler->addJob(
            makeJob(
                "j" + std::to_string(Step),
                {makeStep(1 + static_cast<int>(Random() % 6),
                          {500 + static_cast<int>(Random() % 3000), 100, 0})}),
            makeQueue(static_cast<int>(Random() % 3)),
            Fixture.MonotonicClock.now());
      if (Random() % 15 == 0)
        Fixture.Scheduler->cancelJob("j" + std::to_string(Random() % 400));
      Fixture.MonotonicClock.advance(milliseconds(Random() % 100));
      Fixture.runPass();
      for (const StartRun &Start : Fixture.Starts) {
        Fixture.acceptStart(Start);
        OnVm[Start.Vm].push_back(Start);
      }
      for (auto &[Vm, Runs] : OnVm) {
        std::set<TaskName> Names;
        std::int64_t Cores = 0;
        for (const StartRun &Run : Runs) {
          BOOST_CHECK(Names.insert(Run.Run.Task).second);
          if (const JobPlan *Plan =
                  Fixture.Scheduler->plan(Run.Run.Task.Step.Job))
            Cores += Plan->Steps[0].PerTask.MilliCores;
        }
        BOOST_CHECK_LE(Cores, BigSize.MilliCores);
        while (!Runs.empty() && Random() % 3 == 0) {
          constexpr RunOutcome Ends[] = {RunOutcome::Done, RunOutcome::Done,
                                         RunOutcome::Failed,
                                         RunOutcome::Stopped};
          Fixture.endRun(Runs.back(), Ends[Random() % 4]);
          Runs.pop_back();
        }
      }
    }
  }
}
