// Callers get an answer to their cancellation also when the daemon stops being
// the owner before the cancellation is written. Guards against callers that
// wait until their timeout: close() dropped the callbacks of queued
// cancellations. Creations and cancellations are refused only if they were
// certainly not written.

#include <optional>

#include <boost/test/unit_test.hpp>

#include "ReadableTable.h"
#include "cuminroad/daemon/JobStore.h"
#include "cuminroad/fakes/FakeLoop.h"

using namespace cuminroad;

namespace {

/// Keeps the callbacks of commits, for the test to answer.
class HeldTable final : public ReadableTable {
public:
  void commit(Transaction, CommitDone Done) override {
    Commits.push_back(std::move(Done));
  }
  std::vector<CommitDone> Commits;
};

/// A store with one job in the table.
struct Fixture {
  Fixture()
      : Store(std::make_shared<JobStore>(Rows, ControlLoop,
                                         JobStoreScope{"d", "epoch", 1})) {
    Store->load([](const std::vector<JobRow> &) {});
    JobRow Row;
    Row.Spec.Id = "j";
    Store->create(Row, [](const Result<std::string> &) {});
    ControlLoop.runFor(milliseconds(1000));
    BOOST_REQUIRE_EQUAL(Rows.Commits.size(), 1);
    Rows.Commits[0](CommitOutcome{2, {}});
  }
  ~Fixture() { Store->close(); }

  void cancel(const std::string &Job = "j") {
    Store->recordCancellation(
        Job, [this](Result<void> Result) { Cancelled = std::move(Result); });
  }

  void create(const std::string &Job, const std::string &Name = "") {
    JobRow Row;
    Row.Spec.Id = Job;
    Row.Spec.Customer = "c";
    Row.Name = Name;
    Store->create(Row,
                  [this](Result<std::string> Id) { Created = std::move(Id); });
  }

  FakeLoop ControlLoop;
  HeldTable Rows;
  std::shared_ptr<JobStore> Store;
  std::optional<Result<void>> Cancelled;
  std::optional<Result<std::string>> Created;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(queuedCancellationFailsWhenTheStoreIsClosed, Fixture) {
  cancel();
  BOOST_CHECK(!Cancelled);
  Store->close();
  BOOST_REQUIRE(Cancelled);
  BOOST_REQUIRE(!*Cancelled);
  BOOST_CHECK(Cancelled->error().Code == ErrorCode::NoOwner);
}

BOOST_FIXTURE_TEST_CASE(cancellationInFlightIsAnsweredByItsOutcome, Fixture) {
  cancel();
  ControlLoop.runFor(milliseconds(1000));
  BOOST_REQUIRE_EQUAL(Rows.Commits.size(), 2);
  Store->close();
  BOOST_CHECK(!Cancelled);
  // The next owner loads the job as cancelled.
  Rows.Commits[1](CommitOutcome{3, {}});
  BOOST_REQUIRE(Cancelled);
  BOOST_CHECK(*Cancelled);
}

BOOST_FIXTURE_TEST_CASE(cancellationThatWasNotWrittenFailsAfterClose, Fixture) {
  cancel();
  ControlLoop.runFor(milliseconds(1000));
  BOOST_REQUIRE_EQUAL(Rows.Commits.size(), 2);
  Store->close();
  Rows.Commits[1](failure(ErrorCode::PlatformUnavailable));
  BOOST_REQUIRE(Cancelled);
  BOOST_CHECK(!*Cancelled);
}

BOOST_FIXTURE_TEST_CASE(cancellationUnderANewOwnerFails, Fixture) {
  cancel();
  ControlLoop.runFor(milliseconds(1000));
  BOOST_REQUIRE_EQUAL(Rows.Commits.size(), 2);
  Rows.Commits[1](CommitOutcome{0, {"epoch"}});
  BOOST_REQUIRE(Cancelled);
  BOOST_CHECK(!*Cancelled);
}

// Guards against a job that runs twice: "not run" about a write that may have
// taken effect lets the API submit the job to the next domain.
BOOST_FIXTURE_TEST_CASE(creationWithUnknownOutcomeIsNotRefused, Fixture) {
  int Superseded = 0;
  Store->OnSuperseded = [&Superseded] { ++Superseded; };
  create("k");
  cancel();
  ControlLoop.runFor(milliseconds(1000));
  BOOST_REQUIRE_EQUAL(Rows.Commits.size(), 2);
  Rows.Commits[1](failure(ErrorCode::WriteOutcomeUnknown));
  BOOST_REQUIRE(Created);
  BOOST_REQUIRE(!*Created);
  BOOST_CHECK(Created->error().Code == ErrorCode::WriteOutcomeUnknown);
  BOOST_REQUIRE(Cancelled);
  BOOST_REQUIRE(!*Cancelled);
  BOOST_CHECK(Cancelled->error().Code == ErrorCode::WriteOutcomeUnknown);
  BOOST_CHECK_EQUAL(Superseded, 1);
}

// Guards against unknown outcomes of writes that certainly did not happen.
BOOST_FIXTURE_TEST_CASE(creationWithoutPlatformIsRefused, Fixture) {
  create("k");
  ControlLoop.runFor(milliseconds(1000));
  BOOST_REQUIRE_EQUAL(Rows.Commits.size(), 2);
  Rows.Commits[1](failure(ErrorCode::PlatformUnavailable));
  BOOST_REQUIRE(Created);
  BOOST_REQUIRE(!*Created);
  BOOST_CHECK(Created->error().Code == ErrorCode::PlatformUnavailable);
}

// Guards against "not run" about a job that exists: its name is taken, but the
// row of the name can't be read.
BOOST_FIXTURE_TEST_CASE(creationUnderAnUnreadableNameIsNotRefused, Fixture) {
  create("k", "n");
  ControlLoop.runFor(milliseconds(1000));
  BOOST_REQUIRE_EQUAL(Rows.Commits.size(), 2);
  Rows.ReadsFail = true;
  Rows.Commits[1](CommitOutcome{0, {"jobname/c/n"}});
  BOOST_REQUIRE(Created);
  BOOST_REQUIRE(!*Created);
  BOOST_CHECK(Created->error().Code == ErrorCode::WriteOutcomeUnknown);
}

// Guards against "not run" about a job that exists, from an owner that was
// closed while it wrote.
BOOST_FIXTURE_TEST_CASE(creationUnderATakenNameIsResolvedAfterClose, Fixture) {
  create("k", "n");
  ControlLoop.runFor(milliseconds(1000));
  BOOST_REQUIRE_EQUAL(Rows.Commits.size(), 2);
  Rows.Rows["jobname/c/n"] =
      TableRow{"jobname/c/n", 1, {{"job", "existing"}}, "w"};
  Store->close();
  Rows.Commits[1](CommitOutcome{0, {"jobname/c/n"}});
  BOOST_REQUIRE(Created);
  BOOST_REQUIRE(*Created);
  BOOST_CHECK_EQUAL(**Created, "existing");
}

// Guards against a daemon that ends by an exception: a job whose creation
// failed was still to be written, since a caller had cancelled it meanwhile.
BOOST_AUTO_TEST_CASE(cancellationOfAFailedCreationIsAnswered) {
  const Result<CommitOutcome> Failures[] = {
      failure(ErrorCode::PlatformUnavailable),
      CommitOutcome{0, {"jobname/c/n"}}};
  for (const Result<CommitOutcome> &Failure : Failures) {
    Fixture Setup;
    Setup.create("k", "n");
    Setup.ControlLoop.runFor(milliseconds(1000));
    BOOST_REQUIRE_EQUAL(Setup.Rows.Commits.size(), 2);
    Setup.cancel("k");
    Setup.Rows.Commits[1](Failure);
    BOOST_REQUIRE(Setup.Created);
    Setup.ControlLoop.runFor(milliseconds(3000));
    BOOST_REQUIRE_EQUAL(Setup.Rows.Commits.size(), 3);
    Setup.Rows.Commits[2](CommitOutcome{3, {}});
    BOOST_REQUIRE(Setup.Cancelled);
    BOOST_CHECK(*Setup.Cancelled);
  }
}
