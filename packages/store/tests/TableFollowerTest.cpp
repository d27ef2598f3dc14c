// Checks that a follower ends with the rows of the table although calls fail
// and the store discards its history of changes.

#include <map>
#include <random>

#include <boost/test/unit_test.hpp>

#include "cuminroad/fakes/FakeRowStore.h"
#include "cuminroad/store/TableFollower.h"

using namespace cuminroad;

namespace {

class RowMap final : public RowSink {
public:
  void tableRead(std::vector<StoredRow> Rows) override {
    Values.clear();
    rowsChanged(std::move(Rows));
  }
  void rowsChanged(std::vector<StoredRow> Rows) override {
    for (const StoredRow &Row : Rows) {
      if (Row.Removed)
        Values.erase(Row.Name.Key);
      else
        Values[Row.Name.Key] = Row.Value;
    }
  }
  std::map<std::string, std::string> Values;
};

void write(FakeRows &Rows, int Partition, const std::string &Key,
           const std::string &Value) {
  RowTransaction Change;
  const RowName Name{"t", "p" + std::to_string(Partition), Key};
  if (Value.empty())
    Change.Removals.push_back(Name);
  else
    Change.Puts.push_back(RowPut{Name, Value});
  Rows.apply(Change);
}

} // namespace

BOOST_AUTO_TEST_CASE(convergesToTheTableUnderFailures) {
  for (unsigned Seed = 1; Seed <= 40; ++Seed) {
    std::mt19937 Random(Seed);
    FakeLoop ControlLoop;
    FakeRows Rows;
    FakeRowStore Store(Rows, ControlLoop);
    bool NoFailures = false;
    Store.NextFault = [&] {
      return !NoFailures && Random() % 3 == 0
                 ? StoreFault{StoreFault::Refused, {}}
                 : StoreFault{};
    };
    RowMap Sink;
    const auto Follower = std::make_shared<TableFollower>(
        Store, ControlLoop,
        FollowOptions{"t", {"p0", "p1"}, milliseconds(500), milliseconds(20)},
        Sink);
    std::map<std::string, std::string> Expected;
    for (int Step = 0; Step < 200; ++Step) {
      const int Key = static_cast<int>(Random() % 700);
      const std::string Name = "k" + std::to_string(Key);
      const std::string Value =
          Random() % 4 == 0 ? "" : "v" + std::to_string(Step);
      write(Rows, Key % 2, Name, Value);
      if (Value.empty())
        Expected.erase(Name);
      else
        Expected[Name] = Value;
      if (Step == 20)
        Follower->start();
      if (Random() % 40 == 0)
        Rows.compact();
      ControlLoop.runFor(milliseconds(Random() % 60));
    }
    NoFailures = true;
    ControlLoop.runFor(milliseconds(5000));
    BOOST_CHECK(Sink.Values == Expected);
    Follower->close();
  }
}

// Guards against a full read that begins anew whenever one of its pages is too
// slow, and so never ends on a link that passes the table in three seconds.
BOOST_AUTO_TEST_CASE(readsTheTableThroughASlowLink) {
  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeRowStore Store(Rows, ControlLoop);
  Store.LinkBytesPerSecond = 250'000;
  constexpr int PartitionCount = 64;
  constexpr int RowsPerPartition = 12;
  const std::string Value(1000, 'v');
  std::vector<std::string> Partitions;
  for (int Partition = 0; Partition < PartitionCount; ++Partition) {
    Partitions.push_back("p" + std::to_string(Partition));
    for (int Key = 0; Key < RowsPerPartition; ++Key)
      write(Rows, Partition,
            "k" + std::to_string(Partition) + "-" + std::to_string(Key), Value);
  }
  RowMap Sink;
  const auto Follower = std::make_shared<TableFollower>(
      Store, ControlLoop, FollowOptions{"t", Partitions, milliseconds(500), {}},
      Sink);
  Follower->start();
  ControlLoop.runFor(milliseconds(5000));
  BOOST_CHECK_EQUAL(Sink.Values.size(), PartitionCount * RowsPerPartition);
  Follower->close();
}

// Guards against pages that are too large for the link and never get smaller.
BOOST_AUTO_TEST_CASE(readsLargeRowsThroughASlowLink) {
  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeRowStore Store(Rows, ControlLoop);
  Store.LinkBytesPerSecond = 100'000;
  for (int Key = 0; Key < 300; ++Key)
    write(Rows, Key % 2, "k" + std::to_string(Key), std::string(4000, 'v'));
  RowMap Sink;
  const auto Follower = std::make_shared<TableFollower>(
      Store, ControlLoop,
      FollowOptions{"t", {"p0", "p1"}, milliseconds(500), {}}, Sink);
  Follower->start();
  ControlLoop.runFor(milliseconds(20000));
  BOOST_CHECK_EQUAL(Sink.Values.size(), 300);
  Follower->close();
}

// Load: thousands of VMs that rewrite their rows every 1.5 s. Guards against a
// follower that pauses after full pages, so that the rows that it knows become
// older without bound: tasks were started on VMs that had said that they leave.
BOOST_AUTO_TEST_CASE(keepsUpWithMoreChangesThanOnePagePerPause) {
  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeRowStore Store(Rows, ControlLoop);
  RowMap Sink;
  const auto Follower = std::make_shared<TableFollower>(
      Store, ControlLoop,
      FollowOptions{"t", {"p0"}, milliseconds(1500), milliseconds(300)}, Sink);
  Follower->start();
  ControlLoop.runFor(milliseconds(100));
  constexpr int RowCount = 3000;
  constexpr int RowsPerStep = 100;
  std::string Value;
  for (int Step = 0; Step < 150; ++Step) {
    Value = "v" + std::to_string(Step);
    for (int Row = 0; Row < RowsPerStep; ++Row)
      write(Rows, 0,
            "k" + std::to_string((Step * RowsPerStep + Row) % RowCount), Value);
    ControlLoop.runFor(milliseconds(40));
  }
  write(Rows, 0, "last", "x");
  ControlLoop.runFor(milliseconds(500));
  BOOST_CHECK(Sink.Values.contains("last"));
  Follower->close();
}

BOOST_AUTO_TEST_CASE(readsTablesOfSeveralPages) {
  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeRowStore Store(Rows, ControlLoop);
  for (int Key = 0; Key < 1300; ++Key)
    write(Rows, 0, "k" + std::to_string(Key), "v");
  RowMap Sink;
  const auto Follower = std::make_shared<TableFollower>(
      Store, ControlLoop, FollowOptions{"t", {"p0"}, milliseconds(500), {}},
      Sink);
  Follower->start();
  ControlLoop.runFor(milliseconds(500));
  BOOST_CHECK_EQUAL(Sink.Values.size(), 1300);
  Follower->close();
}
