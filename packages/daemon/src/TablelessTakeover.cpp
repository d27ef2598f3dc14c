#include "TablelessTakeover.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "cuminroad/base/ObjectReader.h"

namespace cuminroad {

namespace {

constexpr milliseconds CheckInterval{1000};
constexpr milliseconds AskTimeout{1000};
/// Beyond the time for which a VM may hold a renewal back.
constexpr milliseconds WitnessMargin{2000};

} // namespace

TablelessTakeover::TablelessTakeover(DaemonComponents &Parts) : Parts_(Parts) {}

void TablelessTakeover::start() {
  noteOwner();
  checkSoon();
}

void TablelessTakeover::checkSoon() {
  Parts_.ControlLoop->after(CheckInterval, [this] { check(); });
}

milliseconds TablelessTakeover::patience() const {
  return Parts_.Config.Times.TaskRenewal + WitnessMargin;
}

bool TablelessTakeover::due() const {
  return !Parts_.DomainOwnership.mine() && !Parts_.RetryingTable.reachable() &&
         !Parts_.LastListing.Vms.empty() &&
         Parts_.MonotonicClock.now() - HeardAt_ > patience();
}

void TablelessTakeover::check() {
  if (!due())
    return checkSoon();
  const auto Round = std::make_shared<Poll>();
  Round->Open = Parts_.LastListing.Vms.size();
  for (const ListedVm &Vm : Parts_.LastListing.Vms)
    ask(Vm.Spec, Round);
}

void TablelessTakeover::ask(const VmSpec &Vm,
                            const std::shared_ptr<Poll> &Round) {
  HttpCall Call;
  Call.Url = Parts_.Config.reachable(Vm.Url + "/holder");
  Call.Timeout = AskTimeout;
  Parts_.ControlClient->send(std::move(Call), [this, Round](HttpResult Answer) {
    Parts_.ControlLoop->post(
        [this, Round, Answer = std::move(Answer)] { take(Answer, Round); });
  });
}

void TablelessTakeover::take(const HttpResult &Answer,
                             const std::shared_ptr<Poll> &Round) {
  if (Answer && Answer->Status == 200) {
    const auto Body = parseJson(Answer->Body, false);
    if (Body) {
      const milliseconds Age(Body->value("renewed_ms_ago", std::int64_t(0)));
      ++(Age > patience() ? Round->Stale : Round->Fresh);
      Round->Epoch =
          std::max(Round->Epoch,
                   epochOfFencingToken(Body->value("fence", std::int64_t(0))));
    }
  }
  if (--Round->Open == 0)
    conclude(*Round);
}

void TablelessTakeover::conclude(const Poll &Round) {
  const bool Majority = Round.Stale * 2 > Parts_.LastListing.Vms.size();
  if (due() && Majority && Round.Fresh == 0) {
    OwnerInfo Last = Parts_.DomainOwnership.owner();
    Last.Epoch = std::max(Last.Epoch, Round.Epoch);
    Parts_.DomainOwnership.observe(Last);
    Parts_.DomainOwnership.takeWithoutTable();
  }
  checkSoon();
}

} // namespace cuminroad
