// The addresses through which a daemon reaches the store when its own way
// fails.

#include <boost/test/unit_test.hpp>

#include "cuminroad/fleet/PeerAddresses.h"

using namespace cuminroad;

namespace {

using Addresses = std::vector<std::string>;

} // namespace

// Guards against a daemon that is turned away by the store, sees all others
// deregister for a restart, and then has no address left to ask.
BOOST_AUTO_TEST_CASE(addressesOfRestartingDaemonsAreKept) {
  PeerAddresses Peers;
  Peers.update({"a:1", "b:1", "c:1"});
  Peers.update({"b:1"});
  Peers.update({});
  BOOST_CHECK((Peers.all() == Addresses{"b:1", "c:1", "a:1"}));
  Peers.update({"c:1"});
  BOOST_CHECK((Peers.all() == Addresses{"c:1", "b:1", "a:1"}));
}

// Guards against a list that grows with each daemon that was replaced.
BOOST_AUTO_TEST_CASE(oldestFormerAddressesAreDropped) {
  PeerAddresses Peers;
  for (int Number = 0; Number < 1000; ++Number)
    Peers.update({"d" + std::to_string(Number) + ":1"});
  const Addresses All = Peers.all();
  BOOST_CHECK_LE(All.size(), 20U);
  BOOST_CHECK_EQUAL(All.at(0), "d999:1");
  BOOST_CHECK_EQUAL(All.at(1), "d998:1");
}
