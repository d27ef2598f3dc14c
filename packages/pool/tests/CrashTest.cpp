// Tasks that crash each VM that starts them are given up; other tasks, whose
// VMs crash for other reasons, never are.

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "CrashingPool.h"

using namespace cuminroad;

namespace {

/// A task that has crashed three VMs must be started less than three times
/// more.
constexpr int MaxStartsOfDeadlyTask = 5;

bool isFirstTaskOf(const TaskName &Task, std::string_view JobPrefix) {
  return Task.Step.Job.starts_with(JobPrefix) && Task.Index == 0;
}

} // namespace

// Guards against a task that crashes VM after VM without end.
BOOST_FIXTURE_TEST_CASE(taskThatCrashesVmsIsGivenUp, CrashingPool) {
  IsDeadly = [](const TaskName &Task) { return isFirstTaskOf(Task, "bad"); };
  addVms(8);
  submit("bad", {makeStep(4, SmallSize, 700)});
  runFor(milliseconds(40000));
  BOOST_CHECK(stageOf("bad") == JobStage::Failed);
  BOOST_CHECK_LE(mostStarts(), MaxStartsOfDeadlyTask);
}

// Guards against crashes of VMs that keep their ids, which are seen as a new
// incarnation only.
BOOST_FIXTURE_TEST_CASE(taskThatRestartsVmsIsGivenUp, CrashingPool) {
  KeepIds = true;
  IsDeadly = [](const TaskName &Task) { return isFirstTaskOf(Task, "bad"); };
  addVms(8);
  submit("bad", {makeStep(4, SmallSize, 700)});
  runFor(milliseconds(40000));
  BOOST_CHECK(stageOf("bad") == JobStage::Failed);
  BOOST_CHECK_LE(mostStarts(), MaxStartsOfDeadlyTask);
}
