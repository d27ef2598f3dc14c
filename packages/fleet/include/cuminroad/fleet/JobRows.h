#ifndef CUMINROAD_FLEET_JOBROWS_H
#define CUMINROAD_FLEET_JOBROWS_H

#include <string>
#include <string_view>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/base/Error.h"
#include "cuminroad/pool/JobPlan.h"
#include "cuminroad/store/RowStore.h"

namespace cuminroad {

/// A job as a front door accepted it. The row is written once, under a check
/// that there is none, and never changes: its partition follows from the job's
/// id alone, so that any two daemons agree on it.
struct JobRequest {
  std::string Queue;
  /// The pool that runs the job, as the contract in force named it.
  std::string Service;
  /// By the store's clock.
  milliseconds AcceptedAt{0};
  JobPlan Plan;
};

// Names of the rows that the fleet keeps in the store.

/// Jobs accepted, and their cancellations.
inline constexpr std::string_view RequestTable = "requests";
/// What has become of jobs; written by the pool's owner only.
inline constexpr std::string_view ProgressTable = "progress";
/// Who owns each pool.
inline constexpr std::string_view OwnerTable = "owners";
/// The daemons of the fleet.
inline constexpr std::string_view DaemonTable = "daemons";

RowName requestRow(std::string_view Job);
RowName cancelRow(std::string_view Job);
RowName progressRow(std::string_view Service, std::string_view Job);
RowName ownerRow(std::string_view Service);
/// The partition in which a pool's owner keeps its rows.
std::string poolPartition(std::string_view Service);
/// All partitions of RequestTable.
std::vector<std::string> requestPartitions();
/// \returns the job of a cancellation's key, or "" for another key.
std::string_view cancelledJob(std::string_view Key);

std::string encodeRequest(const JobRequest &Request);
/// \param Job the row's key.
Result<JobRequest> decodeRequest(std::string_view Job, std::string_view Bytes);

} // namespace cuminroad

#endif
