#ifndef CUMINROAD_FLEET_VMCALLS_H
#define CUMINROAD_FLEET_VMCALLS_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/base/Error.h"
#include "cuminroad/pool/PoolVm.h"

namespace cuminroad {

/// The VM that an order is addressed to.
struct VmTarget {
  std::string Id;
  /// "address:port" of the VM.
  std::string Address;
  /// A VM that has received a higher token refuses the order.
  std::int64_t FencingToken = 0;
  /// Opens a new connection, since the open one may be dead.
  bool FreshConnection = false;
};

/// An order to start a run.
struct StartOrder {
  TaskRun Run;
  std::string Spec;
  /// End of the lease on everything that the VM runs, by the VM's own clock.
  milliseconds LeaseUntil{0};
  std::string Checkpoint;
  std::string Ticket;
};

/// An order that renews the VM's lease and asks for its running tasks.
struct HoldOrder {
  /// End of the lease by the VM's own clock; zero does not extend it.
  milliseconds LeaseUntil{0};
  /// Ends up to this number are durable; the VM may forget them.
  std::int64_t AcknowledgedEnd = 0;
  /// How long the VM may delay its answer while no task ends (long poll).
  milliseconds Wait{0};
};

/// How a VM answered an order.
enum class OrderOutcome {
  Done,
  /// The VM has received a higher fencing token.
  Fenced,
  /// The VM has already stopped or ended this run, or a later one of the task.
  OldRun,
  /// The lease in the order had already expired.
  LeaseOver,
  NoRoom,
  TicketExpired,
  /// The VM is unhealthy and did not carry out the order.
  Unhealthy,
  /// The address belongs to another VM, or to another incarnation of this one.
  OtherInstance,
  /// The VM could not interpret the order.
  Rejected,
};

std::string_view orderOutcomeName(OrderOutcome Outcome);

/// The answer to an order other than a hold.
struct OrderAnswer {
  OrderOutcome Outcome = OrderOutcome::Done;
  /// The VM's monotonic clock; absent in some refusals.
  std::optional<milliseconds> VmClock;
};

/// The answer to a hold.
struct HoldAnswer {
  OrderOutcome Outcome = OrderOutcome::Done;
  milliseconds VmClock{0};
  /// When the VM's current incarnation began, as the VM reports it; 0 if it did
  /// not.
  std::int64_t Incarnation = 0;
  std::vector<RunningTask> Running;
  /// In the order of their numbers.
  std::vector<TaskEnd> Ends;
  EndList ListedEnds = EndList::Partial;

  RunReport report() const { return {Running, ListedEnds}; }
};

/// Sends orders to VMs. Results arrive on the loop's thread. After a failure it
/// is unknown whether the order was or will be carried out, except for
/// errors for which isNotSent() holds. ConnectFailed also means that no process
/// accepts connections at the VM's address.
class VmCalls {
public:
  using OrderDone = std::function<void(Result<OrderAnswer>)>;
  using HoldDone = std::function<void(Result<HoldAnswer>)>;

  virtual ~VmCalls() = default;
  virtual void start(const VmTarget &Vm, const StartOrder &Order,
                     milliseconds Timeout, OrderDone Done) = 0;
  virtual void stop(const VmTarget &Vm, const TaskRun &Run,
                    milliseconds Timeout, OrderDone Done) = 0;
  virtual void throttle(const VmTarget &Vm, const TaskRun &Run, int Percent,
                        milliseconds Timeout, OrderDone Done) = 0;
  virtual void hold(const VmTarget &Vm, const HoldOrder &Order,
                    milliseconds Timeout, HoldDone Done) = 0;
};

} // namespace cuminroad

#endif
