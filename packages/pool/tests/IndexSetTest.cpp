// Compares a set of ranges with a set of numbers.

#include <random>
#include <set>

#include <boost/test/unit_test.hpp>

#include "../src/IndexSet.h"

using namespace cuminroad;

// Guards against numbers that are lost, or counted twice, where ranges overlap
// or touch.
BOOST_AUTO_TEST_CASE(rangesEqualTheNumbersThatWereAdded) {
  constexpr int Limit = 60;
  for (unsigned Seed = 1; Seed <= 200; ++Seed) {
    std::mt19937 Random(Seed);
    IndexSet Tested;
    std::set<int> Reference;
    for (int Round = 0; Round < 30; ++Round) {
      const int First = static_cast<int>(Random() % Limit);
      const int Count = static_cast<int>(Random() % 6);
      Tested.addRange(First, Count);
      for (int Number = First; Number < First + Count; ++Number)
        Reference.insert(Number);
      std::set<int> Members;
      int LastEnd = -1;
      for (const auto &[Begin, Length] : Tested.ranges()) {
        BOOST_REQUIRE_GT(Begin, LastEnd);
        LastEnd = Begin + Length;
        for (int Number = Begin; Number < LastEnd; ++Number)
          Members.insert(Number);
      }
      BOOST_REQUIRE(Members == Reference);
      BOOST_REQUIRE_EQUAL(Tested.size(), Reference.size());
      for (int Number = 0; Number < Limit + 6; ++Number) {
        BOOST_REQUIRE_EQUAL(Tested.contains(Number),
                            Reference.contains(Number));
        int Missing = Number;
        while (Reference.contains(Missing))
          ++Missing;
        BOOST_REQUIRE_EQUAL(Tested.firstMissing(Number), Missing);
      }
    }
  }
}
