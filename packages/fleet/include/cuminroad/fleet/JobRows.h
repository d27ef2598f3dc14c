#ifndef CUMINROAD_FLEET_JOBROWS_H
#define CUMINROAD_FLEET_JOBROWS_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/base/Error.h"
#include "cuminroad/pool/JobPlan.h"
#include "cuminroad/pool/QueueTerms.h"
#include "cuminroad/store/RowStore.h"

namespace cuminroad {

/// A job as a frontend accepted it. The row is written once, on condition that
/// it does not exist, and never changes. Its partition depends on the job's id
/// alone, so that all daemons agree on it.
struct JobRequest {
  std::string Queue;
  /// The pool that runs the job, by the contract in force when it was accepted.
  std::string Service;
  /// Time by the store's clock.
  milliseconds AcceptedAt{0};
  JobPlan Plan;
  /// The terms of the queue by that contract; empty in rows of versions that
  /// did not store them.
  std::optional<QueueTerms> Terms;
};

// Names of the rows that the fleet keeps in the store.

/// Accepted jobs and their cancellations.
inline constexpr std::string_view RequestTable = "requests";
/// Progress of jobs; only the pool's owner writes it.
inline constexpr std::string_view ProgressTable = "progress";
/// The owner of each pool.
inline constexpr std::string_view OwnerTable = "owners";
/// The services of all pools that have ever had an owner, by key.
inline constexpr std::string_view PoolTable = "pools";
/// The daemons of the fleet.
inline constexpr std::string_view DaemonTable = "daemons";

/// What pools need and give of the quotas of client accounts; only the pool's
/// owner writes its rows.
inline constexpr std::string_view QuotaTable = "quotas";

RowName requestRow(std::string_view Job);
RowName cancelRow(std::string_view Job);
RowName progressRow(std::string_view Service, std::string_view Job);
RowName ownerRow(std::string_view Service);
RowName quotaRow(std::string_view Service, int Number);
/// The partition in which a pool's owner keeps its rows.
std::string poolPartition(std::string_view Service);
/// All partitions of RequestTable.
std::vector<std::string> requestPartitions();
/// \returns the job that a cancellation's key belongs to, or "" if \p Key is
/// not the key of a cancellation.
std::string_view cancelledJob(std::string_view Key);

std::string encodeRequest(const JobRequest &Request);
/// \param Job the key of the row.
Result<JobRequest> decodeRequest(std::string_view Job, std::string_view Bytes);

} // namespace cuminroad

#endif
