#include "cuminroad/fleet/PeerService.h"

#include <fmt/format.h>

#include "PeerMessages.h"

namespace cuminroad {

namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusAdvisorFailed = 502;
constexpr int UnknownJobNumber = -1;

HttpResponse plain(int Status, std::string Body) {
  return HttpResponse{Status, {}, std::move(Body), "text/plain"};
}

void advise(PlacementAdvisor &Advisor, const HttpRequest &Request,
            HttpResponder Respond) {
  const auto Message = decodeAdviseRequest(Request.Body);
  if (!Message)
    return Respond(plain(StatusBadRequest, Message.error().text()));
  Advisor.advise(
      Message->Step, Message->Vms, Message->Timeout,
      [Respond =
           std::move(Respond)](const Result<std::vector<AdviceTicket>> &Good) {
        if (!Good)
          return Respond(plain(StatusAdvisorFailed, Good.error().text()));
        Respond(HttpResponse{200, {}, encode(*Good), "application/msgpack"});
      });
}

HttpResponse answer(const OwnedPools &Pools, const HttpRequest &Request) {
  const std::string_view Service = Request.query("service");
  if (Request.Path != StagePath && Request.Path != PendingPath)
    return plain(StatusNotFound, "");
  if (!Pools.owns(Service))
    return plain(StatusNotOwner, "");
  if (Request.Path == PendingPath)
    return plain(
        200, fmt::to_string(Pools.pending(Service, Request.query("queue"))));
  const auto Stage = Pools.stage(Service, Request.query("job"));
  return plain(
      200, fmt::to_string(Stage ? static_cast<int>(*Stage) : UnknownJobNumber));
}

} // namespace

HttpHandler makePeerHandler(const OwnedPools &Pools,
                            PlacementAdvisor &Advisor) {
  return [&Pools, &Advisor](HttpRequest Request, HttpResponder Respond) {
    if (Request.Path == AdvisePath)
      return advise(Advisor, Request, std::move(Respond));
    Respond(answer(Pools, Request));
  };
}

} // namespace cuminroad
