#ifndef CUMINROAD_FAKES_FAKEVMS_H
#define CUMINROAD_FAKES_FAKEVMS_H

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cuminroad/fakes/FakeLoop.h"
#include "cuminroad/fleet/VmCalls.h"

namespace cuminroad {

/// The start or the end of a run on a VM.
struct RunEvent {
  TimePoint Time{};
  std::string Vm;
  TaskRun Run;
  bool IsStart = false;
  /// Meaningful for ends only.
  RunOutcome Outcome = RunOutcome::Done;
  /// Runs on the VM after the event, those that are being stopped included.
  int RunsOnVm = 0;
};

/// Simulated VMs that run tasks and enforce leases and fencing tokens. Several
/// daemons may call them, through a FakeVmCalls each.
class FakeVms {
public:
  explicit FakeVms(FakeLoop &ControlLoop) : ControlLoop_(ControlLoop) {}

  void add(const std::string &Id, std::int64_t Incarnation);
  /// Ends all runs on the VM and starts it again as a new incarnation without
  /// any state.
  void restart(const std::string &Id, std::int64_t Incarnation);
  /// Ends all runs on the VM. Nothing accepts connections there until it is
  /// started again.
  void crash(const std::string &Id);
  /// From now on the VM answers at \p Address, where another VM may have been,
  /// and answers nowhere else. VMs that were never given an address answer at
  /// any.
  void setAddress(const std::string &Id, const std::string &Address);
  /// Lets the VM's clock start at zero with each incarnation and advance at \p
  /// Rate. The clocks of other VMs show the time of the loop.
  void setClockRate(const std::string &Id, double Rate);
  /// \returns whether a process accepts connections at the target's address.
  bool acceptsConnections(const VmTarget &Vm) const;
  /// \returns the VM's own clock.
  milliseconds vmTime(const std::string &Id) const;
  /// \returns a number that differs for each incarnation of the VM.
  int lifeNumber(const std::string &Id) const;
  HoldAnswer hold(const VmTarget &Vm, const HoldOrder &Order);
  OrderAnswer start(const VmTarget &Vm, const StartOrder &Order);
  OrderAnswer stop(const VmTarget &Vm, const TaskRun &Run);

  /// Returns how long a run takes and how it ends; without it, every run ends
  /// as Done after 300 ms.
  std::function<std::pair<milliseconds, RunOutcome>(const TaskRun &)> PlanRun;
  /// Returns how long a run takes to stop; without it, runs stop at once.
  std::function<milliseconds(const TaskRun &)> PlanStop;
  /// Most ends in an answer.
  std::size_t MaxListedEnds = 500;
  std::vector<RunEvent> RunHistory;
  /// Tasks with the time of their end, if a daemon acknowledged this end as
  /// Done and the VM's lease did not expire between the end and the
  /// acknowledgement.
  std::vector<std::pair<TaskName, TimePoint>> AcknowledgedCompletions;
  /// The same for ends as Failed.
  std::vector<std::pair<TaskName, TimePoint>> AcknowledgedFailures;
  /// Calls that were refused for their fencing token.
  int FencedCalls = 0;

private:
  struct VmState {
    bool Up = true;
    std::int64_t Incarnation = 0;
    /// Identifies the incarnation within the test; timers of earlier ones do
    /// nothing.
    int Life = 0;
    TimePoint BootedAt{};
    std::int64_t HighestToken = 0;
    std::int64_t NextEndNumber = 1;
    milliseconds LeaseUntil{0};
    std::set<TaskRun> Running;
    /// For each task, the highest number of a run that was stopped or ended.
    std::map<TaskName, std::int64_t> HighestEndedRun;
    std::vector<TaskEnd> Ends;
    /// Time of each end, by its number; cleared when the lease expires.
    std::map<std::int64_t, TimePoint> EndTimes;
  };

  int progressPercent() const;
  /// Checks the VM's id and the fencing token.
  /// \returns null, with the outcome in \p Answer, if the call is refused.
  VmState *admitCall(const VmTarget &Vm, OrderAnswer &Answer);
  void recordEvent(const std::string &Id, const TaskRun &Run, bool IsStart,
                   RunOutcome Outcome);
  /// Ends the run after \p Delay, unless the VM has crashed by then.
  void scheduleEnd(const std::string &Id, const TaskRun &Run,
                   milliseconds Delay, RunOutcome Outcome);
  void endRun(const std::string &Id, const TaskRun &Run, RunOutcome Outcome);
  void extendLease(const std::string &Id, milliseconds Until);
  void expireLease(const std::string &Id);

  FakeLoop &ControlLoop_;
  std::map<std::string, VmState> Vms_;
  std::map<std::string, double> ClockRates_;
  /// The VM at each address.
  std::map<std::string, std::string> Addresses_;
  int Lives_ = 0;
};

/// How the network or the VM handles one call.
struct VmCallFault {
  enum FaultKind {
    None,
    /// The request is not delivered; the caller sees a timeout.
    RequestLost,
    /// The VM carries the order out; the caller sees a timeout.
    ResponseLost,
    /// The caller sees a timeout; the VM carries the order out after Delay.
    Delayed,
    /// The caller sees a timeout; the VM carries the order out at once, and
    /// again after Delay.
    Repeated,
    /// The VM carries the order out; its response takes Delay, and is lost if
    /// the caller has given up by then.
    SlowResponse,
  };
  FaultKind Kind = None;
  /// Used by Delayed, Repeated and SlowResponse only.
  milliseconds Delay{0};
};

/// One daemon's calls to FakeVms. The test injects faults and sets the latency.
class FakeVmCalls final : public VmCalls {
public:
  FakeVmCalls(FakeVms &Vms, FakeLoop &ControlLoop)
      : Vms_(Vms), ControlLoop_(ControlLoop) {}

  void start(const VmTarget &Vm, const StartOrder &Order, milliseconds Timeout,
             OrderDone Done) override;
  void stop(const VmTarget &Vm, const TaskRun &Run, milliseconds Timeout,
            OrderDone Done) override;
  void throttle(const VmTarget &Vm, const TaskRun &Run, int Percent,
                milliseconds Timeout, OrderDone Done) override;
  void hold(const VmTarget &Vm, const HoldOrder &Order, milliseconds Timeout,
            HoldDone Done) override;

  /// Returns the fault to inject into the next start, stop or hold of a VM;
  /// without it, all calls succeed.
  std::function<VmCallFault(const std::string &Vm)> NextFault;
  /// Of the request, and again of the answer.
  milliseconds Latency{4};
  /// A VM's new incarnation carries out late orders for the one before.
  bool LateOrdersSurviveRestarts = true;
  /// The VMs refuse starts and stops as Unhealthy and change nothing.
  bool RefuseStartsAndStops = false;
  /// The VMs refuse holds as Unhealthy and do not renew their leases.
  bool RefuseHolds = false;
  /// Starts get no answer and are carried out this much later. Their leases
  /// count from then on.
  std::optional<milliseconds> StartDelay;
  /// No stop is delivered.
  bool LoseStops = false;
  /// No change of a run's speed is delivered.
  bool LoseThrottles = false;
  int ThrottleCalls = 0;
  int StartCalls = 0;
  int HoldCalls = 0;
  /// Holds that asked for a new connection.
  int FreshConnectionHolds = 0;

private:
  /// Executes an order and answers it, subject to the injected fault.
  template <typename T>
  void send(const VmTarget &Vm, milliseconds Timeout,
            std::function<T()> Execute, std::function<void(Result<T>)> Done);

  FakeVms &Vms_;
  FakeLoop &ControlLoop_;
};

} // namespace cuminroad

#endif
