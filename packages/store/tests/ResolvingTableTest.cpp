// Checks that writes are resolved whose request or response is lost, or that
// take effect late.

#include <deque>
#include <map>
#include <optional>

#include <boost/test/unit_test.hpp>

#include "cuminroad/store/ResolvingTable.h"

using namespace cuminroad;

namespace {

/// Queues all work, also delayed work, until drain() runs it.
class QueuedLoop final : public Loop {
public:
  void post(Work Run) override { Queued.push_back(std::move(Run)); }
  void after(milliseconds, Work Run) override {
    Queued.push_back(std::move(Run));
  }
  void drain() {
    while (!Queued.empty()) {
      const Work Run = std::move(Queued.front());
      Queued.pop_front();
      Run();
    }
  }
  std::deque<Work> Queued;
};

enum class CommitBehavior { Answered, LostAfter, LostBefore, Late, Refused };

/// A table in memory; the test sets what happens to each commit.
class FakeTable final : public Table {
public:
  std::deque<CommitBehavior> Behaviors;
  std::map<std::string, TableRow> Rows;
  std::vector<Transaction> DelayedTransactions;
  std::int64_t Revision = 0;
  int Commits = 0;

  CommitOutcome apply(const Transaction &Change) {
    for (const VersionCheck &Check : Change.Checks)
      if (Rows[Check.Key].Version != Check.Version)
        return CommitOutcome{0, {Check.Key}};
    ++Revision;
    ++Commits;
    for (const RowWrite &Write : Change.Writes)
      Rows[Write.Key] =
          TableRow{Write.Key, Revision, Write.Value, Change.WriteId};
    return CommitOutcome{Revision, {}};
  }

  void commit(Transaction Change, CommitDone Done) override {
    CommitBehavior Behavior = CommitBehavior::Answered;
    if (!Behaviors.empty()) {
      Behavior = Behaviors.front();
      Behaviors.pop_front();
    }
    switch (Behavior) {
    case CommitBehavior::Answered:
      return Done(apply(Change));
    case CommitBehavior::LostAfter:
      apply(Change);
      return Done(failure(ErrorCode::WriteOutcomeUnknown));
    case CommitBehavior::LostBefore:
      return Done(failure(ErrorCode::WriteOutcomeUnknown));
    case CommitBehavior::Late:
      DelayedTransactions.push_back(Change);
      return Done(failure(ErrorCode::WriteOutcomeUnknown));
    case CommitBehavior::Refused:
      return Done(failure(ErrorCode::PlatformUnavailable));
    }
  }
  void read(std::string Key, RowDone Done) override { Done(Rows[Key]); }
  void scan(std::string, RowsDone Done) override {
    Done(std::vector<TableRow>());
  }
};

struct Fixture {
  QueuedLoop ControlLoop;
  FakeTable Inner;
  ResolvingTable Rows{Inner, ControlLoop, 5};

  Result<CommitOutcome> commit(const std::string &WriteId, std::int64_t Version,
                               std::vector<VersionCheck> OtherChecks = {}) {
    Result<CommitOutcome> Outcome = failure(ErrorCode::Timeout);
    OtherChecks.push_back({"k", Version});
    Rows.commit(Transaction{WriteId, OtherChecks, {{"k", WriteId}}},
                [&Outcome](Result<CommitOutcome> Received) {
                  Outcome = std::move(Received);
                });
    ControlLoop.drain();
    return Outcome;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(lostReplyIsResolvedAsCommitted, Fixture) {
  Inner.Behaviors = {CommitBehavior::LostAfter};
  const auto Outcome = commit("w1", 0);
  BOOST_REQUIRE(Outcome);
  BOOST_CHECK_EQUAL(Outcome->Revision, Inner.Rows["k"].Version);
  BOOST_CHECK_EQUAL(Inner.Commits, 1);
}

BOOST_FIXTURE_TEST_CASE(lostRequestIsResent, Fixture) {
  Inner.Behaviors = {CommitBehavior::LostBefore, CommitBehavior::Refused,
                     CommitBehavior::LostAfter};
  const auto Outcome = commit("w1", 0);
  BOOST_REQUIRE(Outcome);
  BOOST_CHECK(Outcome->committed());
  BOOST_CHECK_EQUAL(Inner.Commits, 1);
}

BOOST_FIXTURE_TEST_CASE(delayedRequestConflictsAfterTheRetry, Fixture) {
  Inner.Behaviors = {CommitBehavior::Late};
  BOOST_REQUIRE(commit("w1", 0)->committed());
  const std::int64_t Version = Inner.Rows["k"].Version;
  BOOST_REQUIRE(commit("w2", Version)->committed());
  BOOST_CHECK(!Inner.apply(Inner.DelayedTransactions.front()).committed());
  BOOST_CHECK_EQUAL(Inner.Rows["k"].WriteId, "w2");
}

BOOST_FIXTURE_TEST_CASE(conflictWithAnotherWriterIsReported, Fixture) {
  BOOST_REQUIRE(commit("other", 0)->committed());
  const auto Outcome = commit("mine", 0);
  BOOST_REQUIRE(Outcome);
  BOOST_CHECK(!Outcome->committed());
  BOOST_CHECK((Outcome->Conflicts == std::vector<std::string>{"k"}));
}

// Guards against a conflict as the answer to a write that may have taken
// effect: after a try without a response, the row of another writer looks the
// same whether or not it replaced this write's.
BOOST_FIXTURE_TEST_CASE(conflictAfterALostTryIsUnknown, Fixture) {
  BOOST_REQUIRE(commit("other", 0)->committed());
  Inner.Behaviors = {CommitBehavior::LostBefore};
  const auto Outcome = commit("mine", 0);
  BOOST_REQUIRE(!Outcome);
  BOOST_CHECK(Outcome.error().Code == ErrorCode::WriteOutcomeUnknown);
  BOOST_CHECK_EQUAL(Inner.Commits, 1);
}

// Guards against an unknown outcome where the first row is unchanged, so that
// the write certainly conflicted over another row.
BOOST_FIXTURE_TEST_CASE(conflictOverAnotherRowIsReportedAfterALostTry,
                        Fixture) {
  BOOST_REQUIRE(commit("old", 0)->committed());
  const std::int64_t Version = Inner.Rows["k"].Version;
  BOOST_REQUIRE(
      Inner.apply(Transaction{"other", {{"name", 0}}, {{"name", "other"}}})
          .committed());
  Inner.Behaviors = {CommitBehavior::LostBefore};
  const auto Outcome = commit("mine", Version, {{"name", 0}});
  BOOST_REQUIRE(Outcome);
  BOOST_CHECK(!Outcome->committed());
  BOOST_CHECK((Outcome->Conflicts == std::vector<std::string>{"name"}));
}

// Guards against a conflict as the answer to a write that took effect and whose
// row was then deleted: it has version 0 again, as before the write.
BOOST_FIXTURE_TEST_CASE(deletedWriteIsNotReportedAsConflict, Fixture) {
  Inner.Behaviors = {CommitBehavior::LostAfter};
  std::optional<Result<CommitOutcome>> Outcome;
  Rows.commit(Transaction{"mine", {{"k", 0}, {"name", 0}}, {{"k", "mine"}}},
              [&Outcome](Result<CommitOutcome> Received) {
                Outcome = std::move(Received);
              });
  BOOST_REQUIRE_EQUAL(Inner.Rows["k"].WriteId, "mine");
  Inner.Rows["k"] = TableRow{"k", 0, {}, ""};
  Inner.Rows["name"] = TableRow{"name", ++Inner.Revision, "other", "other"};
  ControlLoop.drain();
  BOOST_REQUIRE(Outcome);
  BOOST_REQUIRE(!*Outcome);
  BOOST_CHECK(Outcome->error().Code == ErrorCode::WriteOutcomeUnknown);
}

// Guards against a job that runs although its caller was told "not run": the
// write of an owner takes effect, its response is lost, and the next owner
// replaces the row before the write is sent again.
BOOST_FIXTURE_TEST_CASE(replacedWriteIsNotReportedAsConflict, Fixture) {
  Inner.Behaviors = {CommitBehavior::LostAfter};
  std::optional<Result<CommitOutcome>> Outcome;
  Rows.commit(Transaction{"mine", {{"k", 0}}, {{"k", "mine"}}},
              [&Outcome](Result<CommitOutcome> Received) {
                Outcome = std::move(Received);
              });
  const std::int64_t Version = Inner.Rows["k"].Version;
  BOOST_REQUIRE_EQUAL(Inner.Rows["k"].WriteId, "mine");
  BOOST_REQUIRE(
      Inner.apply(Transaction{"other", {{"k", Version}}, {{"k", "other"}}})
          .committed());
  ControlLoop.drain();
  BOOST_REQUIRE(Outcome);
  const bool IsConflict = *Outcome && !(*Outcome)->committed();
  BOOST_CHECK(!IsConflict);
}

BOOST_FIXTURE_TEST_CASE(refusalIsReportedWithoutRetry, Fixture) {
  Inner.Behaviors = {CommitBehavior::Refused};
  BOOST_CHECK(commit("w1", 0).error().Code == ErrorCode::PlatformUnavailable);
  BOOST_CHECK_EQUAL(Inner.Commits, 0);
}

BOOST_FIXTURE_TEST_CASE(outcomeIsUnknownAfterTheLastTry, Fixture) {
  Inner.Behaviors = std::deque<CommitBehavior>(20, CommitBehavior::LostBefore);
  BOOST_CHECK(commit("w1", 0).error().Code == ErrorCode::WriteOutcomeUnknown);
}

BOOST_FIXTURE_TEST_CASE(reachabilityChangesAreReportedOnce, Fixture) {
  std::vector<bool> Notified;
  Rows.OnReachabilityChange = [&Notified](bool Reachable) {
    Notified.push_back(Reachable);
  };
  Inner.Behaviors = {CommitBehavior::Refused, CommitBehavior::Refused};
  (void)commit("w1", 0);
  (void)commit("w1", 0);
  (void)commit("w1", 0);
  BOOST_CHECK((Notified == std::vector<bool>{false, true}));
}
