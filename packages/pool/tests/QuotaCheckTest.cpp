// Tests which jobs are refused because of their account's quota.

#include <boost/test/unit_test.hpp>

#include "SchedulerFixture.h"
#include "cuminroad/pool/QuotaCheck.h"

using namespace cuminroad;

namespace {

bool isRefused(int Tasks, const Capacity &Size, bool Gang,
               const Capacity &Quota) {
  StepPlan Step = makeStep(Tasks, Size);
  Step.Gang = Gang;
  return exceedsQuota(makeJob("j", {makeStep(1, {1, 1, 0}), Step}), Quota);
}

} // namespace

// Guards against a job that could run being refused, and against one being
// accepted that never can.
BOOST_AUTO_TEST_CASE(onlyWhatNeverFitsIsRefused) {
  constexpr Capacity Quota{4000, 400, 4};
  BOOST_CHECK(!isRefused(1, {4000, 400, 4}, false, Quota));
  BOOST_CHECK(!isRefused(1000, {4000, 400, 4}, false, Quota));
  BOOST_CHECK(!isRefused(4, {1000, 100, 1}, true, Quota));
  BOOST_CHECK(isRefused(1, {4001, 1, 0}, false, Quota));
  BOOST_CHECK(isRefused(1, {1, 401, 0}, false, Quota));
  BOOST_CHECK(isRefused(1, {1, 1, 5}, false, Quota));
  BOOST_CHECK(isRefused(5, {1, 1, 1}, true, Quota));
  BOOST_CHECK(isRefused(3, {1334, 1, 0}, true, Quota));
  BOOST_CHECK(!isRefused(1000000000, {1, 1, 1}, false, UnlimitedCapacity));
}

// Guards against a gang whose size exceeds 64 bits being taken for a small one.
BOOST_AUTO_TEST_CASE(hugeGangsAreRefused) {
  BOOST_CHECK(isRefused(1000000000, {1000000000000, 1, 0}, true,
                        {4000, UnlimitedAmount, UnlimitedAmount}));
}
