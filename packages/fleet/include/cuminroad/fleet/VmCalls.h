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

/// The VM that an order is meant for.
struct VmTarget {
  std::string Id;
  /// "address:port".
  std::string Address;
  /// A VM that has seen a higher token refuses the order.
  std::int64_t FencingToken = 0;
  /// Do not reuse an open connection, which may have gone silent.
  bool FreshConnection = false;
};

/// A start of a run.
struct StartOrder {
  TaskRun Run;
  std::string Spec;
  /// When the lease on all that the VM runs ends, by the VM's own clock.
  milliseconds LeaseUntil{0};
  std::string Checkpoint;
  std::string Ticket;
};

/// A renewal of the lease, which also asks what the VM runs.
struct HoldOrder {
  /// Zero does not extend the lease.
  milliseconds LeaseUntil{0};
  /// Ends up to this number are recorded and may be forgotten.
  std::int64_t AcknowledgedEnd = 0;
  /// How long the VM may wait for an end before it answers.
  milliseconds Wait{0};
};

/// How an order was answered.
enum class OrderOutcome {
  Done,
  /// The VM has seen a higher fencing token.
  Fenced,
  /// The run is not above one that was stopped or ended there.
  OldRun,
  /// The lease in the order had ended already.
  LeaseOver,
  NoRoom,
  TicketExpired,
  /// The VM is unhealthy and did nothing.
  Unhealthy,
  /// Another life of the VM, or another VM, has the address.
  OtherInstance,
  /// The order was not understood.
  Rejected,
};

std::string_view orderOutcomeName(OrderOutcome Outcome);

/// The answer to an order other than a hold.
struct OrderAnswer {
  OrderOutcome Outcome = OrderOutcome::Done;
  /// The VM's steady clock; absent in some refusals.
  std::optional<milliseconds> VmClock;
};

/// The answer to a hold.
struct HoldAnswer {
  OrderOutcome Outcome = OrderOutcome::Done;
  milliseconds VmClock{0};
  /// When the VM's present life began; 0 where it did not say.
  std::int64_t Incarnation = 0;
  std::vector<RunningTask> Running;
  std::vector<TaskEnd> Ends;
};

/// Orders to VMs. Results come on the loop's thread. A failure means that it is
/// unknown whether the order was carried out, or will be; ConnectFailed means
/// that it was not sent.
class VmCalls {
public:
  using OrderDone = std::function<void(Result<OrderAnswer>)>;
  using HoldDone = std::function<void(Result<HoldAnswer>)>;

  virtual ~VmCalls() = default;
  virtual void start(const VmTarget &Vm, const StartOrder &Order,
                     milliseconds Timeout, OrderDone Done) = 0;
  virtual void stop(const VmTarget &Vm, const TaskRun &Run,
                    milliseconds Timeout, OrderDone Done) = 0;
  virtual void pace(const VmTarget &Vm, const TaskRun &Run, int Percent,
                    milliseconds Timeout, OrderDone Done) = 0;
  virtual void hold(const VmTarget &Vm, const HoldOrder &Order,
                    milliseconds Timeout, HoldDone Done) = 0;
};

} // namespace cuminroad

#endif
