// Owners of two pools share the quotas of accounts through rows of the store.

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "PoolTestSupport.h"
#include "cuminroad/pool/QuotaRow.h"

using namespace cuminroad;

namespace {

constexpr int PoolCount = 2;
/// So many jobs a second that none of the tests' is beyond its account's rate.
constexpr double LargeWeight = 1000;
constexpr int VmsPerPool = 3;
constexpr int TasksPerVm = 4;
constexpr int QuotaTasks = 8;
/// Longest time in which a part that one pool doesn't use reaches the other:
/// two rows, each written at most once a second and read at once, and the time
/// before a new owner decides.
constexpr milliseconds ExchangeTime{6000};

struct QuotaExchangeFixture {
  QuotaExchangeFixture() : Vms(ControlLoop) {
    Vms.PlanRun = [this](const TaskRun &Run) {
      return std::pair{LongJobs.contains(Run.Task.Step.Job)
                           ? milliseconds(600000)
                           : milliseconds(300),
                       RunOutcome::Done};
    };
    for (int Pool = 0; Pool < PoolCount; ++Pool)
      for (int Number = 0; Number < VmsPerPool; ++Number) {
        const std::string Id = fmt::format("{}-vm{}", Services[Pool], Number);
        Vms.add(Id, 1);
        Entries[Pool].push_back(StoredRow{
            RowName{"vms", "", Id}, std::to_string(TasksPerVm), 1, false});
      }
  }

  TestDaemon &addDaemon(int Pool) {
    Daemons.push_back(std::make_unique<TestDaemon>(
        fmt::format("d{}", Daemons.size()), ControlLoop, Rows, Vms, Queue, 1.0,
        Services[Pool]));
    TestDaemon &Out = *Daemons.back();
    Out.setAccounts(Services, Accounts);
    Out.listVms(Entries[Pool]);
    return Out;
  }
  void setQuota(int Tasks) {
    Accounts = {ClientAccount{"x", LargeWeight, TestTaskSize * Tasks}};
    for (const auto &Daemon : Daemons)
      Daemon->setAccounts(Services, Accounts);
  }
  std::string submit(int Pool, int Tasks, bool Long = true, bool Gang = false) {
    const std::string Job = fmt::format("{:016x}", ++JobCount);
    StepPlan Step;
    Step.Tasks = Tasks;
    Step.PerTask = TestTaskSize;
    Step.Estimate = milliseconds(300);
    Step.Gang = Gang;
    if (Long)
      LongJobs.insert(Job);
    submitTestJob(Rows, Job, Step, "x", Services[Pool]);
    return Job;
  }
  void cancel(const std::string &Job) {
    RowTransaction Change;
    Change.Puts.push_back(RowPut{cancelRow(Job), "1"});
    Rows.apply(Change);
  }
  void wait(int Ms) { ControlLoop.runFor(milliseconds(Ms)); }
  /// \returns how many tasks run in the pool.
  int running(int Pool) const {
    int Out = 0;
    for (const RunEvent &Event : Vms.RunHistory)
      if (Event.Vm.starts_with(Services[Pool]))
        Out += Event.IsStart ? 1 : -1;
    return Out;
  }
  /// \returns the most tasks that ran at once in all pools.
  int mostRunning() const {
    int Running = 0;
    int Out = 0;
    for (const RunEvent &Event : Vms.RunHistory) {
      Running += Event.IsStart ? 1 : -1;
      Out = std::max(Out, Running);
    }
    return Out;
  }
  int quotaRows() const {
    return static_cast<int>(
        std::count_if(Rows.Rows.begin(), Rows.Rows.end(), [](const auto &Row) {
          return std::get<0>(Row.first) == QuotaTable && !Row.second.Removed;
        }));
  }

  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeVms Vms;
  QueueTerms Queue = makeTestQueue();
  std::vector<std::string> Services{"p0", "p1"};
  std::vector<ClientAccount> Accounts{
      ClientAccount{"x", LargeWeight, TestTaskSize *QuotaTasks}};
  std::array<std::vector<StoredRow>, PoolCount> Entries;
  std::vector<std::unique_ptr<TestDaemon>> Daemons;
  std::set<std::string> LongJobs;
  int JobCount = 0;
};

} // namespace

// Guards against two owners that start at the same moment using the whole quota
// each.
BOOST_FIXTURE_TEST_CASE(twoOwnersAtTheLimitShareIt, QuotaExchangeFixture) {
  for (int Pool = 0; Pool < PoolCount; ++Pool) {
    submit(Pool, 20);
    addDaemon(Pool);
  }
  wait(20000);
  BOOST_CHECK_EQUAL(running(0), QuotaTasks / 2);
  BOOST_CHECK_EQUAL(running(1), QuotaTasks / 2);
  BOOST_CHECK_LE(mostRunning(), QuotaTasks);
}

// Guards against the part of a pool that needs none of it staying unused, and
// against that pool not getting it back.
BOOST_FIXTURE_TEST_CASE(unusedPartReachesTheOtherPool, QuotaExchangeFixture) {
  for (int Pool = 0; Pool < PoolCount; ++Pool)
    addDaemon(Pool);
  wait(5000);
  BOOST_CHECK_EQUAL(quotaRows(), 0);
  const std::string First = submit(0, 20);
  wait(static_cast<int>(ExchangeTime.count()));
  BOOST_CHECK_EQUAL(running(0), QuotaTasks);
  cancel(First);
  submit(1, 20);
  wait(2 * static_cast<int>(ExchangeTime.count()));
  BOOST_CHECK_EQUAL(running(1), QuotaTasks);
  BOOST_CHECK_LE(mostRunning(), QuotaTasks);
}

// Guards against writes and reads of rows that nobody needs: without limits,
// with one pool, and while nothing changes.
BOOST_FIXTURE_TEST_CASE(nothingIsWrittenWithoutNeed, QuotaExchangeFixture) {
  Accounts = {ClientAccount{"x", LargeWeight, UnlimitedCapacity}};
  for (int Pool = 0; Pool < PoolCount; ++Pool) {
    submit(Pool, 20);
    addDaemon(Pool);
  }
  wait(10000);
  BOOST_CHECK_EQUAL(running(0), VmsPerPool * TasksPerVm);
  BOOST_CHECK_EQUAL(quotaRows(), 0);
  Daemons[1]->kill();
  Services = {"p0"};
  setQuota(4);
  wait(10000);
  BOOST_CHECK_EQUAL(quotaRows(), 0);
  Services = {"p0", "p1"};
  addDaemon(1);
  setQuota(QuotaTasks);
  wait(20000);
  const RowName Row = quotaRow("p0", 0);
  const StoredRow *Stored = Rows.find(Row);
  const std::int64_t Version = Stored == nullptr ? 0 : Stored->Version;
  wait(20000);
  Stored = Rows.find(Row);
  BOOST_CHECK_EQUAL(Stored == nullptr ? 0 : Stored->Version, Version);
}

// Guards against an owner that takes over using what the earlier one gave away:
// it reads the pool's rows before it starts anything.
BOOST_FIXTURE_TEST_CASE(nextOwnerKnowsWhatWasGiven, QuotaExchangeFixture) {
  for (int Pool = 0; Pool < PoolCount; ++Pool)
    addDaemon(Pool);
  submit(0, 20);
  wait(10000);
  BOOST_REQUIRE_EQUAL(running(0), QuotaTasks);
  Daemons[1]->kill();
  submit(1, 20);
  addDaemon(1);
  wait(20000);
  BOOST_REQUIRE(Daemons.back()->owns());
  BOOST_CHECK_EQUAL(running(0) + running(1), QuotaTasks);
  BOOST_CHECK_LE(mostRunning(), QuotaTasks);
}

// Guards against an owner whose rows can't be decoded using a part that an
// earlier one may have given away.
BOOST_FIXTURE_TEST_CASE(unreadableOwnRowStartsNothing, QuotaExchangeFixture) {
  RowTransaction Change;
  Change.Puts.push_back(RowPut{quotaRow("p0", 0), "?"});
  Rows.apply(Change);
  for (int Pool = 0; Pool < PoolCount; ++Pool) {
    submit(Pool, 20);
    addDaemon(Pool);
  }
  wait(10000);
  BOOST_CHECK_EQUAL(running(0), 0);
  BOOST_CHECK_EQUAL(running(1), QuotaTasks / 2);
  const std::vector<Event> Events = Daemons[0]->events();
  BOOST_CHECK(std::any_of(Events.begin(), Events.end(), [](const Event &Each) {
    return Each.Id == EventId::RowUnreadable;
  }));
}

// Guards against a gang that is larger than an equal part never starting while
// the other pool has work for all of the quota.
BOOST_FIXTURE_TEST_CASE(largeGangGetsItsTurn, QuotaExchangeFixture) {
  for (int Pool = 0; Pool < PoolCount; ++Pool)
    addDaemon(Pool);
  const std::string Gang = submit(0, 6, true, true);
  for (int Second = 0; Second < 40; ++Second) {
    submit(1, 20, false);
    wait(1000);
  }
  BOOST_CHECK_EQUAL(running(0), 6);
  BOOST_CHECK_GT(running(1), 0);
  BOOST_CHECK_LE(mostRunning(), QuotaTasks);
}

// Guards against more than the quota being used while it is lowered and raised,
// owners are killed, and writes and reads fail: the highest quota that may be
// in force counts, with the overshoot that is allowed.
BOOST_FIXTURE_TEST_CASE(quotaHoldsThroughKillsAndFaults, QuotaExchangeFixture) {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    QuotaExchangeFixture Site;
    std::mt19937 Random(Seed);
    bool Faults = true;
    for (int Pool = 0; Pool < PoolCount; ++Pool)
      for (int Number = 0; Number < 2; ++Number) {
        TestDaemon &Daemon = Site.addDaemon(Pool);
        Daemon.Store.NextFault = [&Random, &Faults] {
          switch (Faults ? Random() % 12 : 12) {
          case 0:
            return StoreFault{StoreFault::ResponseLost, milliseconds(0)};
          case 1:
            return StoreFault{StoreFault::RequestLost, milliseconds(0)};
          case 2:
            return StoreFault{StoreFault::Delayed,
                              milliseconds(Random() % 900)};
          default:
            return StoreFault{};
          }
        };
      }
    std::vector<std::string> Jobs;
    for (int Step = 0; Step < 80; ++Step) {
      Jobs.push_back(Site.submit(static_cast<int>(Random() % PoolCount),
                                 1 + static_cast<int>(Random() % 9),
                                 Random() % 2 == 0));
      if (Random() % 3 == 0)
        Site.cancel(Jobs[Random() % Jobs.size()]);
      if (Random() % 9 == 0)
        Site.Daemons[Random() % Site.Daemons.size()]->restart();
      if (Random() % 15 == 0)
        Site.setQuota(Random() % 2 == 0 ? QuotaTasks : QuotaTasks / 2);
      Site.wait(200 + static_cast<int>(Random() % 1500));
    }
    BOOST_CHECK_MESSAGE(Site.mostRunning() <= QuotaTasks * 11 / 10 + 1,
                        "seed " << Seed << ": " << Site.mostRunning());
    // Afterwards one pool gets all of it.
    Faults = false;
    Site.setQuota(QuotaTasks);
    for (const std::string &Job : Jobs)
      Site.cancel(Job);
    Site.wait(10000);
    Site.submit(1, 20);
    Site.wait(20000);
    BOOST_CHECK_MESSAGE(Site.running(1) == QuotaTasks,
                        "seed " << Seed << ": " << Site.running(1));
  }
}

// Guards against metrics without what an account uses and may use, and against
// a series of gauges for each of many accounts.
BOOST_FIXTURE_TEST_CASE(metricsNameTheLargestAccounts, QuotaExchangeFixture) {
  for (int Number = 0; Number < 30; ++Number)
    Accounts.push_back(
        ClientAccount{fmt::format("idle{:02}", Number), 1, TestTaskSize * 10});
  addDaemon(0);
  submit(0, 3);
  wait(10000);
  const std::string Metrics = Daemons[0]->metrics();
  const auto Has = [&Metrics](std::string_view Line) {
    return Metrics.find(Line) != std::string::npos;
  };
  BOOST_CHECK(Has("cuminroad_account_used{account=\"x\",pool=\"p0\","
                  "resource=\"cpu\"} 3000"));
  BOOST_CHECK(Has("cuminroad_account_limit{account=\"x\",pool=\"p0\","
                  "resource=\"cpu\"} 4000"));
  BOOST_CHECK(Has("account=\"idle08\""));
  BOOST_CHECK(!Has("account=\"idle09\""));
  BOOST_CHECK(Has("cuminroad_account_limit{account=\"other\",pool=\"p0\","
                  "resource=\"cpu\"} 105000"));
}
