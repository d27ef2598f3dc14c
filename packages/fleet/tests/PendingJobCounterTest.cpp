// Counts of a queue's waiting jobs, over the pools that the queue has been in.

#include <map>

#include <boost/test/unit_test.hpp>

#include "FrontendFixture.h"

using namespace cuminroad;

namespace {

/// Longer than answers are used.
constexpr milliseconds CountExpiry{2000};
/// Longer than the frontend remembers by itself that a queue has moved.
constexpr milliseconds MoveExpiry{20000};

/// The owners of two pools, each in a daemon of its own.
class PoolOwnersStub final : public OwnerLookup, public HttpClient {
public:
  explicit PoolOwnersStub(FakeLoop &ControlLoop) : ControlLoop_(ControlLoop) {
    for (const char *Service : {"a", "b"})
      Rows[Service].PeerAddress = std::string(Service) + ":1";
  }
  const OwnerRow *ownerOf(std::string_view Service) const override {
    const auto Found = Rows.find(Service);
    return Found == Rows.end() ? nullptr : &Found->second;
  }
  std::optional<std::vector<std::string>> pools() const override {
    return Pools;
  }
  void send(HttpCall Call, HttpCallback Done) override {
    const std::string Service = Call.Url.substr(7, 1);
    ++Calls[Service];
    ControlLoop_.after(milliseconds(10), [this, Service, Done] {
      const auto Count = Counts.find(Service);
      if (Count == Counts.end())
        return Done(failure(ErrorCode::ConnectFailed));
      Done(HttpResponse{200, {}, std::to_string(Count->second), "text/plain"});
    });
  }
  HttpTraffic traffic() const override { return {}; }

  std::optional<std::vector<std::string>> Pools{{"a", "b"}};
  std::map<std::string, OwnerRow, std::less<>> Rows;
  /// The answer of each owner that can be reached.
  std::map<std::string, int> Counts;
  std::map<std::string, int> Calls;

private:
  FakeLoop &ControlLoop_;
};

struct CounterFixture : FrontendFixture {
  CounterFixture()
      : PoolOwners(ControlLoop), OwnerCalls(PoolOwners),
        Counter(makeContext(OwnerCalls), Pools, PoolOwners) {
    setService("a");
  }
  /// Applies contracts that send the queue to a service, or drop it if \p
  /// Service is empty.
  void setService(const std::string &Service) {
    QueueConfig Config;
    Config.Version = ++Version;
    if (!Service.empty()) {
      Queue.Service = Service;
      Config.Routes.push_back(
          QueueRoute{"h", "/q/", milliseconds(3000), Queue});
    }
    Queues.apply(std::move(Config));
    Counter.queuesChanged();
  }
  std::optional<int> count() {
    std::optional<int> Out;
    Counter.count(Queue, milliseconds(500),
                  [&Out](QueryResult<int> Answer) { Out = Answer.Value; });
    ControlLoop.runFor(milliseconds(100));
    return Out;
  }

  PoolOwnersStub PoolOwners;
  PeerCalls OwnerCalls;
  PendingJobCounter Counter;
  int Version = 0;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(queueThatNeverMovedCostsOneCall, CounterFixture) {
  PoolOwners.Counts = {{"a", 3}};
  BOOST_CHECK(count() == 3);
  BOOST_CHECK_EQUAL(PoolOwners.Calls["a"], 1);
  BOOST_CHECK_EQUAL(PoolOwners.Calls["b"], 0);
}

// Guards against a count that leaves out the former service at the moment of
// the change, before its owner's row names the queue.
BOOST_FIXTURE_TEST_CASE(formerServiceIsCountedAtOnce, CounterFixture) {
  PoolOwners.Counts = {{"a", 3}, {"b", 0}};
  BOOST_CHECK(count() == 3);
  setService("b");
  BOOST_CHECK(count() == 3);
  PoolOwners.Counts["b"] = 2;
  ControlLoop.runFor(CountExpiry);
  BOOST_CHECK(count() == 5);
}

// Guards against a daemon that has never seen the former service in its
// contracts.
BOOST_FIXTURE_TEST_CASE(serviceIsCountedWhoseRowNamesTheQueue, CounterFixture) {
  PoolOwners.Counts = {{"a", 1}, {"b", 4}};
  PoolOwners.Rows["b"].MovedQueues = {"other", "q"};
  BOOST_CHECK(count() == 5);
  PoolOwners.Rows["b"].MovedQueues.clear();
  ControlLoop.runFor(CountExpiry);
  BOOST_CHECK(count() == 1);
}

BOOST_FIXTURE_TEST_CASE(queueThatMovedBackIsCountedInBothServices,
                        CounterFixture) {
  PoolOwners.Counts = {{"a", 3}, {"b", 2}};
  setService("b");
  setService("a");
  BOOST_CHECK(count() == 5);
}

BOOST_FIXTURE_TEST_CASE(queueThatWasDroppedAndMovedIsCountedInBothServices,
                        CounterFixture) {
  PoolOwners.Counts = {{"a", 3}, {"b", 2}};
  setService("");
  setService("b");
  BOOST_CHECK(count() == 5);
}

// Guards against a part that can't be had and is counted as 0.
BOOST_FIXTURE_TEST_CASE(countIsUnknownWithoutTheFormerOwner, CounterFixture) {
  PoolOwners.Counts = {{"b", 2}};
  setService("b");
  BOOST_CHECK(!count());
  PoolOwners.Rows["a"].MovedQueues = {"q"};
  ControlLoop.runFor(MoveExpiry);
  BOOST_CHECK(!count());
}

// Guards against a daemon that has just started and has read only one of the
// owners' rows.
BOOST_FIXTURE_TEST_CASE(countIsUnknownUntilAllOwnersAreRead, CounterFixture) {
  PoolOwners.Counts = {{"a", 1}, {"b", 4}};
  PoolOwners.Pools.reset();
  BOOST_CHECK(!count());
  PoolOwners.Pools = {"a", "b"};
  PoolOwners.Rows.erase("b");
  BOOST_CHECK(!count());
}

// Guards against a former service that makes counts unknown for good.
BOOST_FIXTURE_TEST_CASE(formerServiceWithoutJobsIsNotAskedForLong,
                        CounterFixture) {
  PoolOwners.Counts = {{"a", 0}, {"b", 2}};
  setService("b");
  BOOST_CHECK(count() == 2);
  PoolOwners.Counts.erase("a");
  ControlLoop.runFor(MoveExpiry);
  const int Calls = PoolOwners.Calls["a"];
  BOOST_CHECK(count() == 2);
  BOOST_CHECK_EQUAL(PoolOwners.Calls["a"], Calls);
}

// Load: many clients ask for the same count at once, and again and again.
// Guards against a call to each owner for each of them.
BOOST_FIXTURE_TEST_CASE(manyQueriesShareACall, CounterFixture) {
  PoolOwners.Counts = {{"a", 3}, {"b", 2}};
  setService("b");
  int Answers = 0;
  for (int Round = 0; Round < 10; ++Round) {
    for (int Client = 0; Client < 100; ++Client)
      Counter.count(Queue, milliseconds(500),
                    [&Answers](QueryResult<int> Answer) {
                      Answers += Answer.Value == 5;
                    });
    ControlLoop.runFor(milliseconds(50));
  }
  BOOST_CHECK_EQUAL(Answers, 1000);
  BOOST_CHECK_EQUAL(PoolOwners.Calls["a"], 1);
  BOOST_CHECK_EQUAL(PoolOwners.Calls["b"], 1);
}
