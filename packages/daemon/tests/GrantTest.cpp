// Guards against more requests in flight than a VM has slots or a customer's
// share allows. This could come about when messages between the owner and the
// frontends are lost, repeated or delayed, or when the owner changes.

#include <algorithm>
#include <cstdlib>
#include <deque>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "cuminroad/base/ManualClock.h"
#include "cuminroad/daemon/AdmissionController.h"
#include "cuminroad/daemon/GrantAllocator.h"

using namespace cuminroad;

namespace {

constexpr milliseconds Lease{4000};
constexpr milliseconds MaxRequestTime{2000};
constexpr milliseconds RequestDrainTime{8000};
constexpr int SlotsPerVm = 8;
/// The first is below the number of all slots, the second above it.
constexpr int CustomerShares[] = {10, 40};
/// Requests queued at once; more than a VM has slots.
constexpr int BurstSize = 10;
constexpr int FrontendCount = 3;
constexpr int VmCount = 2;

struct FixedSeed {
  FixedSeed() {
    setenv("RC_PARAMS", "seed=20261204 max_success=3000 max_size=400", 0);
  }
};
BOOST_GLOBAL_FIXTURE(FixedSeed);

/// A frontend that uses all slots assigned to it for a while.
struct Frontend {
  std::string Name;
  AdmissionController Controller;
  TimePoint RequestedAt{};
  std::int64_t RequestedSeq = 0;
  std::deque<std::pair<Slot, TimePoint>> HeldSlots;
  std::uint64_t NextId = 1;

  Frontend(std::string Name, const Clock &TestClock)
      : Name(std::move(Name)), Controller(TestClock) {}
};

struct Simulation {
  ManualClock TestClock;
  std::unique_ptr<GrantAllocator> Owner;
  std::vector<Frontend> Frontends;
  /// Messages on the network.
  std::vector<GrantRequest> Requests;
  std::vector<std::pair<int, GrantReply>> Replies;
  /// Describes a limit that was exceeded; empty if there is none.
  std::string Violation;
  TimePoint OwnedSince{};

  int Share;

  explicit Simulation(int Share) : Share(Share) {
    for (int Index = 0; Index < FrontendCount; ++Index)
      Frontends.emplace_back(fmt::format("door{}", Index), TestClock);
    startOwner(false);
  }

  void startOwner(bool Inherited) {
    Owner = std::make_unique<GrantAllocator>(
        TestClock, GrantTimings{Lease, RequestDrainTime}, Inherited);
    std::vector<std::string> Names;
    for (const Frontend &Each : Frontends)
      Names.push_back(Each.Name);
    Owner->setDaemons(Names);
    for (int Index = 0; Index < VmCount; ++Index)
      Owner->setVm(fmt::format("vm{}", Index), "s", SlotsPerVm);
    Owner->setCustomer("c", Share);
    // A new owner doesn't receive messages sent to the previous one.
    Requests.clear();
    OwnedSince = TestClock.now();
  }

  /// When the leases of all earlier grants have lapsed, the VMs report their
  /// requests in flight from daemons that are unknown to the owner.
  void finishRecoveryWhenDue() {
    if (Owner->recovered() || TestClock.now() - OwnedSince <= Lease)
      return;
    const std::vector<std::string> KnownHolders = Owner->holderIds();
    CountByName OnVms;
    CountByName OfCustomers;
    for (const Frontend &Each : Frontends) {
      if (std::count(KnownHolders.begin(), KnownHolders.end(),
                     Each.Name + "/1") > 0)
        continue;
      for (const auto &[Held, Since] : Each.HeldSlots) {
        ++OnVms[Held.Vm];
        ++OfCustomers["c"];
      }
    }
    Owner->finishRecovery(OnVms, OfCustomers);
  }

  void applyRandomEvent(std::uint32_t RandomBits) {
    const std::uint32_t Argument = RandomBits >> 4;
    Frontend &Chosen = Frontends[Argument % FrontendCount];
    switch (RandomBits % 16) {
    case 0:
    case 1:
    case 2: {
      GrantRequest Request;
      Request.From = Chosen.Name;
      Request.Incarnation = "1";
      Chosen.Controller.fillRequest(Request);
      Chosen.RequestedAt = TestClock.now();
      Chosen.RequestedSeq = Request.Seq;
      Requests.push_back(Request);
      break;
    }
    case 3:
    case 4:
    case 5:
      // Any message may be delivered next, and may be delivered again later.
      if (!Requests.empty()) {
        const GrantRequest Request = Requests[Argument % Requests.size()];
        if (Argument % 3 != 0)
          std::erase_if(Requests, [&](const GrantRequest &Each) {
            return Each.From == Request.From && Each.Seq == Request.Seq;
          });
        GrantReply Reply = Owner->handleRequest(Request).Reply;
        Reply.VmTableVersion = 1;
        Reply.Vms.emplace();
        for (int Index = 0; Index < VmCount; ++Index)
          Reply.Vms->push_back({fmt::format("vm{}", Index), "s", "u"});
        if (Reply.Seq != 0)
          Replies.emplace_back(Request.From.back() - '0', Reply);
      }
      break;
    case 6:
    case 7:
    case 8:
      if (!Replies.empty()) {
        const auto [Index, Reply] = Replies[Argument % Replies.size()];
        Frontends[Index].Controller.applyReply(
            Reply, Frontends[Index].RequestedAt, Lease, MaxRequestTime);
      }
      break;
    case 9:
      TestClock.advance(milliseconds(Argument % 300));
      break;
    case 10:
      if (Argument % 8 < 2)
        startOwner(true);
      else if (Argument % 8 == 2)
        TestClock.advance(RequestDrainTime);
      break;
    case 11:
      endOldestRequest(Chosen);
      break;
    default:
      // More requests than slots, so that each cap is used up.
      for (int Count = 0; Count < BurstSize; ++Count)
        enqueue(Chosen);
    }
    // Requests end by themselves after MaxRequestTime.
    for (Frontend &Each : Frontends)
      while (!Each.HeldSlots.empty() &&
             TestClock.now() - Each.HeldSlots.front().second >= MaxRequestTime)
        endOldestRequest(Each);
    finishRecoveryWhenDue();
    for (Frontend &Each : Frontends) {
      Each.Controller.dequeueExpired();
      for (const Slot &Assigned : Each.Controller.assignSlots())
        Each.HeldSlots.emplace_back(Assigned, TestClock.now());
    }
    check();
  }

  void enqueue(Frontend &Target) {
    SlotRequest Request;
    Request.Id = Target.NextId++;
    Request.Customer = "c";
    Request.Service = "s";
    Request.StartBy = TestClock.now() + milliseconds(500);
    (void)Target.Controller.enqueue(Request);
  }

  void endOldestRequest(Frontend &Target) {
    if (Target.HeldSlots.empty())
      return;
    Target.Controller.releaseSlot(Target.HeldSlots.front().first,
                                  milliseconds(1));
    Target.HeldSlots.pop_front();
  }

  void check() {
    std::map<std::string, int> OnVm;
    int OfCustomer = 0;
    for (const Frontend &Each : Frontends)
      for (const auto &[Held, Since] : Each.HeldSlots) {
        ++OnVm[Held.Vm];
        ++OfCustomer;
      }
    for (const auto &[Vm, Count] : OnVm)
      if (Count > SlotsPerVm)
        Violation = fmt::format("{} requests in flight on {}", Count, Vm);
    if (OfCustomer > Share)
      Violation =
          fmt::format("{} requests of the customer in flight", OfCustomer);
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(capsAreNeverExceeded) {
  std::size_t StartedCount = 0;
  const bool Passed = rc::check(
      "caps are never exceeded",
      [&StartedCount](const std::vector<std::uint32_t> &Events) {
        Simulation Simulated(
            CustomerShares[Events.size() % std::size(CustomerShares)]);
        for (const std::uint32_t RandomBits : Events) {
          Simulated.applyRandomEvent(RandomBits);
          for (const Frontend &Each : Simulated.Frontends)
            StartedCount += Each.HeldSlots.size();
        }
        RC_ASSERT(Simulated.Violation == std::string());
      });
  BOOST_CHECK(Passed);
  BOOST_CHECK_GT(StartedCount, 10000);
}

BOOST_AUTO_TEST_CASE(apportionAssignsTheTotalAndRotatesTies) {
  BOOST_CHECK(apportion(8, {1, 1, 1}, 0) != apportion(8, {1, 1, 1}, 1));
  for (int Total = 0; Total < 20; ++Total) {
    int Sum = 0;
    for (const int Part : apportion(Total, {1, 0, 2.5}, 0))
      Sum += Part;
    BOOST_CHECK_EQUAL(Sum, Total);
  }
  BOOST_CHECK_EQUAL(apportion(5, {1, 0, 1}, 0)[1], 0);
}

BOOST_AUTO_TEST_CASE(slotsOfSilentFrontendAreGrantedAgainAfterItsRequestsEnd) {
  ManualClock TestClock;
  GrantAllocator Owner(TestClock, GrantTimings{Lease, RequestDrainTime}, false);
  Owner.setVm("vm0", "s", SlotsPerVm);
  GrantRequest Request;
  Request.From = "door0";
  Request.Incarnation = "1";
  Request.Seq = 1;
  BOOST_CHECK_EQUAL(Owner.handleRequest(Request).Reply.VmCaps["vm0"],
                    SlotsPerVm);
  TestClock.advance(RequestDrainTime - milliseconds(1));
  Request.From = "door1";
  BOOST_CHECK_EQUAL(Owner.handleRequest(Request).Reply.VmCaps["vm0"], 0);
  TestClock.advance(milliseconds(2));
  Request.Seq = 2;
  BOOST_CHECK_EQUAL(Owner.handleRequest(Request).Reply.VmCaps["vm0"],
                    SlotsPerVm);
}

BOOST_AUTO_TEST_CASE(idleHolderIsNotifiedAndThenTheHolderBelowTarget) {
  ManualClock TestClock;
  GrantAllocator Owner(TestClock, GrantTimings{Lease, RequestDrainTime}, false);
  Owner.setCustomer("c", 4);
  const auto SendRequest = [&](const char *From, std::int64_t Seq, int Cap,
                               int Demand) {
    GrantRequest Request;
    Request.From = From;
    Request.Incarnation = "1";
    Request.Seq = Seq;
    if (Cap > 0)
      Request.CustomerCaps = {{"c", Cap}};
    Request.CustomerDemand = {{"c", Demand}};
    return Owner.handleRequest(Request);
  };
  BOOST_CHECK_EQUAL(SendRequest("door0", 1, 0, 2).Reply.CustomerCaps["c"], 4);
  const GrantDecision BelowTarget = SendRequest("door1", 1, 0, 2);
  BOOST_CHECK_EQUAL(BelowTarget.Reply.CustomerCaps.count("c"), 0);
  BOOST_CHECK(BelowTarget.DaemonsToNotify == std::vector<std::string>{"door0"});
  BOOST_CHECK_EQUAL(SendRequest("door0", 2, 4, 0).Reply.CustomerCaps["c"], 1);
  BOOST_CHECK(SendRequest("door0", 3, 1, 0).DaemonsToNotify ==
              std::vector<std::string>{"door1"});
  BOOST_CHECK_EQUAL(SendRequest("door1", 2, 0, 2).Reply.CustomerCaps["c"], 3);
}

BOOST_AUTO_TEST_CASE(messagesRoundTripThroughMessagePack) {
  GrantReply Reply;
  Reply.Owner = "d1-a";
  Reply.Epoch = 3;
  Reply.VmCaps = {{"vm0", 4}};
  Reply.Vms = std::vector<GrantVm>{{"vm0", "s", "http://x"}};
  const auto Back = decodePeerMessage(encode(Reply));
  BOOST_REQUIRE(Back);
  BOOST_CHECK_EQUAL(std::get<GrantReply>(*Back).Vms->front().Url, "http://x");
  BOOST_CHECK(!decodePeerMessage("garbage"));
  BOOST_CHECK(!decodePeerMessage(""));
}
