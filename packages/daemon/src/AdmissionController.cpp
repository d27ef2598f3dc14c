#include "cuminroad/daemon/AdmissionController.h"

#include <algorithm>

namespace cuminroad {

namespace {

/// Weight of the request that ended last in the smoothed hold time.
constexpr double HoldTimeWeight = 0.1;
/// Requests that may wait in one frontend.
constexpr std::size_t MaxWaiting = 20000;

void addCount(CountByName &Values, const std::string &Name, int Count) {
  if (Count > 0)
    Values[Name] += Count;
}

} // namespace

AdmissionController::AdmissionController(const Clock &MonotonicClock)
    : MonotonicClock_(MonotonicClock) {}

bool AdmissionController::isLeaseValid() const {
  return MonotonicClock_.now() < LeaseEndsAt_;
}

void AdmissionController::applyReply(const GrantReply &Reply,
                                     TimePoint RequestedAt, milliseconds Lease,
                                     milliseconds ReserveTime) {
  if (Reply.Seq != RequestSeq_)
    return;
  if (Reply.SendFullCaps) {
    SendFullCaps_ = true;
    return;
  }
  BaseSeq_ = Reply.Seq;
  BaseVmCaps_ = overlay(ReportedVmCaps_, Reply.VmCaps);
  BaseCustomerCaps_ = overlay(ReportedCustomerCaps_, Reply.CustomerCaps);
  LeaseEndsAt_ = RequestedAt + Lease;
  ReservedUntil_ = LeaseEndsAt_ + ReserveTime;
  if (Reply.Vms) {
    VmTableVersion_ = Reply.VmTableVersion;
    std::set<std::string> ListedIds;
    for (const GrantVm &Vm : *Reply.Vms) {
      ListedIds.insert(Vm.Id);
      Vms_[Vm.Id].Service = Vm.Service;
      Vms_[Vm.Id].Url = Vm.Url;
    }
    std::erase_if(Vms_, [&](const auto &Entry) {
      return !ListedIds.contains(Entry.first) && Entry.second.InFlight == 0;
    });
  }
  for (auto &[Id, Vm] : Vms_) {
    const int Cap = countOf(BaseVmCaps_, Id);
    CapReleased_ = CapReleased_ || Cap < Vm.Cap;
    Vm.Cap = Cap;
  }
  for (const auto &[Name, Cap] : BaseCustomerCaps_)
    Customers_.try_emplace(Name);
  for (auto &[Name, Customer] : Customers_) {
    const int Cap = countOf(BaseCustomerCaps_, Name);
    CapReleased_ = CapReleased_ || Cap < Customer.Cap;
    Customer.Cap = Cap;
  }
  std::erase_if(Customers_, [](const auto &Entry) {
    return Entry.second.Cap == 0 && Entry.second.InFlight == 0;
  });
}

void AdmissionController::fillRequest(GrantRequest &Request) {
  Request.Seq = ++RequestSeq_;
  CapReleased_ = false;
  Request.VmTableVersion = VmTableVersion_;
  const bool Reserved = MonotonicClock_.now() < ReservedUntil_;
  for (auto &[Id, Vm] : Vms_) {
    if (!Reserved)
      Vm.Cap = 0;
    addCount(Request.VmCaps, Id, std::max(Vm.Cap, Vm.InFlight));
    addCount(Request.ServiceDemand, Vm.Service, Vm.InFlight);
    if (Vm.Leaving)
      Request.Leaving.push_back(Id);
  }
  for (auto &[Name, Customer] : Customers_) {
    if (!Reserved)
      Customer.Cap = 0;
    addCount(Request.CustomerCaps, Name,
             std::max(Customer.Cap, Customer.InFlight));
    addCount(Request.CustomerDemand, Name, Customer.InFlight);
  }
  for (const auto &[Key, Queued] : Waiting_) {
    addCount(Request.ServiceDemand, Queued.Service, 1);
    addCount(Request.CustomerDemand, Queued.Customer, 1);
  }
  ReportedVmCaps_ = Request.VmCaps;
  ReportedCustomerCaps_ = Request.CustomerCaps;
  if (std::exchange(SendFullCaps_, false) || BaseSeq_ == 0)
    return;
  Request.BaseSeq = BaseSeq_;
  Request.VmCaps = difference(BaseVmCaps_, ReportedVmCaps_);
  Request.CustomerCaps = difference(BaseCustomerCaps_, ReportedCustomerCaps_);
}

void AdmissionController::markLeaving(const std::string &Vm) {
  const auto Found = Vms_.find(Vm);
  if (Found != Vms_.end())
    Found->second.Leaving = true;
}

int AdmissionController::totalCapOf(const std::string &Service) const {
  int Sum = 0;
  for (const auto &[Id, Vm] : Vms_)
    if (Vm.Service == Service && !Vm.Leaving)
      Sum += Vm.Cap;
  return Sum;
}

bool AdmissionController::knowsService(const std::string &Service) const {
  return std::any_of(Vms_.begin(), Vms_.end(), [&](const auto &Entry) {
    return Entry.second.Service == Service;
  });
}

Result<void> AdmissionController::enqueue(SlotRequest Request) {
  if (Waiting_.size() >= MaxWaiting)
    return failure(ErrorCode::NoCapacity, "queue");
  int &WaitingAhead = WaitingCountByService_[Request.Service];
  if (WaitingAhead > 0) {
    // The caller gains more from a refusal now than from "not run" at the
    // deadline.
    const int Cap = std::max(totalCapOf(Request.Service), 1);
    const double ExpectedWaitMs =
        HoldTimeMsByService_[Request.Service] * WaitingAhead / Cap;
    const auto TimeLeft = Request.StartBy - MonotonicClock_.now();
    if (ExpectedWaitMs >
        std::chrono::duration<double, std::milli>(TimeLeft).count())
      return failure(ErrorCode::DeadlineTooClose, Request.Service);
  }
  ++WaitingAhead;
  const QueueKey Key{!Request.Urgent, Request.StartBy, Request.Id};
  QueueKeyById_[Request.Id] = Key;
  Waiting_.emplace(Key, std::move(Request));
  return {};
}

void AdmissionController::dequeue(std::uint64_t Id) {
  const auto Found = QueueKeyById_.find(Id);
  if (Found == QueueKeyById_.end())
    return;
  const auto Entry = Waiting_.find(Found->second);
  --WaitingCountByService_[Entry->second.Service];
  Waiting_.erase(Entry);
  QueueKeyById_.erase(Found);
}

std::optional<std::string>
AdmissionController::pickVm(const SlotRequest &Request) const {
  std::optional<std::string> BestVm;
  int BestFreeSlots = 0;
  for (const bool AvoidFailed : {true, false}) {
    for (const auto &[Id, Vm] : Vms_) {
      if (Vm.Service != Request.Service || Vm.Leaving ||
          (AvoidFailed && Request.AvoidedVms.contains(Id)))
        continue;
      const int FreeSlots = Vm.Cap - Vm.InFlight;
      if (FreeSlots > BestFreeSlots) {
        BestFreeSlots = FreeSlots;
        BestVm = Id;
      }
    }
    if (BestVm || Request.AvoidedVms.empty())
      return BestVm;
  }
  return BestVm;
}

std::vector<Slot> AdmissionController::assignSlots() {
  std::vector<Slot> Assigned;
  if (!isLeaseValid())
    return Assigned;
  std::set<std::string> ExhaustedServices;
  for (auto Entry = Waiting_.begin(); Entry != Waiting_.end();) {
    const SlotRequest &Request = Entry->second;
    const auto Customer = Customers_.find(Request.Customer);
    const bool Allowed = Customer != Customers_.end() &&
                         Customer->second.InFlight < Customer->second.Cap;
    if (!Allowed || ExhaustedServices.contains(Request.Service)) {
      ++Entry;
      continue;
    }
    const auto Vm = pickVm(Request);
    if (!Vm) {
      ExhaustedServices.insert(Request.Service);
      ++Entry;
      continue;
    }
    ++Vms_[*Vm].InFlight;
    ++Customer->second.InFlight;
    Assigned.push_back(Slot{Request.Id, Request.Customer, *Vm, Vms_[*Vm].Url});
    --WaitingCountByService_[Request.Service];
    QueueKeyById_.erase(Request.Id);
    Entry = Waiting_.erase(Entry);
  }
  return Assigned;
}

std::vector<std::pair<std::uint64_t, ErrorCode>>
AdmissionController::dequeueExpired() {
  std::vector<std::pair<std::uint64_t, ErrorCode>> Expired;
  const TimePoint Now = MonotonicClock_.now();
  for (const auto &[Key, Request] : Waiting_) {
    if (std::get<TimePoint>(Key) > Now)
      continue;
    ErrorCode Reason = ErrorCode::NoCapacity;
    const auto Customer = Customers_.find(Request.Customer);
    if (!isLeaseValid())
      Reason = ErrorCode::NoOwner;
    else if (Customer == Customers_.end() ||
             Customer->second.InFlight >= Customer->second.Cap)
      Reason = ErrorCode::CustomerLimitReached;
    Expired.emplace_back(Request.Id, Reason);
  }
  for (const auto &[Id, Reason] : Expired)
    dequeue(Id);
  return Expired;
}

void AdmissionController::releaseSlot(const Slot &Released,
                                      milliseconds HoldTime) {
  if (const auto Vm = Vms_.find(Released.Vm); Vm != Vms_.end()) {
    // The cap was lowered while the slot was in use, so that only its release
    // makes it available to other frontends.
    CapReleased_ = CapReleased_ || Vm->second.InFlight > Vm->second.Cap;
    --Vm->second.InFlight;
    double &Smoothed = HoldTimeMsByService_[Vm->second.Service];
    Smoothed +=
        HoldTimeWeight * (static_cast<double>(HoldTime.count()) - Smoothed);
  }
  if (const auto Customer = Customers_.find(Released.Customer);
      Customer != Customers_.end()) {
    CapReleased_ =
        CapReleased_ || Customer->second.InFlight > Customer->second.Cap;
    --Customer->second.InFlight;
  }
}

int AdmissionController::inFlightOn(const std::string &Vm) const {
  const auto Found = Vms_.find(Vm);
  return Found == Vms_.end() ? 0 : Found->second.InFlight;
}

} // namespace cuminroad
