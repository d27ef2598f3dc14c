#ifndef CUMINROAD_DAEMON_HTTPRESPONSES_H
#define CUMINROAD_DAEMON_HTTPRESPONSES_H

#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "cuminroad/base/Error.h"
#include "cuminroad/net/HttpMessage.h"

namespace cuminroad {

/// The outcome of a request or of a job's submission.
enum class Outcome {
  /// It has a response, or the job was accepted.
  Done,
  /// It certainly did not run.
  NotRun,
  /// It may have run.
  Unknown
};

/// \returns the name of the outcome in the X-Outcome header.
std::string_view outcomeName(Outcome RequestOutcome);

/// \returns a response with a JSON body.
HttpResponse jsonResponse(int Status, const nlohmann::json &Body);
/// \returns the response for an error: the status that fits its code, and a
/// body with its number, name, message and detail.
HttpResponse errorResponse(const Error &Failure);
/// \returns the response for a request that got no response from a backend
/// server or an owner. X-Outcome and the body show the outcome.
HttpResponse outcomeResponse(Outcome RequestOutcome, const Error &Cause);

} // namespace cuminroad

#endif
