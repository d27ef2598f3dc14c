#ifndef CUMINROAD_FLEET_SRC_PEERMESSAGES_H
#define CUMINROAD_FLEET_SRC_PEERMESSAGES_H

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cuminroad/base/Error.h"
#include "cuminroad/fleet/OwnedJob.h"
#include "cuminroad/fleet/PlacementAdvisor.h"

// Paths and bodies of calls between daemons. Bodies are in MessagePack.

namespace cuminroad {

inline constexpr std::string_view StagePath = "/peer/stage";
inline constexpr std::string_view PendingPath = "/peer/pending";
inline constexpr std::string_view AdvisePath = "/peer/advise";
/// Status if the daemon doesn't own the pool or hasn't loaded its jobs yet.
inline constexpr int StatusNotOwner = 409;

struct AdviseRequest {
  StepName Step;
  std::vector<std::string> Vms;
  milliseconds Timeout{0};
};

std::string encode(const AdviseRequest &Message);
Result<AdviseRequest> decodeAdviseRequest(std::string_view Bytes);
std::string encode(std::span<const AdviceTicket> Tickets);
Result<std::vector<AdviceTicket>> decodeTickets(std::string_view Bytes);

/// \p Job is empty for a job that the owner doesn't know.
std::string encode(const std::optional<OwnedJob> &Job);
/// An answer without an account, as earlier releases send it, is an error: the
/// job may belong to one.
Result<std::optional<OwnedJob>> decodeOwnedJob(std::string_view Bytes);

} // namespace cuminroad

#endif
