#include "cuminroad/fleet/PeerCalls.h"

#include <charconv>

#include <fmt/format.h>

#include "PeerMessages.h"

namespace cuminroad {

namespace {

constexpr milliseconds ConnectTimeout{300};

HttpCall makeCall(const std::string &Address, std::string_view Path,
                  milliseconds Timeout) {
  HttpCall Call;
  Call.Url = fmt::format("http://{}{}", Address, Path);
  Call.ConnectTimeout = ConnectTimeout;
  Call.Timeout = Timeout;
  return Call;
}

/// \returns the body of a response with status 200, or why there is none.
Result<std::string> responseBody(HttpResult Response) {
  if (!Response)
    return tl::unexpected(Response.error());
  if (Response->Status == StatusNotOwner)
    return failure(ErrorCode::NoOwner);
  if (Response->Status != 200)
    return failure(
        ErrorCode::AnswerUnreadable,
        fmt::format("peer answered with status {}", Response->Status));
  return std::move(Response->Body);
}

Result<int> responseNumber(HttpResult Response) {
  const auto Body = responseBody(std::move(Response));
  if (!Body)
    return tl::unexpected(Body.error());
  int Number = 0;
  const auto [End, ParseError] =
      std::from_chars(Body->data(), Body->data() + Body->size(), Number);
  if (ParseError != std::errc{} || End != Body->data() + Body->size())
    return failure(ErrorCode::AnswerUnreadable, *Body);
  return Number;
}

} // namespace

void PeerCalls::status(const std::string &Address, const std::string &Service,
                       const std::string &Job, milliseconds Timeout,
                       StatusDone Done) {
  HttpCall Call = makeCall(
      Address, fmt::format("{}?service={}&job={}", StagePath, Service, Job),
      Timeout);
  Client_.send(std::move(Call), [Done = std::move(Done)](HttpResult Response) {
    const Result<std::string> Body = responseBody(std::move(Response));
    if (!Body)
      return Done(tl::unexpected(Body.error()));
    Done(decodeOwnedJob(*Body));
  });
}

void PeerCalls::pending(const std::string &Address, const std::string &Service,
                        const std::string &Queue, milliseconds Timeout,
                        CountDone Done) {
  HttpCall Call = makeCall(
      Address,
      fmt::format("{}?service={}&queue={}", PendingPath, Service, Queue),
      Timeout);
  Client_.send(std::move(Call), [Done = std::move(Done)](HttpResult Response) {
    Done(responseNumber(std::move(Response)));
  });
}

void PeerCalls::advise(const std::string &Address, const StepName &Step,
                       std::span<const std::string> Vms, milliseconds Timeout,
                       PlacementAdvisor::Done Done) {
  HttpCall Call = makeCall(Address, AdvisePath, Timeout);
  Call.Method = "POST";
  // A query, which changes nothing.
  Call.AllowResend = true;
  Call.Headers = {{"Content-Type", "application/msgpack"}};
  Call.Body = encode(AdviseRequest{
      Step, std::vector<std::string>(Vms.begin(), Vms.end()), Timeout});
  Client_.send(std::move(Call), [Done = std::move(Done)](HttpResult Response) {
    const auto Body = responseBody(std::move(Response));
    if (!Body)
      return Done(tl::unexpected(Body.error()));
    Done(decodeTickets(*Body));
  });
}

} // namespace cuminroad
