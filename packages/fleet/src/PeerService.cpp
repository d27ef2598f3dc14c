#include "cuminroad/fleet/PeerService.h"

#include <fmt/format.h>

#include "PeerMessages.h"
#include "StoreMessages.h"

namespace cuminroad {

namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusAdvisorFailed = 502;
constexpr int StatusStoreUnreachable = 503;
/// A daemon that received its last response from the store longer ago than this
/// doesn't count as reaching it. Standbys read the store at least every 700 ms.
constexpr milliseconds MaxContactAge{900};

HttpResponse plainResponse(int Status, std::string Body) {
  return HttpResponse{Status, {}, std::move(Body), "text/plain"};
}

HttpResponse messagePackResponse(std::string Body) {
  return HttpResponse{200, {}, std::move(Body), "application/msgpack"};
}

void advise(PlacementAdvisor &Advisor, const HttpRequest &Request,
            HttpResponder Respond) {
  const auto Message = decodeAdviseRequest(Request.Body);
  if (!Message)
    return Respond(plainResponse(StatusBadRequest, Message.error().text()));
  Advisor.advise(Message->Step, Message->Vms, Message->Timeout,
                 [Respond = std::move(Respond)](
                     const Result<std::vector<AdviceTicket>> &Allowed) {
                   if (!Allowed)
                     return Respond(plainResponse(StatusAdvisorFailed,
                                                  Allowed.error().text()));
                   Respond(messagePackResponse(encode(*Allowed)));
                 });
}

/// Makes a call to the store for a daemon that can't reach it.
void relayStoreCall(RowStore &Store, const HttpRequest &Request,
                    HttpResponder Respond) {
  const auto Call = decodeStoreCall(Request.Body);
  if (!Call)
    return Respond(plainResponse(StatusBadRequest, Call.error().text()));
  const auto Reply = [&Store, Respond = std::move(Respond)](auto Value) {
    using T = typename decltype(Value)::value_type;
    Respond(messagePackResponse(
        encode(StoreResponse<T>{std::move(Value), Store.storeTime()})));
  };
  if (const auto *Commit = std::get_if<CommitCall>(&*Call))
    Store.commit(Commit->Change, Commit->Timeout, Reply);
  else if (const auto *Read = std::get_if<ReadCall>(&*Call))
    Store.read(Read->Range, Read->Timeout, Reply);
  else
    Store.changes(std::get<ChangesCall>(*Call).Request, Reply);
}

HttpResponse answerPoolQuery(const OwnedPools &Pools,
                             const HttpRequest &Request) {
  const std::string_view Service = Request.query("service");
  if (Request.Path != StagePath && Request.Path != PendingPath)
    return plainResponse(StatusNotFound, "");
  if (!Pools.owns(Service))
    return plainResponse(StatusNotOwner, "");
  if (Request.Path == PendingPath)
    return plainResponse(
        200, fmt::to_string(Pools.pending(Service, Request.query("queue"))));
  return plainResponse(200,
                       encode(Pools.status(Service, Request.query("job"))));
}

} // namespace

HttpHandler makePeerHandler(const OwnedPools &Pools, PlacementAdvisor &Advisor,
                            RowStore &Store, const Clock &MonotonicClock) {
  return [&Pools, &Advisor, &Store, &MonotonicClock](HttpRequest Request,
                                                     HttpResponder Respond) {
    if (Request.Path == StoreReachablePath)
      return Respond(plainResponse(MonotonicClock.now() - Store.lastContact() <
                                           MaxContactAge
                                       ? 200
                                       : StatusStoreUnreachable,
                                   ""));
    if (Request.Path == StoreCallPath)
      return relayStoreCall(Store, Request, std::move(Respond));
    if (Request.Path == AdvisePath)
      return advise(Advisor, Request, std::move(Respond));
    Respond(answerPoolQuery(Pools, Request));
  };
}

} // namespace cuminroad
