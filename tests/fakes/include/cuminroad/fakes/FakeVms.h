#ifndef CUMINROAD_FAKES_FAKEVMS_H
#define CUMINROAD_FAKES_FAKEVMS_H

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cuminroad/fakes/FakeLoop.h"
#include "cuminroad/fleet/VmCalls.h"

namespace cuminroad {

/// A start or an end that happened on a VM.
struct RunEvent {
  TimePoint At{};
  std::string Vm;
  TaskRun Run;
  bool Start = false;
  RunOutcome How = RunOutcome::Done;
};

/// VMs that run tasks, with leases and fencing tokens, for several callers.
class FakeVms {
public:
  explicit FakeVms(FakeLoop &Home) : Home_(Home) {}

  void add(const std::string &Id, std::int64_t Born);
  /// Ends everything on the VM, which then lives again and remembers nothing.
  void restart(const std::string &Id, std::int64_t Born);
  HoldAnswer hold(const VmTarget &Vm, const HoldOrder &Order);
  OrderAnswer start(const VmTarget &Vm, const StartOrder &Order);
  OrderAnswer stop(const VmTarget &Vm, const TaskRun &Run);

  /// How a run goes; by default it is done after 300 ms.
  std::function<std::pair<milliseconds, RunOutcome>(const TaskRun &)> Plan;
  std::vector<RunEvent> History;
  /// Tasks whose end as done was acknowledged without a lapse of the VM's lease
  /// since that end.
  std::vector<std::pair<TaskName, TimePoint>> AcknowledgedDone;

private:
  struct VmState {
    std::int64_t Born = 0;
    std::int64_t HighestToken = 0;
    std::int64_t NextEnd = 1;
    milliseconds LeaseUntil{0};
    std::map<TaskRun, TimePoint> Running;
    /// The highest run of each task that was stopped or ended.
    std::map<TaskName, std::int64_t> Ended;
    std::vector<TaskEnd> Ends;
    /// When each of them happened; nothing after the lease lapsed.
    std::map<std::int64_t, TimePoint> EndedAt;
  };

  milliseconds clock() const;
  int percentNow() const;
  VmState *reach(const VmTarget &Vm, OrderAnswer &Answer);
  void end(const std::string &Id, const TaskRun &Run, RunOutcome How);
  void lapse(const std::string &Id);

  FakeLoop &Home_;
  std::map<std::string, VmState> Vms_;
};

/// What becomes of an order.
struct OrderFate {
  enum Kind {
    Answered,
    /// Not delivered, and the caller can't know.
    Lost,
    /// Carried out; the answer is lost.
    AnswerLost,
    /// Carried out later; the caller has given up.
    Late,
  };
  Kind What = Answered;
  milliseconds Delay{0};
};

/// One daemon's calls to FakeVms; fails as the test says.
class FakeVmCalls final : public VmCalls {
public:
  FakeVmCalls(FakeVms &Vms, FakeLoop &Home) : Vms_(Vms), Home_(Home) {}

  void start(const VmTarget &Vm, const StartOrder &Order, milliseconds Timeout,
             OrderDone Done) override;
  void stop(const VmTarget &Vm, const TaskRun &Run, milliseconds Timeout,
            OrderDone Done) override;
  void throttle(const VmTarget &Vm, const TaskRun &Run, int Percent,
                milliseconds Timeout, OrderDone Done) override;
  void hold(const VmTarget &Vm, const HoldOrder &Order, milliseconds Timeout,
            HoldDone Done) override;

  std::function<OrderFate(const std::string &Vm)> Decide;
  milliseconds Latency{4};
  /// Starts and stops that arrive are refused with nothing done; holds work.
  bool Unhealthy = false;
  /// So are holds.
  bool HoldsUnhealthy = false;
  int Starts = 0;
  int Holds = 0;
  /// Holds that asked for a connection of their own.
  int FreshHolds = 0;

private:
  /// Carries \p Do out, now or late, and answers as the fate says.
  template <typename T>
  void send(const std::string &Vm, milliseconds Timeout, std::function<T()> Do,
            std::function<void(Result<T>)> Done);

  FakeVms &Vms_;
  FakeLoop &Home_;
};

} // namespace cuminroad

#endif
