// Checks the forecast of a VM's free capacity, which is kept between passes,
// against a sum over the tasks on the VM.

#include <random>

#include <boost/test/unit_test.hpp>

#include "../src/Forecast.h"
#include "../src/PoolTables.h"
#include "SchedulerFixture.h"

using namespace cuminroad;

namespace {

constexpr milliseconds MinRemaining{50};

Capacity sumOverTasks(const VmRecord &Vm, TimePoint When, TimePoint Now) {
  Capacity Out = Vm.freeCapacity();
  for (const TaskRecord *Task : Vm.Tasks) {
    const StepPlan &Plan = *Task->Step->Plan;
    if (Plan.LongRunning)
      continue;
    const TimePoint End =
        Task->PlacedAt +
        std::chrono::duration_cast<milliseconds>(Plan.Estimate * Vm.Slowdown);
    if (std::max(End, Now + MinRemaining) <= When)
      Out += Plan.reservedCapacity();
  }
  return Out;
}

} // namespace

// Guards against a forecast that is kept although tasks were placed or ended.
BOOST_AUTO_TEST_CASE(forecastFollowsPlacementsAndEnds) {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    std::mt19937 Random(Seed);
    PoolTables Tables;
    VmRecord &Vm = Tables.findOrCreateVm("v");
    Vm.Description = makeVm("v", Capacity{64000, 64000, 8});
    JobRecord Job;
    Job.Plan = makeJob("j", {});
    for (int Number = 0; Number < 30; ++Number) {
      StepPlan Step = makeStep(1, {100 + static_cast<int>(Random() % 900), 7},
                               static_cast<int>(Random() % 1000));
      Step.LongRunning = Random() % 6 == 0;
      Step.BestEffort = Random() % 6 == 0;
      Job.Plan.Steps.push_back(Step);
    }
    OccurrenceRecord &Occurrence = Tables.createOccurrence(Job, 0, TimePoint{});
    ManualClock Clock;
    for (int Round = 0; Round < 300; ++Round) {
      StepRecord &Step = Occurrence.Steps[Random() % 30];
      const TimePoint Now = Clock.now();
      if (!Step.Tasks.isDone(0)) {
        TaskRecord &Task = Step.Tasks.begin(0);
        if (Task.Phase == TaskPhase::Waiting)
          Tables.place(Task, Vm, Round + 1, Now);
        else if (Random() % 5 != 0)
          Tables.release(Task);
        else
          Tables.finish(Step, 0, 1);
      }
      for (int Each = 0; Each < 5; ++Each) {
        const TimePoint When =
            Now + milliseconds(static_cast<int>(Random() % 1500) - 200);
        BOOST_REQUIRE(freeCapacityAt(Vm, When, Now) ==
                      sumOverTasks(Vm, When, Now));
      }
      Clock.advance(milliseconds(Random() % 60));
    }
  }
}
