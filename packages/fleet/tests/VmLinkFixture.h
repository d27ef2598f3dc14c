#ifndef CUMINROAD_FLEET_TESTS_VMLINKFIXTURE_H
#define CUMINROAD_FLEET_TESTS_VMLINKFIXTURE_H

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cuminroad/fakes/FakeVms.h"
#include "cuminroad/fleet/FencingTokens.h"
#include "cuminroad/fleet/VmLink.h"

namespace cuminroad {

inline const TaskRun LinkRun{{{"j", 0, 0}, 0}, 1};

/// A link to one VM; records the events of the link.
struct VmLinkFixture : VmLinkListener {
  VmLinkFixture() : Vms(ControlLoop), Calls(Vms, ControlLoop) {
    Vms.add("a", 1);
  }

  void connect(milliseconds Inherited = {}) {
    VmEntry Entry;
    Entry.Vm.Id = "a";
    Entry.Vm.Incarnation = 1;
    Entry.Address = "a:1";
    Entry.Clock = EntryClock;
    VmLink::Options Options;
    Options.InheritedLeasesUntil = ControlLoop.MonotonicClock.now() + Inherited;
    Link = std::make_shared<VmLink>(Entry, Options, Tokens, Calls, ControlLoop,
                                    ControlLoop.MonotonicClock, *this);
    Link->start();
  }
  ~VmLinkFixture() override {
    if (Link)
      Link->close();
  }

  void onReport(VmLink &, const HoldAnswer &Answer, TimePoint) override {
    ++Reports;
    LastAnswer = Answer;
    for (const TaskEnd &End : Answer.Ends)
      EndedRuns.insert(End.Run);
    for (const TaskEnd &End : Answer.Ends)
      ControlLoop.after(RecordingDelay, [this, Incarnation = Answer.Incarnation,
                                         Number = End.Number] {
        Link->acknowledge(Incarnation, Number);
      });
  }
  void onNoAnswer(VmLink &) override {}
  void onUnreachable(VmLink &, std::string_view, int Attempts) override {
    UnreachableAttempts.push_back(Attempts);
  }
  void onReachable(VmLink &) override { ++ReachableReports; }
  void onLeaseExpired(VmLink &, RunsEndedCause Cause) override {
    LastCause = Cause;
    LeaseExpiredAt = ControlLoop.MonotonicClock.now();
  }
  void onFenced(VmLink &) override { Fenced = true; }
  void onTokenRaised(VmLink &Vm, std::string_view Reason) override {
    RaisedTokens.emplace_back(Vm.fencingToken(), Reason);
  }
  void onOrderVoided(VmLink &, std::string_view Order, const TaskRun *Run,
                     std::int64_t FencingToken) override {
    VoidedOrders.push_back(
        VoidedOrder{std::string(Order), Run != nullptr, FencingToken});
  }
  void onStartAnswered(VmLink &, const TaskRun &, StartOutcome Outcome,
                       std::string_view) override {
    Outcomes.push_back(Outcome);
  }
  void onStartTried(milliseconds, bool Answered) override {
    UnansweredTries += !Answered;
    AnsweredTries += Answered;
  }
  void onStopAnswered(VmLink &, const TaskRun &) override { ++Stopped; }
  bool isWanted(const VmLink &, const TaskRun &) const override { return true; }
  std::optional<milliseconds> capacityAge(const VmLink &Vm) const override {
    return Vm.hasEntryClock() ? Vm.entryAge() : milliseconds(0);
  }
  TimePoint leaseLimit() const override { return TimePoint::max(); }
  milliseconds idleHoldInterval() const override { return IdleInterval; }

  milliseconds vmTime() const {
    return std::chrono::duration_cast<milliseconds>(
        ControlLoop.MonotonicClock.now().time_since_epoch());
  }

  FakeLoop ControlLoop;
  milliseconds IdleInterval{0};
  /// The clock in the VM's entry.
  std::optional<milliseconds> EntryClock;
  /// Delay after which an end is acknowledged as durable.
  milliseconds RecordingDelay{0};
  FakeVms Vms;
  FakeVmCalls Calls;
  FencingTokens Tokens{1};
  std::shared_ptr<VmLink> Link;
  int Reports = 0;
  int Stopped = 0;
  /// Tries of starts that got an answer, and that got none.
  int AnsweredTries = 0;
  int UnansweredTries = 0;
  HoldAnswer LastAnswer;
  /// The runs whose end the VM reported.
  std::set<TaskRun> EndedRuns;
  std::vector<int> UnreachableAttempts;
  int ReachableReports = 0;
  bool Fenced = false;
  /// The tokens to which the link has raised its own, with the reasons.
  std::vector<std::pair<std::int64_t, std::string>> RaisedTokens;
  struct VoidedOrder {
    std::string Order;
    bool HasRun = false;
    std::int64_t FencingToken = 0;
  };
  std::vector<VoidedOrder> VoidedOrders;
  std::optional<TimePoint> LeaseExpiredAt;
  RunsEndedCause LastCause = RunsEndedCause::LeaseExpired;
  std::vector<StartOutcome> Outcomes;
};

inline StartRun startOf(const std::string &Ticket = "",
                        TimePoint Until = TimePoint::max()) {
  return StartRun{"a", LinkRun, "", Ticket, Until};
}

} // namespace cuminroad

#endif
