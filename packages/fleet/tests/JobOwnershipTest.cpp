// Jobs belong to the account whose key submitted them, whichever daemon is
// asked and wherever it learns of the job.

#include <map>

#include <boost/test/unit_test.hpp>

#include "../src/PeerMessages.h"
#include "FrontendFixture.h"
#include "cuminroad/base/MessagePack.h"
#include "cuminroad/fleet/PeerService.h"

using namespace cuminroad;

namespace {

const Caller ClientA{"a", true};
const Caller ClientB{"b", true};
const Caller Anonymous{"", true};
const Caller Unrestricted{};

/// The owner of the test's pool, which knows the jobs that the test sets.
class StubOwnedPools final : public OwnedPools {
public:
  bool owns(std::string_view) const override { return Owns; }
  std::optional<OwnedJob> status(std::string_view,
                                 std::string_view Job) const override {
    const auto Found = Jobs.find(Job);
    return Found == Jobs.end() ? std::nullopt : std::optional(Found->second);
  }
  int pending(std::string_view, std::string_view) const override { return 0; }
  bool Owns = false;
  std::map<std::string, OwnedJob, std::less<>> Jobs;
};

/// Passes calls for the stage of a job to a peer, or answers with Body.
class StagePeer final : public HttpClient {
public:
  explicit StagePeer(HttpHandler Peer) : Peer_(std::move(Peer)) {}
  void send(HttpCall Call, HttpCallback Done) override {
    if (Body)
      return Done(HttpResponse{200, {}, *Body, "application/msgpack"});
    HttpRequest Request;
    Request.Path = StagePath;
    Request.Query = {{"service", std::string(TestService)},
                     {"job", Call.Url.substr(Call.Url.rfind('=') + 1)}};
    Peer_(Request, Done);
  }
  HttpTraffic traffic() const override { return {}; }
  std::optional<std::string> Body;

private:
  HttpHandler Peer_;
};

struct OwnershipFixture : FrontendFixture {
  OwnershipFixture()
      : Peer(makePeerHandler(RemotePools, Advisor, Store,
                             ControlLoop.MonotonicClock)),
        CallsToPeer(Peer), Front(makeContext(CallsToPeer), OwnPools, Owners) {
    RemotePools.Owns = true;
    Owners.Row.PeerAddress = "b:1";
  }

  void submitAs(const Caller &Each) {
    Client = Each;
    submit("j");
    ControlLoop.runFor(CallerTimeout);
  }
  /// \returns what the client is told: the stage, no such job, or unknown.
  std::string stageFor(const Caller &Each) {
    std::string Out = "no answer";
    Front.status(Queue, "j", Each, CallerTimeout,
                 [&Out](QueryResult<std::optional<JobStatus>> Answer) {
                   if (!Answer.Value)
                     Out = "unknown";
                   else
                     Out = *Answer.Value ? jobStageName((*Answer.Value)->Stage)
                                         : "gone";
                 });
    ControlLoop.runFor(2 * CallerTimeout);
    return Out;
  }
  /// Checks who is told the stage of job "j", which belongs to account "a".
  void checkOnlyASees(const std::string &Stage) {
    BOOST_CHECK_EQUAL(stageFor(ClientA), Stage);
    BOOST_CHECK_EQUAL(stageFor(ClientB), "gone");
    BOOST_CHECK_EQUAL(stageFor(Anonymous), "gone");
    BOOST_CHECK_EQUAL(stageFor(Unrestricted), Stage);
  }

  StubOwnedPools OwnPools;
  StubOwnedPools RemotePools;
  StagePeer Peer;
  PeerCalls CallsToPeer;
  JobFrontend Front;
};

} // namespace

// Guards against a job that another account takes over or is told of by its id,
// and against a store call more than without accounts.
BOOST_FIXTURE_TEST_CASE(idOfAnotherAccountIsInUse, OwnershipFixture) {
  submitAs(ClientA);
  BOOST_REQUIRE(LastReply.Outcome == SubmitOutcome::Accepted);
  const int Reads = Store.ReadCalls;
  const int Commits = Store.CommitCalls;
  for (const Caller &Other : {ClientB, Anonymous}) {
    submitAs(Other);
    BOOST_CHECK(LastReply.Outcome == SubmitOutcome::IdInUse);
  }
  for (const Caller &Same : {ClientA, Unrestricted}) {
    submitAs(Same);
    BOOST_CHECK(LastReply.Outcome == SubmitOutcome::Accepted);
  }
  BOOST_CHECK_EQUAL(Store.ReadCalls, Reads);
  BOOST_CHECK_EQUAL(Store.CommitCalls, Commits + 4);
  BOOST_CHECK_EQUAL(
      decodeRequest("j", Rows.find(requestRow("j"))->Value)->Plan.Account, "a");
  BOOST_CHECK_NE(
      Metrics.render().find("cuminroad_refusals_total{cause=\"id_in_use\"} 2"),
      std::string::npos);
}

// Guards against jobs from before accounts, or of an open route, that their
// callers can no longer use.
BOOST_FIXTURE_TEST_CASE(jobsWithoutAnAccountAreOpen, OwnershipFixture) {
  submitAs(Anonymous);
  for (const Caller &Each : {ClientA, ClientB, Anonymous, Unrestricted}) {
    submitAs(Each);
    BOOST_CHECK(LastReply.Outcome == SubmitOutcome::Accepted);
    BOOST_CHECK_EQUAL(stageFor(Each), "queued");
    Client = Each;
    BOOST_CHECK(cancel("j") == std::optional<bool>(true));
  }
}

// Guards against a path by which another account is told of a job: the store's
// row, this daemon's memory, or the owner's answer.
BOOST_FIXTURE_TEST_CASE(onlyTheAccountSeesItsJob, OwnershipFixture) {
  submitAs(ClientA);
  checkOnlyASees("queued");
  const OwnedJob Running{JobStatus{JobStage::Running}, "a"};
  OwnPools.Jobs["j"] = Running;
  OwnPools.Owns = true;
  checkOnlyASees("running");
  OwnPools.Owns = false;
  RemotePools.Jobs["j"] = Running;
  Owners.Known = true;
  const int Reads = Store.ReadCalls;
  checkOnlyASees("running");
  BOOST_CHECK_EQUAL(Store.ReadCalls, Reads);
}

// Guards against a job that is shown to all because an owner of an earlier
// release doesn't tell its account.
BOOST_FIXTURE_TEST_CASE(answerWithoutAnAccountIsNotUsed, OwnershipFixture) {
  submitAs(ClientA);
  Owners.Known = true;
  Peer.Body =
      packMessage(nlohmann::json::array({static_cast<int>(JobStage::Running),
                                         static_cast<int>(JobFailure::None)}));
  checkOnlyASees("queued");
}

// Guards against a cancellation by another account.
BOOST_FIXTURE_TEST_CASE(onlyTheAccountCancelsItsJob, OwnershipFixture) {
  submitAs(ClientA);
  for (const Caller &Other : {ClientB, Anonymous}) {
    Client = Other;
    BOOST_CHECK(cancel("j") == std::optional<bool>(false));
  }
  BOOST_CHECK(Rows.find(cancelRow("j")) == nullptr);
  Client = ClientA;
  BOOST_CHECK(cancel("j") == std::optional<bool>(true));
  Client = ClientB;
  BOOST_CHECK(cancel("j") == std::optional<bool>(false));
}

// Guards against a row that can't be read being taken for one that is open to
// all.
BOOST_FIXTURE_TEST_CASE(unreadableRowIsOpenToNobody, OwnershipFixture) {
  RowTransaction Change;
  Change.Puts.push_back(RowPut{requestRow("j"), "?"});
  Rows.apply(Change);
  submitAs(ClientB);
  BOOST_CHECK(LastReply.Outcome == SubmitOutcome::Unknown);
  BOOST_CHECK_EQUAL(stageFor(ClientB), "unknown");
  BOOST_CHECK(!cancel("j"));
  BOOST_CHECK(Rows.find(cancelRow("j")) == nullptr);
}

// Guards against a foreign job that is confirmed as accepted after the response
// to the first write was lost.
BOOST_FIXTURE_TEST_CASE(retriedWriteFindsAForeignJob, OwnershipFixture) {
  submitAs(ClientA);
  int Calls = 0;
  Store.NextFault = [&Calls] {
    return Calls++ == 0 ? StoreFault{StoreFault::ResponseLost, {}}
                        : StoreFault{};
  };
  submitAs(ClientB);
  BOOST_CHECK(LastReply.Outcome == SubmitOutcome::IdInUse);
}

// Guards against an owner that forgets whose job it is: when the job ends, and
// when another daemon takes over.
BOOST_AUTO_TEST_CASE(ownersKnowTheAccountsOfJobs) {
  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeVms Vms(ControlLoop);
  const QueueTerms Queue = makeTestQueue();
  TestDaemon Daemon("a", ControlLoop, Rows, Vms, Queue);
  ControlLoop.runFor(milliseconds(5000));
  BOOST_REQUIRE(Daemon.owns());
  JobPlan Plan;
  Plan.Id = "00000000000000aa";
  Plan.Account = "a";
  StepPlan Step;
  Step.Tasks = 1;
  Step.PerTask = TestTaskSize;
  Plan.Steps.push_back(Step);
  const std::string Job = Plan.Id;
  RowTransaction Change;
  Change.Puts.push_back(RowPut{
      requestRow(Job),
      encodeRequest(JobRequest{Queue.Name, Queue.Service, milliseconds(0),
                               std::move(Plan), Queue})});
  Rows.apply(Change);
  ControlLoop.runFor(milliseconds(3000));
  const auto StatusOf = [&Daemon, &Job] {
    return Daemon.owner()->status(Job).value_or(OwnedJob{});
  };
  BOOST_CHECK(StatusOf() == (OwnedJob{JobStatus{JobStage::Queued}, "a"}));
  Change = RowTransaction{};
  Change.Puts.push_back(RowPut{cancelRow(Job), "1"});
  Rows.apply(Change);
  ControlLoop.runFor(milliseconds(3000));
  BOOST_CHECK(StatusOf() == (OwnedJob{JobStatus{JobStage::Cancelled}, "a"}));
  Daemon.restart();
  ControlLoop.runFor(milliseconds(20'000));
  BOOST_REQUIRE(Daemon.owns());
  BOOST_CHECK(StatusOf() == (OwnedJob{JobStatus{JobStage::Cancelled}, "a"}));
}
