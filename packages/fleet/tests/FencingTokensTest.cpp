#include <boost/test/unit_test.hpp>

#include "cuminroad/fleet/FencingTokens.h"

using namespace cuminroad;

// Guards against an owner whose orders pass for those of its successor, so that
// VMs would refuse the successor.
BOOST_AUTO_TEST_CASE(tokensStayBelowThoseOfTheNextOwner) {
  FencingTokens Tokens(7);
  std::int64_t Last = Tokens.next();
  BOOST_CHECK_GT(Last, FencingTokens(6).next());
  BOOST_CHECK(!Tokens.nearlyExhausted());
  bool Rising = true;
  while (!Tokens.nearlyExhausted()) {
    const std::int64_t Next = Tokens.next();
    Rising = Rising && Next > Last;
    Last = Next;
  }
  BOOST_CHECK(Rising);
  BOOST_CHECK_LT(Last, FencingTokens(8).next());
}
