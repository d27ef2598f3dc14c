#ifndef CUMINROAD_DAEMON_HTTPREPLIES_H
#define CUMINROAD_DAEMON_HTTPREPLIES_H

#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "cuminroad/base/Error.h"
#include "cuminroad/net/HttpMessage.h"

namespace cuminroad {

/// What became of a request or a job's submission.
enum class Outcome { Done, NotRun, Unknown };

std::string_view outcomeName(Outcome RequestOutcome);

/// \returns an answer with a JSON body.
HttpResponse jsonReply(int Status, const nlohmann::json &Body);
/// \returns the answer for a failure: status by type, and a body with its
/// number, name, message and detail.
HttpResponse errorReply(const Error &Fault);
/// \returns the answer for a request that has no answer of its own.
HttpResponse outcomeReply(Outcome RequestOutcome, const Error &Cause);

} // namespace cuminroad

#endif
