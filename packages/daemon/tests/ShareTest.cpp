// Guards against domains that together use more of a customer's limits than the
// contract allows. This could come about when parts are transferred through a
// table whose replies are delayed and reordered, or are lost because the owner
// of a domain is replaced.

#include <cstdlib>
#include <deque>
#include <set>
#include <utility>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "cuminroad/daemon/DomainShare.h"
#include "cuminroad/daemon/ShareManager.h"

using namespace cuminroad;

namespace {

struct FixedSeed {
  FixedSeed() {
    setenv("RC_PARAMS", "seed=20261204 max_success=1000 max_size=600", 0);
  }
};
BOOST_GLOBAL_FIXTURE(FixedSeed);

const std::vector<std::string> Domains{"d1", "d2", "d3"};
const std::string Customer = "c";

ContractTerms makeTerms(std::int64_t Cores, std::int64_t Requests) {
  ContractTerms Terms;
  Terms.MaxCapacity = Capacity{Cores, Cores * 2, 0};
  Terms.MaxRequests = Requests;
  return Terms;
}

/// Runs its work in the order that the test chooses, one piece at each step().
class AnyOrderLoop final : public Loop {
public:
  void post(Work Run) override { Waiting.push_back(std::move(Run)); }
  void after(milliseconds, Work Run) override {
    Waiting.push_back(std::move(Run));
  }
  void step(std::uint32_t Choice) {
    if (Waiting.empty())
      return;
    const auto Chosen = Waiting.begin() + Choice % Waiting.size();
    const Work Run = std::move(*Chosen);
    Waiting.erase(Chosen);
    Run();
  }
  std::deque<Work> Waiting;
};

/// A table whose replies come later, in any order.
class SlowTable final : public Table {
public:
  explicit SlowTable(Loop &ControlLoop) : ControlLoop_(ControlLoop) {}

  void commit(Transaction Change, CommitDone Done) override {
    const bool IsUnknown = UnknownEvery != 0 && ++Commits_ % UnknownEvery == 0;
    if (IsUnknown && std::exchange(LosesNextUnknown_, !LosesNextUnknown_))
      return ControlLoop_.post(
          [Done] { Done(failure(ErrorCode::WriteOutcomeUnknown)); });
    CommitOutcome Out;
    for (const VersionCheck &Check : Change.Checks)
      if (Rows_[Check.Key].Version != Check.Version)
        Out.Conflicts.push_back(Check.Key);
    if (Out.Conflicts.empty()) {
      Out.Revision = ++Revision_;
      for (const RowWrite &Write : Change.Writes)
        Rows_[Write.Key] =
            TableRow{Write.Key, Revision_, Write.Value, Change.WriteId};
    }
    ControlLoop_.post([Done, Out, IsUnknown] {
      if (IsUnknown)
        Done(failure(ErrorCode::WriteOutcomeUnknown));
      else
        Done(Out);
    });
  }
  void read(std::string Key, RowDone Done) override {
    ControlLoop_.post([Done, Row = Rows_[Key]] { Done(Row); });
  }
  void scan(std::string Prefix, RowsDone Done) override {
    std::vector<TableRow> Out;
    for (const auto &[Key, Row] : Rows_)
      if (Key.starts_with(Prefix) && Row.Version != 0)
        Out.push_back(Row);
    ControlLoop_.post([Done, Out] { Done(Out); });
  }

  /// If not 0, the outcome of each transaction with a multiple of this number
  /// is unknown to its writer. Every second one of them has no effect.
  int UnknownEvery = 0;

private:
  Loop &ControlLoop_;
  int Commits_ = 0;
  bool LosesNextUnknown_ = false;
  std::map<std::string, TableRow> Rows_;
  std::int64_t Revision_ = 0;
};

/// A domain that uses as much of its share as its demand requires.
struct SimulatedDomain final : DomainUsage {
  ShareAmount Demand;
  ShareAmount Used;
  std::shared_ptr<ShareManager> Manager;
  ContractTerms Terms;

  ShareAmount demand(const std::string &) const override {
    ShareAmount Out = Demand;
    Out.Requests = std::max(Demand.Requests, Used.Requests);
    return Out;
  }
  ShareAmount maxUsage(const std::string &) const override { return Used; }
  bool usageFullyKnown() const override { return true; }

  void useShare() {
    const ShareAmount Allowed =
        transferableLimits(Manager->currentShare(Customer, Terms));
    const auto Grow = [](std::int64_t &Now, std::int64_t Target,
                         std::int64_t Limit) {
      Now = std::max(Now, std::min(Target, Limit));
    };
    Grow(Used.Held.MilliCores, Demand.Held.MilliCores, Allowed.Held.MilliCores);
    Grow(Used.Requests, Demand.Requests, Allowed.Requests);
  }
  /// Ends the usage beyond the demand.
  void releaseExcess() {
    Used.Held.MilliCores =
        std::min(Used.Held.MilliCores, Demand.Held.MilliCores);
    Used.Requests = std::min(Used.Requests, Demand.Requests);
  }
};

struct Simulation {
  AnyOrderLoop ControlLoop;
  SlowTable Rows{ControlLoop};
  std::map<std::string, SimulatedDomain> SimulatedDomains;
  std::int64_t LargestCores = 3000;
  std::set<std::string> DomainsAboveEvenPart;

  Simulation() {
    for (const std::string &Domain : Domains)
      startManager(Domain);
  }

  void startManager(const std::string &Domain) {
    SimulatedDomain &Chosen = SimulatedDomains[Domain];
    if (Chosen.Manager)
      Chosen.Manager->close();
    else
      Chosen.Terms = makeTerms(3000, 9);
    Chosen.Manager = std::make_shared<ShareManager>(
        Rows, ControlLoop, ShareManagerContext{Domain, Domains, "epoch", 0},
        Chosen);
    Chosen.Manager->setContracts({{Customer, Chosen.Terms}});
    Chosen.Manager->start();
  }

  void applyRandomEvent(std::uint32_t RandomBits) {
    SimulatedDomain &Chosen =
        SimulatedDomains[Domains[(RandomBits >> 4) % Domains.size()]];
    const std::uint32_t Argument = RandomBits >> 8;
    switch (RandomBits % 16) {
    case 0:
      Chosen.Demand.Held.MilliCores = Argument % 3500;
      break;
    case 1:
      Chosen.Demand.Requests = Argument % 12;
      break;
    case 2:
      Chosen.releaseExcess();
      break;
    case 3:
      if (Argument % 16 == 0)
        startManager(Domains[(RandomBits >> 4) % Domains.size()]);
      break;
    default:
      ControlLoop.step(Argument);
    }
    for (auto &[Domain, Each] : SimulatedDomains) {
      Each.useShare();
      if (Each.Used.Held.MilliCores > 1000)
        DomainsAboveEvenPart.insert(Domain);
    }
  }

  std::string violation() const {
    ShareAmount Sum;
    for (const auto &[Domain, Each] : SimulatedDomains)
      Sum += Each.Used;
    if (Sum.Held.MilliCores > 3000 || Sum.Requests > 9)
      return fmt::format("{} millicores, {} requests", Sum.Held.MilliCores,
                         Sum.Requests);
    return {};
  }
};

} // namespace

static void checkPartsInUse(int UnknownEvery) {
  std::size_t DomainsAboveEvenPartCount = 0;
  const bool Passed =
      rc::check("parts in use never exceed the contract",
                [&DomainsAboveEvenPartCount,
                 UnknownEvery](const std::vector<std::uint32_t> &Events) {
                  Simulation Simulated;
                  Simulated.Rows.UnknownEvery = UnknownEvery;
                  for (const std::uint32_t RandomBits : Events) {
                    Simulated.applyRandomEvent(RandomBits);
                    RC_ASSERT(Simulated.violation() == std::string());
                  }
                  DomainsAboveEvenPartCount +=
                      Simulated.DomainsAboveEvenPart.size();
                });
  BOOST_CHECK(Passed);
  // Runs in which nothing was transferred would prove nothing.
  BOOST_CHECK_GT(DomainsAboveEvenPartCount, 50);
}

BOOST_AUTO_TEST_CASE(partsInUseNeverExceedTheContract) { checkPartsInUse(0); }

// Guards against a domain that goes on using a part which it has transferred,
// because it took an unknown outcome for "not written".
BOOST_AUTO_TEST_CASE(unknownTransfersNeverExceedTheContract) {
  checkPartsInUse(3);
}

// Guards against two domains that wait for each other's unused parts forever:
// each needs more than its even part, and can use nothing less.
BOOST_AUTO_TEST_CASE(twoDomainsThatRequestMoreThanTheirPartAreBothServed) {
  Simulation Simulated;
  for (const char *Domain : {"d1", "d2"})
    Simulated.SimulatedDomains[Domain].Demand.Held.MilliCores = 2500;
  std::set<std::string> Served;
  std::uint32_t Choice = 1;
  for (int Step = 0; Step < 20000 && Served.size() < 2; ++Step) {
    Choice = Choice * 1664525 + 1013904223;
    Simulated.ControlLoop.step(Choice >> 8);
    for (const char *Domain : {"d1", "d2"}) {
      SimulatedDomain &Chosen = Simulated.SimulatedDomains[Domain];
      if (transferableLimits(
              Chosen.Manager->currentShare(Customer, Chosen.Terms))
              .Held.MilliCores < Chosen.Demand.Held.MilliCores)
        continue;
      // The work runs and ends, and its part becomes available to others.
      Served.insert(Domain);
      Chosen.Demand = {};
    }
  }
  BOOST_CHECK_EQUAL(Served.size(), 2);
}

BOOST_AUTO_TEST_CASE(scalingNeverIncreasesTheSum) {
  rc::check(
      "scaling never increases the sum",
      [](std::uint16_t A, std::uint16_t B, std::uint16_t C, std::uint16_t To) {
        ShareRow Row;
        Row.Parts["d1"].Held.MilliCores = A;
        Row.Parts["d2"].Held.MilliCores = B;
        Row.Parts["d3"].Held.MilliCores = C;
        Row.Limit.Held.MilliCores = A + B + C;
        const ContractTerms Terms = makeTerms(To, 3);
        std::int64_t Sum = 0;
        for (const std::string &Domain : Domains)
          Sum += termsForDomain(Row, Terms, Customer, Domain, Domains)
                     .MaxCapacity.MilliCores;
        RC_ASSERT(Sum <= To);
      });
}

BOOST_AUTO_TEST_CASE(evenSharesAddUpExactly) {
  for (int Total = 0; Total < 20; ++Total) {
    std::int64_t Sum = 0;
    for (const std::string &Domain : Domains)
      Sum += domainShare(makeTerms(Total, Total), Customer, Domain, Domains)
                 .MaxRequests;
    BOOST_CHECK_EQUAL(Sum, Total);
  }
}

BOOST_AUTO_TEST_CASE(shareRowRoundTripsThroughJson) {
  ShareRow Row = evenShares(makeTerms(100, 7), Customer, Domains);
  Row.requestTransfer("d2", ShareAmount{{}, 3});
  const auto Back = parseShareRow(toJson(Row));
  BOOST_REQUIRE(Back);
  BOOST_CHECK(Back->Parts == Row.Parts);
  BOOST_CHECK(Back->TransferRequests == Row.TransferRequests);
}

// Guards against a part that no domain can use: its transfer had no effect, and
// the domain waited for a change of the row that nobody else makes.
BOOST_AUTO_TEST_CASE(transferThatHadNoEffectIsRepeated) {
  for (std::uint32_t Seed = 1; Seed <= 50; ++Seed) {
    Simulation Simulated;
    Simulated.Rows.UnknownEvery = 2;
    SimulatedDomain &Receiver = Simulated.SimulatedDomains["d1"];
    Receiver.Demand.Held.MilliCores = 2500;
    std::uint32_t Choice = Seed;
    for (int Step = 0; Step < 20000 && Receiver.Used.Held.MilliCores < 2500;
         ++Step) {
      Choice = Choice * 1664525 + 1013904223;
      Simulated.ControlLoop.step(Choice >> 8);
      Receiver.useShare();
    }
    BOOST_CHECK_MESSAGE(Receiver.Used.Held.MilliCores == 2500, "seed " << Seed);
  }
}
