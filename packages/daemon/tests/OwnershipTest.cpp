// Guards against a daemon that ignores the new owner of its domain: each VM
// that refused the old epoch could have raised the daemon's epoch above the new
// one.

#include <boost/test/unit_test.hpp>

#include "cuminroad/base/ManualClock.h"
#include "cuminroad/daemon/Ownership.h"

using namespace cuminroad;

namespace {

/// Never runs its work.
class IdleLoop final : public Loop {
public:
  void post(Work) override {}
  void after(milliseconds, Work) override {}
};

/// Commits every transaction, and finds no row when read.
class EmptyTable final : public Table {
public:
  void commit(Transaction, CommitDone Done) override {
    Done(CommitOutcome{++Revision_, {}});
  }
  void read(std::string Key, RowDone Done) override {
    Done(TableRow{Key, 0, {}, ""});
  }
  void scan(std::string, RowsDone Done) override {
    Done(std::vector<TableRow>());
  }

private:
  std::int64_t Revision_ = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(refusalsBySeveralVmsDoNotHideTheNewOwner) {
  IdleLoop ControlLoop;
  EmptyTable Rows;
  ManualClock TestClock;
  EventLog Events("test", 100);
  const Settings Config;
  Ownership Owners(Rows, ControlLoop, TestClock, Events, Config,
                   Identity{"d1-a", "1", "d1", "h:1", "p:1"});
  int Lost = 0;
  Owners.OnLost = [&Lost] { ++Lost; };
  Owners.start();
  BOOST_REQUIRE(Owners.isOwner());
  const std::int64_t Epoch = Owners.owner().Epoch;
  // Three VMs report that another daemon holds them under the same epoch.
  for (int Vm = 0; Vm < 3; ++Vm)
    Owners.stepDown(Epoch);
  BOOST_CHECK(!Owners.isOwner());
  BOOST_CHECK_EQUAL(Lost, 1);
  Owners.observe(OwnerInfo{"d1-b", "2", "h:2", "p:2", Epoch + 1});
  BOOST_CHECK_EQUAL(Owners.owner().Peer, "p:2");
}
