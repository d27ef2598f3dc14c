// Writes whose reply is lost, before or after they took effect, or late.

#include <deque>
#include <map>

#include <boost/test/unit_test.hpp>

#include "cuminroad/store/ResolvingTable.h"

using namespace cuminroad;

namespace {

/// Runs work at once or, for delayed work, when asked to.
class StepLoop final : public Loop {
public:
  void post(Work Run) override { Queue.push_back(std::move(Run)); }
  void after(milliseconds, Work Run) override {
    Queue.push_back(std::move(Run));
  }
  void drain() {
    while (!Queue.empty()) {
      const Work Run = std::move(Queue.front());
      Queue.pop_front();
      Run();
    }
  }
  std::deque<Work> Queue;
};

enum class Fate { Answered, LostAfter, LostBefore, Late, Refused };

/// A table in memory that does to each commit what the test says.
class FakeTable final : public Table {
public:
  std::deque<Fate> Fates;
  std::map<std::string, TableRow> Rows;
  std::vector<Transaction> LateOnes;
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
    Fate Now = Fate::Answered;
    if (!Fates.empty()) {
      Now = Fates.front();
      Fates.pop_front();
    }
    switch (Now) {
    case Fate::Answered:
      return Done(apply(Change));
    case Fate::LostAfter:
      apply(Change);
      return Done(failure(ErrorCode::WriteOutcomeUnknown));
    case Fate::LostBefore:
      return Done(failure(ErrorCode::WriteOutcomeUnknown));
    case Fate::Late:
      LateOnes.push_back(Change);
      return Done(failure(ErrorCode::WriteOutcomeUnknown));
    case Fate::Refused:
      return Done(failure(ErrorCode::PlatformUnavailable));
    }
  }
  void read(std::string Key, RowDone Done) override { Done(Rows[Key]); }
  void scan(std::string, RowsDone Done) override {
    Done(std::vector<TableRow>());
  }
};

struct Fixture {
  StepLoop Home;
  FakeTable Inner;
  ResolvingTable Rows{Inner, Home, 5};

  Result<CommitOutcome> commit(const std::string &WriteId,
                               std::int64_t Version) {
    Result<CommitOutcome> Out = failure(ErrorCode::Timeout);
    Rows.commit(Transaction{WriteId, {{"k", Version}}, {{"k", WriteId}}},
                [&Out](Result<CommitOutcome> Got) { Out = std::move(Got); });
    Home.drain();
    return Out;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(lostReplyIsFoundToBeOurs, Fixture) {
  Inner.Fates = {Fate::LostAfter};
  const auto Outcome = commit("w1", 0);
  BOOST_REQUIRE(Outcome);
  BOOST_CHECK_EQUAL(Outcome->Revision, Inner.Rows["k"].Version);
  BOOST_CHECK_EQUAL(Inner.Commits, 1);
}

BOOST_FIXTURE_TEST_CASE(lostRequestIsSentAgain, Fixture) {
  Inner.Fates = {Fate::LostBefore, Fate::Refused, Fate::LostAfter};
  const auto Outcome = commit("w1", 0);
  BOOST_REQUIRE(Outcome);
  BOOST_CHECK(Outcome->committed());
  BOOST_CHECK_EQUAL(Inner.Commits, 1);
}

BOOST_FIXTURE_TEST_CASE(lateRequestTakesNoEffectAfterTheSecondTry, Fixture) {
  Inner.Fates = {Fate::Late};
  BOOST_REQUIRE(commit("w1", 0)->committed());
  const std::int64_t Version = Inner.Rows["k"].Version;
  BOOST_REQUIRE(commit("w2", Version)->committed());
  BOOST_CHECK(!Inner.apply(Inner.LateOnes.front()).committed());
  BOOST_CHECK_EQUAL(Inner.Rows["k"].WriteId, "w2");
}

BOOST_FIXTURE_TEST_CASE(conflictWithAnotherStaysAConflict, Fixture) {
  BOOST_REQUIRE(commit("other", 0)->committed());
  Inner.Fates = {Fate::LostBefore};
  const auto Outcome = commit("mine", 0);
  BOOST_REQUIRE(Outcome);
  BOOST_CHECK(!Outcome->committed());
}

BOOST_FIXTURE_TEST_CASE(refusalIsCertain, Fixture) {
  Inner.Fates = {Fate::Refused};
  BOOST_CHECK(commit("w1", 0).error().Code == ErrorCode::PlatformUnavailable);
  BOOST_CHECK_EQUAL(Inner.Commits, 0);
}

BOOST_FIXTURE_TEST_CASE(endlessLossStaysUnknown, Fixture) {
  Inner.Fates = std::deque<Fate>(20, Fate::LostBefore);
  BOOST_CHECK(commit("w1", 0).error().Code == ErrorCode::WriteOutcomeUnknown);
}

BOOST_FIXTURE_TEST_CASE(reachabilityIsToldOnChange, Fixture) {
  std::vector<bool> Told;
  Rows.OnReachable = [&Told](bool Reachable) { Told.push_back(Reachable); };
  Inner.Fates = {Fate::Refused, Fate::Refused};
  (void)commit("w1", 0);
  (void)commit("w1", 0);
  (void)commit("w1", 0);
  BOOST_CHECK((Told == std::vector<bool>{false, true}));
}
