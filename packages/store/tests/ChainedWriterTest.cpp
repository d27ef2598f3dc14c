// The chained writer against a store that loses, delays and refuses.

#include <random>

#include <boost/test/unit_test.hpp>

#include "cuminroad/fakes/FakeRowStore.h"
#include "cuminroad/store/ChainedWriter.h"

using namespace cuminroad;

namespace {

const RowName HeadRow{"owners", "p", "owner"};

RowName dataRow(int Number) {
  return RowName{"data", "p", "k" + std::to_string(Number)};
}

/// A writer named \p Name whose head row is "name/serial".
std::shared_ptr<ChainedWriter> makeWriter(FakeRowStore &Store, FakeLoop &Home,
                                          const std::string &Name) {
  return std::make_shared<ChainedWriter>(
      Store, Home, Home.MonotonicClock,
      ChainedWriter::Head{HeadRow,
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

/// Takes the head row over, as a lease does.
std::int64_t takeHead(FakeRows &Rows, const std::string &Value) {
  const StoredRow *Row = Rows.find(HeadRow);
  RowTransaction Change;
  Change.Checks.push_back(RowCheck{HeadRow, Row == nullptr ? 0 : Row->Version});
  Change.Puts.push_back(RowPut{HeadRow, Value});
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

BOOST_AUTO_TEST_CASE(lastPutIsWhatStaysWhateverTheStoreDoes) {
  for (unsigned Seed = 1; Seed <= 60; ++Seed) {
    std::mt19937 Random(Seed);
    FakeLoop Home;
    FakeRows Rows;
    FakeRowStore Store(Rows, Home);
    const auto Writer = makeWriter(Store, Home, "a");
    Writer->begin(takeHead(Rows, "a/0"), Home.MonotonicClock.now());
    bool Calm = false;
    Store.NextFault = [&] { return Calm ? StoreFault{} : randomFate(Random); };
    std::map<int, std::string> Last;
    int Told = 0;
    int Asked = 0;
    for (int Step = 0; Step < 40; ++Step) {
      const int Key = static_cast<int>(Random() % 5);
      Last[Key] = std::to_string(Step);
      Writer->put(dataRow(Key), [&Last, Key] { return Last[Key]; });
      ++Asked;
      Writer->whenCommitted([&, Key, Value = Last[Key]] {
        ++Told;
        // What was told to be recorded is in the store, or something newer.
        const StoredRow *Row = Rows.find(dataRow(Key));
        BOOST_REQUIRE(Row != nullptr);
        BOOST_CHECK_GE(std::stoi(Row->Value), std::stoi(Value));
      });
      Home.runFor(milliseconds(Random() % 300));
    }
    Calm = true;
    Home.runFor(milliseconds(20000));
    BOOST_CHECK_EQUAL(Told, Asked);
    for (const auto &[Key, Value] : Last)
      BOOST_CHECK_EQUAL(Rows.find(dataRow(Key))->Value, Value);
  }
}

BOOST_AUTO_TEST_CASE(replacedWriterWritesNothingMore) {
  for (unsigned Seed = 1; Seed <= 40; ++Seed) {
    std::mt19937 Random(Seed);
    FakeLoop Home;
    FakeRows Rows;
    FakeRowStore Store(Rows, Home);
    const auto Old = makeWriter(Store, Home, "old");
    Old->begin(takeHead(Rows, "old/0"), Home.MonotonicClock.now());
    bool Replaced = false;
    Old->OnReplaced = [&] { Replaced = true; };
    Store.NextFault = [&] { return randomFate(Random); };
    for (int Step = 0; Step < 10; ++Step) {
      Old->put(dataRow(1), [Step] { return "old" + std::to_string(Step); });
      Home.runFor(milliseconds(Random() % 200));
    }
    takeHead(Rows, "new/0");
    const StoredRow *Row = Rows.find(dataRow(1));
    const std::int64_t Version = Row == nullptr ? 0 : Row->Version;
    Old->put(dataRow(1), [] { return std::string("late"); });
    Home.runFor(milliseconds(20000));
    Row = Rows.find(dataRow(1));
    BOOST_CHECK_EQUAL(Row == nullptr ? 0 : Row->Version, Version);
    BOOST_CHECK(Replaced);
  }
}

BOOST_AUTO_TEST_CASE(renewalThatTookEffectUnheardDoesNotSwallowLaterRows) {
  // A renewal without rows takes effect, and its answer is lost. Rows put
  // meanwhile must not count as written with it.
  FakeLoop Home;
  FakeRows Rows;
  FakeRowStore Store(Rows, Home);
  const auto Writer = makeWriter(Store, Home, "a");
  Writer->begin(takeHead(Rows, "a/0"), Home.MonotonicClock.now());
  int Calls = 0;
  Store.NextFault = [&] {
    return ++Calls == 1 ? StoreFault{StoreFault::ResponseLost, {}}
                        : StoreFault{};
  };
  Writer->renew();
  Home.runFor(milliseconds(50));
  Writer->put(dataRow(1), [] { return std::string("x"); });
  Home.runFor(milliseconds(5000));
  BOOST_REQUIRE(Rows.find(dataRow(1)) != nullptr);
  BOOST_CHECK_EQUAL(Rows.find(dataRow(1))->Value, "x");
}

BOOST_AUTO_TEST_CASE(waitersAreToldWhileRowsKeepComing) {
  // More rows than a transaction takes, all the time: what was put before must
  // be told as written all the same. Found as starts that were never sent.
  FakeLoop Home;
  FakeRows Rows;
  FakeRowStore Store(Rows, Home);
  Store.Latency = milliseconds(300);
  const auto Writer = makeWriter(Store, Home, "a");
  Writer->begin(takeHead(Rows, "a/0"), Home.MonotonicClock.now());
  int Told = 0;
  int Next = 0;
  for (int Step = 0; Step < 50; ++Step) {
    for (int Each = 0; Each < 40; ++Each)
      Writer->put(dataRow(Next++), [] { return std::string("x"); });
    Writer->whenCommitted([&Told] { ++Told; });
    Home.runFor(milliseconds(100));
  }
  BOOST_CHECK_GE(Told, 20);
}
