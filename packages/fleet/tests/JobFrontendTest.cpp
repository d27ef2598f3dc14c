// Answers to clients about their jobs while the store fails.

#include <random>

#include <boost/test/unit_test.hpp>

#include "FrontendFixture.h"
#include "cuminroad/pool/JobProgress.h"

using namespace cuminroad;

BOOST_FIXTURE_TEST_CASE(resubmittedJobIsNotDuplicated, FrontendFixture) {
  submit("j");
  ControlLoop.runFor(CallerTimeout);
  BOOST_REQUIRE(isWritten("j"));
  const std::int64_t Version = Rows.find(requestRow("j"))->Version;
  submit("j");
  ControlLoop.runFor(CallerTimeout);
  BOOST_CHECK_EQUAL(Replies, 2);
  BOOST_CHECK(LastReply.Outcome == SubmitOutcome::Accepted);
  BOOST_CHECK_EQUAL(Rows.find(requestRow("j"))->Version, Version);
}

// Guards against a submission that the store refuses on every daemon: it was
// retried, and the daemons took the store for unreachable.
BOOST_FIXTURE_TEST_CASE(tooLargeJobIsRefusedAtOnce, FrontendFixture) {
  submit("j", Settings.MaxRowBytes);
  BOOST_REQUIRE_EQUAL(Replies, 1);
  BOOST_CHECK(LastReply.Outcome == SubmitOutcome::TooLarge);
  ControlLoop.runFor(CallerTimeout);
  BOOST_CHECK_EQUAL(Store.CommitCalls, 0);
}

BOOST_FIXTURE_TEST_CASE(refusedJobIsNeverWritten, FrontendFixture) {
  setStoreFate({StoreFault::Refused, {}});
  submit("j");
  ControlLoop.runFor(CallerTimeout);
  BOOST_REQUIRE_EQUAL(Replies, 1);
  BOOST_CHECK(LastReply.Outcome == SubmitOutcome::NotAccepted);
  BOOST_CHECK(LastReply.RetryAfter > milliseconds(0));
  // Refusals are sent well before the caller's timeout.
  BOOST_CHECK(ReplyTime < CallerTimeout / 2);
  setStoreFate({StoreFault::None, {}});
  ControlLoop.runFor(4 * CallerTimeout);
  BOOST_CHECK(!isWritten("j"));
}

BOOST_FIXTURE_TEST_CASE(shortStoreOutageIsNotVisibleToCallers,
                        FrontendFixture) {
  setStoreFate({StoreFault::Refused, {}});
  submit("j");
  ControlLoop.runFor(milliseconds(200));
  setStoreFate({StoreFault::None, {}});
  ControlLoop.runFor(CallerTimeout);
  BOOST_CHECK(LastReply.Outcome == SubmitOutcome::Accepted);
  BOOST_CHECK(isWritten("j"));
}

BOOST_FIXTURE_TEST_CASE(writeWithALostAnswerIsRetried, FrontendFixture) {
  setStoreFate({StoreFault::ResponseLost, {}});
  submit("j");
  ControlLoop.runFor(milliseconds(100));
  setStoreFate({StoreFault::None, {}});
  ControlLoop.runFor(CallerTimeout);
  BOOST_CHECK_EQUAL(Replies, 1);
  BOOST_CHECK(LastReply.Outcome == SubmitOutcome::Accepted);
}

BOOST_FIXTURE_TEST_CASE(possiblyWrittenJobIsNotReportedAsRefused,
                        FrontendFixture) {
  // The first attempt takes effect late; all others are refused.
  int Calls = 0;
  Store.NextFault = [&Calls] {
    return Calls++ == 0 ? StoreFault{StoreFault::Delayed, milliseconds(2500)}
                        : StoreFault{StoreFault::Refused, {}};
  };
  submit("j");
  ControlLoop.runFor(2 * CallerTimeout);
  BOOST_REQUIRE_EQUAL(Replies, 1);
  BOOST_CHECK(LastReply.Outcome == SubmitOutcome::Unknown);
  BOOST_CHECK(ReplyTime <= CallerTimeout);
  BOOST_CHECK(isWritten("j"));
}

// Guards against a job that runs although a caller was told that it never does:
// the refusal of one copy of a submission counts for an earlier copy, whose
// write has taken effect, or does so later.
BOOST_AUTO_TEST_CASE(copyOfAPossiblyWrittenJobIsNotReportedAsRefused) {
  for (const StoreFault FirstWrite :
       {StoreFault{StoreFault::ResponseLost, {}},
        StoreFault{StoreFault::Delayed, CallerTimeout + milliseconds(2000)}}) {
    FrontendFixture Setup;
    int Calls = 0;
    Setup.Store.NextFault = [&Calls, FirstWrite] {
      return Calls++ == 0 ? FirstWrite : StoreFault{StoreFault::Refused, {}};
    };
    Setup.submit("j");
    Setup.ControlLoop.runFor(CallerTimeout);
    BOOST_REQUIRE_EQUAL(Setup.Replies, 1);
    BOOST_REQUIRE(Setup.LastReply.Outcome == SubmitOutcome::Unknown);
    Setup.submit("j");
    Setup.ControlLoop.runFor(CallerTimeout);
    BOOST_REQUIRE_EQUAL(Setup.Replies, 2);
    BOOST_REQUIRE(Setup.isWritten("j"));
    BOOST_CHECK(Setup.LastReply.Outcome == SubmitOutcome::Unknown);
  }
}

// Load: the store is away for seconds and breaks off every call. Guards against
// writes whose outcome is unknown, after which callers don't try again: while
// the last call to the store has failed, a read precedes the write.
BOOST_FIXTURE_TEST_CASE(jobIsRefusedWithoutAWriteWhileTheStoreIsAway,
                        FrontendFixture) {
  setStoreFate({StoreFault::RequestLost, {}});
  Store.read(RowRange{"t", "p", "", ""}, milliseconds(100),
             [](const Result<RowPage> &) {});
  ControlLoop.runFor(milliseconds(200));
  submit("j");
  ControlLoop.runFor(CallerTimeout);
  BOOST_REQUIRE_EQUAL(Replies, 1);
  BOOST_CHECK(LastReply.Outcome == SubmitOutcome::NotAccepted);
  BOOST_CHECK(ReplyTime < CallerTimeout / 4);
  // The caller can return twice within its time.
  BOOST_CHECK(LastReply.RetryAfter <= milliseconds(1000));
  BOOST_CHECK_EQUAL(Store.CommitCalls, 0);
  setStoreFate({StoreFault::None, {}});
  submit("j");
  ControlLoop.runFor(CallerTimeout);
  BOOST_CHECK(LastReply.Outcome == SubmitOutcome::Accepted);
  BOOST_CHECK(isWritten("j"));
}

BOOST_AUTO_TEST_CASE(repliesMatchTheStoreUnderRandomFaults) {
  for (unsigned Seed = 1; Seed <= 400; ++Seed) {
    FrontendFixture Setup;
    std::mt19937 Random(Seed);
    Setup.Store.NextFault = [&Random] {
      const auto Kind = static_cast<StoreFault::FaultKind>(Random() % 5);
      return StoreFault{Kind, milliseconds(Random() % 5000)};
    };
    Setup.submit("j");
    Setup.ControlLoop.runFor(4 * CallerTimeout);
    BOOST_REQUIRE_MESSAGE(Setup.Replies == 1, "seed " << Seed);
    BOOST_CHECK_MESSAGE(Setup.ReplyTime <= CallerTimeout, "seed " << Seed);
    const bool Written = Setup.isWritten("j");
    if (Setup.LastReply.Outcome == SubmitOutcome::Accepted)
      BOOST_CHECK_MESSAGE(Written, "seed " << Seed);
    if (Setup.LastReply.Outcome == SubmitOutcome::NotAccepted)
      BOOST_CHECK_MESSAGE(!Written, "seed " << Seed);
  }
}

BOOST_FIXTURE_TEST_CASE(cancelReportsWhetherTheJobExists, FrontendFixture) {
  BOOST_CHECK(cancel("j") == std::optional<bool>(false));
  BOOST_CHECK(Rows.find(cancelRow("j")) == nullptr);
  submit("j");
  ControlLoop.runFor(CallerTimeout);
  BOOST_CHECK(cancel("j") == std::optional<bool>(true));
  BOOST_REQUIRE(Rows.find(cancelRow("j")) != nullptr);
  const std::int64_t Version = Rows.find(cancelRow("j"))->Version;
  BOOST_CHECK(cancel("j") == std::optional<bool>(true));
  BOOST_CHECK_EQUAL(Rows.find(cancelRow("j"))->Version, Version);
}

// Guards against a job that starts after its caller was told that there is none
// to cancel: a write for the job was still under way, or is repeated.
BOOST_AUTO_TEST_CASE(cancelDoesNotMissAPossiblyWrittenJob) {
  for (const StoreFault FirstWrite :
       {StoreFault{StoreFault::Delayed, 3 * CallerTimeout},
        StoreFault{StoreFault::RequestLost, {}}}) {
    FrontendFixture Setup;
    int Calls = 0;
    Setup.Store.NextFault = [&Calls, FirstWrite] {
      return Calls++ == 0 ? FirstWrite : StoreFault{};
    };
    Setup.submit("j");
    Setup.ControlLoop.runFor(milliseconds(500));
    const std::optional<bool> Cancelled = Setup.cancel("j");
    Setup.ControlLoop.runFor(3 * CallerTimeout);
    BOOST_REQUIRE(Setup.isWritten("j"));
    BOOST_CHECK(Cancelled != std::optional<bool>(false) ||
                Setup.Rows.find(cancelRow("j")) != nullptr);
  }
}

BOOST_FIXTURE_TEST_CASE(cancelWithoutTheStoreIsUnknown, FrontendFixture) {
  submit("j");
  ControlLoop.runFor(CallerTimeout);
  setStoreFate({StoreFault::Refused, {}});
  BOOST_CHECK(cancel("j") == std::nullopt);
}

BOOST_FIXTURE_TEST_CASE(stageIsReadFromTheStoreWithoutAnOwner,
                        FrontendFixture) {
  BOOST_CHECK(stage("j") ==
              std::optional<std::optional<JobStage>>(std::in_place));
  submit("j");
  ControlLoop.runFor(CallerTimeout);
  BOOST_CHECK(stage("j") == std::optional(std::optional(JobStage::Queued)));
  // An owner that can't be reached does not change the answer.
  Owners.Known = true;
  Owners.Row.PeerAddress = "b:1";
  JobProgress Progress;
  Progress.Stage = JobStage::Completed;
  RowTransaction Change;
  Change.Puts.push_back(
      RowPut{progressRow(TestService, "j"), encodeProgress(Progress)});
  Rows.apply(Change);
  BOOST_CHECK(stage("j") == std::optional(std::optional(JobStage::Completed)));
  setStoreFate({StoreFault::Refused, {}});
  BOOST_CHECK(stage("j") == std::nullopt);
}

BOOST_FIXTURE_TEST_CASE(queueLengthIsUnknownWithoutTheOwner, FrontendFixture) {
  for (const bool Known : {false, true}) {
    Owners.Known = Known;
    Owners.Row.PeerAddress = "b:1";
    std::optional<int> Count(7);
    Frontend.pending(Queue, CallerTimeout, [&Count](QueryResult<int> Answer) {
      Count = Answer.Value;
    });
    ControlLoop.runFor(CallerTimeout);
    BOOST_CHECK(!Count);
  }
}

// Guards against a 404 of which the log doesn't tell whether the route is
// unknown or the daemon is behind.
BOOST_FIXTURE_TEST_CASE(unknownRoutesAreLoggedWithTheAgeOfTheContracts,
                        FrontendFixture) {
  QueueConfig Config;
  Config.Version = 7;
  Queues.apply(std::move(Config));
  Queues.confirm(ControlLoop.MonotonicClock.now());
  ControlLoop.runFor(milliseconds(1500));
  Frontend.recordUnknownRoute("a.example", "/" + std::string(500, 'p'));
  const auto Lines = Events.since(0);
  BOOST_REQUIRE(!Lines.empty());
  BOOST_CHECK(Lines.back().Id == EventId::RouteUnknown);
  BOOST_CHECK_EQUAL(Lines.back().Subject, "a.example");
  BOOST_CHECK_NE(Lines.back().Detail.find("version 7 age_ms 1500"),
                 std::string::npos);
  BOOST_CHECK_LT(Lines.back().Detail.size(), 150U);
}

// Guards against refusals that the metrics don't show, or under another cause.
BOOST_FIXTURE_TEST_CASE(refusalsAreCountedByCause, FrontendFixture) {
  Frontend.recordUnknownRoute("a.example", "/p");
  submit("j", Settings.MaxRowBytes);
  setStoreFate({StoreFault::Refused, {}});
  submit("k");
  ControlLoop.runFor(CallerTimeout);
  for (const char *Cause : {"unknown_route", "too_large", "store_unreachable"})
    BOOST_CHECK_MESSAGE(Metrics.render().find(
                            "cuminroad_refusals_total{cause=\"" +
                            std::string(Cause) + "\"} 1") != std::string::npos,
                        Cause);
}
