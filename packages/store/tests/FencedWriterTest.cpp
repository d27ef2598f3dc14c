// Checks that no row is lost, reordered or written by a replaced writer while
// the store refuses, delays or loses calls and responses.

#include <random>

#include <boost/test/unit_test.hpp>

#include "cuminroad/fakes/FakeRowStore.h"
#include "cuminroad/store/FencedWriter.h"

using namespace cuminroad;

namespace {

const RowName HeadName{"owners", "p", "owner"};

RowName dataRow(int Number) {
  return RowName{"data", "p", "k" + std::to_string(Number)};
}

/// Makes a writer whose head row has the value "NAME/SERIAL".
std::shared_ptr<FencedWriter> makeWriter(FakeRowStore &Store,
                                         FakeLoop &ControlLoop,
                                         const std::string &Name) {
  return std::make_shared<FencedWriter>(
      Store, ControlLoop, ControlLoop.MonotonicClock,
      FencedWriter::HeadRow{HeadName,
                            [Name](std::int64_t Serial) {
                              return Name + "/" + std::to_string(Serial);
                            },
                            [Name](const std::string &Value) -> std::int64_t {
                              return Value.starts_with(Name + "/")
                                         ? std::stoll(
                                               Value.substr(Name.size() + 1))
                                         : 0;
                            }});
}

/// Replaces the head row, as another process does that takes the lease over.
std::int64_t takeHead(FakeRows &Rows, const std::string &Value) {
  const StoredRow *Row = Rows.find(HeadName);
  RowTransaction Change;
  Change.Checks.push_back(
      RowCheck{HeadName, Row == nullptr ? 0 : Row->Version});
  Change.Puts.push_back(RowPut{HeadName, Value});
  return Rows.apply(Change).Version;
}

StoreFault randomFate(std::mt19937 &Random) {
  switch (Random() % 8) {
  case 0:
    return {StoreFault::Refused, {}};
  case 1:
    return {StoreFault::ResponseLost, {}};
  case 2:
    return {StoreFault::RequestLost, {}};
  case 3:
    return {StoreFault::Delayed, milliseconds(200 + Random() % 4000)};
  default:
    return {};
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(lastPutRowWinsUnderRandomFailures) {
  for (unsigned Seed = 1; Seed <= 60; ++Seed) {
    std::mt19937 Random(Seed);
    FakeLoop ControlLoop;
    FakeRows Rows;
    FakeRowStore Store(Rows, ControlLoop);
    const auto Writer = makeWriter(Store, ControlLoop, "a");
    Writer->begin(takeHead(Rows, "a/0"), ControlLoop.MonotonicClock.now());
    bool NoFailures = false;
    Store.NextFault = [&] {
      return NoFailures ? StoreFault{} : randomFate(Random);
    };
    std::map<int, std::string> Expected;
    int Notified = 0;
    int Requested = 0;
    for (int Step = 0; Step < 40; ++Step) {
      const int Key = static_cast<int>(Random() % 5);
      Expected[Key] = std::to_string(Step);
      Writer->put(dataRow(Key), [&Expected, Key] { return Expected[Key]; });
      ++Requested;
      Writer->whenCommitted([&, Key, Value = Expected[Key]] {
        ++Notified;
        // The store has the value that was put, or a later one.
        const StoredRow *Row = Rows.find(dataRow(Key));
        BOOST_REQUIRE(Row != nullptr);
        BOOST_CHECK_GE(std::stoi(Row->Value), std::stoi(Value));
      });
      ControlLoop.runFor(milliseconds(Random() % 300));
    }
    NoFailures = true;
    ControlLoop.runFor(milliseconds(20000));
    BOOST_CHECK_EQUAL(Notified, Requested);
    for (const auto &[Key, Value] : Expected)
      BOOST_CHECK_EQUAL(Rows.find(dataRow(Key))->Value, Value);
  }
}

BOOST_AUTO_TEST_CASE(replacedWriterWritesNothing) {
  for (unsigned Seed = 1; Seed <= 40; ++Seed) {
    std::mt19937 Random(Seed);
    FakeLoop ControlLoop;
    FakeRows Rows;
    FakeRowStore Store(Rows, ControlLoop);
    const auto Old = makeWriter(Store, ControlLoop, "old");
    Old->begin(takeHead(Rows, "old/0"), ControlLoop.MonotonicClock.now());
    bool Replaced = false;
    Old->OnReplaced = [&] { Replaced = true; };
    Store.NextFault = [&] { return randomFate(Random); };
    for (int Step = 0; Step < 10; ++Step) {
      Old->put(dataRow(1), [Step] { return "old" + std::to_string(Step); });
      ControlLoop.runFor(milliseconds(Random() % 200));
    }
    takeHead(Rows, "new/0");
    const StoredRow *Row = Rows.find(dataRow(1));
    const std::int64_t Version = Row == nullptr ? 0 : Row->Version;
    Old->put(dataRow(1), [] { return std::string("late"); });
    ControlLoop.runFor(milliseconds(20000));
    Row = Rows.find(dataRow(1));
    BOOST_CHECK_EQUAL(Row == nullptr ? 0 : Row->Version, Version);
    BOOST_CHECK(Replaced);
  }
}

BOOST_AUTO_TEST_CASE(renewalWithLostReplyDoesNotSwallowLaterRows) {
  // A renewal without rows takes effect, but its response is lost. Rows that
  // are put before the retry must not count as written by it.
  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeRowStore Store(Rows, ControlLoop);
  const auto Writer = makeWriter(Store, ControlLoop, "a");
  Writer->begin(takeHead(Rows, "a/0"), ControlLoop.MonotonicClock.now());
  int Calls = 0;
  Store.NextFault = [&] {
    return ++Calls == 1 ? StoreFault{StoreFault::ResponseLost, {}}
                        : StoreFault{};
  };
  Writer->renew();
  ControlLoop.runFor(milliseconds(50));
  Writer->put(dataRow(1), [] { return std::string("x"); });
  ControlLoop.runFor(milliseconds(5000));
  BOOST_REQUIRE(Rows.find(dataRow(1)) != nullptr);
  BOOST_CHECK_EQUAL(Rows.find(dataRow(1))->Value, "x");
}

BOOST_AUTO_TEST_CASE(waitersAreNotifiedWhileRowsKeepComing) {
  // Rows are put faster than transactions can take them. A waiter must be
  // notified once the rows before it are written, even though the queue never
  // gets empty; otherwise starts that wait for their rows are never sent.
  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeRowStore Store(Rows, ControlLoop);
  Store.Latency = milliseconds(300);
  const auto Writer = makeWriter(Store, ControlLoop, "a");
  Writer->begin(takeHead(Rows, "a/0"), ControlLoop.MonotonicClock.now());
  int Notified = 0;
  int Next = 0;
  for (int Step = 0; Step < 50; ++Step) {
    for (int Put = 0; Put < 40; ++Put)
      Writer->put(dataRow(Next++), [] { return std::string("x"); });
    Writer->whenCommitted([&Notified] { ++Notified; });
    ControlLoop.runFor(milliseconds(100));
  }
  BOOST_CHECK_GE(Notified, 20);
}

// Guards against a writer that takes its own row for a newer writer's, since
// the HTTP client has sent its first try again on another connection.
BOOST_AUTO_TEST_CASE(resentFirstTryIsNotTakenForANewerWriter) {
  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeRowStore Store(Rows, ControlLoop);
  const auto Writer = makeWriter(Store, ControlLoop, "a");
  Writer->begin(takeHead(Rows, "a/0"), ControlLoop.MonotonicClock.now());
  bool Replaced = false;
  Writer->OnReplaced = [&] { Replaced = true; };
  int Calls = 0;
  Store.NextFault = [&] {
    return ++Calls == 1 ? StoreFault{StoreFault::Resent, {}} : StoreFault{};
  };
  Writer->put(dataRow(1), [] { return std::string("x"); });
  ControlLoop.runFor(milliseconds(500));
  BOOST_CHECK(!Replaced);
  Writer->put(dataRow(2), [] { return std::string("y"); });
  ControlLoop.runFor(milliseconds(500));
  BOOST_CHECK(Rows.find(dataRow(2)) != nullptr);
}

// Guards against a writer that waits for timeouts while the responses of many
// writes are lost: starts waited 0.8 to 1.2 s for their records, and the owner
// lost its pool since each retry was lost as well.
BOOST_AUTO_TEST_CASE(lostResponsesDelayRowsLittle) {
  std::mt19937 Random(7);
  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeRowStore Store(Rows, ControlLoop);
  const auto Writer = makeWriter(Store, ControlLoop, "a");
  Writer->begin(takeHead(Rows, "a/0"), ControlLoop.MonotonicClock.now());
  // Reads are not affected: the store answers them.
  Store.NextFault = [&] {
    return Random() % 2 == 0 ? StoreFault{StoreFault::ResponseLost, {}}
                             : StoreFault{};
  };
  Store.FaultsOnReads = false;
  constexpr milliseconds LongestDelay{150};
  for (int Number = 0; Number < 40; ++Number) {
    bool Committed = false;
    Writer->put(dataRow(Number), [] { return std::string("x"); });
    Writer->whenCommitted([&] { Committed = true; });
    ControlLoop.runFor(LongestDelay);
    BOOST_CHECK_MESSAGE(Committed, "row " << Number);
    BOOST_CHECK(Rows.find(dataRow(Number)) != nullptr);
  }
}
