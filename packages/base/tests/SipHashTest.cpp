// The published test values of SipHash-2-4 with 128 bits. Guards against a
// mistake in the algorithm that makes results predictable or equal.

#include <boost/test/unit_test.hpp>

#include "cuminroad/base/SipHash.h"

using namespace cuminroad;

BOOST_AUTO_TEST_CASE(publishedValues) {
  const Bits128 Key{0x0706050403020100, 0x0f0e0d0c0b0a0908};
  const Bits128 OfNothing = sipHash(Key, "");
  BOOST_CHECK_EQUAL(OfNothing.Low, 0xe6a825ba047f81a3);
  BOOST_CHECK_EQUAL(OfNothing.High, 0x930255c71472f66d);
  const Bits128 OfOneByte = sipHash(Key, std::string_view("\0", 1));
  BOOST_CHECK_EQUAL(OfOneByte.Low, 0x44af996bd8c187da);
  BOOST_CHECK_EQUAL(OfOneByte.High, 0x45fc229b11597634);
}
