// Compares the scheduler with a reference model over random sequences of
// events: jobs that arrive, end or are cancelled, VMs that fail, leave or
// return, changed contracts and takeovers by another owner.
//
// A failure prints the seed and the shrunk sequence. To run it again, set
// RC_PARAMS="reproduce=..." as printed.

#include <cstdlib>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "ReferenceModel.h"

using namespace cuminroad;

namespace {

/// Makes every run use the same event sequences, unless RC_PARAMS is set.
struct FixedSeed {
  FixedSeed() {
    setenv("RC_PARAMS", "seed=20261204 max_success=3000 max_size=300", 0);
  }
};

BOOST_GLOBAL_FIXTURE(FixedSeed);

} // namespace

BOOST_AUTO_TEST_CASE(agreesWithReferenceModel) {
  int Starts = 0;
  const bool Passed =
      rc::check("agrees with the reference model",
                [&Starts](const std::vector<std::uint32_t> &Events) {
                  ReferenceModel Model;
                  for (const std::uint32_t Event : Events)
                    Model.applyEvent(Event);
                  Model.finish();
                  Starts += Model.starts();
                  RC_ASSERT(Model.violations() == std::string());
                });
  BOOST_CHECK(Passed);
  // Guards against sequences that start too few tasks to check anything.
  BOOST_CHECK_GT(Starts, 10000);
}
