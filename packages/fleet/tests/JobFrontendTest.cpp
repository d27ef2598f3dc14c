// What callers are told of their jobs while the store fails.

#include <map>
#include <random>

#include <boost/test/unit_test.hpp>

#include "PoolTestSupport.h"
#include "cuminroad/fleet/JobFrontend.h"
#include "cuminroad/pool/JobProgress.h"

using namespace cuminroad;

namespace {

constexpr milliseconds Patience{3000};

class OneOwner final : public OwnerLookup {
public:
  const OwnerRow *ownerOf(std::string_view) const override {
    return Known ? &Row : nullptr;
  }
  bool Known = false;
  OwnerRow Row{};
};

struct Fixture {
  Fixture()
      : Vms(ControlLoop), Store(Rows, ControlLoop), Calls(Vms, ControlLoop),
        Events("a", 100, nullptr), Peers(Http), Advisor(ControlLoop),
        Directory(Formats, Events),
        Context{
            Settings, Self,  ControlLoop.Time, SystemClock, Events, ControlLoop,
            Store,    Calls, Advisor,          Peers,       Queues, Directory,
            Metrics},
        Door(Context, Pools, Owners) {
    Queue.Name = "q";
    Queue.Service = TrialService;
    // The store has answered before.
    ControlLoop.runFor(milliseconds(1000));
  }

  void submit(const std::string &Id) {
    JobPlan Plan;
    Plan.Id = Id;
    StepPlan Step;
    Step.Tasks = 1;
    Step.PerTask = TrialTask;
    Plan.Steps.push_back(Step);
    const TimePoint Began = ControlLoop.Time.now();
    Door.submit(Queue, Plan, Patience, [this, Id, Began](SubmitReply Reply) {
      ++Replies;
      Last = Reply;
      Took = std::chrono::duration_cast<milliseconds>(ControlLoop.Time.now() -
                                                      Began);
    });
  }
  bool written(const std::string &Id) const {
    return Rows.find(requestRow(Id)) != nullptr;
  }
  std::optional<bool> cancel(const std::string &Id) {
    std::optional<bool> Out;
    Door.cancel(Id, Patience,
                [&Out](QueryResult<bool> Answer) { Out = Answer.Value; });
    ControlLoop.runFor(2 * Patience);
    return Out;
  }
  std::optional<std::optional<JobStage>> stage(const std::string &Id) {
    std::optional<std::optional<JobStage>> Out;
    Door.stage(Queue, Id, Patience,
               [&Out](QueryResult<std::optional<JobStage>> Answer) {
                 Out = Answer.Value;
               });
    ControlLoop.runFor(2 * Patience);
    return Out;
  }
  void storeIs(StoreFate Fate) {
    Store.Decide = [Fate] { return Fate; };
  }

  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeVms Vms;
  FakeRowStore Store;
  FakeVmCalls Calls;
  DaemonIdentity Self;
  FleetSettings Settings;
  EventLog Events;
  SystemWallClock SystemClock;
  NoHttp Http;
  PeerCalls Peers;
  YesAdvisor Advisor;
  CountFormats Formats;
  QueueRegistry Queues;
  VmDirectory Directory;
  FleetMetrics Metrics;
  FleetContext Context;
  NoOwnedPools Pools;
  OneOwner Owners;
  JobFrontend Door;
  QueueTerms Queue;
  int Replies = 0;
  SubmitReply Last;
  milliseconds Took{0};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(sameJobTwiceIsOneJob, Fixture) {
  submit("j");
  ControlLoop.runFor(Patience);
  BOOST_REQUIRE(written("j"));
  const std::int64_t Version = Rows.find(requestRow("j"))->Version;
  submit("j");
  ControlLoop.runFor(Patience);
  BOOST_CHECK_EQUAL(Replies, 2);
  BOOST_CHECK(Last.Outcome == SubmitOutcome::Accepted);
  BOOST_CHECK_EQUAL(Rows.find(requestRow("j"))->Version, Version);
}

BOOST_FIXTURE_TEST_CASE(refusedJobIsNeverWritten, Fixture) {
  storeIs({StoreFate::Refused, {}});
  submit("j");
  ControlLoop.runFor(Patience);
  BOOST_REQUIRE_EQUAL(Replies, 1);
  BOOST_CHECK(Last.Outcome == SubmitOutcome::NotAccepted);
  BOOST_CHECK(Last.RetryAfter > milliseconds(0));
  // A caller who is refused is told so soon.
  BOOST_CHECK(Took < Patience / 2);
  storeIs({StoreFate::Answered, {}});
  ControlLoop.runFor(4 * Patience);
  BOOST_CHECK(!written("j"));
}

BOOST_FIXTURE_TEST_CASE(blipOfTheStoreIsNotSeen, Fixture) {
  storeIs({StoreFate::Refused, {}});
  submit("j");
  ControlLoop.runFor(milliseconds(200));
  storeIs({StoreFate::Answered, {}});
  ControlLoop.runFor(Patience);
  BOOST_CHECK(Last.Outcome == SubmitOutcome::Accepted);
  BOOST_CHECK(written("j"));
}

BOOST_FIXTURE_TEST_CASE(lostAnswerIsAskedForAgain, Fixture) {
  storeIs({StoreFate::LostAfter, {}});
  submit("j");
  ControlLoop.runFor(milliseconds(100));
  storeIs({StoreFate::Answered, {}});
  ControlLoop.runFor(Patience);
  BOOST_CHECK_EQUAL(Replies, 1);
  BOOST_CHECK(Last.Outcome == SubmitOutcome::Accepted);
}

BOOST_FIXTURE_TEST_CASE(whatMayBeWrittenIsNotCalledRefused, Fixture) {
  // The first try takes effect later; all others are refused.
  int Calls = 0;
  Store.Decide = [&Calls] {
    return Calls++ == 0 ? StoreFate{StoreFate::Late, milliseconds(2500)}
                        : StoreFate{StoreFate::Refused, {}};
  };
  submit("j");
  ControlLoop.runFor(2 * Patience);
  BOOST_REQUIRE_EQUAL(Replies, 1);
  BOOST_CHECK(Last.Outcome == SubmitOutcome::Unknown);
  BOOST_CHECK(Took <= Patience);
  BOOST_CHECK(written("j"));
}

BOOST_AUTO_TEST_CASE(answersAreTrueWhateverTheStoreDoes) {
  for (unsigned Seed = 1; Seed <= 400; ++Seed) {
    Fixture Trial;
    std::mt19937 Random(Seed);
    Trial.Store.Decide = [&Random] {
      const auto Kind = static_cast<StoreFate::Kind>(Random() % 5);
      return StoreFate{Kind, milliseconds(Random() % 5000)};
    };
    Trial.submit("j");
    Trial.ControlLoop.runFor(4 * Patience);
    BOOST_REQUIRE_MESSAGE(Trial.Replies == 1, "seed " << Seed);
    BOOST_CHECK_MESSAGE(Trial.Took <= Patience, "seed " << Seed);
    const bool Written = Trial.written("j");
    if (Trial.Last.Outcome == SubmitOutcome::Accepted)
      BOOST_CHECK_MESSAGE(Written, "seed " << Seed);
    if (Trial.Last.Outcome == SubmitOutcome::NotAccepted)
      BOOST_CHECK_MESSAGE(!Written, "seed " << Seed);
  }
}

BOOST_FIXTURE_TEST_CASE(cancellingTellsWhetherThereIsSuchAJob, Fixture) {
  BOOST_CHECK(cancel("j") == std::optional<bool>(false));
  BOOST_CHECK(Rows.find(cancelRow("j")) == nullptr);
  submit("j");
  ControlLoop.runFor(Patience);
  BOOST_CHECK(cancel("j") == std::optional<bool>(true));
  BOOST_REQUIRE(Rows.find(cancelRow("j")) != nullptr);
  const std::int64_t Version = Rows.find(cancelRow("j"))->Version;
  BOOST_CHECK(cancel("j") == std::optional<bool>(true));
  BOOST_CHECK_EQUAL(Rows.find(cancelRow("j"))->Version, Version);
}

BOOST_FIXTURE_TEST_CASE(cancellingWithoutTheStoreIsUnknown, Fixture) {
  submit("j");
  ControlLoop.runFor(Patience);
  storeIs({StoreFate::Refused, {}});
  BOOST_CHECK(cancel("j") == std::nullopt);
}

BOOST_FIXTURE_TEST_CASE(stageIsReadFromTheStoreWithoutAnOwner, Fixture) {
  BOOST_CHECK(stage("j") ==
              std::optional<std::optional<JobStage>>(std::in_place));
  submit("j");
  ControlLoop.runFor(Patience);
  BOOST_CHECK(stage("j") == std::optional(std::optional(JobStage::Queued)));
  // An owner who can't be reached makes no difference.
  Owners.Known = true;
  Owners.Row.PeerAddress = "b:1";
  JobProgress Progress;
  Progress.Stage = JobStage::Completed;
  RowTransaction Change;
  Change.Puts.push_back(
      RowPut{progressRow(TrialService, "j"), encodeProgress(Progress)});
  Rows.apply(Change);
  BOOST_CHECK(stage("j") == std::optional(std::optional(JobStage::Completed)));
  storeIs({StoreFate::Refused, {}});
  BOOST_CHECK(stage("j") == std::nullopt);
}

BOOST_FIXTURE_TEST_CASE(lengthOfAQueueIsUnknownWithoutItsOwner, Fixture) {
  for (const bool Known : {false, true}) {
    Owners.Known = Known;
    Owners.Row.PeerAddress = "b:1";
    std::optional<int> Count(7);
    Door.pending(Queue, Patience,
                 [&Count](QueryResult<int> Answer) { Count = Answer.Value; });
    ControlLoop.runFor(Patience);
    BOOST_CHECK(!Count);
  }
}
