#include "TablelessTakeover.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "cuminroad/base/JsonObjectReader.h"

namespace cuminroad {

namespace {

constexpr milliseconds CheckInterval{1000};
constexpr milliseconds QueryTimeout{1000};
/// Added to the time for which a VM may hold back its reply to a renewal.
constexpr milliseconds RenewalMargin{2000};

} // namespace

TablelessTakeover::TablelessTakeover(DaemonParts &Parts) : Parts_(Parts) {}

void TablelessTakeover::start() {
  recordOwnerContact();
  scheduleCheck();
}

void TablelessTakeover::scheduleCheck() {
  Parts_.Control->after(CheckInterval, [this] { check(); });
}

milliseconds TablelessTakeover::silenceLimit() const {
  return Parts_.Config.Times.TaskRenewal + RenewalMargin;
}

bool TablelessTakeover::isDue() const {
  return !Parts_.Owners.isOwner() && !Parts_.Rows.reachable() &&
         !Parts_.LastListing.Vms.empty() &&
         Parts_.Time.now() - LastContactAt_ > silenceLimit();
}

void TablelessTakeover::check() {
  if (!isDue())
    return scheduleCheck();
  const auto Round = std::make_shared<PollRound>();
  Round->Outstanding = Parts_.LastListing.Vms.size();
  for (const ListedVm &Vm : Parts_.LastListing.Vms)
    queryVm(Vm.Spec, Round);
}

void TablelessTakeover::queryVm(const VmSpec &Vm,
                                const std::shared_ptr<PollRound> &Round) {
  HttpCall Call;
  Call.Url = Parts_.Config.translateUrl(Vm.Url + "/holder");
  Call.Timeout = QueryTimeout;
  Parts_.ControlClient->send(std::move(Call), [this, Round](HttpResult Answer) {
    Parts_.Control->post([this, Round, Answer = std::move(Answer)] {
      addResponse(Answer, Round);
    });
  });
}

void TablelessTakeover::addResponse(const HttpResult &Answer,
                                    const std::shared_ptr<PollRound> &Round) {
  if (Answer && Answer->Status == 200) {
    const auto Body = parseJson(Answer->Body, false);
    if (Body) {
      const milliseconds SinceRenewal(
          Body->value("renewed_ms_ago", std::int64_t(0)));
      ++(SinceRenewal > silenceLimit() ? Round->StaleLeases
                                       : Round->FreshLeases);
      Round->HighestEpoch =
          std::max(Round->HighestEpoch,
                   epochOfFence(Body->value("fence", std::int64_t(0))));
    }
  }
  if (--Round->Outstanding == 0)
    finishRound(*Round);
}

void TablelessTakeover::finishRound(const PollRound &Round) {
  // One renewed lease is enough to show that the owner is alive.
  const bool Majority = Round.StaleLeases * 2 > Parts_.LastListing.Vms.size();
  if (isDue() && Majority && Round.FreshLeases == 0) {
    OwnerInfo Last = Parts_.Owners.owner();
    Last.Epoch = std::max(Last.Epoch, Round.HighestEpoch);
    Parts_.Owners.observe(Last);
    Parts_.Owners.takeOverWithoutTable();
  }
  scheduleCheck();
}

} // namespace cuminroad
