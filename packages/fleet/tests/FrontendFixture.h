#ifndef CUMINROAD_FLEET_TESTS_FRONTENDFIXTURE_H
#define CUMINROAD_FLEET_TESTS_FRONTENDFIXTURE_H

#include <optional>
#include <string>

#include "PoolTestSupport.h"
#include "cuminroad/fleet/JobFrontend.h"

namespace cuminroad {

inline constexpr milliseconds CallerTimeout{3000};

/// Knows one owner of all pools, or none.
class StubOwnerLookup final : public OwnerLookup {
public:
  const OwnerRow *ownerOf(std::string_view) const override {
    return Known ? &Row : nullptr;
  }
  std::optional<std::vector<std::string>> pools() const override {
    return std::vector{std::string(TestService)};
  }
  bool Known = false;
  OwnerRow Row{};
};

/// A daemon's frontend, without ports and peers.
struct FrontendFixture {
  FrontendFixture()
      : Vms(ControlLoop), Store(Rows, ControlLoop), Calls(Vms, ControlLoop),
        Events("a", 100, nullptr), Peers(Http), Advisor(ControlLoop),
        Directory(Formats, Events), Context(makeContext(Peers)),
        Frontend(Context, Pools, Owners) {
    Queue.Name = "q";
    Queue.Service = TestService;
    // The store has answered a call before the test begins.
    ControlLoop.runFor(milliseconds(1000));
  }

  FleetContext makeContext(PeerCalls &PeersToCall) {
    return FleetContext{Settings,    Self,   ControlLoop.MonotonicClock,
                        SystemClock, Events, ControlLoop,
                        Store,       Calls,  Advisor,
                        PeersToCall, Queues, Directory,
                        Metrics};
  }
  void submit(const std::string &Id, std::size_t SpecBytes = 0) {
    JobPlan Plan;
    Plan.Id = Id;
    Plan.Spec = std::string(SpecBytes, 's');
    StepPlan Step;
    Step.Tasks = 1;
    Step.PerTask = TestTaskSize;
    Plan.Steps.push_back(Step);
    const TimePoint SubmittedAt = ControlLoop.MonotonicClock.now();
    Frontend.submit(Queue, Plan, Client, CallerTimeout,
                    [this, Id, SubmittedAt](SubmitReply Reply) {
                      ++Replies;
                      LastReply = Reply;
                      ReplyTime = std::chrono::duration_cast<milliseconds>(
                          ControlLoop.MonotonicClock.now() - SubmittedAt);
                    });
  }
  bool isWritten(const std::string &Id) const {
    return Rows.find(requestRow(Id)) != nullptr;
  }
  std::optional<bool> cancel(const std::string &Id) {
    std::optional<bool> Out;
    Frontend.cancel(Id, Client, CallerTimeout,
                    [&Out](QueryResult<bool> Answer) { Out = Answer.Value; });
    ControlLoop.runFor(2 * CallerTimeout);
    return Out;
  }
  std::optional<std::optional<JobStage>> stage(const std::string &Id) {
    std::optional<std::optional<JobStage>> Out;
    Frontend.status(Queue, Id, Client, CallerTimeout,
                    [&Out](QueryResult<std::optional<JobStatus>> Answer) {
                      if (Answer.Value && *Answer.Value)
                        Out = std::optional((*Answer.Value)->Stage);
                      else if (Answer.Value)
                        Out.emplace();
                    });
    ControlLoop.runFor(2 * CallerTimeout);
    return Out;
  }
  void setStoreFate(StoreFault Fate) {
    Store.NextFault = [Fate] { return Fate; };
  }

  FakeLoop ControlLoop;
  FakeRows Rows;
  FakeVms Vms;
  FakeRowStore Store;
  FakeVmCalls Calls;
  DaemonIdentity Self;
  FleetSettings Settings;
  EventLog Events;
  SystemWallClock SystemClock;
  FailingHttpClient Http;
  PeerCalls Peers;
  AllowAllAdvisor Advisor;
  TestFormats Formats;
  QueueRegistry Queues;
  VmDirectory Directory;
  FleetMetrics Metrics;
  FleetContext Context;
  NoOwnedPools Pools;
  StubOwnerLookup Owners;
  JobFrontend Frontend;
  QueueTerms Queue;
  /// Makes the requests.
  Caller Client;
  int Replies = 0;
  SubmitReply LastReply;
  milliseconds ReplyTime{0};
};

} // namespace cuminroad

#endif
