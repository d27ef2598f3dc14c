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
  TimePoint Time{};
  std::string Vm;
  TaskRun Run;
  bool IsStart = false;
  RunOutcome Outcome = RunOutcome::Done;
};

/// VMs that run tasks, with leases and fencing tokens, for several callers.
class FakeVms {
public:
  explicit FakeVms(FakeLoop &ControlLoop) : ControlLoop_(ControlLoop) {}

  void add(const std::string &Id, std::int64_t Incarnation);
  /// Ends everything on the VM, which then lives again and remembers nothing.
  void restart(const std::string &Id, std::int64_t Incarnation);
  HoldAnswer hold(const VmTarget &Vm, const HoldOrder &Order);
  OrderAnswer start(const VmTarget &Vm, const StartOrder &Order);
  OrderAnswer stop(const VmTarget &Vm, const TaskRun &Run);

  /// How a run goes; by default it is done after 300 ms.
  std::function<std::pair<milliseconds, RunOutcome>(const TaskRun &)> PlanRun;
  std::vector<RunEvent> RunHistory;
  /// Tasks whose end as done was acknowledged without a lapse of the VM's lease
  /// since that end.
  std::vector<std::pair<TaskName, TimePoint>> AcknowledgedCompletions;

private:
  struct VmState {
    std::int64_t Incarnation = 0;
    std::int64_t HighestToken = 0;
    std::int64_t NextEndNumber = 1;
    milliseconds LeaseUntil{0};
    std::map<TaskRun, TimePoint> Running;
    /// The highest run of each task that was stopped or ended.
    std::map<TaskName, std::int64_t> HighestEndedRun;
    std::vector<TaskEnd> Ends;
    /// When each of them happened; nothing after the lease lapsed.
    std::map<std::int64_t, TimePoint> EndTimes;
  };

  milliseconds vmTime() const;
  int progressPercent() const;
  VmState *admitCall(const VmTarget &Vm, OrderAnswer &Answer);
  void endRun(const std::string &Id, const TaskRun &Run, RunOutcome Outcome);
  void expireLease(const std::string &Id);

  FakeLoop &ControlLoop_;
  std::map<std::string, VmState> Vms_;
};

/// What becomes of an order.
struct VmCallFault {
  enum FaultKind {
    None,
    /// Not delivered, and the caller can't know.
    RequestLost,
    /// Carried out; the answer is lost.
    ResponseLost,
    /// Carried out later; the caller has given up.
    Delayed,
  };
  FaultKind Kind = None;
  milliseconds Delay{0};
};

/// One daemon's calls to FakeVms; fails as the test says.
class FakeVmCalls final : public VmCalls {
public:
  FakeVmCalls(FakeVms &Vms, FakeLoop &ControlLoop)
      : Vms_(Vms), ControlLoop_(ControlLoop) {}

  void start(const VmTarget &Vm, const StartOrder &Order, milliseconds Timeout,
             OrderDone Done) override;
  void stop(const VmTarget &Vm, const TaskRun &Run, milliseconds Timeout,
            OrderDone Done) override;
  void pace(const VmTarget &Vm, const TaskRun &Run, int Percent,
            milliseconds Timeout, OrderDone Done) override;
  void hold(const VmTarget &Vm, const HoldOrder &Order, milliseconds Timeout,
            HoldDone Done) override;

  std::function<VmCallFault(const std::string &Vm)> NextFault;
  milliseconds Latency{4};
  /// Starts and stops that arrive are refused with nothing done; holds work.
  bool RefuseStartsAndStops = false;
  /// So are holds.
  bool RefuseHolds = false;
  int StartCalls = 0;
  int HoldCalls = 0;
  /// Holds that asked for a connection of their own.
  int FreshConnectionHolds = 0;

private:
  /// Carries \p Do out, now or late, and answers as the fate says.
  template <typename T>
  void send(const std::string &Vm, milliseconds Timeout,
            std::function<T()> Execute, std::function<void(Result<T>)> Done);

  FakeVms &Vms_;
  FakeLoop &ControlLoop_;
};

} // namespace cuminroad

#endif
