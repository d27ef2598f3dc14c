// Random histories of arrivals, ends, cancellations, VMs that fail, leave and
// return, contract changes and takeovers, held against the naive version.
//
// A failure prints the seed and the shrunk history; run it again with
// RC_PARAMS="reproduce=..." as printed.

#include <cstdlib>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "NaiveWorld.h"

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

BOOST_AUTO_TEST_CASE(agreesWithTheNaiveVersion) {
  int Starts = 0;
  const bool Held =
      rc::check("agrees with the naive version",
                [&Starts](const std::vector<std::uint32_t> &History) {
                  NaiveWorld World;
                  for (const std::uint32_t Word : History)
                    World.play(Word);
                  World.finish();
                  Starts += World.starts();
                  RC_ASSERT(World.violations() == std::string());
                });
  BOOST_CHECK(Held);
  // A history in which nothing starts would prove nothing.
  BOOST_CHECK_GT(Starts, 10000);
}
