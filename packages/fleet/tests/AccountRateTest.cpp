// Jobs of other pools count towards the rate of their account.

#include <optional>

#include <boost/test/unit_test.hpp>

#include "PoolTestSupport.h"

using namespace cuminroad;

namespace {

/// An owner and a VM that runs one task at a time.
struct AccountRateFixture {
  AccountRateFixture() { Vms.add("vm0", 1); }

  void startDaemon() {
    Daemon.emplace("a", ControlLoop, Rows, Vms, makeTestQueue());
    Daemon->setAccounts({std::string(TestService)},
                        {account("hot"), account("calm")});
    ControlLoop.runFor(milliseconds(2000));
    BOOST_REQUIRE(Daemon->owns());
  }
  static ClientAccount account(const std::string &Name) {
    ClientAccount Out;
    Out.Name = Name;
    return Out;
  }
  void submit(const std::string &Job, const std::string &Account,
              std::string_view Service, int AcceptedAtMs) {
    JobRequest Request;
    Request.Queue = "q";
    Request.Service = Service;
    Request.AcceptedAt = milliseconds(AcceptedAtMs);
    Request.Plan.Id = Job;
    Request.Plan.Account = Account;
    StepPlan Step;
    Step.PerTask = TestTaskSize;
    Step.Estimate = milliseconds(100);
    Request.Plan.Steps.push_back(Step);
    RowTransaction Change;
    Change.Puts.push_back(RowPut{requestRow(Job), encodeRequest(Request)});
    Rows.apply(Change);
  }
  /// The account has sent its job of this second to another pool, whose row has
  /// the last key.
  void submitAll() {
    submit("00000000000000aa", "hot", TestService, 600);
    submit("00000000000000ab", "calm", TestService, 900);
    submit("00000000000000ff", "hot", "other", 100);
  }
  /// \returns the job that starts first when there is a VM.
  std::string firstJob() {
    ControlLoop.runFor(milliseconds(500));
    Daemon->listVms({StoredRow{RowName{"vms", "", "vm0"}, "1 1", 1, false}});
    ControlLoop.runFor(milliseconds(3000));
    return Vms.RunHistory.empty() ? ""
                                  : Vms.RunHistory.front().Run.Task.Step.Job;
  }

  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeVms Vms{ControlLoop};
  std::optional<TestDaemon> Daemon;
};

} // namespace

// Guards against an owner that counts only the jobs of its own pool: an account
// would have its rate once for each pool.
BOOST_FIXTURE_TEST_CASE(jobsOfOtherPoolsCount, AccountRateFixture) {
  startDaemon();
  submit("00000000000000ff", "hot", "other", 100);
  ControlLoop.runFor(milliseconds(200));
  submit("00000000000000aa", "hot", TestService, 600);
  submit("00000000000000ab", "calm", TestService, 900);
  BOOST_CHECK_EQUAL(firstJob(), "00000000000000ab");
}

// Guards against a new owner that counts the rows in the order of their keys.
BOOST_FIXTURE_TEST_CASE(newOwnerCountsInOrderOfAcceptance, AccountRateFixture) {
  submitAll();
  startDaemon();
  BOOST_CHECK_EQUAL(firstJob(), "00000000000000ab");
}

// Guards against a count of jobs that were never accepted.
BOOST_FIXTURE_TEST_CASE(jobWithinTheRateKeepsItsTurn, AccountRateFixture) {
  submit("00000000000000aa", "hot", TestService, 600);
  submit("00000000000000ab", "calm", TestService, 900);
  startDaemon();
  BOOST_CHECK_EQUAL(firstJob(), "00000000000000aa");
}
