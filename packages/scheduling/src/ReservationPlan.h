#ifndef CUMINROAD_SCHEDULING_SRC_RESERVATIONPLAN_H
#define CUMINROAD_SCHEDULING_SRC_RESERVATIONPLAN_H

#include <optional>
#include <span>
#include <vector>

#include "CustomerState.h"
#include "JobState.h"
#include "VmState.h"

namespace cuminroad {

/// The VMs on which a blocked job can start soonest, and when.
struct ReservationPlan {
  std::vector<int> Vms;
  TimePoint StartTime{};
};

/// Plans from the expected ends of running tasks: declared run times, corrected
/// by what the customer's earlier tasks really took.
/// \returns nothing where even the end of all tasks with a known run time
/// would not make room.
std::optional<ReservationPlan>
planReservation(const JobState &Job, TimePoint Now,
                std::span<const VmState> Vms, std::span<const JobState> Jobs,
                std::span<const CustomerState> Customers);

/// \returns when the task is expected to end, or nothing for a task that runs
/// until it is cancelled. Never before \p Now.
std::optional<TimePoint> expectedEnd(const JobState &Job, const TaskState &Task,
                                     const CustomerState &Customer,
                                     TimePoint Now);

} // namespace cuminroad

#endif
