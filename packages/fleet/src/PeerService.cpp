#include "cuminroad/fleet/PeerService.h"

#include <fmt/format.h>

#include "PeerMessages.h"
#include "StoreMessages.h"

namespace cuminroad {

namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusAdvisorFailed = 502;
constexpr int StatusNoContact = 503;
constexpr int UnknownJobNumber = -1;
/// A daemon whose last answer from the store is older does not count as
/// reaching it. Standbys read the store every 700 ms at least.
constexpr milliseconds RecentContact{900};

HttpResponse plain(int Status, std::string Body) {
  return HttpResponse{Status, {}, std::move(Body), "text/plain"};
}

HttpResponse packed(std::string Body) {
  return HttpResponse{200, {}, std::move(Body), "application/msgpack"};
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
        Respond(packed(encode(*Good)));
      });
}

/// Makes a call of the store for a daemon that the store turns away.
void relay(RowStore &Store, const HttpRequest &Request, HttpResponder Respond) {
  const auto Call = decodeStoreCall(Request.Body);
  if (!Call)
    return Respond(plain(StatusBadRequest, Call.error().text()));
  const auto Reply = [&Store, Respond = std::move(Respond)](auto Value) {
    using T = typename decltype(Value)::value_type;
    Respond(
        packed(encode(StoreAnswer<T>{std::move(Value), Store.storeTime()})));
  };
  if (const auto *Commit = std::get_if<CommitCall>(&*Call))
    Store.commit(Commit->Change, Commit->Timeout, Reply);
  else if (const auto *Read = std::get_if<ReadCall>(&*Call))
    Store.read(Read->Range, Read->Timeout, Reply);
  else
    Store.changes(std::get<ChangesCall>(*Call).Wanted, Reply);
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

HttpHandler makePeerHandler(const OwnedPools &Pools, PlacementAdvisor &Advisor,
                            RowStore &Store, const Clock &Time) {
  return [&Pools, &Advisor, &Store, &Time](HttpRequest Request,
                                           HttpResponder Respond) {
    if (Request.Path == ReachPath)
      return Respond(plain(Time.now() - Store.lastContact() < RecentContact
                               ? 200
                               : StatusNoContact,
                           ""));
    if (Request.Path == StorePath)
      return relay(Store, Request, std::move(Respond));
    if (Request.Path == AdvisePath)
      return advise(Advisor, Request, std::move(Respond));
    Respond(answer(Pools, Request));
  };
}

} // namespace cuminroad
