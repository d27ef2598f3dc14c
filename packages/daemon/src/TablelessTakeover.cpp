#include "TablelessTakeover.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "cuminroad/base/JsonObjectReader.h"

namespace cuminroad {

namespace {

constexpr milliseconds CheckInterval{1000};
constexpr milliseconds QueryTimeout{1000};
/// Added to the time for which a VM may delay its response to a renewal.
constexpr milliseconds RenewalMargin{2000};

} // namespace

TablelessTakeover::TablelessTakeover(DaemonComponents &Components)
    : Components_(Components) {}

void TablelessTakeover::start() {
  recordOwnerContact();
  scheduleCheck();
}

void TablelessTakeover::scheduleCheck() {
  Components_.ControlLoop->after(CheckInterval, [this] { check(); });
}

milliseconds TablelessTakeover::silenceLimit() const {
  return Components_.Config.Times.TaskRenewal + RenewalMargin;
}

bool TablelessTakeover::isDue() const {
  return !Components_.DomainOwnership.isOwner() &&
         !Components_.RetryingTable.reachable() &&
         !Components_.LastListing.Vms.empty() &&
         Components_.MonotonicClock.now() - LastContactAt_ > silenceLimit();
}

void TablelessTakeover::check() {
  if (!isDue())
    return scheduleCheck();
  const auto Round = std::make_shared<PollRound>();
  Round->Outstanding = Components_.LastListing.Vms.size();
  for (const ListedVm &Vm : Components_.LastListing.Vms)
    queryVm(Vm.Spec, Round);
}

void TablelessTakeover::queryVm(const VmSpec &Vm,
                                const std::shared_ptr<PollRound> &Round) {
  HttpCall Call;
  Call.Url = Components_.Config.translateUrl(Vm.Url + "/holder");
  Call.Timeout = QueryTimeout;
  Components_.ControlClient->send(
      std::move(Call), [this, Round](HttpResult Response) {
        Components_.ControlLoop->post(
            [this, Round, Response = std::move(Response)] {
              addResponse(Response, Round);
            });
      });
}

void TablelessTakeover::addResponse(const HttpResult &Response,
                                    const std::shared_ptr<PollRound> &Round) {
  if (Response && Response->Status == 200) {
    const auto Body = parseJson(Response->Body, false);
    if (Body) {
      const milliseconds SinceRenewal(
          Body->value("renewed_ms_ago", std::int64_t(0)));
      ++(SinceRenewal > silenceLimit() ? Round->StaleLeases
                                       : Round->FreshLeases);
      Round->HighestEpoch =
          std::max(Round->HighestEpoch,
                   epochOfFencingToken(Body->value("fence", std::int64_t(0))));
    }
  }
  if (--Round->Outstanding == 0)
    finishRound(*Round);
}

void TablelessTakeover::finishRound(const PollRound &Round) {
  // One renewed lease is enough to show that the owner is alive.
  const bool Majority =
      Round.StaleLeases * 2 > Components_.LastListing.Vms.size();
  if (isDue() && Majority && Round.FreshLeases == 0) {
    OwnerInfo Last = Components_.DomainOwnership.owner();
    Last.Epoch = std::max(Last.Epoch, Round.HighestEpoch);
    Components_.DomainOwnership.observe(Last);
    Components_.DomainOwnership.takeOverWithoutTable();
  }
  scheduleCheck();
}

} // namespace cuminroad
