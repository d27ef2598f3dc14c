// Random histories of arrivals, ends, cancellations, VMs that fail, leave and
// return, contract changes and takeovers, held against the naive version.
//
// A failure prints the seed and the shrunk history; run it again with
// RC_PARAMS="reproduce=..." as printed.

#include <cstdlib>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "ReferenceModel.h"

using namespace cuminroad;

namespace {

/// The same histories every time, unless the environment asks for others.
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
  // A history in which nothing starts would prove nothing.
  BOOST_CHECK_GT(Starts, 10000);
}
