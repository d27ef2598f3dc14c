// Tests that the parts of quotas that pools use never add up to more than the
// quotas, and that unused parts reach the pools that need them.

#include <algorithm>
#include <map>
#include <numeric>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "cuminroad/pool/QuotaLedger.h"

using namespace cuminroad;

namespace {

constexpr std::size_t Components = std::tuple_size_v<QuotaFractions>;
const std::string TestAccount = "x";

/// Pools that share one account's quota, their rows in the store, and what each
/// pool has running and waiting, in tasks of one size.
class SharedQuota {
public:
  SharedQuota(int Pools, const Capacity &Quota, const Capacity &TaskSize)
      : Quota_(Quota), TaskSize_(TaskSize) {
    for (int Number = 0; Number < Pools; ++Number)
      Names_.push_back(fmt::format("pool{}", Number));
    for (const std::string &Name : Names_) {
      Pools_.push_back(Pool{QuotaLedger(Name), Name});
      restart(Pools_.size() - 1);
    }
  }

  struct Pool {
    QuotaLedger Ledger;
    std::string Name;
    int Running = 0;
    int Waiting = 0;
    /// The size of a task that waits longest, or 0.
    int Claim = 0;
  };

  /// A new owner that knows the pool's own rows and runs.
  void restart(std::size_t Index) {
    Pool &Each = Pools_[Index];
    Each.Ledger = QuotaLedger(Each.Name);
    Each.Ledger.setPools(Names_);
    const std::vector<ClientAccount> Accounts{
        ClientAccount{TestAccount, 1, Quota_}};
    Each.Ledger.setAccounts(Accounts);
    std::vector<QuotaRow> Own;
    if (!History_[Each.Name].empty())
      Own.push_back(stored(History_[Each.Name].back()));
    Each.Ledger.ownRowsRead(Own);
  }
  /// Starts waiting tasks within the limit, and ends \p Ended running ones.
  void work(std::size_t Index, int Ended = 0) {
    Pool &Each = Pools_[Index];
    Each.Running -= std::min(Ended, Each.Running);
    const Capacity Limit = Each.Ledger.limit(TestAccount);
    while (Each.Waiting > 0 && (TaskSize_ * (Each.Running + 1)).fitsIn(Limit)) {
      ++Each.Running;
      --Each.Waiting;
    }
  }
  /// Decides what to give, and writes it unless the owner ends before.
  void update(std::size_t Index, bool Writes = true) {
    Pool &Each = Pools_[Index];
    Now_ += milliseconds(1000);
    AccountLoad Load;
    Load.Name = TestAccount;
    Load.Used = TaskSize_ * Each.Running;
    Load.Needed = TaskSize_ * (Each.Running + Each.Waiting);
    Load.Claim = TaskSize_ * Each.Claim;
    const std::vector<AccountLoad> Loads{Load};
    const std::vector<int> Rows = Each.Ledger.update(Loads, Now_);
    if (!Writes)
      return restart(Index);
    for (const int Number : Rows) {
      BOOST_REQUIRE_EQUAL(Number, 0);
      ++Writes_;
      History_[Each.Name].push_back(encodeQuotaRow(Each.Ledger.row(Number)));
    }
  }
  /// The reader gets the newest row of the writer, or an older one.
  void deliver(std::size_t Writer, std::size_t Reader, std::size_t Older = 0) {
    const std::vector<std::string> &Rows = History_[Names_[Writer]];
    if (Rows.empty())
      return;
    const std::size_t Row = Rows.size() - 1 - std::min(Older, Rows.size() - 1);
    Pools_[Reader].Ledger.rowRead(Names_[Writer], "0",
                                  static_cast<std::int64_t>(Row) + 1,
                                  stored(Rows[Row]));
  }
  /// A second in which all owners act and all rows arrive.
  void second(int Ended = 0) {
    for (std::size_t Index = 0; Index < Pools_.size(); ++Index) {
      work(Index, Ended);
      update(Index);
      for (std::size_t Reader = 0; Reader < Pools_.size(); ++Reader)
        deliver(Index, Reader);
    }
  }
  /// \returns the most of any component that all pools together may use.
  std::int64_t largestSum() const {
    QuotaFractions Sums{};
    for (const Pool &Each : Pools_) {
      const QuotaFractions Own = Each.Ledger.fraction(TestAccount);
      for (std::size_t Index = 0; Index < Components; ++Index)
        Sums[Index] += Own[Index];
    }
    return *std::max_element(Sums.begin(), Sums.end());
  }
  Capacity used() const {
    Capacity Out;
    for (const Pool &Each : Pools_)
      Out += TaskSize_ * Each.Running;
    return Out;
  }
  Capacity limits() const {
    Capacity Out;
    for (const Pool &Each : Pools_)
      Out += Each.Ledger.limit(TestAccount);
    return Out;
  }
  Pool &pool(std::size_t Index) { return Pools_[Index]; }
  int writes() const { return Writes_; }
  const Capacity &quota() const { return Quota_; }

private:
  static QuotaRow stored(const std::string &Bytes) {
    const auto Row = decodeQuotaRow(Bytes);
    BOOST_REQUIRE(Row);
    return *Row;
  }

  Capacity Quota_;
  Capacity TaskSize_;
  std::vector<std::string> Names_;
  std::vector<Pool> Pools_;
  std::map<std::string, std::vector<std::string>> History_;
  milliseconds Now_{0};
  int Writes_ = 0;
};

constexpr Capacity OneTask{1000, 100, 1};

} // namespace

// Guards against the fractions in use adding up to more than the whole, and the
// pools together running more than the quota, through rows that are lost, late
// or repeated and owners that end between a decision and its write.
BOOST_AUTO_TEST_CASE(partsInUseNeverExceedTheWhole) {
  const bool Passed = rc::check(
      "parts in use never exceed the whole",
      [](const std::vector<std::pair<unsigned char, unsigned>> &Events) {
        const int Pools = 2 + static_cast<int>(Events.size()) % 3;
        const int Tasks = 1 + static_cast<int>(Events.size()) % 11;
        SharedQuota Shared(Pools, OneTask * Tasks, OneTask);
        for (const auto &[Kind, Value] : Events) {
          const std::size_t Index = Value % static_cast<unsigned>(Pools);
          const std::size_t Other = Value / 7 % static_cast<unsigned>(Pools);
          switch (Kind % 10) {
          case 0:
            Shared.pool(Index).Waiting += static_cast<int>(Value % 13);
            break;
          case 1:
            Shared.pool(Index).Waiting = 0;
            break;
          case 2:
          case 3:
            Shared.work(Index, static_cast<int>(Value % 5));
            break;
          case 4:
            Shared.restart(Index);
            break;
          case 5:
            Shared.update(Index, false);
            break;
          case 6:
            Shared.deliver(Index, Other, Value % 4);
            break;
          case 7:
            Shared.pool(Index).Claim = static_cast<int>(Value) % (Tasks + 1);
            break;
          case 8:
            Shared.deliver(Index, Other);
            break;
          default:
            Shared.update(Index);
          }
          RC_ASSERT(Shared.largestSum() <= WholeQuota);
          RC_ASSERT(Shared.used().fitsIn(Shared.quota()));
          RC_ASSERT(Shared.limits().fitsIn(Shared.quota()));
        }
      });
  BOOST_CHECK(Passed);
}

// Guards against capacity that one pool doesn't use not reaching another one
// that needs it, after any series of failures.
BOOST_AUTO_TEST_CASE(unusedPartsArriveAfterFailures) {
  const bool Passed = rc::check(
      "unused parts arrive after failures",
      [](const std::vector<std::pair<unsigned char, unsigned>> &Events) {
        constexpr int Tasks = 7;
        SharedQuota Shared(3, OneTask * Tasks, OneTask);
        for (const auto &[Kind, Value] : Events) {
          const std::size_t Index = Value % 3;
          Shared.pool(Index).Waiting = static_cast<int>(Value / 3 % 10);
          Shared.work(Index, static_cast<int>(Value % 5));
          Shared.update(Index, Kind % 4 != 0);
          if (Kind % 3 == 0)
            Shared.deliver(Index, Value / 11 % 3, Kind % 2);
        }
        for (std::size_t Index = 0; Index < 3; ++Index) {
          Shared.pool(Index).Running = 0;
          Shared.pool(Index).Waiting = 0;
        }
        const std::size_t Needy = Events.size() % 3;
        Shared.pool(Needy).Waiting = 100;
        for (int Second = 0; Second < 3; ++Second)
          Shared.second();
        Shared.work(Needy);
        RC_ASSERT(Shared.pool(Needy).Running == Tasks);
      });
  BOOST_CHECK(Passed);
}

// Guards against parts that alternate, or are unequal, where all pools together
// need more than the quota: they become equal, except that a pool that needs
// less has what it needs, and then nothing is written any more.
BOOST_AUTO_TEST_CASE(scarceQuotaIsDividedFairly) {
  SharedQuota Shared(3, OneTask * 12, OneTask);
  Shared.pool(0).Waiting = 1000;
  for (int Second = 0; Second < 3; ++Second)
    Shared.second();
  BOOST_CHECK_EQUAL(Shared.pool(0).Running, 12);
  Shared.pool(1).Waiting = 1000;
  Shared.pool(2).Waiting = 2;
  for (int Second = 0; Second < 20; ++Second) {
    Shared.pool(2).Waiting = 2 - Shared.pool(2).Running;
    Shared.second(Second % 2);
    BOOST_REQUIRE(Shared.used().fitsIn(Shared.quota()));
    if (Second < 15)
      continue;
    BOOST_CHECK_EQUAL(Shared.pool(0).Running, 5);
    BOOST_CHECK_EQUAL(Shared.pool(1).Running, 5);
  }
  const int Writes = Shared.writes();
  for (int Second = 0; Second < 20; ++Second)
    Shared.second();
  BOOST_CHECK_EQUAL(Shared.writes(), Writes);
}

// Guards against one unit of a small quota, such as one of three accelerators,
// being in the part of neither pool.
BOOST_AUTO_TEST_CASE(smallQuotasAreUsedInFull) {
  for (int Pools = 2; Pools <= 5; ++Pools)
    for (int Tasks = 1; Tasks <= 19; ++Tasks)
      for (int First = 0; First <= Tasks; ++First) {
        SharedQuota Shared(Pools, OneTask * Tasks, OneTask);
        Shared.pool(0).Waiting = First;
        Shared.pool(1).Waiting = Tasks - First;
        for (int Second = 0; Second < 4; ++Second)
          Shared.second();
        Shared.work(0);
        Shared.work(1);
        BOOST_CHECK_EQUAL(Shared.pool(0).Running, First);
        BOOST_CHECK_EQUAL(Shared.pool(1).Running, Tasks - First);
      }
}

// Guards against a large gang in each of two pools waiting for ever, as equal
// parts fit neither of them: one starts after the other.
BOOST_AUTO_TEST_CASE(gangsLargerThanEqualPartsTakeTurns) {
  SharedQuota Shared(2, OneTask * 10, OneTask);
  std::vector<int> Started(2);
  for (std::size_t Index = 0; Index < 2; ++Index) {
    Shared.pool(Index).Waiting = 8;
    Shared.pool(Index).Claim = 8;
  }
  for (int Second = 0; Second < 30; ++Second) {
    for (std::size_t Index = 0; Index < 2; ++Index) {
      SharedQuota::Pool &Each = Shared.pool(Index);
      if (Each.Running > 0 && Second % 5 == 0) {
        Each.Running = 0;
        Each.Waiting = 8;
        Each.Claim = 8;
      }
      if (Each.Running == 0 &&
          (OneTask * 8).fitsIn(Each.Ledger.limit(TestAccount))) {
        Each.Running = 8;
        Each.Waiting = 0;
        Each.Claim = 0;
        ++Started[Index];
      }
      Shared.update(Index);
      Shared.deliver(Index, 1 - Index);
    }
    BOOST_REQUIRE(Shared.used().fitsIn(Shared.quota()));
  }
  BOOST_CHECK_GE(Started[0], 2);
  BOOST_CHECK_GE(Started[1], 2);
}

// Guards against rows of a configuration with other pools counting: each pool
// restarts with an equal part.
BOOST_AUTO_TEST_CASE(anotherSetOfPoolsRestarts) {
  const std::vector<ClientAccount> Accounts{
      ClientAccount{TestAccount, 1, OneTask * 12}};
  QuotaLedger Ledger("a");
  Ledger.setAccounts(Accounts);
  BOOST_CHECK(Ledger.setPools({"b"}));
  BOOST_CHECK(!Ledger.setPools({"a", "b"}));
  QuotaRow Own;
  Own.Pools = {"a", "b"};
  Own.Accounts[TestAccount].Given["b"] = {500000, 500000, 500000};
  const std::vector<QuotaRow> Rows{Own};
  Ledger.ownRowsRead(Rows);
  BOOST_CHECK(Ledger.limit(TestAccount) == Capacity{});
  QuotaRow Other;
  Other.Pools = {"a", "b", "c"};
  Other.Accounts[TestAccount].Given["a"] = {500000, 500000, 500000};
  Ledger.rowRead("b", "0", 1, Other);
  BOOST_CHECK(Ledger.limit(TestAccount) == Capacity{});
  BOOST_CHECK(Ledger.setPools({"a", "b", "c"}));
  BOOST_CHECK(Ledger.limit(TestAccount) == Capacity{});
  Ledger.ownRowsRead(Rows);
  BOOST_CHECK(Ledger.limit(TestAccount) == OneTask * 4);
}

// Guards against starts before the pool's own rows are read: an earlier owner
// may have given everything away.
BOOST_AUTO_TEST_CASE(nothingIsAllowedBeforeOwnRowsAreRead) {
  const std::vector<ClientAccount> Accounts{
      ClientAccount{TestAccount, 1, {12000, UnlimitedAmount, 4}},
      ClientAccount{"unlimited", 1, UnlimitedCapacity}};
  QuotaLedger Ledger("a");
  Ledger.setAccounts(Accounts);
  Ledger.setPools({"a"});
  BOOST_CHECK(!Ledger.needsExchange());
  BOOST_CHECK(Ledger.limit(TestAccount) ==
              (Capacity{12000, UnlimitedAmount, 4}));
  Ledger.setPools({"a", "b"});
  BOOST_CHECK(Ledger.needsExchange());
  BOOST_CHECK(Ledger.limit(TestAccount) == (Capacity{0, UnlimitedAmount, 0}));
  BOOST_CHECK(Ledger.limit("unlimited") == UnlimitedCapacity);
  BOOST_CHECK(Ledger.limit("unknown") == UnlimitedCapacity);
  Ledger.ownRowsRead({});
  BOOST_CHECK(Ledger.limit(TestAccount) ==
              (Capacity{6000, UnlimitedAmount, 2}));
}

// Guards against what an account has given being forgotten when the contracts
// drop it and add it again, and against a changed quota changing the fractions.
BOOST_AUTO_TEST_CASE(droppedAccountKeepsWhatItGave) {
  SharedQuota Shared(2, OneTask * 4, OneTask);
  Shared.pool(1).Waiting = 4;
  for (int Second = 0; Second < 3; ++Second)
    Shared.second();
  QuotaLedger &Giver = Shared.pool(0).Ledger;
  BOOST_CHECK(Giver.limit(TestAccount) == Capacity{});
  Giver.setAccounts({});
  Shared.second();
  const std::vector<ClientAccount> Larger{
      ClientAccount{TestAccount, 1, OneTask * 100}};
  Giver.setAccounts(Larger);
  BOOST_CHECK(Giver.limit(TestAccount) == Capacity{});
}

// Guards against a row that arrives late taking back what a newer one gave,
// while it is in use.
BOOST_AUTO_TEST_CASE(olderRowsAreIgnored) {
  const std::vector<ClientAccount> Accounts{
      ClientAccount{TestAccount, 1, OneTask * 8}};
  QuotaLedger Ledger("a");
  Ledger.setAccounts(Accounts);
  Ledger.setPools({"b"});
  Ledger.ownRowsRead({});
  QuotaRow Row;
  Row.Pools = {"a", "b"};
  Ledger.rowRead("b", "0", 5, Row);
  Row.Accounts[TestAccount].Given["a"] = {250000, 250000, 250000};
  Ledger.rowRead("b", "0", 7, Row);
  BOOST_CHECK(Ledger.limit(TestAccount) == OneTask * 6);
  Row.Accounts.clear();
  Ledger.rowRead("b", "0", 6, Row);
  BOOST_CHECK(Ledger.limit(TestAccount) == OneTask * 6);
}

// Guards against rows that grow beyond what the store accepts, and against an
// account moving between rows, where its gifts could be in neither.
BOOST_AUTO_TEST_CASE(manyAccountsTakeSeveralRows) {
  std::vector<ClientAccount> Accounts;
  std::vector<AccountLoad> Loads;
  for (int Number = 0; Number < 1000; ++Number) {
    Accounts.push_back(ClientAccount{
        fmt::format("account-with-a-long-name-{}", Number), 1, OneTask * 100});
    Loads.emplace_back();
    Loads.back().Name = Accounts.back().Name;
    Loads.back().Needed = OneTask * 100;
  }
  const auto MakeLedger = [&Accounts] {
    QuotaLedger Out("a");
    Out.setPools({"b", "c", "d", "e", "f", "g"});
    Out.setAccounts(Accounts);
    return Out;
  };
  QuotaLedger Ledger = MakeLedger();
  Ledger.ownRowsRead({});
  const std::vector<int> Numbers = Ledger.update(Loads, milliseconds(1));
  BOOST_CHECK_GT(Numbers.size(), 2);
  std::vector<QuotaRow> Rows;
  std::size_t Entries = 0;
  for (const int Number : Numbers) {
    Rows.push_back(Ledger.row(Number));
    Entries += Rows.back().Accounts.size();
    BOOST_CHECK_LE(encodeQuotaRow(Rows.back()).size(), 45000);
  }
  BOOST_CHECK_EQUAL(Entries, Accounts.size());
  std::reverse(Accounts.begin(), Accounts.end());
  QuotaLedger Next = MakeLedger();
  Next.ownRowsRead(Rows);
  for (const int Number : Numbers)
    BOOST_CHECK(Next.row(Number) == Ledger.row(Number));
}

// Guards against a damaged row being taken for one that gives something.
BOOST_AUTO_TEST_CASE(damagedRowsAreNotRead) {
  QuotaRow Row;
  Row.Pools = {"a", "b"};
  Row.Accounts[TestAccount].Given["b"] = {1, 2, 3};
  Row.Accounts[TestAccount].Claim = {1, 0, 0};
  Row.Accounts[TestAccount].ClaimedSinceMs = 7;
  const std::string Bytes = encodeQuotaRow(Row);
  const auto Decoded = decodeQuotaRow(Bytes);
  BOOST_REQUIRE(Decoded);
  BOOST_CHECK(*Decoded == Row);
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    BOOST_CHECK(!decodeQuotaRow(Bytes.substr(0, Size)));
  Row.Accounts[TestAccount].Given["b"] = {-1, 2, 3};
  BOOST_CHECK(!decodeQuotaRow(encodeQuotaRow(Row)));
}

// Guards against an overage that grows beyond its part, or changes a component
// without a limit.
BOOST_AUTO_TEST_CASE(overageIsAPartOfTheQuota) {
  BOOST_CHECK(quotaWithOverage({1000, UnlimitedAmount, 19}, 0.05) ==
              (Capacity{1050, UnlimitedAmount, 19}));
  BOOST_CHECK(quotaWithOverage({1000, 2000, 20}, 0) ==
              (Capacity{1000, 2000, 20}));
}
