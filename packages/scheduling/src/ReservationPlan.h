#ifndef CUMINROAD_SCHEDULING_SRC_RESERVATIONPLAN_H
#define CUMINROAD_SCHEDULING_SRC_RESERVATIONPLAN_H

#include <optional>
#include <span>
#include <vector>

#include "CustomerState.h"
#include "JobState.h"
#include "VmState.h"

namespace cuminroad {

/// The VMs on which a blocked job can start soonest, and the time when it can.
struct ReservationPlan {
  std::vector<int> Vms;
  TimePoint StartTime{};
};

/// Plans from the expected ends of running tasks: their declared run times
/// times the customer's average ratio of actual to declared run time.
/// \returns nothing where the job wouldn't fit even after the end of all tasks
/// with a declared run time.
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
