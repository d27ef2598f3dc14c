#include "Urgency.h"

namespace cuminroad {

Urgency urgencyOf(const OccurrenceRecord &Occurrence,
                  const PoolOptions &Options, TimePoint Now) {
  const JobRecord &Job = *Occurrence.Job;
  const milliseconds Objective = Job.objective();
  Urgency Out;
  Out.Priority = Job.Terms.Priority;
  Out.Deadline = Occurrence.Due + Objective;
  // A job that lasts has no end that could be late.
  if (Job.Plan.lasts())
    return Out;
  Out.Late = Now > Out.Deadline;
  Out.Hopeless =
      Now > Occurrence.Due + milliseconds(static_cast<std::int64_t>(
                                 Options.LateFactor *
                                 static_cast<double>(Objective.count())));
  return Out;
}

} // namespace cuminroad
