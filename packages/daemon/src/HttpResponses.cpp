#include "cuminroad/daemon/HttpResponses.h"

#include <nlohmann/json.hpp>

namespace cuminroad {

namespace {

int statusOf(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::MalformedInput:
  case ErrorCode::UnknownField:
  case ErrorCode::MissingField:
  case ErrorCode::ValueOutOfRange:
    return 400;
  case ErrorCode::Unauthorized:
    return 401;
  case ErrorCode::UnknownCustomer:
  case ErrorCode::UnknownService:
  case ErrorCode::UnknownJob:
  case ErrorCode::UnknownPath:
    return 404;
  case ErrorCode::VersionConflict:
  case ErrorCode::ChangePending:
  case ErrorCode::ContractRetired:
    return 409;
  case ErrorCode::BodyTooLarge:
    return 413;
  case ErrorCode::JobNeverFits:
  case ErrorCode::QuotaTooSmall:
    return 422;
  case ErrorCode::CustomerLimitReached:
    return 429;
  case ErrorCode::WriteOutcomeUnknown:
  case ErrorCode::Timeout:
  case ErrorCode::AnswerTooSlow:
    return 504;
  default:
    return 503;
  }
}

nlohmann::json errorBody(const Error &Failure) {
  const ErrorInfo &Info = errorInfo(Failure.Code);
  return {{"number", static_cast<int>(Failure.Code)},
          {"name", Info.Name},
          {"message", Info.Message},
          {"detail", Failure.Detail}};
}

} // namespace

std::string_view outcomeName(Outcome RequestOutcome) {
  switch (RequestOutcome) {
  case Outcome::Done:
    return "done";
  case Outcome::NotRun:
    return "not_run";
  case Outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

HttpResponse jsonResponse(int Status, const nlohmann::json &Body) {
  return HttpResponse{
      Status,
      {},
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
          "\n"};
}

HttpResponse errorResponse(const Error &Failure) {
  return jsonResponse(statusOf(Failure.Code), {{"error", errorBody(Failure)}});
}

HttpResponse outcomeResponse(Outcome RequestOutcome, const Error &Cause) {
  const int Status =
      RequestOutcome == Outcome::NotRun ? statusOf(Cause.Code) : 504;
  HttpResponse Response =
      jsonResponse(Status, {{"outcome", outcomeName(RequestOutcome)},
                            {"error", errorBody(Cause)}});
  Response.Headers.emplace_back("X-Outcome", outcomeName(RequestOutcome));
  return Response;
}

} // namespace cuminroad
