// Grants between an owner and front doors over a network that loses, repeats
// and delays messages: no VM's slots and no customer's share is ever exceeded.

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
constexpr milliseconds Settle{8000};
constexpr int Slots = 8;
/// Below all slots in some histories, above them in others.
constexpr int Shares[] = {10, 40};
constexpr int Burst = 10;
constexpr int Doors = 3;
constexpr int Vms = 2;

struct FixedSeed {
  FixedSeed() {
    setenv("RC_PARAMS", "seed=20261204 max_success=3000 max_size=400", 0);
  }
};
BOOST_GLOBAL_FIXTURE(FixedSeed);

/// A front door that takes what it gets and holds it for a while.
struct Door {
  std::string Name;
  AdmissionController Book;
  TimePoint AskedAt{};
  std::int64_t AskedSeq = 0;
  std::deque<std::pair<Slot, TimePoint>> Held;
  std::uint64_t NextId = 1;

  Door(std::string Name, const Clock &Time)
      : Name(std::move(Name)), Book(Time) {}
};

struct Network {
  ManualClock Time;
  std::unique_ptr<GrantAllocator> Owner;
  std::vector<Door> Members;
  std::vector<GrantRequest> Requests;
  std::vector<std::pair<int, GrantReply>> Replies;
  std::string Violation;
  TimePoint TakenAt{};

  int Share;

  explicit Network(int Share) : Share(Share) {
    for (int Index = 0; Index < Doors; ++Index)
      Members.emplace_back(fmt::format("door{}", Index), Time);
    startOwner(false);
  }

  void startOwner(bool Inherited) {
    Owner = std::make_unique<GrantAllocator>(Time, GrantTimings{Lease, Settle},
                                             Inherited);
    std::vector<std::string> Names;
    for (const Door &Each : Members)
      Names.push_back(Each.Name);
    Owner->setDaemons(Names);
    for (int Index = 0; Index < Vms; ++Index)
      Owner->setVm(fmt::format("vm{}", Index), "s", Slots);
    Owner->setCustomer("c", Share);
    // A new owner doesn't get what was sent to the old one.
    Requests.clear();
    TakenAt = Time.now();
  }

  /// Once all earlier leases are over, the VMs tell what daemons that the owner
  /// has not heard of have in flight.
  void settleWhenDue() {
    if (Owner->recovered() || Time.now() - TakenAt <= Lease)
      return;
    const std::vector<std::string> Heard = Owner->holderIds();
    CountByName OnVms;
    CountByName OfCustomers;
    for (const Door &Each : Members) {
      if (std::count(Heard.begin(), Heard.end(), Each.Name + "/1") > 0)
        continue;
      for (const auto &[Held, Since] : Each.Held) {
        ++OnVms[Held.Vm];
        ++OfCustomers["c"];
      }
    }
    Owner->finishRecovery(OnVms, OfCustomers);
  }

  void play(std::uint32_t Word) {
    const std::uint32_t Rest = Word >> 4;
    Door &Chosen = Members[Rest % Doors];
    switch (Word % 16) {
    case 0:
    case 1:
    case 2: {
      GrantRequest Request;
      Request.From = Chosen.Name;
      Request.Incarnation = "1";
      Chosen.Book.fillRequest(Request);
      Chosen.AskedAt = Time.now();
      Chosen.AskedSeq = Request.Seq;
      Requests.push_back(Request);
      break;
    }
    case 3:
    case 4:
    case 5:
      // Any message may come next, and stay to come again.
      if (!Requests.empty()) {
        const GrantRequest Request = Requests[Rest % Requests.size()];
        if (Rest % 3 != 0)
          std::erase_if(Requests, [&](const GrantRequest &Each) {
            return Each.From == Request.From && Each.Seq == Request.Seq;
          });
        GrantReply Reply = Owner->handleRequest(Request).Reply;
        Reply.VmTableVersion = 1;
        Reply.Vms.emplace();
        for (int Index = 0; Index < Vms; ++Index)
          Reply.Vms->push_back({fmt::format("vm{}", Index), "s", "u"});
        if (Reply.Seq != 0)
          Replies.emplace_back(Request.From.back() - '0', Reply);
      }
      break;
    case 6:
    case 7:
    case 8:
      if (!Replies.empty()) {
        const auto [Index, Reply] = Replies[Rest % Replies.size()];
        Members[Index].Book.applyReply(Reply, Members[Index].AskedAt, Lease,
                                       MaxRequestTime);
      }
      break;
    case 9:
      Time.advance(milliseconds(Rest % 300));
      break;
    case 10:
      if (Rest % 8 < 2)
        startOwner(true);
      else if (Rest % 8 == 2)
        Time.advance(Settle);
      break;
    case 11:
      endHeld(Chosen);
      break;
    default:
      // More than there is, so that each cap is used up.
      for (int Count = 0; Count < Burst; ++Count)
        enqueue(Chosen);
    }
    // Requests end by themselves within their longest time.
    for (Door &Each : Members)
      while (!Each.Held.empty() &&
             Time.now() - Each.Held.front().second >= MaxRequestTime)
        endHeld(Each);
    settleWhenDue();
    for (Door &Each : Members) {
      Each.Book.dequeueExpired();
      for (const Slot &New : Each.Book.assignSlots())
        Each.Held.emplace_back(New, Time.now());
    }
    check();
  }

  void enqueue(Door &At) {
    SlotRequest Demand;
    Demand.Id = At.NextId++;
    Demand.Customer = "c";
    Demand.Service = "s";
    Demand.StartBy = Time.now() + milliseconds(500);
    (void)At.Book.enqueue(Demand);
  }

  void endHeld(Door &Of) {
    if (Of.Held.empty())
      return;
    Of.Book.releaseSlot(Of.Held.front().first, milliseconds(1));
    Of.Held.pop_front();
  }

  void check() {
    std::map<std::string, int> OnVm;
    int OfCustomer = 0;
    for (const Door &Each : Members)
      for (const auto &[Held, Since] : Each.Held) {
        ++OnVm[Held.Vm];
        ++OfCustomer;
      }
    for (const auto &[Vm, Count] : OnVm)
      if (Count > Slots)
        Violation = fmt::format("{} on {}", Count, Vm);
    if (OfCustomer > Share)
      Violation = fmt::format("{} of the customer", OfCustomer);
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(capsAreNeverExceeded) {
  std::size_t Started = 0;
  const bool Held =
      rc::check("caps are never exceeded",
                [&Started](const std::vector<std::uint32_t> &History) {
                  Network Net(Shares[History.size() % std::size(Shares)]);
                  for (const std::uint32_t Word : History) {
                    Net.play(Word);
                    for (const Door &Each : Net.Members)
                      Started += Each.Held.size();
                  }
                  RC_ASSERT(Net.Violation == std::string());
                });
  BOOST_CHECK(Held);
  BOOST_CHECK_GT(Started, 10000);
}

BOOST_AUTO_TEST_CASE(apportionGivesAllAndFavoursNoone) {
  BOOST_CHECK(apportion(8, {1, 1, 1}, 0) != apportion(8, {1, 1, 1}, 1));
  for (int Total = 0; Total < 20; ++Total) {
    int Sum = 0;
    for (const int Part : apportion(Total, {1, 0, 2.5}, 0))
      Sum += Part;
    BOOST_CHECK_EQUAL(Sum, Total);
  }
  BOOST_CHECK_EQUAL(apportion(5, {1, 0, 1}, 0)[1], 0);
}

BOOST_AUTO_TEST_CASE(silentDoorsSlotsComeBackAfterItsRequestsEnded) {
  ManualClock Time;
  GrantAllocator Owner(Time, GrantTimings{Lease, Settle}, false);
  Owner.setVm("vm0", "s", Slots);
  GrantRequest Request;
  Request.From = "door0";
  Request.Incarnation = "1";
  Request.Seq = 1;
  BOOST_CHECK_EQUAL(Owner.handleRequest(Request).Reply.VmCaps["vm0"], Slots);
  Time.advance(Settle - milliseconds(1));
  Request.From = "door1";
  BOOST_CHECK_EQUAL(Owner.handleRequest(Request).Reply.VmCaps["vm0"], 0);
  Time.advance(milliseconds(2));
  Request.Seq = 2;
  BOOST_CHECK_EQUAL(Owner.handleRequest(Request).Reply.VmCaps["vm0"], Slots);
}

BOOST_AUTO_TEST_CASE(idleHolderIsNudgedAndThenTheOneThatLacks) {
  ManualClock Time;
  GrantAllocator Owner(Time, GrantTimings{Lease, Settle}, false);
  Owner.setCustomer("c", 4);
  const auto Ask = [&](const char *From, std::int64_t Seq, int Cap,
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
  BOOST_CHECK_EQUAL(Ask("door0", 1, 0, 2).Reply.CustomerCaps["c"], 4);
  const GrantDecision Lacks = Ask("door1", 1, 0, 2);
  BOOST_CHECK_EQUAL(Lacks.Reply.CustomerCaps.count("c"), 0);
  BOOST_CHECK(Lacks.DaemonsToNotify == std::vector<std::string>{"door0"});
  BOOST_CHECK_EQUAL(Ask("door0", 2, 4, 0).Reply.CustomerCaps["c"], 1);
  BOOST_CHECK(Ask("door0", 3, 1, 0).DaemonsToNotify ==
              std::vector<std::string>{"door1"});
  BOOST_CHECK_EQUAL(Ask("door1", 2, 0, 2).Reply.CustomerCaps["c"], 3);
}

BOOST_AUTO_TEST_CASE(messagesSurviveTheWire) {
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
